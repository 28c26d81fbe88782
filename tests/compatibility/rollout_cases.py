"""Examples and seeded streams of rollouts: what goes over the wire, what is kept on disk, what is decided."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import msgspec
import trio
import trio.testing

from cressrock.aggregation.channel import ChannelSettings, EvidenceChannel
from cressrock.aggregation.collector import ReportCollector
from cressrock.aggregation.summaries import MergedSummaries
from cressrock.aggregation.timings import AggregationTimings
from cressrock.consensus import decisions as d
from cressrock.consensus.decision_cache import DecisionCache
from cressrock.errors import CressrockError
from cressrock.errors.consensus import DecisionConflictError, NoQuorumError
from cressrock.errors.rollout import InvalidRulesError
from cressrock.gossip.settings import GossipStoreSettings
from cressrock.gossip.store import GossipStore
from cressrock.rollout import (
    counts,
    crash_record,
    evidence,
    lifecycle,
    pacing,
    persisted_state,
    plan,
    read_lease,
    selection,
    service,
    summaries,
    verdict,
)
from tests.compatibility.canonical import Digest, canonical

# --- wire


@dataclass(frozen=True)
class WireCase:
    """A value, and how it is written and read."""

    name: str
    value: Any
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


@dataclass(frozen=True)
class ReadCase:
    """Bytes that only other versions write: fields left out or appended, or nothing that can be read."""

    name: str
    data: bytes
    decode: Callable[[bytes], Any]


ONE, TWO, THREE = "0102030405060708090a0b0c", "ab" * 12, "f0" * 12
FULL_TALLY = evidence.OutcomeCounts([7, 2**53], [[1, 2], [3, 4], [5, 6], [7, 8], [9, 2**40]])


def wire_cases() -> list[WireCase]:
    """Return a value of every kind of entry and decree, some with their optional fields unset."""
    state = lifecycle.RolloutState
    states = [
        ("started", state(1, "running", ONE, 0, 0)),
        (
            "second stage",
            state(2, "running", TWO, 1, 1, ONE, 0, "", {"trials": 12.0, "late b": 0.5}, [THREE[:12]]),
        ),
        ("halted", state(9, "halted", TWO, 0, 2, ONE, 1, "w" * 120, {"trials": 1e300}, ["0" * 12] * 8)),
        ("withdrawn", state(3, "withdrawn", TWO, 1, 0, "", 0, "by an operator", {}, [TWO[:12]])),
        ("expired", state(70000, "expired", TWO, 1, 8, ONE, 0, "stage 8: 0 answers")),
        ("done", state(4, "done", ONE, 0, 1, ONE, 0, "all stages over", {"refused": 0.0})),
        ("empty", lifecycle.NO_ROLLOUT),
    ]
    pieces = [
        ("empty counts", evidence.CountsEntry(bytes(12), evidence.OutcomeCounts.empty())),
        ("counts", evidence.CountsEntry(bytes.fromhex(ONE), FULL_TALLY)),
        (
            "counts of more kinds",
            evidence.CountsEntry(bytes(12), evidence.OutcomeCounts([1, 2], [[0, 1]] * 7)),
        ),
    ]
    backs = [
        ("report", evidence.LocalRollback(bytes.fromhex(TWO), "stopped 3 times under it")),
        ("report without a reason", evidence.LocalRollback(bytes(12), "")),
        ("report in other letters", evidence.LocalRollback(bytes(12), "größer → " + "x" * 190)),
    ]
    tops = [[b"", b"", b"", b""], [bytes(range(16)), b"\0\0\x80\x3f", b"", b""]]
    rows = [
        (
            "sums",
            evidence.ZoneSummary(
                bytes.fromhex(ONE), [(0, FULL_TALLY), (7, evidence.OutcomeCounts.empty())], tops
            ),
        ),
        ("empty sums", evidence.ZoneSummary(bytes(12), [], [])),
    ]
    gone = [
        ("reports of a zone", evidence.ZoneRollbacks(bytes.fromhex(ONE), 400, 2, {"p1": "why", "p2": ""})),
        ("no reports of a zone", evidence.ZoneRollbacks(bytes(12), 0, 0, {})),
    ]
    started = crash_record.CrashRecord(1, TWO, True, [1e12, 1e12 + 0.5], "")
    rolled_back = crash_record.CrashRecord(1, TWO, False, [], "went back")
    kept = [
        ("nothing kept", persisted_state.PersistedState()),
        ("a start", persisted_state.PersistedState(started, "", b"")),
        ("all kept", persisted_state.PersistedState(rolled_back, ONE, b'{"a":1}')),
    ]
    keep_decoder = msgspec.msgpack.Decoder(persisted_state.PersistedState)
    return [
        *(WireCase(f"decree {name}", value, lifecycle.encode, lifecycle.decode) for name, value in states),
        *(WireCase(name, value, evidence.encode, evidence.decode_counts) for name, value in pieces),
        *(WireCase(name, value, evidence.encode, evidence.decode_rollback) for name, value in backs),
        *(WireCase(name, value, evidence.encode, evidence.decode_summary) for name, value in rows),
        *(WireCase(name, value, evidence.encode, evidence.decode_zone_rollbacks) for name, value in gone),
        *(WireCase(name, value, msgspec.msgpack.encode, keep_decoder.decode) for name, value in kept),
        *(WireCase(name, value, msgspec.json.encode, read_course) for name, value in courses()),
    ]


def read_course(data: bytes) -> plan.RolloutPlan:
    """Read a plan as a document holds it."""
    return msgspec.json.decode(data, type=plan.RolloutPlan)


def courses() -> list[tuple[str, plan.RolloutPlan]]:
    """Return plans as documents hold them."""
    levels = plan.Thresholds(
        false_halt_probability=0.05,
        tolerated_odds_ratio=1.5,
        rollback_odds_ratio=3.0,
        min_accusers=3,
        rollbacks_to_halt=4,
        stage_timeout_ms=9000.0,
    )
    steps = [
        plan.Stage(
            volume_fraction=0.05,
            zones=["z1", "z2"],
            control_fraction=0.25,
            min_duration_ms=100.0,
            min_answers=10,
        ),
        plan.Stage(volume_fraction=0.5, control_fraction=0.1, min_duration_ms=200.0, min_answers=0),
        plan.Stage(),
    ]
    return [
        ("plan of one stage", plan.RolloutPlan(stages=[plan.Stage()])),
        ("plan of three stages", plan.RolloutPlan(stages=steps, thresholds=levels)),
    ]


def read_cases() -> list[ReadCase]:
    """Return bytes of older, newer and broken entries."""
    pack, plain = msgspec.msgpack.encode, msgspec.json.encode
    tally = [[1, 2], [[0, 1]] * 5]
    counts_, rollback = evidence.decode_counts, evidence.decode_rollback
    summary, zone_rollbacks = evidence.decode_summary, evidence.decode_zone_rollbacks
    readers = [
        lifecycle.decode,
        counts_,
        rollback,
        summary,
        zone_rollbacks,
    ]
    broken = [
        b"",
        b"\xff",
        pack(None),
        pack([]),
        pack({}),
        pack([2, "x"]),
        pack([1]),
        pack([300]),
        pack([1, 5, 5]),
    ]
    cases = [
        ReadCase("decree without optional fields", pack([1, 1, "running", ONE, 0, 0]), lifecycle.decode),
        ReadCase("decree with the good version", pack([1, 1, "done", ONE, 0, 0, TWO, 1]), lifecycle.decode),
        ReadCase(
            "decree with a further field",
            pack([1, 1, "halted", ONE, 0, 0, TWO, 1, "why", {"x": 1.5}, [], "new"]),
            lifecycle.decode,
        ),
        ReadCase("decree of an unknown state", pack([1, 1, "paused", ONE, 0, 0]), lifecycle.decode),
        ReadCase("decree of a later stage", pack([1, 1, "running", ONE, 0, 9]), lifecycle.decode),
        ReadCase("counts with a further field", pack([1, bytes(12), [*tally, 1], "new"]), counts_),
        ReadCase("counts of too few kinds", pack([1, bytes(12), [[1, 2], [[0, 1]] * 4]]), counts_),
        ReadCase("counts below zero", pack([1, bytes(12), [[-1, 2], [[0, 1]] * 5]]), counts_),
        ReadCase("counts of a short digest", pack([1, bytes(11), tally]), counts_),
        ReadCase("report with a further field", pack([1, bytes(12), "why", 1]), rollback),
        ReadCase("report that is too long", pack([1, bytes(12), "w" * 201]), rollback),
        ReadCase("sums of a ninth stage", pack([1, bytes(12), [[8, tally]], []]), summary),
        ReadCase("sums with a further field", pack([1, bytes(12), [[7, tally]], [], 0]), summary),
        ReadCase(
            "too many reasons",
            pack([1, bytes(12), 9, 9, dict.fromkeys("abcde", "")]),
            zone_rollbacks,
        ),
        ReadCase("reports with a further field", pack([1, bytes(12), 9, 9, {}, 1]), zone_rollbacks),
        ReadCase("kept, of an older program", pack({"good": ONE}), _read_keep),
        ReadCase("kept, of a newer program", pack({"starts": {"version": 2, "more": 1}, "x": 2}), _read_keep),
        ReadCase("plan, shortest", plain({"stages": [{}]}), read_course),
        ReadCase("plan with an unknown field", plain({"stages": [{}], "x": 1}), read_course),
        ReadCase("plan with an unknown field in a stage", plain({"stages": [{"x": 1}]}), read_course),
        ReadCase("plan that shrinks", plain({"stages": [{"part": 0.5}, {"part": 0.4}, {}]}), read_course),
        ReadCase("plan that does not end with all", plain({"stages": [{"part": 0.5}]}), read_course),
        ReadCase("plan that ends in a zone", plain({"stages": [{"zones": ["a"]}]}), read_course),
        ReadCase("plan without stages", plain({"stages": []}), read_course),
        ReadCase("plan of nine stages", plain({"stages": [{}] * 9}), read_course),
        ReadCase("plan with a level", plain({"stages": [{}], "levels": {"accusers": 5}}), read_course),
        ReadCase("plan with a wrong level", plain({"stages": [{}], "levels": {"error": 0.6}}), read_course),
    ]
    for index, data in enumerate(broken):
        cases += [
            ReadCase(f"broken {index} for reader {n}", data, reader) for n, reader in enumerate(readers)
        ]
    return cases


def _read_keep(data: bytes) -> persisted_state.PersistedState:
    return msgspec.msgpack.decode(data, type=persisted_state.PersistedState)


def outcome(call: Callable[..., Any], *args: Any) -> Any:
    """Return what a call returned in canonical form, or the code of its error."""
    try:
        return canonical(call(*args))
    except CressrockError as error:
        return {"error": error.code}
    except (msgspec.ValidationError, msgspec.DecodeError):
        return {"error": "not decoded"}


def names() -> dict[str, Any]:
    """Return the names under which rollouts are found by others."""
    places = [(0, 0), (3, 7), (63, 0)]
    keys = [evidence.counts_key(*place) for place in places]
    odd = [
        "rollout/seen/",
        "rollout/seen/1",
        "rollout/seen/64/0",
        "rollout/seen/0/8",
        "rollout/seen/a/1",
        "rollout/seen/00001/1",
        "rollout/back",
        "x",
    ]
    return {
        "topics": [lifecycle.ROLLOUT_TOPIC, *lifecycle.DOCUMENT_TOPICS],
        "keys": [
            *keys,
            evidence.COUNTS_KEY_PREFIX,
            evidence.ROLLBACK_KEY,
            evidence.SUMMARY_KEY_PREFIX,
            evidence.ZONE_ROLLBACKS_KEY,
        ],
        "places": [canonical(evidence.parse_counts_key(key)) for key in [*keys, *odd]],
        "marks": list(evidence.FAULT_KINDS),
        "digests": [plan.document_digest(data) for data in (b"", b"{}", b"x" * 5000)],
    }


# --- decisions: the pure modules


def labelled(value: Any, label: str) -> Any:
    """Return a state of the decree, or None, behind a label."""
    return None if value is None else [label, canonical(value)]


def draw_course(draw: random.Random) -> plan.RolloutPlan:
    """Draw a plan."""
    count = draw.randrange(1, 6)
    parts = sorted(draw.choice((0.05, 0.2, 0.5, 0.9, 1.0)) for _ in range(count - 1))
    steps = [
        plan.Stage(
            volume_fraction=part,
            zones=draw.choice((None, ["z0"], ["z0", "z1"])),
            control_fraction=draw.choice((0.02, 0.1, 0.5, 0.95)),
            min_duration_ms=draw.choice((0.0, 100.0, 400.0)),
            min_answers=draw.choice((0, 5, 50)),
        )
        for part in parts
    ]
    last = plan.Stage(
        control_fraction=draw.choice((0.1, 0.5)), min_duration_ms=100.0, min_answers=draw.choice((0, 20))
    )
    levels = plan.Thresholds(
        false_halt_probability=draw.choice((0.01, 0.2)),
        tolerated_odds_ratio=draw.choice((1.0, 1.1, 2.0)),
        rollback_odds_ratio=draw.choice((1.0, 2.0, 4.0)),
        min_accusers=draw.choice((1, 2, 3, 7)),
        rollbacks_to_halt=draw.choice((1, 2, 3)),
        stage_timeout_ms=draw.choice((1000.0, 3000.0)),
    )
    return plan.RolloutPlan(stages=[*steps, last], thresholds=levels)


def stages_digest(seed: int) -> str:
    """Drive a leader's steps and operators' orders over several rollouts."""
    draw, digest = random.Random(f"stages/{seed}"), Digest()
    course, state, pace = draw_course(draw), None, pacing.StagePacer()
    sure, now, number = read_lease.ReadLease(), 0.0, 5
    for _ in range(300):
        now += draw.choice((0.0, 10.0, 50.0, 150.0, 700.0))
        act = draw.random()
        if state is None or act < 0.1 or (not state.running and act < 0.6):
            document = b"document %d" % draw.randrange(12)
            result = outcome_of(lifecycle.start_rollout, state, document)
            course = draw_course(draw) if isinstance(result, lifecycle.RolloutState) else course
        elif act < 0.13:
            how, why = draw.choice(("halted", "withdrawn", "expired")), "w" * draw.choice((0, 9, 130))
            result = outcome_of(lifecycle.end_rollout, state, how, why, {"a": 1.0})
        elif act < 0.16:
            pace.forget()
            result = None
        elif act < 0.2:
            sure.record_read(number - draw.choice((0, 0, 1)), now - draw.choice((0.0, 90.0)), 500.0)
            result = None
        else:
            findings = pacing.LeaderFindings(
                draw.choice((0, 4, 5, 60)),
                "class a: late" if draw.random() < 0.01 else "",
                draw.choice((0, 0, 0, 0, 0, 1, 2)),
                draw.choice((None, {"trials": 3.0})),
            )
            result = outcome_of(pace.next_state, now, number, state, course, findings)
        if isinstance(result, lifecycle.RolloutState):
            state, number = result, number + draw.choice((1, 3))
        digest.add(canonical(result))
        volume, zone = f"v{draw.randrange(40)}", draw.choice(("z0", "z1", "z2"))
        digest.add(canonical(selection.eligible_stage(state, course, volume, zone)))
        digest.add(selection.selects_volume(f"{seed:024x}", volume, draw.choice((0.01, 0.5, 0.99, 1.0))))
        digest.add(sure.is_valid(number, now))
    digest.add(canonical(selection.eligible_stage(None, course, "v", "z0")))
    digest.add(canonical(selection.eligible_stage(state, None, "v", "z0")))
    return digest.hex()


def outcome_of(call: Callable[..., Any], *args: Any) -> Any:
    """Return what a call returned, or the code of its error."""
    try:
        return call(*args)
    except CressrockError as error:
        return error.code


def starts_digest(seed: int) -> str:
    """Drive what a process keeps of its starts under candidates."""
    draw, digest = random.Random(f"starts/{seed}"), Digest()
    kept, wall = crash_record.CrashRecord(), 1e12
    for _ in range(120):
        wall += draw.choice((10.0, 1000.0, 40000.0, -500.0))
        name = draw.choice((ONE, ONE, ONE, TWO)) if draw.random() < 0.3 else kept.digest or ONE
        kept = crash_record.record_start(
            kept, name, wall, max_starts=draw.choice((1, 3, 20)), window_ms=60000.0
        )
        digest.add(canonical(kept))
        if draw.random() < 0.4:
            kept = msgspec.structs.replace(kept, running=False)
    return digest.hex()


def accusation(found: verdict.Accusation | None) -> Any:
    """Return an accusation as plain values."""
    if found is None:
        return None
    names_ = [f"class{n}" for n in range(8)]
    return [
        found.request_class,
        found.fault_kind,
        found.log_wealth,
        list(found.candidate),
        list(found.good),
        found.describe(names_),
    ]


def tallies(counts: dict[Any, evidence.OutcomeCounts]) -> Any:
    """Return counts as plain values, in the order of their places."""
    return [[canonical(place), canonical(counts[place])] for place in sorted(counts)]


def view_values(view: Any) -> Any:
    """Return what both kinds of view tell of all counts."""
    return [
        tallies(view.totals),
        tallies(view.totals_by_class()),
        [view.candidate_trials(stage) for stage in range(8)],
        view.rollback_count(),
        view.process_count(),
        sorted(view.rollback_reasons.items()),
    ]


def odds_of(tops: dict[Any, Any]) -> Any:
    """Return the greatest factors as plain values."""
    return [[canonical(place), [sorted(odds) for odds in tops[place]]] for place in sorted(tops)]


def _trial(draw: random.Random, own: counts.LocalCounts, worse: float, classes: int) -> None:
    candidate = draw.random() < 0.5
    chance = 0.05 * (worse if candidate else 1.0)
    ended = evidence.RequestOutcome.SERVED
    if draw.random() < chance:
        ended = draw.choice(
            (
                evidence.RequestOutcome.REJECTED,
                evidence.RequestOutcome.FAILED,
                evidence.RequestOutcome.CLIENT_LEFT,
            )
        )
    ms = draw.choice((10.0, 50.0, 60.0, 120.0)) * (worse if candidate and draw.random() < chance else 1.0)
    own.record(draw.randrange(classes), draw.randrange(2), candidate, ended, ms, 100.0)


def evidence_digest(seed: int) -> str:
    """Drive counts of several processes, their merging in any order, the test over them, and sums by zone."""
    draw, digest = random.Random(f"evidence/{seed}"), Digest()
    classes, course = draw.randrange(1, 4), draw_course(draw)
    worse = draw.choice((1.0, 1.0, 3.0, 8.0))
    sick = draw.choice((0, 0, 1))  # processes that alone fare badly
    lives = [(f"p{n % 6}", 1 + n // 6) for n in range(8)]
    owns = {origin: counts.LocalCounts(ONE) for origin in lives}
    heard, sums, late = counts.FleetCounts(ONE), summaries.ZoneSummarizer(), summaries.ZoneSummarizer()
    sums.follow(ONE, course, classes)
    rows: dict[str, dict[str, bytes]] = {}
    entries: list[tuple[tuple[str, int], str, bytes]] = []
    for turn in range(12):
        for index, (origin, own) in enumerate(owns.items()):
            for _ in range(draw.randrange(30)):
                _trial(draw, own, 20.0 if index < sick else worse, classes)
            told = own.drain_changes()
            digest.add([[key, value] for key, value in told])
            entries += [(origin, key, value) for key, value in told]
            if draw.random() < 0.02:
                value = evidence.encode(evidence.LocalRollback(bytes.fromhex(ONE), f"far worse {origin[0]}"))
                entries.append((origin, evidence.ROLLBACK_KEY, value))
            digest.add(accusation(verdict.local_accusation(own, course, classes)))
        entries += [(lives[0], "zones/x", b"other"), (lives[1], evidence.counts_key(0, 0), _of_other())]
        if draw.random() < 0.3:
            entries.append((lives[2], evidence.counts_key(0, 1), b"broken"))
        draw.shuffle(entries)
        for origin, key, value in entries[: 1 + len(entries) * 3 // 4]:
            digest.add(outcome(heard.merge, origin, key, value))
            digest.add([sums.receive(origin, key, value, 0.0), late.receive(origin, key, value, 0.0)])
        entries = entries[len(entries) // 2 :]
        if turn == 5:
            late.follow(ONE, course, classes)
            late.follow(ONE, course, classes)
        if turn == 7:
            gone = draw.choice(lives)
            sums.forget(gone)
            digest.add(sums.receive(gone, evidence.ROLLBACK_KEY, None, 0.0))
            digest.add(sums.receive(lives[0], evidence.counts_key(0, 0), None, 0.0))
        digest.add(view_values(heard))
        digest.add([accusation(a) for a in verdict.accusations_from_counts(heard, course, classes)])
        digest.add(
            [[zone, tallies(c)] for zone, c in sorted(heard.totals_by_group(lambda n: n[-1:]).items())]
        )
        digest.add(evidence_rows(draw, digest, sums, lives, rows, course, classes))
        digest.add([sums.rejected, late.rejected, canonical(sums.broadcast(rows, 0.0))])
    late.follow("", None, 0)
    digest.add(sorted(late.summarize("z0", lives, 0.0).items()))
    digest.add([own_key for origin in lives for own_key in owns[origin].keys()])
    return digest.hex()


def _of_other() -> bytes:
    return evidence.encode(evidence.CountsEntry(bytes.fromhex(TWO), FULL_TALLY))


def evidence_rows(
    draw: random.Random,
    digest: Digest,
    sums: summaries.ZoneSummarizer,
    lives: list[tuple[str, int]],
    rows: dict[str, dict[str, bytes]],
    course: plan.RolloutPlan,
    classes: int,
) -> Any:
    """Return what a leader makes of collectors' sums; `rows` are the fullest so far."""
    split = draw.randrange(1, len(lives))
    parts = {"z0": sums.summarize("z0", lives[:split], 0.0), "z1": sums.summarize("z1", lives[split:], 0.0)}
    for zone, part in sorted(parts.items()):
        digest.add([zone, list(part.items())])
    if draw.random() < 0.2:
        parts["z1"] = {}
    if draw.random() < 0.2:
        parts["z2"] = {"rollout/sum/0": b"broken", "rollout/gone": b"broken", "rollout/sum/x": b"", "y": b""}
    summaries.keep_fullest(rows, parts, ONE)
    summed = summaries.FleetSummary(ONE, {**rows, "broken": {"rollout/sum/0": b"broken"}})
    foreign = summaries.FleetSummary(TWO, rows)
    tops = odds_of(summed.top_factors(course, classes, course.thresholds.min_accusers - 1))
    return [
        [[zone, list(kept.items())] for zone, kept in sorted(rows.items())],
        view_values(summed),
        view_values(foreign),
        summed.rejected,
        tops,
        [[zone, tallies(counts)] for zone, counts in sorted(summed.zones.items())],
        [accusation(a) for a in verdict.accusations(summed, course, classes)],
    ]


