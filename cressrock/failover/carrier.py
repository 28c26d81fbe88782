"""The zones' carrier: an edge's evidence into the spread and decrees into its choice; the leader's verdicts.

No choice is made here, and nothing waits for it: without the spread or the council an edge goes on alone.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, cast

import anyio
import msgspec

from cressrock.aggregation.channel import EvidenceChannel
from cressrock.consensus.decisions import Decision, Expired
from cressrock.dispatch.driver import Driver
from cressrock.dispatch.ledger import Attempt
from cressrock.dispatch.transport import AttemptHandle, AttemptResult, Call, Transport
from cressrock.errors import CressrockError
from cressrock.errors.consensus import DecisionConflictError, NoQuorumError
from cressrock.errors.failover import FailoverError, WriteMoveRejectedError
from cressrock.failover import decision
from cressrock.failover.decision import FailoverSettings
from cressrock.failover.evaluation import EvaluationMemory, evaluate, evaluate_reports, record_decision
from cressrock.failover.evidence import MAX_CHUNKS, REPORT_KEY_PREFIX, FleetEvidence, Origin
from cressrock.failover.routing import ZoneRouter
from cressrock.failover.summary import ReportSummarizer, SummaryView, ZoneMember, decode_zone_loads
from cressrock.http.channel import Headers
from cressrock.http.server import Exchange
from cressrock.interface import Node
from cressrock.membership.packets import MemberState as Life
from cressrock.membership.types import Member

MAX_ASKED = 4096  # bytes of a question to the admin port
ROOM = "zones"  # the name under which sums go down


class Gossip(Protocol):
    """What is asked of the spread."""

    local: Origin

    def put(self, key: str, value: bytes) -> None:
        """Set an own entry."""

    def remove(self, key: str) -> None:
        """Remove an own entry."""

    def values(self, key: str) -> dict[Origin, bytes]:
        """Return the value of each origin."""

    def value_of(self, key: str, origin: Origin) -> bytes | None:
        """Return the value of one."""


class Kept(Protocol):
    """What is asked of the decrees' reader."""

    def get(self, topic: str) -> Decision | Expired | None:
        """Return what counts now."""


class Deciding(Protocol):
    """What is asked of the council."""

    async def decide(
        self, topic: str, value: bytes, lease_ms: float, if_version: int | None = None
    ) -> Decision:
        """Let a value stand.  Raises Conflict, NoQuorum and others of the council."""

    async def read(self, topic: str) -> Decision | None:
        """Return what stands.  Raises NoQuorum."""


class Runtime(Protocol):
    """What the zones stand on; `cressrock.runtime.Ground` is one."""

    on_gossip_change: list[Callable[[Origin, str], None]]

    @property
    def gossip(self) -> Gossip:
        """The spread."""

    @property
    def decision_cache(self) -> Kept:
        """The decrees' reader."""

    @property
    def consensus(self) -> Deciding | None:
        """The way to the council; None without one in the settings."""

    @property
    def is_leader(self) -> bool:
        """Whether this process's seat leads, as far as it knows."""

    @property
    def evidence(self) -> EvidenceChannel:
        """The way that evidence takes."""

    def members(self) -> tuple[Member, ...]:
        """Return this process's view."""


class _Seen:
    """One attempt, whose end is told as it passes."""

    __slots__ = ("call", "told")

    def __init__(self, call: Call, told: Callable[[Call, AttemptResult], None]) -> None:
        self.call, self.told = call, told

    @property
    def op(self) -> Any:
        return self.call.op

    @property
    def label(self) -> str:
        return self.call.label

    @property
    def attempt(self) -> Attempt:
        return self.call.attempt

    @property
    def deadline(self) -> float:
        return self.call.deadline

    @property
    def leave_by(self) -> float:
        return self.call.leave_by

    def may_leave(self) -> bool:
        return self.call.may_leave()

    def begin(self, reply: Any) -> bool:
        return self.call.begin(reply)

    def end(self, ending: AttemptResult) -> None:
        self.told(self.call, ending)
        self.call.end(ending)


