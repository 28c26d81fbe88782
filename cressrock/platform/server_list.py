"""The platform's list of storage servers: turns discovery's answers into reports for the scheduler.  Pure."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import Any

from cressrock.config import describe_value
from cressrock.interface import ListKind, Node, NodeList, NodeState
from cressrock.json_fields import MAX_SHARD, FieldError, epoch_ms, whole_number
from cressrock.platform.config import ConfigError, address

STATE_BY_HEALTH = {"active": NodeState.READY, "leaving": NodeState.DRAINING, "left": NodeState.GONE}

MOST_TOLD = 16384  # as many as the ledger holds servers: 10,000 at the planned size, and earlier starts


class ListError(ValueError):
    """An answer of discovery that cannot be used; the text names the place in it."""


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One server as discovery describes it; `start_ms` is in Unix time, 0 if it is not known."""

    name: str
    dial_address: tuple[str, int]
    shard: int
    site: str
    state: NodeState
    start_ms: float


class ServerList:
    """The list as last accepted.  `host` identifies a server; `dial` is its address for this dispatcher."""

    def __init__(self, zones: tuple[str, ...]) -> None:
        """`zones` are the settings' zone names, in their order."""
        self.zones = {name: index for index, name in enumerate(zones)}
        self.version = -1
        self.after = -1  # the version that the next call names as known; -1 asks for the whole list
        self.dial_addresses: dict[str, tuple[str, int]] = {}
        self.replaced: list[str] = []  # hosts that the last answer moved, restarted or removed
        self.rejected_entries: list[str] = []  # why entries of the last answer were ignored
        self._entries: dict[str, ServerEntry] = {}  # the last usable entry of each listed server
        self._starts: dict[str, tuple[float, float]] = {}  # start in Unix time and on the scheduler's clock
        # The reported state of a server's start, where it is not ready: draining or gone.
        self._not_ready: OrderedDict[tuple[str, float], NodeState] = OrderedDict()
        self._zone_keys: dict[str, str] = {}  # by host, for servers whose zone the settings do not name
        self._extra_zones: dict[str, int] = {}  # the numbers of those zones
        self._next_zone = max(1, len(zones))  # the next such number; 0 also means that there are no zones

    def receive(self, value: Any, now_ms: float, wall_ms: float, *, cached: bool = False) -> NodeList:
        """Apply an answer; `now_ms` and `wall_ms` are the scheduler's clock and Unix time at one instant.

        An unusable entry is ignored, so that it does not hide a drain reported beside it; its server stays as
        it was, but for a drain that the entry itself reports.  Raises ListError, and leaves the list
        unchanged, if no entry is usable or the answer is malformed or older than the list.  After an older
        answer the whole list is requested and accepted with any version: otherwise a discovery that
        restarted its version count would be ignored for ever.  Such a list does not revoke a drain: a server
        that drained or left stays so until it starts again.
        """
        if not isinstance(value, dict) or not isinstance(value.get("hosts"), list):
            raise ListError("hosts is missing or not a list")
        version, whole = value.get("seq"), value.get("whole")
        if isinstance(version, bool) or not isinstance(version, int) or not isinstance(whole, bool):
            raise ListError("seq is missing or not a whole number, or whole is missing or not true or false")
        older = version < self.version
        if older and not cached and not (whole and self.after < 0):
            self.after = -1
            raise ListError(f"seq {version} is older than {self.version}; requesting the whole list")
        entries = self._read_entries(value["hosts"])
        if whole or cached:
            kept = {entry.name for entry in entries}
            self.replaced = [name for name in self.dial_addresses if name not in kept]
            for name in self.replaced:
                self._forget(name)
        else:
            self.replaced = []
        self.version = self.after = version
        nodes = []
        for entry in entries:
            state = self._effective_state(entry.name, entry.start_ms, entry.state, older or cached)
            nodes.append(self._apply(entry, state, now_ms, wall_ms))
        used_keys = set(self._zone_keys.values())
        self._extra_zones = {key: number for key, number in self._extra_zones.items() if key in used_keys}
        kind = ListKind.CACHED if cached else ListKind.COMPLETE if whole else ListKind.CHANGES
        return NodeList(kind, tuple(nodes))

    def _read_entries(self, values: list[Any]) -> list[ServerEntry]:
        """Return the usable entries, and the last usable ones of servers that have no usable one.

        Raises ListError if there are entries and none is usable.
        """
        entries, kept, self.rejected_entries = [], [], []
        for index, value in enumerate(values):
            try:
                entries.append(self._parse_entry(value, f"hosts[{index}]"))
            except ListError as exc:
                self.rejected_entries.append(str(exc))
                kept.extend(self._last_entry(value))
        if self.rejected_entries and not entries:
            raise ListError(f"no entry can be used; the first: {self.rejected_entries[0]}")
        usable_names = {entry.name for entry in entries}
        return entries + [entry for entry in kept if entry.name not in usable_names]

    def _last_entry(self, value: Any) -> list[ServerEntry]:
        """Return the last usable entry of the server that an unusable one names, if there is one.

        If a drain can be read from the unusable one, it counts: nothing new may be sent to that server.
        """
        name = value.get("host") if isinstance(value, dict) else None
        entry = self._entries.get(name) if isinstance(name, str) else None
        if entry is None:
            return []
        state = STATE_BY_HEALTH.get(str(value.get("health")))
        if state in (NodeState.DRAINING, NodeState.GONE):
            entry = replace(entry, state=state)
        return [entry]

    def _apply(self, entry: ServerEntry, state: NodeState, now_ms: float, wall_ms: float) -> Node:
        """Take an entry over, with the state that is valid, and return its node for the report."""
        name, start_ms = entry.name, entry.start_ms
        zone = self._zone_number(name, entry.site)
        start = self._starts.get(name)
        is_replaced = start is not None and (
            start[0] != start_ms or self.dial_addresses.get(name) != entry.dial_address
        )
        if is_replaced or state is NodeState.GONE:
            self.replaced.append(name)
        # A start time is converted to the scheduler's clock once, when it is first reported: a step of the
        # wall clock must not make a cold server count as warm, nor a warm one as cold.
        if start is None or start[0] != start_ms:
            start = (start_ms, now_ms - max(0.0, wall_ms - start_ms) if start_ms else 0.0)
        if state is NodeState.GONE:
            self._forget(name)
        else:
            self._entries[name] = replace(entry, state=state)
            self._starts[name] = start
            self.dial_addresses[name] = entry.dial_address
        return Node(name, entry.shard, zone, start[1], state)

    def _forget(self, name: str) -> None:
        """Forget a server that is not listed any more, but for its drain."""
        self._entries.pop(name, None)
        self._starts.pop(name, None)
        self.dial_addresses.pop(name, None)
        self._zone_keys.pop(name, None)

    def _effective_state(self, name: str, start_ms: float, state: NodeState, may_be_stale: bool) -> NodeState:
        """Record the reported state of a server's start and return the valid one.

        A list that may be stale does not revoke a drain.
        """
        start = (name, start_ms)
        if may_be_stale and state is not NodeState.GONE:
            state = self._not_ready.get(start, state)
        if state is NodeState.READY:
            self._not_ready.pop(start, None)
        else:
            self._not_ready[start] = state
            self._not_ready.move_to_end(start)
            while len(self._not_ready) > MOST_TOLD:
                self._not_ready.popitem(last=False)
        return state

    def _parse_entry(self, value: Any, place: str) -> ServerEntry:
        if not isinstance(value, dict):
            raise ListError(f"{place} is not an object")
        name, site = value.get("host"), value.get("site")
        if not isinstance(name, str) or not name:
            raise ListError(f"{place}.host is missing or not a name")
        state = STATE_BY_HEALTH.get(str(value.get("health")))
        if state is None:
            raise ListError(f"{place}.health: unknown word {describe_value(value.get('health'))}")
        try:
            shard = whole_number(value.get("block"), f"{place}.block", maximum=MAX_SHARD)
            start_ms = epoch_ms(value.get("born_ms", 0), f"{place}.born_ms")
        except FieldError as exc:
            raise ListError(str(exc)) from None
        try:
            dial_address = address(str(value.get("dial")), f"{place}.dial")
        except ConfigError as exc:
            if state is not NodeState.GONE:
                raise ListError(str(exc)) from None
            dial_address = ("", 0)
        return ServerEntry(name, dial_address, shard, "" if site is None else str(site), state, start_ms)

    def _zone_number(self, name: str, site: str) -> int:
        """Return the number of a server's zone.

        A keyed request may be repeated only within its zone, so that two zones must never share a number.  A
        zone that the settings do not name gets a number of its own, kept as long as a server has it.  No
        number is assigned twice, as an attempt may remember the zone of a server that is long gone.
        """
        number = self.zones.get(site)
        if number is None and not site and not self.zones:
            number = 0  # there are no zones
        if number is not None:
            self._zone_keys.pop(name, None)
            return number
        # The location of a server without a zone is unknown: each counts as a zone of its own.
        key = self._zone_keys[name] = f"site {site}" if site else f"host {name}"
        if key not in self._extra_zones:
            self._extra_zones[key] = self._next_zone
            self._next_zone += 1
        return self._extra_zones[key]