# --- decisions: a process's part


class _Log:
    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_, **__: None


class _Council:
    """A register with compare-and-set: numbers grow; now and then nothing can be decided."""

    def __init__(self, kept: DecisionCache) -> None:
        self.decision_cache, self.number, self.failing, self.asked = kept, 100, False, []
        self.stands: dict[str, d.Decision] = {}
        self.asked: list[Any] = []

    async def decide(
        self, topic: str, value: bytes, hold_ms: float, if_version: int | None = None, **_: Any
    ) -> d.Decision:
        self.asked.append([topic, value, hold_ms, if_version])
        if self.failing:
            raise NoQuorumError("none")
        stands = self.stands.get(topic)
        if if_version is not None and if_version != (stands.version if stands is not None else 0):
            raise DecisionConflictError("another stands")
        self.number += 1
        decree = self.stands[topic] = d.Decision(topic, self.number, value, hold_ms, "", self.number)
        self.decision_cache.receive(decree)
        return decree

    async def read(self, topic: str, *_: Any, **__: Any) -> d.Decision | None:
        if self.failing:
            raise NoQuorumError("none")
        return self.stands.get(topic)


class _Book:
    """Versions of rules: a document is a plan in JSON; some, by their digest, are not held or not read."""

    own = "own"

    def __init__(self) -> None:
        self.documents: dict[str, bytes] = {}
        self.asked: list[Any] = []

    def get(self, digest: str) -> str | None:
        return self.own if not digest else digest if digest in self.documents else None

    def check(self, data: bytes, good: str) -> tuple[bytes, plan.RolloutPlan]:
        return data, self._read(data)

    def course(self, data: bytes) -> plan.RolloutPlan:
        if plan.document_digest(data).endswith(("1", "9")):
            raise InvalidRulesError("not read")
        return self._read(data)

    def _read(self, data: bytes) -> plan.RolloutPlan:
        try:
            return msgspec.json.decode(data, type=plan.RolloutPlan)
        except msgspec.DecodeError as error:
            raise InvalidRulesError(str(error)) from None

    def aim_ms(self, version: str, cls: int) -> float:
        return 100.0 + cls

    def hold(self, now: float, documents: dict[str, bytes], good: str) -> list[str]:
        self.asked.append([sorted(documents), good])
        refused = {name for name in documents if name.startswith(("1", "9"))}
        self.documents = {name: data for name, data in documents.items() if name not in refused}
        return [f"{name}: refused" for name in sorted(refused)]

    def held(self) -> tuple[str, ...]:
        return tuple(sorted(self.documents))