class Counting:
    """A transport that tells how each attempt ended; else the one it wraps."""

    def __init__(self, inner: Transport, told: Callable[[Call, AttemptResult], None]) -> None:
        """`told` gets each attempt and its ending, before the driver does."""
        self.inner, self.told = inner, told

    def start(self, call: Call) -> AttemptHandle:
        """Begin an attempt."""
        return self.inner.start(_Seen(call, self.told))


class EvidenceFeed:
    """What was heard by the spread, kept up to date."""

    def __init__(self, settings: FailoverSettings, ground: Runtime, clock: Callable[[], float]) -> None:
        self.ground, self.clock = ground, clock
        self.evidence = FleetEvidence(settings)
        self._of: tuple[Member, ...] | None = None
        self._who: list[ZoneMember] = []
        self._alive: set[Origin] = set()
        ground.on_gossip_change.append(self.on_gossip_change)

    def on_gossip_change(self, origin: Origin, key: str) -> None:
        """Take a changed entry; an empty key says that anything may have changed."""
        now = self.clock()
        if key:
            if key.startswith(REPORT_KEY_PREFIX):
                # Of this origin alone: looking at everybody for each change is n squared in all.
                self._take(key, origin, self.ground.gossip.value_of(key, origin), now)
            return
        for one in (f"{REPORT_KEY_PREFIX}{n}" for n in range(MAX_CHUNKS)):
            for who, value in self.ground.gossip.values(one).items():
                self._take(one, who, value, now)

    def _take(self, key: str, origin: Origin, value: bytes | None, now: float) -> None:
        self.evidence.receive(origin, key, value, now)
        self.ground.evidence.receive_gossip(origin, key, value)

    def alive(self) -> list[ZoneMember]:
        """Return the members, and forget the words of those who are not surely alive."""
        found = self.ground.members()
        if found is not self._of:  # of thousands this is not made anew at each look
            self._of = found
            self._who = [
                ZoneMember((m.name, m.process_incarnation), m.zone, m.state is Life.ALIVE, m.role == "edge")
                for m in found
            ]
            self._alive = {w.origin for w in self._who if w.alive}
        self.evidence.retain(self._alive)
        return self._who


class EdgeFailover:
    """An edge's part: `choice` is what is asked where a read goes."""

    def __init__(
        self,
        choice: ZoneRouter,
        ground: Runtime,
        clock: Callable[[], float],
        zone_of: Callable[[Node], str],
        log: Any,
    ) -> None:
        """`zone_of` names a listed node's zone; `clock` gives monotonic ms."""
        self.router, self.ground, self.clock, self.zone_of, self.log = choice, ground, clock, zone_of, log
        self.feed = EvidenceFeed(choice.settings, ground, clock)
        self.unreadable_broadcasts = 0  # what came down and could not be read

    def watch(self, driver: Driver) -> None:
        """Count the attempts of a driver from now on."""
        driver.transport = Counting(driver.transport, self._ended)

    def _ended(self, call: Call, ending: AttemptResult) -> None:
        zone = self.zone_of(call.attempt.node)
        self.router.record_attempt(zone, call.op.units, ending.outcome, self.clock(), ending.latency_ms)

    async def run(self) -> None:
        """Serve until cancelled."""
        while True:
            now = self.clock()
            for topic in (decision.TOPIC, decision.WRITE_MOVE_TOPIC):
                self.router.apply_decision(topic, self.ground.decision_cache.get(topic), now)
            self.feed.alive()
            self.router.update_zone_loads(self._loads(now))
            evidence = self.ground.evidence
            stir = (
                self.router.wants_evidence()
                or evidence.is_evidence_requested()
                or self.feed.evidence.is_any_zone_accused(now)
            )
            for change in self.router.evidence.due_updates(
                now, stir, evidence.update_interval_ms(), evidence.min_interval_ms()
            ):
                evidence.publish(change.key, change.value)
            await anyio.sleep(self.router.settings.beat_ms / 2000)

    def _loads(self, now: float) -> dict[str, float]:
        """Return the zones' own work: as it came down from a collector, else as all told it here."""
        down = self.ground.evidence.broadcast(ROOM)
        if down:
            try:
                return decode_zone_loads(down)
            except FailoverError:
                self.unreadable_broadcasts += 1
        return self.feed.evidence.zone_loads(now)

    def status(self) -> dict[str, Any]:
        """Return plain values for an admin port."""
        untold = self.ground.evidence.unsent
        return {**self.router.status(), **self.feed.evidence.status(self.clock()), "untold": untold}


