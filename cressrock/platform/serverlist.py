"""The platform's list of storage servers: discovery's answers in, reports for the scheduler out.  Pure."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

from cressrock.interface import ListKind, Node, NodeList, NodeState
from cressrock.platform.config import ConfigError, address

STATES = {"active": NodeState.READY, "leaving": NodeState.DRAINING, "left": NodeState.GONE}


MOST_TOLD = 16384  # as many servers as the ledger holds: 10,000 at the coming size, and starts before


class ListError(ValueError):
    """An answer of discovery that cannot be used; the text names the place in it."""


class ServerList:
    """The list as last accepted.  `host` names a server everywhere; `dial` is its address from here."""

    def __init__(self, zones: tuple[str, ...]) -> None:
        """`zones` are the settings' zone names, in their order."""
        self.zones = {name: index for index, name in enumerate(zones)}
        self.version = -1
        self.after = -1  # what the next call names as known
        self.dials: dict[str, tuple[str, int]] = {}
        self.moved: list[str] = []  # what the last answer gave another address or start, or took off
        self.left_out: list[str] = []  # what was wrong with entries of the last answer that were left out
        self._starts: dict[str, tuple[float, float]] = {}
        # What was told of a start of a server besides that it is ready: that it drains or has left.
        self._told: OrderedDict[tuple[str, float], NodeState] = OrderedDict()
        self._sites: dict[str, str] = {}  # of servers whose zone the settings do not name: what stands for it
        self._others: dict[str, int] = {}  # the numbers of those zones
        self._numbers = max(1, len(zones))  # given out so far; 0 also stands for having no zones at all

    def receive(self, value: Any, now_ms: float, wall_ms: float, *, cached: bool = False) -> NodeList:
        """Take in an answer; `now_ms` and `wall_ms` are the module's clock and Unix time at one instant.

        An entry that cannot be used is left out: one bad line must not hide a drain told beside it.  Raises
        ListError, and changes nothing of the list, where no entry can be used, the answer is malformed or
        older than what is held.  Danger: a discovery that began to count anew would never be heard again.
        So the whole list is asked for after an older answer, and taken with any version; but it un-tells no
        drain: what drained or left stays so until it starts again.
        """
        if not isinstance(value, dict) or not isinstance(value.get("hosts"), list):
            raise ListError("hosts is missing")
        version, whole = value.get("seq"), value.get("whole")
        if isinstance(version, bool) or not isinstance(version, int) or not isinstance(whole, bool):
            raise ListError("seq or whole is missing")
        older = version < self.version
        if older and not cached and not (whole and self.after < 0):
            self.after = -1
            raise ListError(f"seq {version} is older than {self.version}; the whole list is asked for")
        entries, self.left_out = [], []
        for index, entry in enumerate(value["hosts"]):
            try:
                entries.append(self._entry(entry, f"hosts[{index}]"))
            except ListError as wrong:
                self.left_out.append(str(wrong))
        if self.left_out and not entries:
            raise ListError(f"no entry can be used; {self.left_out[0]}")
        if whole or cached:
            kept = {name for name, *_ in entries}
            self.moved = [name for name in self.dials if name not in kept]
            for name in self.moved:
                del self.dials[name]
                self._starts.pop(name, None)
                self._sites.pop(name, None)
        else:
            self.moved = []
        self.version = self.after = version
        nodes = []
        for name, dial, shard, site, state, born in entries:
            state = self._stays(name, born, state, older or cached)
            zone = self._zone(name, site)
            known = self._starts.get(name)
            replaced = known is not None and (known[0] != born or self.dials.get(name) != dial)
            if replaced or state is NodeState.GONE:
                self.moved.append(name)
            # A start is put on the module's clock when it is first heard of: a wall clock that is stepped
            # must not make a cold server warm, nor a warm one cold.
            if known is None or known[0] != born:
                known = (born, now_ms - max(0.0, wall_ms - born) if born else 0.0)
            if state is NodeState.GONE:
                self._starts.pop(name, None)
                self.dials.pop(name, None)
                self._sites.pop(name, None)
            else:
                self._starts[name] = known
                self.dials[name] = dial
            nodes.append(Node(name, shard, zone, known[1], state))
        held = set(self._sites.values())
        self._others = {site: number for site, number in self._others.items() if site in held}
        kind = ListKind.CACHED if cached else ListKind.COMPLETE if whole else ListKind.CHANGES
        return NodeList(kind, tuple(nodes))

    def _stays(self, name: str, born: float, state: NodeState, doubtful: bool) -> NodeState:
        """Enter what is told of a start, and return what holds of it; a doubtful list un-tells nothing."""
        start = (name, born)
        if doubtful and state is not NodeState.GONE:
            state = self._told.get(start, state)
        if state is NodeState.READY:
            self._told.pop(start, None)
        else:
            self._told[start] = state
            self._told.move_to_end(start)
            while len(self._told) > MOST_TOLD:
                self._told.popitem(last=False)
        return state

    def _entry(self, entry: Any, place: str) -> tuple[str, tuple[str, int], int, str, NodeState, float]:
        if not isinstance(entry, dict):
            raise ListError(f"{place} is no object")
        name, dial, shard = entry.get("host"), entry.get("dial"), entry.get("block")
        if not isinstance(name, str) or not name:
            raise ListError(f"{place}.host is missing")
        if isinstance(shard, bool) or not isinstance(shard, int) or shard < 0:
            raise ListError(f"{place}.block is missing or no whole number")
        state = STATES.get(str(entry.get("health")))
        if state is None:
            raise ListError(f"{place}.health: unknown word {entry.get('health')!r}")
        try:
            reach = address(str(dial), f"{place}.dial")
        except ConfigError as wrong:
            if state is not NodeState.GONE:
                raise ListError(str(wrong)) from None
            reach = ("", 0)
        born = entry.get("born_ms", 0)
        # Danger: no number equals NaN, so its server would count as started anew with every list.
        if isinstance(born, bool) or not isinstance(born, (int, float)) or not 0 <= born < float("inf"):
            raise ListError(f"{place}.born_ms is no time")
        site = entry.get("site")
        return name, reach, shard, "" if site is None else str(site), state, float(born)

    def _zone(self, name: str, site: str) -> int:
        """Return the number of a server's zone.

        Danger: a keyed request may be repeated within its zone alone, so that two zones must never have one
        number.  A zone that the settings do not name gets one of its own, and no number is given twice: an
        attempt may remember a server that is long gone.  Numbers are kept as long as a server has them.
        """
        known = self.zones.get(site)
        if known is None and not site and not self.zones:
            known = 0  # there are no zones
        if known is not None:
            self._sites.pop(name, None)
            return known
        # Nobody knows where a server is that names no zone: each is in one of its own.
        key = self._sites[name] = f"site {site}" if site else f"host {name}"
        if key not in self._others:
            self._others[key] = self._numbers
            self._numbers += 1
        return self._others[key]