class _Ground:
    """A process's surroundings under a clock that the stream moves."""

    def __init__(self, clock: Callable[[], float], seed: str, collects: bool) -> None:
        source = random.Random(seed)
        self.gossip = GossipStore("me", 1, GossipStoreSettings(), source)
        self.decision_cache = DecisionCache(None, clock)
        self.consensus = _Council(self.decision_cache)
        self.evidence = EvidenceChannel(
            ("me", 1),
            ChannelSettings("z0", is_collector=collects),
            self.gossip,
            clock=clock,
            source=source,
            log=_Log(),
        )
        self.on_gossip_change: list[Any] = []
        self.on_leaving: list[Any] = []
        self.is_leader = False


class _Merged(MergedSummaries):
    """Sums that a stream sets."""

    found: dict[str, dict[str, bytes]]

    def sums(self, now_ms: float) -> dict[str, Any]:
        return self.found


class _Collect(ReportCollector):
    """A collector that others tell; of which zones it heard nothing a stream sets."""

    silent: list[str]

    def is_active(self) -> bool:
        return True

    def incomplete_zones(self, now_ms: float) -> list[str]:
        return self.silent


class _Exchange:
    """A request to the admin port."""

    def __init__(self, method: bytes, body: bytes = b"") -> None:
        self.head, self.body, self.answer = type("Head", (), {"method": method})(), body, None
        self.answer: Any = None

    async def read(self) -> bytes:
        data, self.body = self.body[:1000], self.body[1000:]
        return data

    async def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes = b"") -> None:
        value = msgspec.json.decode(body)
        # Texts of errors are for people; what stands must stay as it is.
        self.answer = [status, canonical(headers), value.get("error") or body]