class FailoverLeader:
    """A planner's part: while its seat leads, verdicts become decrees."""

    def __init__(
        self,
        settings: FailoverSettings,
        ground: Runtime,
        hold_ms: float,
        clock: Callable[[], float],
        log: Any,
    ) -> None:
        """`hold_ms`: how long a verdict counts without renewal."""
        self.settings, self.ground, self.hold_ms, self.clock, self.log = settings, ground, hold_ms, clock, log
        self.feed = EvidenceFeed(settings, ground, clock)
        self.summarizer = ReportSummarizer(settings)
        ground.evidence.summarizers.add(ROOM, self.summarizer)
        self.memory = EvaluationMemory()
        self.summed = False  # whether the last look was at collectors' sums
        self.decided = 0
        self.problems: dict[str, int] = {}  # by error code
        self._number, self._standing = -1, cast("decision.FailoverDecision | None", None)

    async def run(self) -> None:
        """Serve until cancelled."""
        while True:
            await anyio.sleep(self.settings.look_ms / 1000)
            self._stands()
            self.feed.alive()
            council = self.ground.consensus
            if council is None or not self.ground.is_leader:
                continue
            try:
                # What stands is read of the council itself: a former leader's last word may not be here yet.
                await council.read(decision.TOPIC)
                self.memory = EvaluationMemory()
                await self._lead(council)
            except CressrockError as wrong:
                self._problem(wrong)

    async def _lead(self, council: Deciding) -> None:
        while self.ground.is_leader:
            members = self.feed.alive()
            decree = self._stands()
            now = self.clock()
            standing = decision.decode(decree.value) if decree is not None else None
            wanted = self._look(members, standing, now)
            if wanted is not None:
                await self._decide(council, wanted, decree.version if decree is not None else 0, now)
            await anyio.sleep(self.settings.look_ms / 1000)

    def _stands(self) -> Decision | None:
        """Return the decree that stands, counting or not, and let the sums know of it."""
        found = self.ground.decision_cache.get(decision.TOPIC)
        decree = found.decision if isinstance(found, Expired) else found
        if decree is None or decree.version != self._number:
            self._number = decree.version if decree is not None else -1
            try:
                self._standing = decision.decode(decree.value) if decree is not None else None
            except FailoverError:
                self._standing = None  # a newer program's: it is said where it is to be followed
        self.summarizer.apply_decision(self._standing, self.clock())
        return decree

    def _look(
        self, members: list[ZoneMember], standing: decision.FailoverDecision | None, now: float
    ) -> decision.FailoverDecision | None:
        """Judge by collectors' sums where anybody tells collectors; else by all words, as before."""
        collect = self.ground.evidence.collector
        summed = collect is not None and collect.is_active()
        if summed != self.summed:
            # Danger: marks of one way say nothing of the other's beats; a new memory is late, never early.
            self.summed, self.memory = summed, EvaluationMemory()
        beats = self.feed.evidence.latest_intervals()
        if collect is None or not summed:
            return evaluate_reports(
                self.settings, members, self.feed.evidence.reports(now), beats, standing, now, self.memory
            )
        chosen = collect.summaries.current(now)
        parts = {zone: taken.summary.sums for zone, taken in chosen.items()}
        view = SummaryView(self.settings, members, parts, {z: t.summary.senders for z, t in chosen.items()})
        return evaluate(self.settings, members, view, beats, standing, now, self.memory)

    async def _decide(
        self, council: Deciding, wanted: decision.FailoverDecision, number: int, now: float
    ) -> None:
        record_decision(self.memory, now)
        try:
            made = await council.decide(
                decision.TOPIC, decision.encode(wanted), self.hold_ms, if_version=number
            )
        except (DecisionConflictError, NoQuorumError) as wrong:
            self._problem(wrong)
            if isinstance(wrong, DecisionConflictError):
                await council.read(decision.TOPIC)
            return
        self.decided += 1
        self.log.warning(
            "zones decreed",
            number=made.version,
            want=wanted.evacuated_demand,
            room=wanted.spare_capacity,
            zones={
                e.zone: [decision.ZoneState(e.state).name, e.share, e.losses, e.blind_zones]
                for e in wanted.zones
            },
        )

    def _problem(self, wrong: CressrockError) -> None:
        first = wrong.code not in self.problems
        self.problems[wrong.code] = self.problems.get(wrong.code, 0) + 1
        if first:
            self.log.warning("zones not decided", **wrong.fields())

    def status(self) -> dict[str, Any]:
        """Return plain values for an admin port."""
        tallies = {
            zone: {
                "bad": dict(t.unreachable),
                "good": dict(t.reachable),
                "half": dict(t.degraded),
                "slow": t.slow,
                "suspect": t.suspects,
            }
            for zone, t in self.memory.witnesses.items()
        }
        return {
            "leads": self.ground.is_leader,
            "summed": self.summed,
            "decided": self.decided,
            "problems": dict(self.problems),
            "tallies": tallies,
            **self.feed.evidence.status(self.clock()),
        }


