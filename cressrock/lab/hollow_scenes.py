"""What happens to hollow processes, and what it cost: scenes that return figures.

Each takes a size and a clock of processor time, and returns its figures by name, with their units.  Figures
are per running process and second unless their unit says otherwise.  `cpu` is the processor time of the
whole simulation over processes and simulated seconds: the state machines and bytes of a process, and the
simulated network beside them, without sockets, tasks and system calls.
"""

from __future__ import annotations

import math
import random
import statistics
from collections.abc import Callable, Iterable

from cressrock.consensus.decision_gossip import DecisionPublisher
from cressrock.consensus.decisions import Decision
from cressrock.gossip.messages import EntryKey, EntryKind, Origin
from cressrock.lab.hollow import ZONES, Hollow, HollowFleet, Size
from cressrock.membership.events import Event, MemberDead

Clock = Callable[[], float]  # seconds of processor time
Figures = dict[str, tuple[float, str]]

WORD = EntryKey(EntryKind.VALUE, "zones/0")
WRITES_S = 0.18  # of each edge, while anybody accuses any zone: 40 a second of 230
WORD_BYTES = 100
ROUND_MS = 200.0
BEAT_MS = 500.0  # a council's leader renews so often
STANDING = 96  # decrees that stand: two pieces of a beat
DECREE_BYTES = 120
BUSIEST_S = 63 / 60  # 9,100 changes of configuration a day, ten times the mean
DAY_MS = 86_400_000.0
RESTARTS = (2500 + 57) / 4800  # of each process in a day
PRESSED_MS = 300_000.0  # into which a day's are pressed


def quantile(values: Iterable[float], part: float) -> float:
    """Return the value below which a part lies; 0 of nothing."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(len(ordered) * part) - 1)] if ordered else 0.0


def _span(fleet: HollowFleet, until_ms: float, clock: Clock) -> Figures:
    """Run to a time and return what was sent, and what it cost, since now."""
    fleet.mark()
    begun, at = clock(), fleet.now
    fleet.run(until_ms)
    spent, span = clock() - begun, (fleet.now - at) / 1000
    sent, messages = fleet.sent()
    running = len(sent)
    found: Figures = {
        "sent_bytes_s": (statistics.fmean(sent), "B/s"),
        "sent_bytes_s_most": (sent[-1], "B/s"),
        "messages_s": (statistics.fmean(messages), "1/s"),
        "messages_s_most": (messages[-1], "1/s"),
        "cpu": (100 * spent / running / span, "% of a core"),
        "datagram_most": (float(max(host.greatest for host in fleet.members)), "B"),
    }
    for kind in ("digest", "delta"):
        if kind in fleet.by_kind:
            found[f"{kind}_bytes_s"] = (fleet.by_kind[kind][0] / running / span, "B/s")
    return found


def _quiet(fleet: HollowFleet) -> None:
    """Keep no list of each observer's events."""
    fleet.told = lambda host, event: None


def members_calm(size: Size, clock: Clock, *, warm_ms: float = 3000, span_ms: float = 10_000) -> Figures:
    """Members alone, nothing happens."""
    fleet = HollowFleet(size)
    _quiet(fleet)
    fleet.run(warm_ms)
    return _span(fleet, fleet.now + span_ms, clock)


class _Fall:
    """Times from a loss until each observer holds each of the lost gone, in whole and by pairs."""

    def __init__(self, fleet: HollowFleet, lost: Iterable[Hollow]) -> None:
        self.fleet = fleet
        self.lost = {host.name for host in lost}
        self.at = fleet.now
        self.waits: list[float] = []
        self.false = 0
        fleet.told = self.told

    def told(self, host: Hollow, event: Event) -> None:
        """Take an observer's event."""
        if isinstance(event, MemberDead):
            if event.name in self.lost:
                self.waits.append(self.fleet.now - self.at)
            else:
                self.false += 1

    def figures(self) -> Figures:
        """Return delays over pairs of the lost and observers."""
        living = sum(host.up for host in self.fleet.members)
        return {
            "gone_ms_median": (quantile(self.waits, 0.5), "ms"),
            "gone_ms_p99": (quantile(self.waits, 0.99), "ms"),
            "gone_ms_last": (max(self.waits, default=0.0), "ms"),
            "pairs_missing": (1 - len(self.waits) / (living * len(self.lost)), "part of pairs"),
            "false_gone": (float(self.false), "pairs"),
        }


