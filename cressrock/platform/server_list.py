"""The platform's list of storage servers: turns discovery's answers into reports for the scheduler.  Pure."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

from cressrock.interface import ListKind, Node, NodeList, NodeState
from cressrock.platform.config import ConfigError, address

STATE_BY_HEALTH = {"active": NodeState.READY, "leaving": NodeState.DRAINING, "left": NodeState.GONE}


MOST_TOLD = 16384  # as many as the ledger holds servers: 10,000 at the planned size, and earlier starts


class ListError(ValueError):
    """An answer of discovery that cannot be used; the text names the place in it."""


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
        self._starts: dict[str, tuple[float, float]] = {}  # start in Unix time and on the scheduler's clock
        # The reported state of a server's start, where it is not ready: draining or gone.
        self._not_ready: OrderedDict[tuple[str, float], NodeState] = OrderedDict()
        self._zone_keys: dict[str, str] = {}  # by host, for servers whose zone the settings do not name
        self._extra_zones: dict[str, int] = {}  # the numbers of those zones
        self._next_zone = max(1, len(zones))  # the next such number; 0 also means that there are no zones

    def receive(self, value: Any, now_ms: float, wall_ms: float, *, cached: bool = False) -> NodeList:
        """Apply an answer; `now_ms` and `wall_ms` are the scheduler's clock and Unix time at one instant.

        An unusable entry is ignored, so that it does not hide a drain reported beside it.  Raises ListError,
        and leaves the list unchanged, if no entry is usable or the answer is malformed or older than the
        list.  After an older answer the whole list is requested and accepted with any version: otherwise a
        discovery that restarted its version count would be ignored for ever.  Such a list does not revoke a
        drain: a server that drained or left stays so until it starts again.
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
        entries, self.rejected_entries = [], []
        for index, entry in enumerate(value["hosts"]):
            try:
                entries.append(self._parse_entry(entry, f"hosts[{index}]"))
            except ListError as exc:
                self.rejected_entries.append(str(exc))
        if self.rejected_entries and not entries:
            raise ListError(f"no entry can be used; the first: {self.rejected_entries[0]}")
        if whole or cached:
            kept = {name for name, *_ in entries}
            self.replaced = [name for name in self.dial_addresses if name not in kept]
            for name in self.replaced:
                del self.dial_addresses[name]
                self._starts.pop(name, None)
                self._zone_keys.pop(name, None)
        else:
            self.replaced = []
        self.version = self.after = version
        nodes = []
        for name, dial, shard, site, state, start_ms in entries:
            state = self._effective_state(name, start_ms, state, older or cached)
            zone = self._zone_number(name, site)
            start = self._starts.get(name)
            is_replaced = start is not None and (
                start[0] != start_ms or self.dial_addresses.get(name) != dial
            )
            if is_replaced or state is NodeState.GONE:
                self.replaced.append(name)
            # A start time is converted to the scheduler's clock once, when it is first reported: a step of
            # the wall clock must not make a cold server count as warm, nor a warm one as cold.
            if start is None or start[0] != start_ms:
                start = (start_ms, now_ms - max(0.0, wall_ms - start_ms) if start_ms else 0.0)
            if state is NodeState.GONE:
                self._starts.pop(name, None)
                self.dial_addresses.pop(name, None)
                self._zone_keys.pop(name, None)
            else:
                self._starts[name] = start
                self.dial_addresses[name] = dial
            nodes.append(Node(name, shard, zone, start[1], state))
        used_keys = set(self._zone_keys.values())
        self._extra_zones = {key: number for key, number in self._extra_zones.items() if key in used_keys}
        kind = ListKind.CACHED if cached else ListKind.COMPLETE if whole else ListKind.CHANGES
        return NodeList(kind, tuple(nodes))

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

    def _parse_entry(self, entry: Any, place: str) -> tuple[str, tuple[str, int], int, str, NodeState, float]:
        if not isinstance(entry, dict):
            raise ListError(f"{place} is not an object")
        name, dial, shard = entry.get("host"), entry.get("dial"), entry.get("block")
        if not isinstance(name, str) or not name:
            raise ListError(f"{place}.host is missing or not a name")
        if isinstance(shard, bool) or not isinstance(shard, int) or shard < 0:
            raise ListError(f"{place}.block is missing, negative or not a whole number")
        state = STATE_BY_HEALTH.get(str(entry.get("health")))
        if state is None:
            raise ListError(f"{place}.health: unknown word {entry.get('health')!r}")
        try:
            dial_address = address(str(dial), f"{place}.dial")
        except ConfigError as exc:
            if state is not NodeState.GONE:
                raise ListError(str(exc)) from None
            dial_address = ("", 0)
        born = entry.get("born_ms", 0)
        # NaN is rejected too: as it differs from itself, its server would count as restarted with every list.
        if isinstance(born, bool) or not isinstance(born, (int, float)) or not 0 <= born < float("inf"):
            raise ListError(f"{place}.born_ms is not a Unix time in milliseconds")
        site = entry.get("site")
        return name, dial_address, shard, "" if site is None else str(site), state, float(born)

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