class _Asked(msgspec.Struct, forbid_unknown_fields=True, rename={"source": "from", "target": "to"}):
    """The body of a question to move writes."""

    source: str
    target: str
    may_lose_ms: float = 0.0
    by: str = "operator"


_JSON: Headers = [(b"content-type", b"application/json")]


class FailoverAdmin:
    """POST /v1/zones/move on the admin port: {"from", "to", "may_lose_ms", "by"}."""

    def __init__(
        self,
        settings: FailoverSettings,
        ground: Runtime,
        hold_ms: float,
        status: Callable[[], dict[str, Any]],
        behind: Callable[[str, str], float | None] = lambda source, target: None,
    ) -> None:
        """`behind(source, target)`: ms that the target's copies are behind; None where nobody can tell."""
        self.settings, self.ground, self.hold_ms = settings, ground, hold_ms
        self.status, self.behind = status, behind

    async def handle(self, exchange: Exchange) -> None:
        """Answer /v1/zones/..."""
        path, method = exchange.head.target.split(b"?")[0], exchange.head.method
        if path == b"/v1/zones/status" and method == b"GET":
            await exchange.respond(200, _JSON, msgspec.json.encode(self.status()))
        elif path != b"/v1/zones/move":
            await exchange.respond(404, _JSON, b'{"error":"not-found"}')
        elif method != b"POST":
            await exchange.respond(405, [*_JSON, (b"allow", b"POST")], b'{"error":"only-post"}')
        else:
            status, answer = await self._move(await _body(exchange.read))
            await exchange.respond(status, _JSON, msgspec.json.encode(answer))

    async def _move(self, body: bytes | None) -> tuple[int, dict[str, Any]]:
        if body is None:
            return 413, {"error": "too-large"}
        try:
            asked = msgspec.json.decode(body, type=_Asked)
        except msgspec.DecodeError as wrong:
            return 400, {"error": "bad-request", "text": str(wrong)}
        council = self.ground.consensus
        move = decision.WriteMove(asked.source, asked.target, asked.may_lose_ms, asked.by)
        try:
            if not 0 <= move.max_loss_ms <= 1e12 or len(move.requested_by) > 128:
                raise WriteMoveRejectedError(
                    f"may_lose_ms {move.max_loss_ms!r} or by {move.requested_by[:40]!r} is out of bounds"
                )
            decision.check_write_move(self.settings.regions(), move, self.behind(move.source, move.target))
        except WriteMoveRejectedError as wrong:
            return 409, dict(wrong.fields())
        if council is None:
            return 503, {"error": "no-council", "text": "this process has no way to the council"}
        try:
            made = await council.decide(decision.WRITE_MOVE_TOPIC, decision.encode(move), self.hold_ms)
        except CressrockError as wrong:
            return 503, dict(wrong.fields())
        return 200, {
            "number": made.version,
            "from": move.source,
            "to": move.target,
            "may_lose_ms": move.max_loss_ms,
        }


async def _body(read: Callable[[], Awaitable[bytes]]) -> bytes | None:
    """Return a small body; None for a large one."""
    found = b""
    while data := await read():
        found += data
        if len(found) > MAX_ASKED:
            return None
    return found