def members_lost(
    size: Size, clock: Clock, lost: int, *, warm_ms: float = 3000, span_ms: float = 10_000, back: bool = False
) -> Figures:
    """So many processes of one zone end at once; with `back` they start together in new lives afterwards."""
    fleet = HollowFleet(size)
    fleet.run(warm_ms)
    gone = [host for host in fleet.members if host.zone == "zone-0"][:lost]
    fall = _Fall(fleet, gone)
    for host in gone:
        fleet.kill(host)
    found = _span(fleet, fleet.now + span_ms, clock) | fall.figures()
    _quiet(fleet)
    if back:
        for host in gone:
            fleet.restart(host, fleet.random.random() * 1000)
        at = fleet.now
        again = _span(fleet, fleet.now + span_ms, clock)
        found |= {f"back_{name}": value for name, value in again.items()}
        done = fleet.run(at + 40_000, fleet.one_view, 500.0)
        found["back_one_view_ms"] = (fleet.now - at if done else math.inf, "ms")
    return found


def members_restarts(size: Size, clock: Clock, *, warm_ms: float = 3000, span_ms: float = 15_000) -> Figures:
    """A day's restarts pressed into five minutes: most leave in order, one in 45 ends without a word."""
    fleet = HollowFleet(size)
    _quiet(fleet)
    draw = random.Random(f"{size.seed} restarts")

    def one() -> None:
        fleet.after(draw.expovariate(RESTARTS * size.n / PRESSED_MS), one)
        host = draw.choice(fleet.members)
        if not host.up or host.members.leaving:
            return
        if draw.random() < 57 / 2557:
            fleet.restart(host, 5000.0)
            return
        host.members.leave(fleet.now)
        fleet._after(host)
        fleet.after(
            fleet.settings.protocol_period_ms, lambda: fleet.restart(host, 1500.0) if host.up else None
        )

    one()
    fleet.run(warm_ms)
    return _span(fleet, fleet.now + span_ms, clock)


def members_regions(size: Size, clock: Clock, *, apart_ms: float = 10_000) -> Figures:
    """The regions lose each other, and meet again; what of an hour passes while nothing changes is calm."""
    fleet = HollowFleet(size)
    _quiet(fleet)
    fleet.run(3000)
    region = {host.name: host.region for host in fleet.members}
    fleet.open = lambda one, other: region[one] == region[other]
    found = {f"cut_{name}": value for name, value in _span(fleet, fleet.now + apart_ms, clock).items()}
    fleet.open = lambda one, other: True
    at = fleet.now
    fleet.mark()
    begun = clock()
    done = fleet.run(at + 40_000, fleet.one_view, 250.0)
    sent, _ = fleet.sent()
    span = (fleet.now - at) / 1000
    found["healed_one_view_ms"] = (fleet.now - at if done else math.inf, "ms")
    found["healed_sent_bytes_s"] = (statistics.fmean(sent), "B/s")
    found["healed_sent_bytes_s_most"] = (sent[-1], "B/s")
    found["healed_cpu"] = (100 * (clock() - begun) / size.n / span, "% of a core")
    return found


# --- the spread


def _words(fleet: HollowFleet) -> None:
    for host in fleet.members:
        assert host.spread is not None
        host.spread.put(WORD.key, fleet.random.randbytes(WORD_BYTES))