class Process:
    """One process with its part in rollouts, driven by a stream; `keep_file` outlives it."""

    def __init__(self, seed: int, keep_file: Path | None, *, judges: bool = True) -> None:
        """Begin at time zero with nothing decided."""
        self.draw = random.Random(f"process/{seed}")
        self.now, self.wall = 0.0, 1e12
        self.keep_file, self.judges, self.collects = keep_file, judges, judges and seed % 4 == 2
        self.told: list[tuple[tuple[str, int], str, bytes]] = []
        self.digest = Digest()
        self.open: list[Any] = []
        self.live: list[Any] = []
        self.ready = True
        self.badness, self.requests = ((0.3, 12), (0.9, 60))[seed % 3 == 1]
        self.ground, self.book, self.rollout = self.begin()

    def begin(self) -> tuple[_Ground, _Book, service.RolloutService[str]]:
        """Begin a life; what the council decided stands."""
        ground, book = _Ground(lambda: self.now, f"{self.draw.random()}", self.judges), _Book()
        if self.collects:
            collect = ground.evidence.collector = _Collect(
                ("me", 1), AggregationTimings(), ground.evidence.summarizers, 0.0
            )
            collect.summaries, collect.silent = _Merged(AggregationTimings()), []
            collect.summaries.found = {}
        former = getattr(self, "ground", None)
        if former is not None:
            ground.consensus.stands = former.consensus.stands
            ground.consensus.number = former.consensus.number
            for decree in ground.consensus.stands.values():
                ground.decision_cache.receive(decree)
        settings = service.ProcessSettings(
            "me",
            "z0",
            ["small", "read"],
            500.0,
            str(self.keep_file) if self.keep_file else None,
            poll_interval_ms=10.0,
            report_interval_ms=20.0,
            max_starts=3,
            starts_window_ms=600000.0,
        )
        rollout: service.RolloutService[str] = service.RolloutService(
            ground,
            book,
            settings,
            clock=lambda: self.now,
            wall_ms=lambda: self.wall,  # type: ignore[arg-type]
            rng=random.Random(self.draw.random()),
            log=_Log(),
            on_versions_changed=self.live.append,
            planner_has_version=lambda digest: self.ready,
            may_lead=self.judges,
            zone_of=lambda name: f"z{name[-1:]}",
        )
        return ground, book, rollout

    def restart(self, orderly: bool) -> None:
        """End this life, and begin another."""
        if orderly:
            for leaving in self.ground.on_leaving:
                leaving()
        self.open = []
        self.ground, self.book, self.rollout = self.begin()

    def document(self) -> bytes:
        """Draw a document: a plan of short stages."""
        course = draw_course(self.draw)
        return msgspec.json.encode(course)

    async def order(self, method: bytes, body: bytes) -> None:
        """Send a request to the admin port."""
        exchange = _Exchange(method, body)
        await self.rollout.serve(exchange)
        self.digest.add(exchange.answer)

    async def step(self) -> None:
        """Do one thing that may happen to a process."""
        draw, council = self.draw, self.ground.consensus
        self.now += draw.choice((0.0, 1.0, 5.0, 30.0))
        self.wall += draw.choice((0.0, 10.0, 3000.0))
        act = draw.random()
        state = self.decided()
        if (
            act < 0.04
            or (state is None and act < 0.3)
            or (state is not None and not state.running and act < 0.15)
        ):
            document = self.document() if draw.random() < 0.95 else b'{"stages":[]}'
            body = b'{"action":"start","document":' + document + b"}"
            await self.order(b"POST", body)
        elif act < 0.05 and state is not None:
            name = draw.choice((state.digest, state.digest, "other"))
            await self.order(b"POST", msgspec.json.encode({"action": "withdraw", "digest": name}))
        elif act < 0.06:
            await self.order(draw.choice((b"GET", b"HEAD", b"PUT", b"POST")), b"x" * draw.choice((1, 300000)))
        elif act < 0.08:
            council.failing = draw.random() < 0.2
        elif act < 0.10:
            self.ready = draw.random() < 0.8
        elif act < 0.115:
            self.restart(orderly=draw.random() < 0.6)
        elif act < 0.13 and not council.failing:
            self.hear_other()
        elif act < 0.15:
            self.ground.is_leader = draw.random() < 0.8
        elif act < 0.6:
            self.request()
        elif act < 0.7:
            self.tell()
        else:
            await self.look()
        self.digest.add([self.live, self.book.asked, council.asked])
        self.live.clear()
        self.book.asked.clear()
        council.asked.clear()
        self.digest.add(msgspec.json.encode(self.rollout.status()))

    def decided(self) -> lifecycle.RolloutState | None:
        """Return what the council has decided."""
        decree = self.ground.consensus.stands.get(lifecycle.ROLLOUT_TOPIC)
        return lifecycle.decode(decree.value) if decree is not None else None

    def hear_other(self) -> None:
        """Hear a decree that another leader had decided: a step, an end, or one that cannot be read."""
        draw, council = self.draw, self.ground.consensus
        stands = council.stands.get(lifecycle.ROLLOUT_TOPIC)
        if stands is None:
            return
        state = lifecycle.decode(stands.value) if draw.random() < 0.95 else None
        value = b"broken"
        if state is not None and state.running:
            plan = read_course(council.stands[lifecycle.DOCUMENT_TOPICS[state.document_slot]].value)
            value = lifecycle.encode(
                draw.choice(
                    (
                        msgspec.structs.replace(state, stage=min(state.stage + 1, len(plan.stages) - 1)),
                        lifecycle.end_rollout(state, lifecycle.RolloutStatus.HALTED, "by another", {}),
                        msgspec.structs.replace(
                            state, status="done", good_digest=state.digest, good_slot=state.document_slot
                        ),
                    )
                )
            )
        elif state is not None:
            value = stands.value
        council.number += 1
        decree = d.Decision(lifecycle.ROLLOUT_TOPIC, council.number, value, 500.0, "", council.number)
        if state is not None:
            council.stands[lifecycle.ROLLOUT_TOPIC] = decree
        self.ground.decision_cache.receive(decree)

    def request(self) -> None:
        """Let requests come and end."""
        draw = self.draw
        for _ in range(draw.randrange(self.requests)):
            choice = self.rollout.choose(f"v{draw.randrange(20)}")
            self.digest.add([choice.version, choice.good, choice.on_complete is not None])
            if choice.on_complete is not None:
                self.open.append((choice.on_complete, choice.version == choice.good))
        while self.open and draw.random() < 0.9:
            over, good = self.open.pop(draw.randrange(len(self.open)))
            bad = draw.random() < (0.05 if good else self.badness)
            ended = evidence.RequestOutcome.FAILED if bad else evidence.RequestOutcome.SERVED
            over(draw.randrange(2), ended, draw.choice((10.0, 60.0, 150.0)))

    def tell(self) -> None:
        """Hear counts and reports of another process by the spread."""
        draw, state = self.draw, self.decided()
        if state is None or not state.digest:
            return
        origin = (f"p{draw.randrange(4)}", 1)
        digest = bytes.fromhex(draw.choice((state.digest, state.digest, TWO)))
        other = GossipStore(origin[0], origin[1], GossipStoreSettings(), random.Random(1))
        if draw.random() < 0.05:
            other.put(evidence.ROLLBACK_KEY, evidence.encode(evidence.LocalRollback(digest, "far worse")))
        elif draw.random() < 0.05:
            other.put(evidence.counts_key(0, 0), b"broken")
        else:
            trials = draw.randrange(1, 400)
            marks = [[draw.randrange(1 + trials // 8), draw.randrange(1 + trials // 9)] for _ in range(5)]
            tally = evidence.OutcomeCounts([trials, draw.randrange(1, 400)], marks)
            key = evidence.counts_key(draw.randrange(2), draw.randrange(3))
            other.put(key, evidence.encode(evidence.CountsEntry(digest, tally)))
        self.told += [(origin, key, value) for key in _KEYS for value in other.values(key).values()]
        self.ground.gossip.retain_origins([origin])
        data, _ = other.full_state(None, 1 << 20)
        self.ground.gossip.merge(data)
        for changed in self.ground.gossip.drain_changes():
            for listener in self.ground.on_gossip_change:
                listener(*changed)
        if draw.random() < 0.05:
            for listener in self.ground.on_gossip_change:
                listener(origin, "")

    async def look(self) -> None:
        """Let the process's own tasks run for a moment; the decree may be renewed meanwhile."""
        draw, council = self.draw, self.ground.consensus
        stands = council.stands.get(lifecycle.ROLLOUT_TOPIC)
        if stands is not None and draw.random() < 0.7:
            council.number += 1
            renewed = msgspec.structs.replace(stands, renewal=council.number)
            self.ground.decision_cache.receive(renewed)
        self.sum_up()
        with anyio.move_on_after(0.012):
            await self.rollout.run()

    def sum_up(self) -> None:
        """Have a collector sum up what others told, where there is one."""
        state, collect = self.decided(), self.ground.evidence.collector
        if state is None or not isinstance(collect, _Collect) or not isinstance(collect.summaries, _Merged):
            return
        data = self.ground.consensus.stands[lifecycle.DOCUMENT_TOPICS[state.document_slot]].value
        sums = summaries.ZoneSummarizer()
        sums.follow(state.digest, read_course(data), 2)
        for origin, key, value in self.told:
            sums.receive(origin, key, value, 0.0)
        origins = sorted({origin for origin, _, _ in self.told})
        split = len(origins) // 2
        collect.summaries.found = {
            "z0": sums.summarize("z0", origins[:split], 0.0),
            "z1": sums.summarize("z1", origins[split:], 0.0),
        }
        collect.silent = ["z9"] if self.draw.random() < 0.1 else []


_KEYS = [evidence.ROLLBACK_KEY, *(evidence.counts_key(cls, stage) for cls in range(2) for stage in range(3))]


async def _play(process: Process, steps: int) -> str:
    for _ in range(steps):
        await process.step()
    return process.digest.hex()


def run_simulated(seed: int, main: Callable[[], Awaitable[str]]) -> str:
    """Run under simulated time; the order of tasks that are runnable at once is drawn from the seed."""
    from trio._core import _run

    _run._ALLOW_DETERMINISTIC_SCHEDULING = True
    _run._r.seed(seed)
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def process_digest(seed: int, directory: Path) -> str:
    """Drive a process's part in rollouts, over restarts; the file it keeps is part of the digest."""
    keep_file = directory / f"keep-{seed}"
    if seed == 0:
        keep_file.write_bytes(b"broken")
    process = Process(seed, None if seed == 1 else keep_file, judges=seed % 4 != 3)

    async def main() -> str:
        return await _play(process, 320)

    digest = run_simulated(seed, main)
    kept = keep_file.read_bytes() if keep_file.exists() else b""
    total = Digest()
    total.add([digest, kept])
    return total.hex()


def stream_seeds() -> Iterator[tuple[str, Callable[[int, Path], str], range]]:
    """Return every stream by name, with its seeds."""
    yield "stages", lambda seed, _: stages_digest(seed), range(40)
    yield "starts", lambda seed, _: starts_digest(seed), range(10)
    yield "evidence", lambda seed, _: evidence_digest(seed), range(24)
    yield "process", process_digest, range(16)


# --- stored data

KEPT = ("running", "orderly", "stopped-often", "good", "good-and-running")
PLAN = b'{"stages":[{"part":0.5,"least_ms":0,"least":0},{"least_ms":0,"least":0}]}'
OTHER_PLAN = b'{"stages":[{"least_ms":0,"least":0}]}'


async def _start(process: Process, document: bytes) -> None:
    await process.order(b"POST", b'{"action":"start","document":' + document + b"}")


def _finish(process: Process) -> None:
    """Have the council decide that the candidate is the good version now."""
    council, state = process.ground.consensus, process.decided()
    assert state is not None
    value = lifecycle.encode(
        lifecycle.advance(msgspec.structs.replace(state, stage=1), read_course(PLAN), {})
    )
    council.number += 1
    decree = council.stands[lifecycle.ROLLOUT_TOPIC] = d.Decision(
        lifecycle.ROLLOUT_TOPIC, council.number, value, 500.0
    )
    process.ground.decision_cache.receive(decree)


async def write_kept(name: str, path: Path) -> None:
    """Have a process write the file of this name."""
    process = Process(1, path)
    await _start(process, PLAN)
    process.wall += 1000.5
    if name == "orderly":
        for leaving in process.ground.on_leaving:
            leaving()
    elif name == "stopped-often":
        for _ in range(3):
            process.restart(orderly=False)
            process.wall += 1000.0
    elif name.startswith("good"):
        _finish(process)
    if name == "good-and-running":
        process.restart(orderly=False)
        await _start(process, OTHER_PLAN)


async def read_kept(path: Path) -> list[Any]:
    """Begin a process with a file that was kept, and let it live on; the file is written meanwhile."""
    process = Process(2, path)
    found = [msgspec.json.encode(process.rollout.status())]
    choice = process.rollout.choose("v")
    found.append([choice.version, choice.good, choice.on_complete is not None, path.read_bytes()])
    await _start(process, PLAN)
    found += [msgspec.json.encode(process.rollout.status()), path.read_bytes()]
    await _start(process, OTHER_PLAN)
    for _ in range(40):
        await process.step()
    process.restart(orderly=False)
    found += [process.digest.hex(), msgspec.json.encode(process.rollout.status()), path.read_bytes()]
    return canonical(found)
