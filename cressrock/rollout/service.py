"""A process's part in rollouts: a carrier.

It follows the decree, has the versions held that it names, tells what was counted, and asks the council for
the next step where its seat leads.  What is chosen is `stages`'s and `verdict`'s to say.
"""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Generic, Literal, Protocol, TypeVar

import anyio
import msgspec

from cressrock.aggregation.channel import EvidenceChannel
from cressrock.consensus import decisions as d
from cressrock.consensus.client import ConsensusClient
from cressrock.consensus.decision_cache import DecisionCache
from cressrock.errors import CressrockError
from cressrock.errors.consensus import ConsensusError
from cressrock.errors.rollout import InvalidRulesError, RolloutError, RolloutNotFoundError
from cressrock.gossip.store import GossipStore, Origin
from cressrock.rollout import evidence as e
from cressrock.rollout import lifecycle as s
from cressrock.rollout import verdict as v

V = TypeVar("V")
MAX_BODY = 4 * s.MAX_DOCUMENT_BYTES  # of a POST: a document may be written with blanks


class Exchange(Protocol):
    """A request to the admin port."""

    head: Any

    async def read(self) -> bytes:
        """Return some bytes of the body, b"" at its end."""

    async def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes = b"") -> None:
        """Send the answer."""


class ClusterRuntime(Protocol):
    """A process's common ground."""

    gossip: GossipStore
    decision_cache: DecisionCache
    consensus: ConsensusClient | None
    evidence: EvidenceChannel
    on_gossip_change: list[Callable[[Origin, str], None]]
    on_leaving: list[Callable[[], None]]

    @property
    def is_leader(self) -> bool:
        """Whether this process's seat leads."""


class VersionTables(Protocol[V]):
    """The versions of the rules that this process holds (`settings.rules.Tables`)."""

    own: V

    def get(self, digest: str) -> V | None:
        """Return a version; "" is the settings' own."""

    def check(self, data: bytes, good: str) -> tuple[bytes, s.RolloutPlan]:
        """Return canonical bytes and course of a new document.  Raises RolloutError."""

    def course(self, data: bytes) -> s.RolloutPlan:
        """Return a document's course.  Raises RolloutError."""

    def aim_ms(self, version: V, cls: int) -> float:
        """Return a class's aim."""

    def hold(self, now: float, documents: dict[str, bytes], good: str) -> list[str]:
        """Hold these; returns why some are not."""

    def held(self) -> tuple[str, ...]:
        """Return what is held beside the settings' own."""


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """One process's figures; times in milliseconds."""

    process_name: str
    zone: str
    classes: list[str]  # their names
    lease_ms: float  # of the decrees
    keep_file: str | None = None
    poll_interval_ms: float = 1000.0
    report_interval_ms: float = 2000.0
    max_starts: int = 3
    starts_window_ms: float = 600000.0


class Keep(msgspec.Struct, frozen=True):
    """What a process keeps over restarts: starts under a candidate, and the last good document."""

    starts: s.Starts = s.Starts()
    good: str = ""
    document: bytes = b""


@dataclass(frozen=True, slots=True)
class VersionChoice(Generic[V]):
    """By which version a request is decided, and the good one, by whose classes and aims it is counted."""

    version: V
    good: V
    on_complete: Callable[[int, e.RequestOutcome, float], None] | None = (
        None  # (class in `good`, end, ms): call once
    )