def spread_quiet(size: Size, clock: Clock, *, warm_ms: float = 3000, span_ms: float = 10_000) -> Figures:
    """Members and spread; everybody holds a word of everybody, and nothing is written."""
    fleet = HollowFleet(size)
    _quiet(fleet)
    _words(fleet)
    fleet.settle()
    fleet.run(warm_ms)
    return _span(fleet, fleet.now + span_ms, clock)


class _Lag:
    """How far readers are behind writers' words, in rounds of gossip: 0 where they hold the newest."""

    def __init__(self, fleet: HollowFleet) -> None:
        self.fleet = fleet
        self.written: dict[Origin, list[float]] = {}
        self.begun: dict[Origin, int] = {}
        self.lags: list[int] = []
        for host in fleet.members:
            assert host.spread is not None
            self.written[host.spread.local] = []
            self.begun[host.spread.local] = host.spread.known_version(host.spread.local)

    def write(self, host: Hollow) -> None:
        """Let a process write its next word."""
        assert host.spread is not None
        host.spread.put(WORD.key, self.fleet.random.randbytes(WORD_BYTES))
        self.written[host.spread.local].append(self.fleet.now)

    def look(self, readers: Iterable[Hollow]) -> None:
        """Count how far these are behind each writer."""
        now = self.fleet.now
        for reader in readers:
            assert reader.spread is not None
            states = reader.spread.table.states
            for origin, times in self.written.items():
                state = states.get(origin)
                entry = state.entries.get(WORD) if state is not None else None
                at = entry.version - self.begun[origin] if entry is not None else 0
                late = now - times[at] if 0 <= at < len(times) else 0.0
                self.lags.append(int(late // ROUND_MS))


class _Decrees:
    """Seats that tell decrees and beats as theirs do, and when each process took which number."""

    def __init__(self, fleet: HollowFleet, seats: int, standing: int) -> None:
        self.fleet = fleet
        step = max(1, fleet.size.n // seats)
        self.seats = [fleet.members[number * step] for number in range(seats)]
        self.tellers = [DecisionPublisher(640 - 32) for _ in self.seats]
        self.value = fleet.random.randbytes(DECREE_BYTES)
        self.number = 1_790_000_000_000
        topics = [f"sync/shard-{at:04d}" for at in range(standing)]
        self.standing = {topic: self._decree(topic) for topic in topics}
        self.at: dict[int, float] = {}
        self.waits: dict[int, dict[str, float]] = {}  # number -> process -> ms until it first took it
        self.beat = 1 << 32
        self._tell(range(len(self.seats)), 0)
        fleet.took = self.took

    def _decree(self, topic: str) -> Decision:
        self.number += 1
        return Decision(topic, self.number, self.value, 10_000.0)

    def _tell(self, seats: Iterable[int], beat: int) -> None:
        for seat in seats:
            spread = self.seats[seat].spread
            assert spread is not None
            for change in self.tellers[seat].publish(self.standing.values(), beat):
                if change.value is None:
                    spread.remove(change.key)
                else:
                    spread.put(change.key, change.value)

    def renew(self) -> None:
        """Tell a beat, and again every half second: the first seat leads."""
        self.beat += 1
        self._tell([0], self.beat)
        self.fleet.after(BEAT_MS, self.renew)

    def decide(self) -> None:
        """Let another decree stand: each seat tells it once it has applied it."""
        topic = self.fleet.random.choice(sorted(self.standing))
        decree = self.standing[topic] = self._decree(topic)
        self.at[decree.version], self.waits[decree.version] = self.fleet.now, {}
        for seat in range(len(self.seats)):
            self.fleet.after(self.fleet.random.uniform(5, 50), self._tell, [seat], 0)

    def took(self, host: Hollow, decree: Decision) -> None:
        """Note when a process first took a decree."""
        begun = self.at.get(decree.version)
        if begun is not None:
            self.waits[decree.version].setdefault(host.name, self.fleet.now - begun)

    def figures(self) -> Figures:
        """Return delays over pairs of decree and process; who never took one counts as missing."""
        seats = {seat.name for seat in self.seats}
        living = [host.name for host in self.fleet.members if host.up and host.name not in seats]
        pairs = len(living) * len(self.waits)
        # Who never took one has waited until now at least, and counts as missing too.
        now = self.fleet.now
        late = [now - self.at[n] for n, held in self.waits.items() for name in living if name not in held]
        waits = [held[name] for held in self.waits.values() for name in living if name in held] + late
        return {
            "decree_ms_median": (quantile(waits, 0.5), "ms"),
            "decree_ms_p99": (quantile(waits, 0.99), "ms"),
            "decree_missing": (len(late) / max(1, pairs), "part of pairs"),
        }


def spread_evidence(
    size: Size, clock: Clock, *, warm_ms: float = 9000, span_ms: float = 4000, decrees: int = 4
) -> Figures:
    """Each edge writes its evidence as while anybody accuses any zone; a few decrees beside it."""
    fleet = HollowFleet(size)
    _quiet(fleet)
    _words(fleet)
    council = _Decrees(fleet, size.seats, 0)
    fleet.settle()
    council.standing = {}
    lag = _Lag(fleet)
    draw = random.Random(f"{size.seed} evidence")
    gap = 1000 / WRITES_S

    def write(host: Hollow) -> None:
        lag.write(host)
        fleet.after(gap, write, host)

    for host in fleet.members:
        fleet.after(draw.random() * gap, write, host)
    readers = draw.sample(fleet.members, min(size.n, 32))
    fleet.run(warm_ms)
    for at in range(int(span_ms // 1000)):
        fleet.after(1000.0 * (at + 1) - 1, lag.look, readers)
    council.standing = {"zones": council._decree("zones")}
    for at in range(decrees):
        fleet.after(at * span_ms / 2 / decrees, council.decide)
    found = _span(fleet, fleet.now + span_ms, clock)
    found["lag_rounds_median"] = (float(statistics.median(lag.lags)), "rounds")
    found["lag_rounds_p99"] = (quantile(lag.lags, 0.99), "rounds")
    found["lag_rounds_most"] = (float(max(lag.lags)), "rounds")
    return found | council.figures()


def spread_changes(
    size: Size,
    clock: Clock,
    *,
    rate_s: float = BUSIEST_S,
    warm_ms: float = 3000,
    span_ms: float = 8000,
    tail_ms: float = 5000,
    lost: int = 0,
    standing: int = STANDING,
) -> Figures:
    """Decrees at the day's busiest minute, with beats; `lost` processes of a zone end as it begins."""
    fleet = HollowFleet(size)
    _quiet(fleet)
    _words(fleet)
    council = _Decrees(fleet, size.seats, standing)
    fleet.settle()
    council.renew()
    fleet.run(warm_ms)
    sitting = {host.name for host in council.seats}
    for host in [one for one in fleet.members if one.zone == "zone-1" and one.name not in sitting][:lost]:
        fleet.kill(host)
    for at in range(round(rate_s * span_ms / 1000)):
        fleet.after(at * 1000 / rate_s, council.decide)
    found = _span(fleet, fleet.now + span_ms, clock)
    fleet.run(fleet.now + tail_ms)
    return found | (council.figures() if council.waits else {})


def spread_beats(size: Size, clock: Clock) -> Figures:
    """Nothing is decided; the leader renews eight decrees that stand."""
    return spread_changes(size, clock, rate_s=0.0, standing=8, tail_ms=0.0)


def spread_primaries(size: Size, clock: Clock, *, lost: bool = True) -> Figures:
    """Eleven changes of primary, one a second, as a zone is lost."""
    return spread_changes(size, clock, rate_s=1.0, span_ms=11_000.0, lost=size.n // ZONES if lost else 0)
