"""Examples and seeded event streams for rollouts: wire encodings, state files and decisions."""

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
    """A value with its encoder and decoder."""

    name: str
    value: Any
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


@dataclass(frozen=True)
class ReadCase:
    """Bytes that only other releases write, with fields missing or added, or invalid bytes."""

    name: str
    data: bytes
    decode: Callable[[bytes], Any]


ONE, TWO, THREE = "0102030405060708090a0b0c", "ab" * 12, "f0" * 12
SAMPLE_COUNTS = evidence.OutcomeCounts([7, 2**53], [[1, 2], [3, 4], [5, 6], [7, 8], [9, 2**40]])


def wire_cases() -> list[WireCase]:
    """Return values of every kind of entry and decision, some without their optional fields."""
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
    count_entries = [
        ("empty counts", evidence.CountsEntry(bytes(12), evidence.OutcomeCounts.empty())),
        ("counts", evidence.CountsEntry(bytes.fromhex(ONE), SAMPLE_COUNTS)),
        (
            "counts of more kinds",
            evidence.CountsEntry(bytes(12), evidence.OutcomeCounts([1, 2], [[0, 1]] * 7)),
        ),
    ]
    rollback_reports = [
        ("report", evidence.LocalRollback(bytes.fromhex(TWO), "stopped 3 times under it")),
        ("report without a reason", evidence.LocalRollback(bytes(12), "")),
        ("report in other letters", evidence.LocalRollback(bytes(12), "größer → " + "x" * 190)),
    ]
    tops = [[b"", b"", b"", b""], [bytes(range(16)), b"\0\0\x80\x3f", b"", b""]]
    rows = [
        (
            "sums",
            evidence.ZoneSummary(
                bytes.fromhex(ONE), [(0, SAMPLE_COUNTS), (7, evidence.OutcomeCounts.empty())], tops
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
        *(WireCase(name, value, evidence.encode, evidence.decode_counts) for name, value in count_entries),
        *(
            WireCase(name, value, evidence.encode, evidence.decode_rollback)
            for name, value in rollback_reports
        ),
        *(WireCase(name, value, evidence.encode, evidence.decode_summary) for name, value in rows),
        *(WireCase(name, value, evidence.encode, evidence.decode_zone_rollbacks) for name, value in gone),
        *(WireCase(name, value, msgspec.msgpack.encode, keep_decoder.decode) for name, value in kept),
        *(WireCase(name, value, msgspec.json.encode, read_plan) for name, value in plans()),
    ]


def read_plan(data: bytes) -> plan.RolloutPlan:
    """Decode a plan from a document's JSON."""
    return msgspec.json.decode(data, type=plan.RolloutPlan)


def plans() -> list[tuple[str, plan.RolloutPlan]]:
    """Return named plans."""
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
    """Return bytes of older, newer and corrupt entries."""
    pack, plain = msgspec.msgpack.encode, msgspec.json.encode
    sample_counts = [[1, 2], [[0, 1]] * 5]
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
        ReadCase("counts with a further field", pack([1, bytes(12), [*sample_counts, 1], "new"]), counts_),
        ReadCase("counts of too few kinds", pack([1, bytes(12), [[1, 2], [[0, 1]] * 4]]), counts_),
        ReadCase("counts below zero", pack([1, bytes(12), [[-1, 2], [[0, 1]] * 5]]), counts_),
        ReadCase("counts of a short digest", pack([1, bytes(11), sample_counts]), counts_),
        ReadCase("report with a further field", pack([1, bytes(12), "why", 1]), rollback),
        ReadCase("report that is too long", pack([1, bytes(12), "w" * 201]), rollback),
        ReadCase("sums of a ninth stage", pack([1, bytes(12), [[8, sample_counts]], []]), summary),
        ReadCase("sums with a further field", pack([1, bytes(12), [[7, sample_counts]], [], 0]), summary),
        ReadCase(
            "too many reasons",
            pack([1, bytes(12), 9, 9, dict.fromkeys("abcde", "")]),
            zone_rollbacks,
        ),
        ReadCase("reports with a further field", pack([1, bytes(12), 9, 9, {}, 1]), zone_rollbacks),
        ReadCase("kept, of an older program", pack({"good": ONE}), _read_keep),
        ReadCase("kept, of a newer program", pack({"starts": {"version": 2, "more": 1}, "x": 2}), _read_keep),
        ReadCase("plan, shortest", plain({"stages": [{}]}), read_plan),
        ReadCase("plan with an unknown field", plain({"stages": [{}], "x": 1}), read_plan),
        ReadCase("plan with an unknown field in a stage", plain({"stages": [{"x": 1}]}), read_plan),
        ReadCase("plan that shrinks", plain({"stages": [{"part": 0.5}, {"part": 0.4}, {}]}), read_plan),
        ReadCase("plan that does not end with all", plain({"stages": [{"part": 0.5}]}), read_plan),
        ReadCase("plan that ends in a zone", plain({"stages": [{"zones": ["a"]}]}), read_plan),
        ReadCase("plan without stages", plain({"stages": []}), read_plan),
        ReadCase("plan of nine stages", plain({"stages": [{}] * 9}), read_plan),
        ReadCase("plan with a level", plain({"stages": [{}], "levels": {"accusers": 5}}), read_plan),
        ReadCase("plan with a wrong level", plain({"stages": [{}], "levels": {"error": 0.6}}), read_plan),
    ]
    for index, data in enumerate(broken):
        cases += [
            ReadCase(f"broken {index} for reader {n}", data, reader) for n, reader in enumerate(readers)
        ]
    return cases


def _read_keep(data: bytes) -> persisted_state.PersistedState:
    return msgspec.msgpack.decode(data, type=persisted_state.PersistedState)


def outcome(call: Callable[..., Any], *args: Any) -> Any:
    """Return a call's result in canonical form, or its error code."""
    try:
        return canonical(call(*args))
    except CressrockError as error:
        return {"error": error.code}
    except (msgspec.ValidationError, msgspec.DecodeError):
        return {"error": "not decoded"}


def names() -> dict[str, Any]:
    """Return the topics, keys, fault kinds and digests that other releases rely on."""
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
    """Return a label and a rollout's state in canonical form, or None."""
    return None if value is None else [label, canonical(value)]


def random_plan(rng: random.Random) -> plan.RolloutPlan:
    """Return a random plan."""
    count = rng.randrange(1, 6)
    parts = sorted(rng.choice((0.05, 0.2, 0.5, 0.9, 1.0)) for _ in range(count - 1))
    steps = [
        plan.Stage(
            volume_fraction=part,
            zones=rng.choice((None, ["z0"], ["z0", "z1"])),
            control_fraction=rng.choice((0.02, 0.1, 0.5, 0.95)),
            min_duration_ms=rng.choice((0.0, 100.0, 400.0)),
            min_answers=rng.choice((0, 5, 50)),
        )
        for part in parts
    ]
    last = plan.Stage(
        control_fraction=rng.choice((0.1, 0.5)), min_duration_ms=100.0, min_answers=rng.choice((0, 20))
    )
    levels = plan.Thresholds(
        false_halt_probability=rng.choice((0.01, 0.2)),
        tolerated_odds_ratio=rng.choice((1.0, 1.1, 2.0)),
        rollback_odds_ratio=rng.choice((1.0, 2.0, 4.0)),
        min_accusers=rng.choice((1, 2, 3, 7)),
        rollbacks_to_halt=rng.choice((1, 2, 3)),
        stage_timeout_ms=rng.choice((1000.0, 3000.0)),
    )
    return plan.RolloutPlan(stages=[*steps, last], thresholds=levels)


def stages_digest(seed: int) -> str:
    """Return the digest of a leader's steps and operators' commands over several rollouts."""
    rng, digest = random.Random(f"stages/{seed}"), Digest()
    rollout_plan, state, pacer = random_plan(rng), None, pacing.StagePacer()
    lease, now, number = read_lease.ReadLease(), 0.0, 5
    for _ in range(300):
        now += rng.choice((0.0, 10.0, 50.0, 150.0, 700.0))
        event_draw = rng.random()
        if state is None or event_draw < 0.1 or (not state.running and event_draw < 0.6):
            document = b"document %d" % rng.randrange(12)
            result = outcome_of(lifecycle.start_rollout, state, document)
            rollout_plan = random_plan(rng) if isinstance(result, lifecycle.RolloutState) else rollout_plan
        elif event_draw < 0.13:
            how, why = rng.choice(("halted", "withdrawn", "expired")), "w" * rng.choice((0, 9, 130))
            result = outcome_of(lifecycle.end_rollout, state, how, why, {"a": 1.0})
        elif event_draw < 0.16:
            pacer.forget()
            result = None
        elif event_draw < 0.2:
            lease.record_read(number - rng.choice((0, 0, 1)), now - rng.choice((0.0, 90.0)), 500.0)
            result = None
        else:
            findings = pacing.LeaderFindings(
                rng.choice((0, 4, 5, 60)),
                "class a: late" if rng.random() < 0.01 else "",
                rng.choice((0, 0, 0, 0, 0, 1, 2)),
                rng.choice((None, {"trials": 3.0})),
            )
            result = outcome_of(pacer.next_state, now, number, state, rollout_plan, findings)
        if isinstance(result, lifecycle.RolloutState):
            state, number = result, number + rng.choice((1, 3))
        digest.add(canonical(result))
        volume, zone = f"v{rng.randrange(40)}", rng.choice(("z0", "z1", "z2"))
        digest.add(canonical(selection.eligible_stage(state, rollout_plan, volume, zone)))
        digest.add(selection.selects_volume(f"{seed:024x}", volume, rng.choice((0.01, 0.5, 0.99, 1.0))))
        digest.add(lease.is_valid(number, now))
    digest.add(canonical(selection.eligible_stage(None, rollout_plan, "v", "z0")))
    digest.add(canonical(selection.eligible_stage(state, None, "v", "z0")))
    return digest.hex()


def outcome_of(call: Callable[..., Any], *args: Any) -> Any:
    """Return a call's result, or its error code."""
    try:
        return call(*args)
    except CressrockError as error:
        return error.code


def starts_digest(seed: int) -> str:
    """Return the digest of a process's crash records over a series of starts."""
    rng, digest = random.Random(f"starts/{seed}"), Digest()
    kept, wall = crash_record.CrashRecord(), 1e12
    for _ in range(120):
        wall += rng.choice((10.0, 1000.0, 40000.0, -500.0))
        name = rng.choice((ONE, ONE, ONE, TWO)) if rng.random() < 0.3 else kept.digest or ONE
        kept = crash_record.record_start(
            kept, name, wall, max_starts=rng.choice((1, 3, 20)), window_ms=60000.0
        )
        digest.add(canonical(kept))
        if rng.random() < 0.4:
            kept = msgspec.structs.replace(kept, running=False)
    return digest.hex()


def accusation(found: verdict.Accusation | None) -> Any:
    """Return an accusation as plain values."""
    if found is None:
        return None
    class_names = [f"class{n}" for n in range(8)]
    return [
        found.request_class,
        found.fault_kind,
        found.log_wealth,
        list(found.candidate),
        list(found.good),
        found.describe(class_names),
    ]


def counts_values(counts: dict[Any, evidence.OutcomeCounts]) -> Any:
    """Return counts as plain values, in the order of their keys."""
    return [[canonical(place), canonical(counts[place])] for place in sorted(counts)]


def view_values(view: Any) -> Any:
    """Return all results that both kinds of view provide."""
    return [
        counts_values(view.totals),
        counts_values(view.totals_by_class()),
        [view.candidate_trials(stage) for stage in range(8)],
        view.rollback_count(),
        view.process_count(),
        sorted(view.rollback_reasons.items()),
    ]


def factor_values(tops: dict[Any, Any]) -> Any:
    """Return the largest factors as plain values."""
    return [[canonical(place), [sorted(odds) for odds in tops[place]]] for place in sorted(tops)]


def _trial(rng: random.Random, own: counts.LocalCounts, fault_ratio: float, classes: int) -> None:
    candidate = rng.random() < 0.5
    trial_fault_probability = 0.05 * (fault_ratio if candidate else 1.0)
    ended = evidence.RequestOutcome.SERVED
    if rng.random() < trial_fault_probability:
        ended = rng.choice(
            (
                evidence.RequestOutcome.REJECTED,
                evidence.RequestOutcome.FAILED,
                evidence.RequestOutcome.CLIENT_LEFT,
            )
        )
    ms = rng.choice((10.0, 50.0, 60.0, 120.0)) * (
        fault_ratio if candidate and rng.random() < trial_fault_probability else 1.0
    )
    own.record(rng.randrange(classes), rng.randrange(2), candidate, ended, ms, 100.0)


def evidence_digest(seed: int) -> str:
    """Return the digest of several processes' counts, merged in any order, of the test and of zone sums."""
    rng, digest = random.Random(f"evidence/{seed}"), Digest()
    classes, rollout_plan = rng.randrange(1, 4), random_plan(rng)
    fault_ratio = rng.choice((1.0, 1.0, 3.0, 8.0))
    unhealthy_count = rng.choice((0, 0, 1))  # processes that have many more faults than the others
    incarnations = [(f"p{n % 6}", 1 + n // 6) for n in range(8)]
    counts_by_incarnation = {origin: counts.LocalCounts(ONE) for origin in incarnations}
    merged, sums, late = counts.FleetCounts(ONE), summaries.ZoneSummarizer(), summaries.ZoneSummarizer()
    sums.follow(ONE, rollout_plan, classes)
    rows: dict[str, dict[str, bytes]] = {}
    entries: list[tuple[tuple[str, int], str, bytes]] = []
    for turn in range(12):
        for index, (origin, own) in enumerate(counts_by_incarnation.items()):
            for _ in range(rng.randrange(30)):
                _trial(rng, own, 20.0 if index < unhealthy_count else fault_ratio, classes)
            published_entries = own.drain_changes()
            digest.add([[key, value] for key, value in published_entries])
            entries += [(origin, key, value) for key, value in published_entries]
            if rng.random() < 0.02:
                value = evidence.encode(evidence.LocalRollback(bytes.fromhex(ONE), f"far worse {origin[0]}"))
                entries.append((origin, evidence.ROLLBACK_KEY, value))
            digest.add(accusation(verdict.local_accusation(own, rollout_plan, classes)))
        entries += [
            (incarnations[0], "zones/x", b"other"),
            (incarnations[1], evidence.counts_key(0, 0), _foreign_entry()),
        ]
        if rng.random() < 0.3:
            entries.append((incarnations[2], evidence.counts_key(0, 1), b"broken"))
        rng.shuffle(entries)
        for origin, key, value in entries[: 1 + len(entries) * 3 // 4]:
            digest.add(outcome(merged.merge, origin, key, value))
            digest.add([sums.receive(origin, key, value, 0.0), late.receive(origin, key, value, 0.0)])
        entries = entries[len(entries) // 2 :]
        if turn == 5:
            late.follow(ONE, rollout_plan, classes)
            late.follow(ONE, rollout_plan, classes)
        if turn == 7:
            ended = rng.choice(incarnations)
            sums.forget(ended)
            digest.add(sums.receive(ended, evidence.ROLLBACK_KEY, None, 0.0))
            digest.add(sums.receive(incarnations[0], evidence.counts_key(0, 0), None, 0.0))
        digest.add(view_values(merged))
        digest.add([accusation(a) for a in verdict.accusations_from_counts(merged, rollout_plan, classes)])
        digest.add(
            [[zone, counts_values(c)] for zone, c in sorted(merged.totals_by_group(lambda n: n[-1:]).items())]
        )
        digest.add(evidence_rows(rng, digest, sums, incarnations, rows, rollout_plan, classes))
        digest.add([sums.rejected, late.rejected, canonical(sums.broadcast(rows, 0.0))])
    late.follow("", None, 0)
    digest.add(sorted(late.summarize("z0", incarnations, 0.0).items()))
    digest.add([entry_key for origin in incarnations for entry_key in counts_by_incarnation[origin].keys()])
    return digest.hex()


def _foreign_entry() -> bytes:
    return evidence.encode(evidence.CountsEntry(bytes.fromhex(TWO), SAMPLE_COUNTS))


def evidence_rows(
    rng: random.Random,
    digest: Digest,
    sums: summaries.ZoneSummarizer,
    incarnations: list[tuple[str, int]],
    rows: dict[str, dict[str, bytes]],
    rollout_plan: plan.RolloutPlan,
    classes: int,
) -> Any:
    """Return a leader's results from collectors' sums; `rows` are the most complete sums so far."""
    split = rng.randrange(1, len(incarnations))
    parts = {
        "z0": sums.summarize("z0", incarnations[:split], 0.0),
        "z1": sums.summarize("z1", incarnations[split:], 0.0),
    }
    for zone, part in sorted(parts.items()):
        digest.add([zone, list(part.items())])
    if rng.random() < 0.2:
        parts["z1"] = {}
    if rng.random() < 0.2:
        parts["z2"] = {"rollout/sum/0": b"broken", "rollout/gone": b"broken", "rollout/sum/x": b"", "y": b""}
    summaries.keep_fullest(rows, parts, ONE)
    summed = summaries.FleetSummary(ONE, {**rows, "broken": {"rollout/sum/0": b"broken"}})
    foreign = summaries.FleetSummary(TWO, rows)
    tops = factor_values(summed.top_factors(rollout_plan, classes, rollout_plan.thresholds.min_accusers - 1))
    return [
        [[zone, list(kept.items())] for zone, kept in sorted(rows.items())],
        view_values(summed),
        view_values(foreign),
        summed.rejected,
        tops,
        [[zone, counts_values(counts)] for zone, counts in sorted(summed.zones.items())],
        [accusation(a) for a in verdict.accusations(summed, rollout_plan, classes)],
    ]


# --- decisions: a process


class _Log:
    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_, **__: None


class _FakeConsensus:
    """A fake consensus client with compare-and-set; `failing` simulates a lost quorum."""

    def __init__(self, kept: DecisionCache) -> None:
        self.decision_cache, self.number, self.failing, self.calls = kept, 100, False, []
        self.decisions_by_topic: dict[str, d.Decision] = {}
        self.calls: list[Any] = []

    async def decide(
        self, topic: str, value: bytes, lease_ms: float, if_version: int | None = None, **_: Any
    ) -> d.Decision:
        self.calls.append([topic, value, lease_ms, if_version])
        if self.failing:
            raise NoQuorumError("none")
        current = self.decisions_by_topic.get(topic)
        if if_version is not None and if_version != (current.version if current is not None else 0):
            raise DecisionConflictError("another stands")
        self.number += 1
        decision = self.decisions_by_topic[topic] = d.Decision(
            topic, self.number, value, lease_ms, "", self.number
        )
        self.decision_cache.receive(decision)
        return decision

    async def read(self, topic: str, *_: Any, **__: Any) -> d.Decision | None:
        if self.failing:
            raise NoQuorumError("none")
        return self.decisions_by_topic.get(topic)


class _FakeTables:
    """Fake rule tables: a document is a plan in JSON; some digests cannot be loaded or decoded."""

    own = "own"

    def __init__(self) -> None:
        self.documents: dict[str, bytes] = {}
        self.calls: list[Any] = []

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
        self.calls.append([sorted(documents), good])
        refused = {name for name in documents if name.startswith(("1", "9"))}
        self.documents = {name: data for name, data in documents.items() if name not in refused}
        return [f"{name}: refused" for name in sorted(refused)]

    def held(self) -> tuple[str, ...]:
        return tuple(sorted(self.documents))


class _FakeRuntime:
    """A fake cluster runtime with a clock that the stream advances."""

    def __init__(self, clock: Callable[[], float], seed: str, is_collecting: bool) -> None:
        source = random.Random(seed)
        self.gossip = GossipStore("me", 1, GossipStoreSettings(), source)
        self.decision_cache = DecisionCache(None, clock)
        self.consensus = _FakeConsensus(self.decision_cache)
        self.evidence = EvidenceChannel(
            ("me", 1),
            ChannelSettings("z0", is_collector=is_collecting),
            self.gossip,
            clock=clock,
            source=source,
            log=_Log(),
        )
        self.on_gossip_change: list[Any] = []
        self.on_leaving: list[Any] = []
        self.is_leader = False


class _FixedSummaries(MergedSummaries):
    """Summaries that are set by the stream."""

    found: dict[str, dict[str, bytes]]

    def sums(self, now_ms: float) -> dict[str, Any]:
        return self.found


class _FakeCollector(ReportCollector):
    """A collector that other processes report to; the stream sets which zones are incomplete."""

    missing_zones: list[str]

    def is_active(self) -> bool:
        return True

    def incomplete_zones(self, now_ms: float) -> list[str]:
        return self.missing_zones


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
        # Error texts may change between releases; error codes and the status must not.
        self.answer = [status, canonical(headers), value.get("error") or body]


class Process:
    """One process that participates in rollouts, driven by a stream; `keep_file` survives restarts."""

    def __init__(self, seed: int, keep_file: Path | None, *, can_lead: bool = True) -> None:
        """Start at time zero, without any decision."""
        self.rng = random.Random(f"process/{seed}")
        self.now, self.wall = 0.0, 1e12
        self.keep_file, self.can_lead, self.is_collecting = keep_file, can_lead, can_lead and seed % 4 == 2
        self.published_entries: list[tuple[tuple[str, int], str, bytes]] = []
        self.digest = Digest()
        self.open: list[Any] = []
        self.live: list[Any] = []
        self.ready = True
        self.fault_probability, self.requests = ((0.3, 12), (0.9, 60))[seed % 3 == 1]
        self.runtime, self.tables, self.rollout = self.start_service()

    def start_service(self) -> tuple[_FakeRuntime, _FakeTables, service.RolloutService[str]]:
        """Create the process's objects; decisions of an earlier run remain."""
        runtime, tables = _FakeRuntime(lambda: self.now, f"{self.rng.random()}", self.can_lead), _FakeTables()
        if self.is_collecting:
            fake_collector = runtime.evidence.collector = _FakeCollector(
                ("me", 1), AggregationTimings(), runtime.evidence.summarizers, 0.0
            )
            fake_collector.summaries, fake_collector.missing_zones = _FixedSummaries(AggregationTimings()), []
            fake_collector.summaries.found = {}
        former = getattr(self, "runtime", None)
        if former is not None:
            runtime.consensus.decisions_by_topic = former.consensus.decisions_by_topic
            runtime.consensus.number = former.consensus.number
            for decision in runtime.consensus.decisions_by_topic.values():
                runtime.decision_cache.receive(decision)
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
            runtime,
            tables,
            settings,
            clock=lambda: self.now,
            wall_ms=lambda: self.wall,  # type: ignore[arg-type]
            rng=random.Random(self.rng.random()),
            log=_Log(),
            on_versions_changed=self.live.append,
            planner_has_version=lambda digest: self.ready,
            may_lead=self.can_lead,
            zone_of=lambda name: f"z{name[-1:]}",
        )
        return runtime, tables, rollout

    def restart(self, orderly: bool) -> None:
        """Restart the process, after a clean shutdown if `orderly`."""
        if orderly:
            for leaving in self.runtime.on_leaving:
                leaving()
        self.open = []
        self.runtime, self.tables, self.rollout = self.start_service()

    def document(self) -> bytes:
        """Return a random document: a plan of short stages."""
        rollout_plan = random_plan(self.rng)
        return msgspec.json.encode(rollout_plan)

    async def send_admin_request(self, method: bytes, body: bytes) -> None:
        """Send a request to the admin port."""
        exchange = _Exchange(method, body)
        await self.rollout.serve(exchange)
        self.digest.add(exchange.answer)

    async def step(self) -> None:
        """Apply one random event, and add the resulting state to the digest."""
        rng, consensus_client = self.rng, self.runtime.consensus
        self.now += rng.choice((0.0, 1.0, 5.0, 30.0))
        self.wall += rng.choice((0.0, 10.0, 3000.0))
        event_draw = rng.random()
        state = self.decided()
        if (
            event_draw < 0.04
            or (state is None and event_draw < 0.3)
            or (state is not None and not state.running and event_draw < 0.15)
        ):
            document = self.document() if rng.random() < 0.95 else b'{"stages":[]}'
            body = b'{"action":"start","document":' + document + b"}"
            await self.send_admin_request(b"POST", body)
        elif event_draw < 0.05 and state is not None:
            name = rng.choice((state.digest, state.digest, "other"))
            await self.send_admin_request(
                b"POST", msgspec.json.encode({"action": "withdraw", "digest": name})
            )
        elif event_draw < 0.06:
            await self.send_admin_request(
                rng.choice((b"GET", b"HEAD", b"PUT", b"POST")), b"x" * rng.choice((1, 300000))
            )
        elif event_draw < 0.08:
            consensus_client.failing = rng.random() < 0.2
        elif event_draw < 0.10:
            self.ready = rng.random() < 0.8
        elif event_draw < 0.115:
            self.restart(orderly=rng.random() < 0.6)
        elif event_draw < 0.13 and not consensus_client.failing:
            self.receive_other_decision()
        elif event_draw < 0.15:
            self.runtime.is_leader = rng.random() < 0.8
        elif event_draw < 0.6:
            self.request()
        elif event_draw < 0.7:
            self.receive_peer_evidence()
        else:
            await self.run_tasks()
        self.digest.add([self.live, self.tables.calls, consensus_client.calls])
        self.live.clear()
        self.tables.calls.clear()
        consensus_client.calls.clear()
        self.digest.add(msgspec.json.encode(self.rollout.status()))

    def decided(self) -> lifecycle.RolloutState | None:
        """Return the decided state, or None."""
        decision = self.runtime.consensus.decisions_by_topic.get(lifecycle.ROLLOUT_TOPIC)
        return lifecycle.decode(decision.value) if decision is not None else None

    def receive_other_decision(self) -> None:
        """Receive a decision of another leader: a step, an end, or an undecodable one."""
        rng, consensus_client = self.rng, self.runtime.consensus
        current = consensus_client.decisions_by_topic.get(lifecycle.ROLLOUT_TOPIC)
        if current is None:
            return
        state = lifecycle.decode(current.value) if rng.random() < 0.95 else None
        value = b"broken"
        if state is not None and state.running:
            plan = read_plan(
                consensus_client.decisions_by_topic[lifecycle.DOCUMENT_TOPICS[state.document_slot]].value
            )
            value = lifecycle.encode(
                rng.choice(
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
            value = current.value
        consensus_client.number += 1
        decision = d.Decision(
            lifecycle.ROLLOUT_TOPIC, consensus_client.number, value, 500.0, "", consensus_client.number
        )
        if state is not None:
            consensus_client.decisions_by_topic[lifecycle.ROLLOUT_TOPIC] = decision
        self.runtime.decision_cache.receive(decision)

    def request(self) -> None:
        """Start and complete some requests."""
        rng = self.rng
        for _ in range(rng.randrange(self.requests)):
            choice = self.rollout.choose(f"v{rng.randrange(20)}")
            self.digest.add([choice.version, choice.good, choice.on_complete is not None])
            if choice.on_complete is not None:
                self.open.append((choice.on_complete, choice.version == choice.good))
        while self.open and rng.random() < 0.9:
            complete, good = self.open.pop(rng.randrange(len(self.open)))
            bad = rng.random() < (0.05 if good else self.fault_probability)
            ended = evidence.RequestOutcome.FAILED if bad else evidence.RequestOutcome.SERVED
            complete(rng.randrange(2), ended, rng.choice((10.0, 60.0, 150.0)))

    def receive_peer_evidence(self) -> None:
        """Receive another process's counts and rollback reports by gossip."""
        rng, state = self.rng, self.decided()
        if state is None or not state.digest:
            return
        origin = (f"p{rng.randrange(4)}", 1)
        digest = bytes.fromhex(rng.choice((state.digest, state.digest, TWO)))
        other = GossipStore(origin[0], origin[1], GossipStoreSettings(), random.Random(1))
        if rng.random() < 0.05:
            other.put(evidence.ROLLBACK_KEY, evidence.encode(evidence.LocalRollback(digest, "far worse")))
        elif rng.random() < 0.05:
            other.put(evidence.counts_key(0, 0), b"broken")
        else:
            trials = rng.randrange(1, 400)
            marks = [[rng.randrange(1 + trials // 8), rng.randrange(1 + trials // 9)] for _ in range(5)]
            sample_counts = evidence.OutcomeCounts([trials, rng.randrange(1, 400)], marks)
            key = evidence.counts_key(rng.randrange(2), rng.randrange(3))
            other.put(key, evidence.encode(evidence.CountsEntry(digest, sample_counts)))
        self.published_entries += [
            (origin, key, value) for key in _EVIDENCE_KEYS for value in other.values(key).values()
        ]
        self.runtime.gossip.retain_origins([origin])
        data, _ = other.full_state(None, 1 << 20)
        self.runtime.gossip.merge(data)
        for changed in self.runtime.gossip.drain_changes():
            for listener in self.runtime.on_gossip_change:
                listener(*changed)
        if rng.random() < 0.05:
            for listener in self.runtime.on_gossip_change:
                listener(origin, "")

    async def run_tasks(self) -> None:
        """Run the process's own tasks briefly, after possibly renewing the decision."""
        rng, consensus_client = self.rng, self.runtime.consensus
        current = consensus_client.decisions_by_topic.get(lifecycle.ROLLOUT_TOPIC)
        if current is not None and rng.random() < 0.7:
            consensus_client.number += 1
            renewed = msgspec.structs.replace(current, renewal=consensus_client.number)
            self.runtime.decision_cache.receive(renewed)
        self.update_collector()
        with anyio.move_on_after(0.012):
            await self.rollout.run()

    def update_collector(self) -> None:
        """Update the collector's sums of other processes' entries, if there is a collector."""
        state, fake_collector = self.decided(), self.runtime.evidence.collector
        if (
            state is None
            or not isinstance(fake_collector, _FakeCollector)
            or not isinstance(fake_collector.summaries, _FixedSummaries)
        ):
            return
        data = self.runtime.consensus.decisions_by_topic[lifecycle.DOCUMENT_TOPICS[state.document_slot]].value
        sums = summaries.ZoneSummarizer()
        sums.follow(state.digest, read_plan(data), 2)
        for origin, key, value in self.published_entries:
            sums.receive(origin, key, value, 0.0)
        origins = sorted({origin for origin, _, _ in self.published_entries})
        split = len(origins) // 2
        fake_collector.summaries.found = {
            "z0": sums.summarize("z0", origins[:split], 0.0),
            "z1": sums.summarize("z1", origins[split:], 0.0),
        }
        fake_collector.missing_zones = ["z9"] if self.rng.random() < 0.1 else []


_EVIDENCE_KEYS = [
    evidence.ROLLBACK_KEY,
    *(evidence.counts_key(cls, stage) for cls in range(2) for stage in range(3)),
]


async def _run_steps(process: Process, steps: int) -> str:
    for _ in range(steps):
        await process.step()
    return process.digest.hex()


def run_simulated(seed: int, main: Callable[[], Awaitable[str]]) -> str:
    """Run under simulated time; the seed determines the order of concurrently runnable tasks."""
    from trio._core import _run

    _run._ALLOW_DETERMINISTIC_SCHEDULING = True
    _run._r.seed(seed)
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def process_digest(seed: int, directory: Path) -> str:
    """Return the digest of a process's events over restarts, including its state file."""
    keep_file = directory / f"keep-{seed}"
    if seed == 0:
        keep_file.write_bytes(b"broken")
    process = Process(seed, None if seed == 1 else keep_file, can_lead=seed % 4 != 3)

    async def main() -> str:
        return await _run_steps(process, 320)

    digest = run_simulated(seed, main)
    kept = keep_file.read_bytes() if keep_file.exists() else b""
    total = Digest()
    total.add([digest, kept])
    return total.hex()


def stream_seeds() -> Iterator[tuple[str, Callable[[int, Path], str], range]]:
    """Return every stream's name, digest function and seeds."""
    yield "stages", lambda seed, _: stages_digest(seed), range(40)
    yield "starts", lambda seed, _: starts_digest(seed), range(10)
    yield "evidence", lambda seed, _: evidence_digest(seed), range(24)
    yield "process", process_digest, range(16)


# --- stored data

KEEP_FILE_CASES = ("running", "orderly", "stopped-often", "good", "good-and-running")
PLAN = b'{"stages":[{"part":0.5,"least_ms":0,"least":0},{"least_ms":0,"least":0}]}'
OTHER_PLAN = b'{"stages":[{"least_ms":0,"least":0}]}'


async def _start(process: Process, document: bytes) -> None:
    await process.send_admin_request(b"POST", b'{"action":"start","document":' + document + b"}")


def _finish(process: Process) -> None:
    """Decide that the candidate is the good version."""
    consensus_client, state = process.runtime.consensus, process.decided()
    assert state is not None
    value = lifecycle.encode(lifecycle.advance(msgspec.structs.replace(state, stage=1), read_plan(PLAN), {}))
    consensus_client.number += 1
    decision = consensus_client.decisions_by_topic[lifecycle.ROLLOUT_TOPIC] = d.Decision(
        lifecycle.ROLLOUT_TOPIC, consensus_client.number, value, 500.0
    )
    process.runtime.decision_cache.receive(decision)


async def write_keep_file(name: str, path: Path) -> None:
    """Have a process write the state file of the case with this name."""
    process = Process(1, path)
    await _start(process, PLAN)
    process.wall += 1000.5
    if name == "orderly":
        for leaving in process.runtime.on_leaving:
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


async def read_keep_file(path: Path) -> list[Any]:
    """Start a process with an existing state file, and run it while it updates the file."""
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