class RolloutService(Generic[V]):
    """`run` it in a task group; `choose` a version for each request as it comes."""

    def __init__(
        self,
        ground: ClusterRuntime,
        book: VersionTables[V],
        settings: ProcessSettings,
        *,
        clock: Callable[[], float],
        wall_ms: Callable[[], float],
        rng: random.Random,
        log: Any,
        on_versions_changed: Callable[[tuple[str, ...]], None],
        planner_has_version: Callable[[str], bool] = lambda digest: True,
        may_lead: bool = False,
        zone_of: Callable[[str], str] = lambda name: "",
    ) -> None:
        """`widened(live digests)` is called when the tables changed; `decides(digest)` says whether whoever
        decides for this process has a version; `judges`: this process's seat may lead; `zone_of` gives a
        process's zone.
        """
        self.ground, self.book, self.settings = ground, book, settings
        self.clock, self.wall_ms, self.source, self.log = clock, wall_ms, rng, log
        self.widened, self.decides, self.judges = on_versions_changed, planner_has_version, may_lead
        self.zone_of = zone_of
        self.keep = self._read_keep()
        self.state: s.RolloutState | None = None  # the newest heard, whether it counts or not
        self.number = 0  # of its decree
        self.good = self.keep.good  # the last good version's digest, as far as was heard
        self.course: s.RolloutPlan | None = None  # the candidate's, once its document is here
        self.live: tuple[str, ...] = ()  # digests that are held and in use
        self.back = ""  # why this process went back alone from the present candidate
        self.own: e.LocalCounts | None = None
        self.heard: e.FleetCounts | None = None
        self.accused: list[v.Accusation] = []
        self.chosen = 0  # requests that came to the candidate, in this life
        self.wrong: list[str] = []  # why something is not held, or could not be read
        self.refused = 0  # entries of others that could not be read
        self._rows: dict[str, dict[str, bytes]] = {}  # the fullest of each zone's sums
        self._pace = s.StagePacer()
        self._sure = s.ReadLease()
        self._news = anyio.Event()
        self._decoded = -1
        self._asked: list[str] = []
        self._names: dict[str, tuple[int, str]] = {}  # digests of documents, by topic and number
        self._told_at = 0.0
        self.sums = v.ZoneSummarizer() if may_lead else None
        if self.sums is not None:
            ground.evidence.summarizers.add("rollout", self.sums)
        ground.decision_cache.listeners.append(self._decreed)
        ground.on_gossip_change.append(self._spread)
        ground.on_leaving.append(self._leaving)
        self._follow()

    # --- what a request is decided by

    def choose(self, volume: str) -> VersionChoice[V]:
        """Return by which version a request that comes now is decided, to its answer."""
        state, book = self.state, self.book
        good = book.own
        if self.good and self.decides(self.good):
            good = book.get(self.good) or book.own
        if state is None or not state.running or self.back or self.own is None:
            return VersionChoice(good, good)
        # The hold is looked at here, not where decrees come in: one that is over ends without any word.
        if not self._counts() or not self.decides(state.digest):
            return VersionChoice(good, good)
        stage = s.eligible_stage(state, self.course, volume, self.settings.zone)
        candidate = book.get(state.digest)
        if stage is None or candidate is None:
            return VersionChoice(good, good)
        tried = self.source.random() >= stage.control_fraction
        own, index = self.own, state.stage
        self.chosen += tried

        def over(cls: int, ended: e.RequestOutcome, ms: float) -> None:
            own.record(cls, index, tried, ended, ms, book.aim_ms(good, cls))

        return VersionChoice(candidate if tried else good, good, over)

    def _counts(self) -> bool:
        """Whether the decree counts here, by what was told and by what this process has read."""
        told = isinstance(self.ground.decision_cache.get(s.ROLLOUT_TOPIC), d.Decision)
        return told and self._sure.is_valid(self.number, self.clock())

    # --- following the decree

    def _decreed(self, decree: d.Decision) -> None:
        if decree.topic == s.ROLLOUT_TOPIC or decree.topic in s.DOCUMENT_TOPICS:
            self._follow()

    def _follow(self) -> None:
        """Take in what the council has decided: what is to be held, and whether this process takes part."""
        found = self.ground.decision_cache.get(s.ROLLOUT_TOPIC)
        decree = found.decision if isinstance(found, d.Expired) else found
        if decree is not None and decree.version != self._decoded:
            self._decoded = decree.version
            self._news.set()
            try:
                self.state, self.number = s.decode(decree.value), decree.version
            except CressrockError as wrong:
                # Not understood: as if nothing ran.  The last good version stays.
                self.state = msgspec.structs.replace(self.state, status="expired") if self.state else None
                self.log.warning("rollout", **wrong.fields())
        self._hold(running=isinstance(found, d.Decision) and self.state is not None and self.state.running)

    def _document(self, place: int, digest: str) -> bytes | None:
        """Return a document that a decree holds, or the good one that was kept; None if it is not here."""
        found = self.ground.decision_cache.get(s.DOCUMENT_TOPICS[place])
        decree = found.decision if isinstance(found, d.Expired) else found
        if decree is not None:
            known = self._names.get(decree.topic)
            if known is None or known[0] != decree.version:
                known = self._names[decree.topic] = decree.version, s.document_digest(decree.value)
            if known[1] == digest:
                return decree.value
        return self.keep.document if self.keep.good == digest else None

    def _hold(self, *, running: bool) -> None:
        """Have the good version and the candidate held, as far as their documents are here."""
        state = self.state
        documents: dict[str, bytes] = {}
        good = self.good = state.good_digest if state is not None else self.keep.good
        place = state.good_slot if state is not None else 0
        if good and (data := self._document(place, good)) is not None:
            documents[good] = data
            if self.keep.good != good:
                self._write_keep(good=good, document=data)
        if state is not None and state.digest and self.own is not None and self.own.digest != state.digest:
            self._drop()
        if state is not None and running:
            data = self._document(state.document_slot, state.digest)
            if data is not None and self._begin(state.digest, data):
                documents[state.digest] = data
        elif self.own is not None and self.keep.starts.open:
            # Danger: before the decree is heard again, what a former life left open is not to be closed.
            self._write_keep(starts=msgspec.structs.replace(self.keep.starts, open=False))
        if sorted(documents) == self._asked:
            return
        self._asked = sorted(documents)
        self.wrong = self.book.hold(self.clock(), documents, good)
        self.live = tuple(sorted(digest for digest in documents if digest in self.book.held()))
        for text in self.wrong:
            self.log.warning("rules not held", text=text)
        self.widened(self.live)

    def _begin(self, digest: str, data: bytes) -> bool:
        """Take part in a candidate's rollout from now on; False: this process does not."""
        if self.own is not None:
            if not self.back and not self.keep.starts.open:
                self._write_keep(starts=msgspec.structs.replace(self.keep.starts, open=True))
            return not self.back
        try:
            self.course = self.book.course(data)
        except RolloutError as wrong:
            self.wrong = [f"{digest}: {wrong.text}"]
            return False
        settings = self.settings
        # On disk before the candidate decides anything: what it kills at once would else never be counted.
        starts = s.began(
            self.keep.starts,
            digest,
            self.wall_ms(),
            most=settings.max_starts,
            within_ms=settings.starts_window_ms,
        )
        self._write_keep(starts=starts)
        self.own = e.LocalCounts(digest)
        if self.judges:
            self.heard = e.FleetCounts(digest)
            self._take_all()
        if self.sums is not None:
            self.sums.follow(digest, self.course, len(self.settings.classes))
        if starts.back:
            self._go_back(starts.back)
        return not self.back

    def _drop(self) -> None:
        """Forget a former candidate's counts, here and in the spread."""
        if self.own is not None:
            for key in self.own.keys():
                self.ground.evidence.publish(key, None)
        self.ground.evidence.publish(e.ROLLBACK_KEY, None)
        if self.sums is not None:
            self.sums.follow("", None, 0)
        self.own, self.heard, self.course, self.back, self.accused = None, None, None, "", []
        self._rows = {}
        self._pace.forget()

    def _go_back(self, why: str) -> None:
        """Serve by the good version alone from now on, and say so to all."""
        assert self.own is not None
        self.back = why[:200]
        self.log.warning("went back alone", rules=self.own.digest, why=why)
        if self.keep.starts.back != self.back:
            self._write_keep(starts=msgspec.structs.replace(self.keep.starts, back=self.back, open=False))
        value = e.encode(e.LocalRollback(bytes.fromhex(self.own.digest), self.back))
        self._put(e.ROLLBACK_KEY, value)

    def _leaving(self) -> None:
        """Enter an orderly end."""
        if self.keep.starts.open:
            self._write_keep(starts=msgspec.structs.replace(self.keep.starts, open=False))

    # --- evidence

    def _put(self, key: str, value: bytes) -> None:
        self.ground.evidence.publish(key, value)
        self._take(self.ground.gossip.local, key, value)

    def _spread(self, origin: Origin, key: str) -> None:
        if self.heard is None:
            return
        if not key:  # too much changed to say what
            self._take_all()
        if not (key.startswith(e.SEEN) or key == e.ROLLBACK_KEY):
            return
        value = self.ground.gossip.value_of(key, origin)
        self.ground.evidence.receive_gossip(origin, key, value)
        if value is not None:
            self._take(origin, key, value)

    def _view(self) -> e.FleetCounts | v.FleetSummary | None:
        """Return all counts: by collectors' sums where anybody tells collectors, else as all told them."""
        collect = self.ground.evidence.collector
        if collect is None or self.own is None or not collect.is_active():
            return self.heard
        v.keep_fullest(self._rows, collect.summaries.sums(self.clock()), self.own.digest)
        return v.FleetSummary(self.own.digest, self._rows)

    def _take_all(self) -> None:
        """Take whatever the spread holds of counts and reports."""
        places = [(cls, stage) for cls in range(len(self.settings.classes)) for stage in range(s.MAX_STAGES)]
        for key in [e.ROLLBACK_KEY, *(e.counts_key(*place) for place in places)]:
            for origin, value in self.ground.gossip.values(key).items():
                self.ground.evidence.receive_gossip(origin, key, value)
                self._take(origin, key, value)

    def _take(self, origin: Origin, key: str, value: bytes) -> None:
        if self.heard is None:
            return
        try:
            self.heard.merge(origin, key, value)
        except RolloutError as wrong:
            self.refused += 1
            if self.refused == 1:
                self.log.warning("counts refused", origin=origin[0], **wrong.fields())

    def _tell(self) -> None:
        """Tell what was counted, and look whether this process alone fares far worse."""
        every = max(self.settings.report_interval_ms, self.ground.evidence.min_interval_ms())
        if self.own is None or self.clock() < self._told_at + every:
            return
        self._told_at = self.clock()
        for key, value in self.own.drain_changes():
            self._put(key, value)
        if not self.back and self.course is not None:
            worse = v.local_accusation(self.own, self.course, len(self.settings.classes))
            if worse is not None:
                self._go_back(worse.describe(self.settings.classes))
                self._follow()

    # --- the leader's part

    async def run(self) -> None:
        """Follow, tell and, where this process leads, ask for the next step; until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._look)
            tasks.start_soon(self._read)

    async def _read(self) -> None:
        """Read the decree while it runs, a few times within a hold: see `stages.Sure`."""
        settings, council = self.settings, self.ground.consensus
        while council is not None:
            if self.state is not None and self.state.running and not self.back:
                # Not all processes in one moment after each step.
                await anyio.sleep(self.source.random() * settings.poll_interval_ms / 1000)
                began = self.clock()
                try:
                    decree = await council.read(s.ROLLOUT_TOPIC, timeout_ms=settings.lease_ms / 2)
                    if decree is not None:
                        self._sure.record_read(decree.version, began, decree.lease_ms)
                except ConsensusError:
                    pass  # the hold runs on, and out
            if self._news.is_set():
                self._news = anyio.Event()
            else:
                with anyio.move_on_after(settings.lease_ms / 3000):
                    await self._news.wait()

    async def _look(self) -> None:
        while True:
            self._follow()
            self._tell()
            if self.judges:
                await self._lead()
            await anyio.sleep(self.settings.poll_interval_ms / 1000)

    async def _lead(self) -> None:
        council, state, heard, course = self.ground.consensus, self.state, self._view(), self.course
        if not self.ground.is_leader or council is None:
            self._pace.forget()
            return
        stands = isinstance(self.ground.decision_cache.get(s.ROLLOUT_TOPIC), d.Decision)
        if not stands or state is None or heard is None or course is None or not state.running:
            return
        classes = len(self.settings.classes)
        if isinstance(heard, e.FleetCounts):
            self.accused = v.accusations_from_counts(heard, course, classes)
        else:
            collect = self.ground.evidence.collector
            if collect is None or collect.incomplete_zones(self.clock()):
                return  # a zone's counts are not here yet: the test is not looked at without them
            self.accused = v.accusations(heard, course, classes)
        found = s.LeaderFindings(
            heard.candidate_trials(state.stage),
            self.accused[0].describe(self.settings.classes) if self.accused else "",
            heard.rollback_count(),
            _figures(heard),
        )
        number = self.number
        wanted = self._pace.next_state(self.clock(), number, state, course, found)
        if wanted is None:
            return
        try:
            await council.decide(s.ROLLOUT_TOPIC, s.encode(wanted), self.settings.lease_ms, if_version=number)
        except ConsensusError as wrong:
            # Without a quorum nothing moves; after another leader's step the next look sees that one.
            self.log.info("rollout not moved", **wrong.fields())
            return
        self.log.info(
            "rollout", rules=wanted.digest, state=wanted.status, stage=wanted.stage, why=wanted.reason
        )

    # --- the admin port

    async def serve(self, exchange: Exchange) -> None:
        """Serve GET and POST of /v1/rollout."""
        try:
            if exchange.head.method == b"POST":
                await self._order(exchange)
            elif exchange.head.method not in (b"GET", b"HEAD"):
                await _json(exchange, 405, {"error": "method", "text": "only GET and POST"})
                return
            await _json(exchange, 200, self.status())
        except RolloutError as wrong:
            await _json(exchange, 409, wrong.fields())
        except ConsensusError as wrong:
            await _json(exchange, 503, wrong.fields())

    async def _order(self, exchange: Exchange) -> None:
        """Start or withdraw.  Raises RolloutError, CouncilError."""
        body = b""
        while data := await exchange.read():
            body += data
            if len(body) > MAX_BODY:
                raise InvalidRulesError(f"a body above {MAX_BODY} bytes")
        try:
            order = msgspec.json.decode(body, type=_Order)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as wrong:
            raise InvalidRulesError(f"order: {str(wrong)[:300]}") from None
        if order.action == "start":
            await self.start(bytes(order.document))
        else:
            await self.withdraw(order.digest)
        self._follow()

    def _council(self) -> ConsensusClient:
        if self.ground.consensus is None:
            raise RolloutNotFoundError("this process has no way to the council")
        return self.ground.consensus

    async def start(self, data: bytes) -> None:
        """Start a document.  Raises RolloutError, CouncilError."""
        council = self._council()
        stands = await council.read(s.ROLLOUT_TOPIC)
        self._follow()
        old = s.decode(stands.value) if stands is not None else None
        document, _ = self.book.check(data, old.good_digest if old is not None else "")
        new = s.start_rollout(old, document)
        topic, hold_ms = s.DOCUMENT_TOPICS[new.document_slot], self.settings.lease_ms
        before = await council.read(topic)
        await council.decide(topic, document, hold_ms, if_version=before.version if before is not None else 0)
        # Only now: a decree that names a document which nobody has would start nothing.
        number = stands.version if stands is not None else 0
        await council.decide(s.ROLLOUT_TOPIC, s.encode(new), hold_ms, if_version=number)

    async def withdraw(self, digest: str) -> None:
        """End what runs; `digest` names it.  Raises RolloutError, CouncilError."""
        council = self._council()
        stands = await council.read(s.ROLLOUT_TOPIC)
        old = s.decode(stands.value) if stands is not None else None
        if stands is None or old is None or not old.running or old.digest != digest:
            raise RolloutNotFoundError(f"{digest or 'no digest'} does not run")
        heard = self._view()
        figures = _figures(heard) if heard is not None else {}
        new = s.end_rollout(old, "withdrawn", "by an operator", figures)
        await council.decide(
            s.ROLLOUT_TOPIC, s.encode(new), self.settings.lease_ms, if_version=stands.version
        )

    def status(self) -> dict[str, Any]:
        """Return what stands, in plain values and words."""
        state = self.state
        counts = self._counts() if state is not None and state.running else state is not None
        names = self.settings.classes
        found: dict[str, Any] = {
            "words": _words(state, self.course, counts, self.back),
            "state": state.status if state is not None else "none",
            "counts": counts,
            "number": self.number,
            "digest": state.digest if state is not None else "",
            "good": state.good_digest if state is not None else self.keep.good,
            "stage": state.stage if state is not None else 0,
            "stages": len(self.course.stages) if self.course is not None else 0,
            "why": state.reason if state is not None else "",
            "figures": state.statistics if state is not None else {},
            "spent": list(state.ended_digests) if state is not None else [],
            "held": list(self.live),
            "chosen": self.chosen,
            "back": self.back,
            "wrong": self.wrong,
        }
        if self.own is not None:
            found["own"] = _by_class(names, e.by_class(self.own.counts))
        heard = self._view()
        if heard is not None:
            zones = heard.totals_by_group(self.zone_of) if isinstance(heard, e.FleetCounts) else heard.zones
            found["all"] = _by_class(names, heard.totals_by_class())
            found["zones"] = {zone: _by_class(names, tallies) for zone, tallies in sorted(zones.items())}
            found["processes"] = heard.process_count()
            found["backs"] = dict(heard.rollback_reasons)
            found["accused"] = [a.describe(names) for a in self.accused]
        return found

    # --- the disk

    def _read_keep(self) -> Keep:
        if self.settings.keep_file is None:
            return Keep()
        try:
            data = Path(self.settings.keep_file).read_bytes()
            return msgspec.msgpack.decode(data, type=Keep)
        except FileNotFoundError:
            return Keep()
        except (OSError, msgspec.DecodeError) as wrong:
            # The settings' own rules do, and a count of starts that begins anew only tries longer.
            self.log.warning("rollout's file not read", path=self.settings.keep_file, error=str(wrong))
            return Keep()

    def _write_keep(self, **changes: Any) -> None:
        self.keep = msgspec.structs.replace(self.keep, **changes)
        if self.settings.keep_file is None:
            return
        path = Path(self.settings.keep_file)
        part = path.with_name(path.name + ".part")
        try:
            with open(part, "wb") as file:
                file.write(msgspec.msgpack.encode(self.keep))
                file.flush()
                os.fsync(file.fileno())
            os.replace(part, path)
        except OSError as wrong:
            self.log.error("rollout's file not written", path=str(path), error=str(wrong))


class _Order(msgspec.Struct, forbid_unknown_fields=True):
    action: Literal["start", "withdraw"]
    document: msgspec.Raw = msgspec.Raw(b"{}")
    digest: str = ""


async def _json(exchange: Exchange, status: int, value: Any) -> None:
    kind = [(b"content-type", b"application/json")]
    await exchange.respond(status, kind, msgspec.json.encode(value))


def _by_class(names: list[str], tallies: dict[int, e.OutcomeCounts]) -> dict[str, Any]:
    """Return counts as [candidate, beside it] by class and kind."""
    return {
        names[cls]: {"trials": tally.trials} | dict(zip(e.FAULT_KINDS, tally.faults, strict=False))
        for cls, tally in sorted(tallies.items())
        if cls < len(names)
    }


def _figures(heard: e.FleetCounts | v.FleetSummary) -> dict[str, float]:
    """Return the sums over all classes, for the decree."""
    whole = e.OutcomeCounts.empty()
    for tally in heard.totals_by_class().values():
        whole.add(tally)
    found = {"trials": float(whole.trials[0]), "beside": float(whole.trials[1])}
    for kind, mark in zip(e.FAULT_KINDS, whole.faults, strict=False):
        found[kind], found[f"{kind} b"] = float(mark[0]), float(mark[1])
    return found


def _words(state: s.RolloutState | None, course: s.RolloutPlan | None, counts: bool, back: str) -> str:
    """Say in plain words what stands."""
    if state is None or not state.rollout_number:
        return "no rollout is known here; the settings' own rules decide"
    good = f"the good rules {state.good_digest}" if state.good_digest else "the settings' own rules"
    if not state.running:
        tail = f" ({state.reason})" if state.reason else ""
        return f"rollout {state.rollout_number} of {state.digest} is {state.status}{tail}; {good} decide"
    if not counts:
        return f"rollout {state.rollout_number}: its decree's hold is over here, so {good} decide"
    if back:
        return f"rollout {state.rollout_number}: this process went back alone ({back}); {good} decide"
    of = f" of {len(course.stages)}" if course is not None else ""
    return (
        f"rollout {state.rollout_number} of {state.digest} is in stage {state.stage + 1}{of}, beside {good}"
    )
