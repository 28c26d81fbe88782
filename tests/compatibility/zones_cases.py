"""Example values and seeded random runs of zone failover, shared by the recording program and the test.

Results are recorded as wire bytes if they have a wire format, and as plain lists otherwise, so that no digest
depends on the name of a class or field.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from cressrock.consensus.decisions import Decision, Expired
from cressrock.errors.failover import FailoverError, WriteMoveRejectedError
from cressrock.failover import decision, reports, summary, wire
from cressrock.failover.decision import (
    FailoverDecision,
    WriteMove,
    ZoneDecision,
    ZoneState,
)
from cressrock.failover.evaluation import EvaluationMemory, evaluate
from cressrock.failover.fleet_evidence import FleetEvidence
from cressrock.failover.local_evidence import AttemptEvidence, LocalEvidence, classify_attempt
from cressrock.failover.reports import ReportChunk, ZoneHealth, ZoneReport
from cressrock.failover.routing import Route, ZoneRouter
from cressrock.failover.settings import FULL_SHARE, FailoverSettings
from cressrock.failover.summarizer import ReportSummarizer
from cressrock.failover.summary import SummaryRow, SummaryView, ZoneLoads
from cressrock.failover.witnesses import ReportView, ZoneMember
from cressrock.interface import Outcome
from tests.compatibility import zones_cluster
from tests.compatibility.canonical import Digest

REGIONS = {"a1": "north", "a2": "north", "b1": "south", "b2": "south"}
NAMES = sorted(REGIONS)
UNREPORTED_FRACTION = 0.15  # of the edges skip a report at each step


def zone_settings(edges: int = 24, capacity: float = 300.0, **more: Any) -> FailoverSettings:
    """Return settings of four zones in two regions, converted from their settings keys."""
    zones = {name: {"region": region, "capacity": capacity} for name, region in REGIONS.items()}
    return msgspec.convert({"zones": zones, "edges": edges, **more}, FailoverSettings)


# --- wire


def versioned(value: msgspec.Struct) -> bytes:
    """Return a value encoded in the current version."""
    return bytes((wire.VERSION,)) + msgspec.msgpack.encode(value)


def _chunk(interval: int, zone_reports: list[ZoneReport]) -> ReportChunk:
    return ReportChunk(interval, zone_reports)


COUNTS = [3, 20, 1, 2, 0, 31, 400]

Example = tuple[Callable[[Any], bytes], Callable[[bytes], Any], Any]


def examples() -> dict[str, Example]:
    """Return, by name, an encoder, a decoder and a value."""

    def encode_chunk(value: ReportChunk) -> bytes:
        (data,) = reports.encode_reports(value.interval, value.reports)
        return data

    zone_reports = [
        ZoneReport("a1", 4, 1, 9, 0, 2, 1.5, 2.5, -9),
        ZoneReport("b1", 1, 9999, 0, 12, 9999, 1e12, 0.0, 9999),
    ]
    entries = [
        ZoneDecision("a1", ZoneState.EVACUATED, 0, 2, 77, ["b1", "b2"]),
        ZoneDecision("a2", ZoneState.LOCAL, FULL_SHARE, 1),
        ZoneDecision("b1", ZoneState.RECOVERING, 8, 255, 1 << 20),
        ZoneDecision("b2", ZoneState.DEGRADED, 32),
        ZoneDecision("c1", ZoneState.SLOW, 16),
        ZoneDecision("c2", ZoneState.PARTITIONED, 0, 3, 4, ["a1"]),
    ]
    decision_codec = (decision.encode, decision.decode)
    move_codec = (decision.encode, decision.decode_write_move)
    row_codec = (versioned, summary.decode_summary_row)
    return {
        "report chunk, empty": (encode_chunk, reports.decode_report_chunk, _chunk(0, [])),
        "report chunk": (encode_chunk, reports.decode_report_chunk, _chunk(7, zone_reports)),
        "report chunk, defaults": (
            encode_chunk,
            reports.decode_report_chunk,
            _chunk(2**53, [ZoneReport("z" * 64, 0)]),
        ),
        "report chunk, each word": (
            encode_chunk,
            reports.decode_report_chunk,
            _chunk(300, [ZoneReport(f"z{int(w)}", int(w)) for w in ZoneHealth]),
        ),
        "decision, empty": (*decision_codec, FailoverDecision()),
        "decision": (*decision_codec, FailoverDecision(entries, {"a2": 1.5, "b2": 0.0}, 3.25)),
        "decision, room alone": (*decision_codec, FailoverDecision([], {"a2": 1e12})),
        "move of writes": (*move_codec, WriteMove("north", "south", 500.0, "op")),
        "move of writes, defaults": (*move_codec, WriteMove("north", "south", 0.0)),
        "row of sums": (*row_codec, SummaryRow(COUNTS, 4, 5, 12.5, 0.0, 2, 8, [0] * 7)),
        "row of sums, empty": (*row_codec, SummaryRow([0] * 7, 0, 0, 0.0, 0.0, 0, 0, COUNTS)),
        "work of zones": (
            lambda loads: versioned(ZoneLoads(loads)),
            summary.decode_zone_loads,
            {"a1": 12.5, "b1": 0.0, "c": 1e15},
        ),
        "work of zones, none": (lambda loads: versioned(ZoneLoads(loads)), summary.decode_zone_loads, {}),
    }


# Bytes from other program versions: older ones omit the last elements, newer ones append some.
OTHER_VERSIONS = {
    "report chunk, short words": (
        "0192079192a2613104",
        reports.decode_report_chunk,
        _chunk(7, [ZoneReport("a1", 4)]),
    ),
    "report chunk, newer": (
        "0193079193a261310405c0",
        reports.decode_report_chunk,
        _chunk(7, [ZoneReport("a1", 4, 5)]),
    ),
    "decision, short": (
        "019191" + "93a261310100",
        decision.decode,
        FailoverDecision([ZoneDecision("a1", ZoneState.EVACUATED, 0)]),
    ),
    "decision, no elements": ("0190", decision.decode, FailoverDecision()),
    "decision, newer": ("01949080" + "00" + "c3", decision.decode, FailoverDecision()),
    "decision, unknown state": (
        "019191" + "93a261316340",
        decision.decode,
        FailoverDecision([ZoneDecision("a1", 99, 64)]),
    ),
    "move of writes, short": (
        "0193a161a162" + "cb0000000000000000",
        decision.decode_write_move,
        WriteMove("a", "b", 0.0),
    ),
}

# Bytes that at least one decoder must reject; the error codes are recorded.
UNDECODABLE = ["", "02", "0290", "01", "01c1", "0192", "0180", "0191a0", "01ff", "019192a26131cb"]


def decoders() -> list[Callable[[bytes], Any]]:
    """Return all decoders of bytes that come from other processes."""
    return [
        reports.decode_report_chunk,
        decision.decode,
        decision.decode_write_move,
        summary.decode_summary_row,
        summary.decode_zone_loads,
    ]


def error_codes() -> list[list[str]]:
    """Return, for each of UNDECODABLE, the error code of each decoder, or "" if it accepts the bytes."""
    results = []
    for data in UNDECODABLE:
        codes = []
        for read in decoders():
            try:
                read(bytes.fromhex(data))
                codes.append("")
            except FailoverError as error:
                codes.append(error.code)
        results.append(codes)
    return results


def settings_json() -> dict[str, str]:
    """Return settings encoded as JSON: with the default and with a changed value of every key."""
    plain = zone_settings()
    other = zone_settings(
        7,
        12.5,
        bears=0.9,
        usual=0.5,
        alone=0.8,
        reserve=0.1,
        safe_start=0.25,
        warm_ms=9000.0,
        beat_ms=100.0,
        window=3,
        slow_ms=900.0,
        least=4,
        bad_share=0.7,
        half_share=0.3,
        slow_share=0.4,
        witnesses=2,
        fresh_ms=11000.0,
        recent_ms=1900.0,
        own_share=0.2,
        confirm_ms=600.0,
        split_ms=2100.0,
        rest_ms=3100.0,
        step_ms=4600.0,
        fade_ms=200000.0,
        most_losses=5,
        least_left=0.4,
        tries=19.0,
        tells=39.0,
        calm_ms=9000.0,
        stay_ms=900.0,
        look_ms=200.0,
    )
    return {name: msgspec.json.encode(value).decode() for name, value in (("plain", plain), ("all", other))}


def rejected_settings() -> list[list[str]]:
    """Return the fields whose values contradict other settings, each with its error text."""
    results = []
    for key, value in (("usual", 0.99), ("step_ms", 100.0), ("fresh_ms", 100.0), ("half_share", 0.9)):
        try:
            zone_settings(**{key: value})
        except ValueError as error:
            results.append([key, str(error)])
    return results


# --- decisions


def outcome_classifications() -> list[list[Any]]:
    """Return how each outcome is classified at several latencies."""
    return [
        [outcome.value, latency_ms, int(classify_attempt(outcome, latency_ms, 1000.0))]
        for outcome in Outcome
        for latency_ms in (0.0, 999.9, 1000.0, 5000.0)
    ]


def move_results() -> list[list[Any]]:
    """Return, for combinations of regions, allowed loss and lag, whether a move of writes is accepted."""
    results: list[list[Any]] = []
    for source in ("north", "south", "east"):
        for target in ("north", "south", "east"):
            for max_loss_ms in (0.0, 100.0):
                for lag_ms in (None, 0.0, 50.0, 100.0, 200.0):
                    try:
                        decision.check_write_move(REGIONS, WriteMove(source, target, max_loss_ms), lag_ms)
                        answer = "moved"
                    except WriteMoveRejectedError as error:
                        answer = error.code
                    results.append([source, target, max_loss_ms, lag_ms, answer])
    return results


def _draw_failure_fractions(source: random.Random) -> dict[str, float]:
    """Draw the fraction of attempts that fail, by zone."""
    return {name: source.choice([0.0, 0.0, 0.0, 0.02, 0.3, 0.5, 0.9, 1.0]) for name in NAMES}


def local_evidence(seed: int) -> str:
    """Return the digest of one edge's evidence over 300 attempts with random pauses."""
    source = random.Random(seed)
    digest = Digest()
    settings = zone_settings(source.choice([1, 24, 230]), window=source.choice([1, 4, 8]))
    local = LocalEvidence(settings, 0.0)
    now_ms, failure_fractions, slow = 0.0, _draw_failure_fractions(source), source.random() < 0.4
    for _ in range(300):
        now_ms += source.choice([1.0, 20.0, 150.0, 150.0, 700.0, 15000.0 if source.random() < 0.1 else 5.0])
        if source.random() < 0.03:
            failure_fractions, slow = _draw_failure_fractions(source), source.random() < 0.4
        local.advance(now_ms)
        zone = source.choice([*NAMES, *NAMES, "elsewhere"])
        attempt_result = (
            AttemptEvidence.FAILED
            if source.random() < failure_fractions.get(zone, 0)
            else AttemptEvidence.REACHED
        )
        if attempt_result is AttemptEvidence.REACHED and slow and source.random() < 0.7:
            attempt_result = AttemptEvidence.SLOW
        local.record_attempt(
            zone,
            AttemptEvidence.INCONCLUSIVE if source.random() < 0.02 else attempt_result,
            source.uniform(0.1, 9.0),
        )
        local.record_demand(source.choice(NAMES), source.uniform(0.1, 9.0))
        if source.random() < 0.01:
            local.reset_zone(source.choice([*NAMES, "elsewhere"]))
        report_interval_ms, min_interval_ms = (
            source.choice([None, None, 500.0, 2000.0]),
            source.choice([0.0, 0.0, 0.0, 4000.0]),
        )
        for change in local.due_updates(now_ms, source.random() < 0.2, report_interval_ms, min_interval_ms):
            digest.add([change.key, change.value])
        digest.add(
            [[int(local.health(name)), local.idle_ms(name), local.reported_demand(name)] for name in NAMES]
        )
        digest.add([[local.interval, local.unknown_zone_attempts], msgspec.msgpack.encode(local.reports())])
    return digest.hex()


def _received_reports(reports_by_origin: dict[Any, dict[str, Any]]) -> list[Any]:
    return [
        [
            *origin,
            zone,
            msgspec.msgpack.encode(received.report),
            received.age_ms,
            received.interval,
            received.sender_age_ms,
        ]
        for origin, zone_reports in sorted(reports_by_origin.items())
        for zone, received in sorted(zone_reports.items())
    ]


def _random_report(source: random.Random, zone: str, health: int) -> ZoneReport:
    failed = {0: 0, 1: source.choice([0, 0, 0, 1]), 2: 0, 3: 5, 4: source.choice([9, 9, 9, 3])}[health]
    reached = {0: 0, 1: 9, 2: 9, 3: 5, 4: source.choice([0, 0, 0, 2])}[health]
    streak = {0: 0, 1: source.choice([9, 9, 9, -1]), 2: 9, 3: source.choice([-1, 2]), 4: -9}[health]
    age = source.choice([0, 0, 0, 0, 1, 5, 30])
    return ZoneReport(
        zone,
        health,
        reached,
        failed,
        reached * (health == 2),
        age,
        round(source.uniform(0, 20), 3),
        source.choice([0.0, round(source.uniform(0, 20), 3)]),
        streak,
    )


def fleet_evidence(seed: int) -> str:
    """Return the digest of evidence from many edges' reports, out of order and partly malformed."""
    source = random.Random(seed)
    digest = Digest()
    reader = FleetEvidence(zone_settings(), max_origins=source.choice([4, 8, 100]))
    origins = [(f"e{n}", incarnation) for n in range(6) for incarnation in (1, 2)]
    now_ms = 0.0
    for _ in range(120):
        now_ms += source.choice([0.0, 50.0, 400.0, 4000.0])
        origin = source.choice(origins)
        zone_reports = [
            _random_report(source, zone, source.randrange(5)) for zone in NAMES if source.random() < 0.7
        ]
        if source.random() < 0.1:
            zone_reports.append(ZoneReport("elsewhere", 4, 0, 9, 0, 0, 5.0, 5.0, -9))
        (data,) = reports.encode_reports(source.randrange(200), zone_reports)
        value: bytes | None = data
        if source.random() < 0.1:
            value = bytes([source.randrange(4)]) + data[1 : source.randrange(len(data))]
        elif source.random() < 0.1:
            value = None
        key = source.choice(["zones/0", "zones/0", "zones/1", "zones/15", "zones/1000", "other/0"])
        digest.add(reader.receive(origin, key, value, now_ms))
        if source.random() < 0.05:
            reader.forget(source.choice(origins))
        if source.random() < 0.05:
            reader.retain(source.sample(origins, 9))
        if source.random() < 0.3:
            digest.add(_received_reports(reader.reports(now_ms)))
            digest.add(_received_reports(reader.reports(now_ms, source.sample(origins, 5))))
            digest.add([sorted(reader.zone_loads(now_ms).items()), reader.is_any_zone_accused(now_ms)])
            digest.add([sorted(reader.latest_intervals().items()), reader.rejected, dict(reader.status())])
    return digest.hex()


SCENARIOS = [
    "calm",
    "lost",
    "lost",
    "half",
    "slow",
    "blind",
    "noise",
    "liars",
    "own",
    "two",
    "unheard",
    "back",
]


class SimulatedFleet:
    """Edges of four zones whose reports follow randomly drawn scenarios."""

    def __init__(self, source: random.Random) -> None:
        """Draw the settings and the members at random."""
        self.source = source
        edges = source.choice([3, 8, 24])
        self.settings = zone_settings(
            edges,
            least_left=source.choice([0.3, 0.3, 0.6]),
            fade_ms=source.choice([4000.0, 300000.0]),
            witnesses=source.choice([2, 3]),
            most_losses=source.choice([2, 6]),
            rest_ms=source.choice([1000.0, 3000.0]),
            step_ms=3500.0,
        )
        self.members = [
            ZoneMember((f"e{n}", 1), NAMES[n % 4], source.random() < 0.95, True) for n in range(edges)
        ] + [ZoneMember(("p0", 1), "a1", True, False)]
        self.now_ms, self.interval, self.scenario, self.target_zone = 0.0, 1, "calm", "a1"
        self.edge_zone, self.chosen_edges = "b1", set[str]()

    def advance(self) -> None:
        """Advance the time by one step; sometimes a new scenario begins or members change."""
        self.now_ms += self.source.choice([250.0, 250.0, 250.0, 1000.0])
        self.interval += 1
        if self.source.random() < 0.07:
            self.scenario = self.source.choice(SCENARIOS)
            self.target_zone, self.edge_zone = self.source.choice(NAMES), self.source.choice(NAMES)
            self.chosen_edges = {m.origin[0] for m in self.members if self.source.random() < 0.2}
        if self.source.random() < 0.02:
            self.members = [
                ZoneMember(m.origin, m.zone, self.source.random() < 0.95, m.is_edge) for m in self.members
            ]

    def _draw_health(self, member: ZoneMember, zone: str) -> int:
        scenario, is_target = self.scenario, zone == self.target_zone
        if scenario == "noise":
            return self.source.randrange(5)
        if scenario == "liars" and member.origin[0] in self.chosen_edges:
            return int(ZoneHealth.UNREACHABLE)
        if scenario == "own" and member.zone != zone:
            return int(ZoneHealth.UNKNOWN)
        if scenario == "two" and zone in (self.target_zone, self.edge_zone):
            return int(ZoneHealth.UNREACHABLE)
        if is_target and scenario in ("lost", "own", "unheard") and self.source.random() < 0.97:
            return int(ZoneHealth.UNREACHABLE)
        if is_target and scenario == "half" and self.source.random() < 0.9:
            return int(ZoneHealth.DEGRADED)
        if is_target and scenario == "slow" and self.source.random() < 0.9:
            return int(ZoneHealth.SLOW)
        if is_target and scenario == "blind" and member.zone == self.edge_zone:
            return int(ZoneHealth.UNREACHABLE)
        return int(ZoneHealth.HEALTHY)

    def reports(self) -> Iterator[tuple[ZoneMember, bytes]]:
        """Yield the encoded report of each edge that reports in this step."""
        for member in self.members:
            if not member.is_edge or self.source.random() < UNREPORTED_FRACTION:
                continue
            zone_reports = [
                _random_report(self.source, zone, self._draw_health(member, zone)) for zone in NAMES
            ]
            (data,) = reports.encode_reports(self.interval, zone_reports)
            yield member, data


def _witness_counts(memory: EvaluationMemory) -> list[Any]:
    return [
        [
            zone,
            sorted(t.unreachable.items()),
            sorted(t.reachable.items()),
            sorted(t.degraded.items()),
            t.slow,
            t.suspects,
            sorted(t.failed_attempts.items()),
            sorted(t.attempts.items()),
            [t.total_unreachable, t.total_reachable],
        ]
        for zone, t in sorted(memory.witnesses.items())
    ]


def decisions_by_reports(seed: int) -> tuple[str, list[tuple[int, int]]]:
    """Return the digest of decisions by a leader with all reports, and the states and shares in them."""
    source = random.Random(seed)
    fleet, digest, memory = SimulatedFleet(source), Digest(), EvaluationMemory()
    evidence, current, states = FleetEvidence(fleet.settings), None, set()
    for _ in range(240):
        fleet.advance()
        for member, data in fleet.reports():
            evidence.receive(member.origin, "zones/0", data, fleet.now_ms)
        if source.random() < 0.02:
            memory = EvaluationMemory()
        view = ReportView(fleet.settings, fleet.members, evidence, fleet.now_ms)
        result = evaluate(fleet.settings, fleet.members, view, current, fleet.now_ms, memory)
        digest.add(_witness_counts(memory))
        digest.add(decision.encode(result) if result is not None else None)
        if result is not None and source.random() < 0.9:
            current = result
            states |= {(int(e.state), e.share) for e in result.zones}
            memory.record_decision(fleet.now_ms)
    return digest.hex(), sorted(states)


def decisions_by_summaries(seed: int) -> tuple[str, list[tuple[int, int]]]:
    """Return the digest of decisions by collectors' summaries, and the states and shares in them."""
    source = random.Random(seed)
    fleet, digest, memory = SimulatedFleet(source), Digest(), EvaluationMemory()
    collectors = {name: ReportSummarizer(fleet.settings) for name in NAMES}
    current, states = None, set()
    for _ in range(160):
        fleet.advance()
        for member, data in fleet.reports():
            collectors[member.zone].receive(member.origin, "zones/0", data, fleet.now_ms)
        if source.random() < 0.05:
            collectors[source.choice(NAMES)].forget(source.choice(fleet.members).origin)
        rows, senders = {}, {}
        for name, collector in collectors.items():
            collector.apply_decision(current, fleet.now_ms)
            if fleet.scenario == "unheard" and name == fleet.edge_zone:
                continue
            origins = [m.origin for m in fleet.members if m.zone == name and m.is_edge]
            rows[name] = collector.summarize(name, origins, fleet.now_ms)
            senders[name] = len(origins)
        if source.random() < 0.1:
            rows.setdefault("a1", {})["zones/b1"] = b"\x01\xc1"
        digest.add(rows)
        digest.add(list(collectors["a1"].broadcast(rows, fleet.now_ms)))
        view = SummaryView(fleet.settings, fleet.members, rows, senders)
        digest.add(
            [
                sorted(view.unreported_zones()),
                [[view.load(z), view.remote_requesters(z), view.demand(z, ["b1"])] for z in NAMES],
            ]
        )
        result = evaluate(fleet.settings, fleet.members, view, current, fleet.now_ms, memory)
        digest.add(_witness_counts(memory))
        digest.add(decision.encode(result) if result is not None else None)
        if result is not None:
            current = result
            states |= {(int(e.state), e.share) for e in result.zones}
            memory.record_decision(fleet.now_ms)
    return digest.hex(), sorted(states)


def _draw_decision(source: random.Random, number: int) -> Decision:
    """Draw a random decision about the zones; one in ten cannot be decoded."""
    if source.random() < 0.1:
        return Decision(decision.TOPIC, number, b"\x09nonsense", 1000.0)
    entries = []
    for zone in NAMES:
        if source.random() < 0.5:
            continue
        state = source.choice([*ZoneState, 77 if source.random() < 0.1 else ZoneState.EVACUATED])
        share = (
            0 if state in (ZoneState.EVACUATED, ZoneState.PARTITIONED) else source.choice([1, 8, 16, 32, 64])
        )
        blind = source.sample(NAMES, 2) if state == ZoneState.PARTITIONED or source.random() < 0.1 else []
        entries.append(
            ZoneDecision(zone, int(state), share, source.randrange(3), source.choice([0, 1, 24]), blind)
        )
    spare_capacity = {zone: source.uniform(0, 300) for zone in NAMES if source.random() < 0.6}
    failover_decision = FailoverDecision(entries, spare_capacity, source.choice([0.0, 10.0, 300.0]))
    return Decision(decision.TOPIC, number, decision.encode(failover_decision), 10000.0)


READ_ZONES = [NAMES, ["a1", "b1"], ["a2"], [], ["elsewhere"], ["b1", "b2", "elsewhere"]]


def _apply_random_decision(source: random.Random, router: ZoneRouter, number: int, now_ms: float) -> None:
    if source.random() < 0.1:
        value = (
            decision.encode(WriteMove("north", "south", 5.0, "op")) if source.random() < 0.8 else b"\x01\xc1"
        )
        move = Decision(decision.WRITE_MOVE_TOPIC, number, value, 1000.0)
        ended = Expired(move, now_ms) if source.random() < 0.5 else move
        router.apply_decision(decision.WRITE_MOVE_TOPIC, source.choice([ended, ended, None]), now_ms)
        return
    decree = _draw_decision(source, number)
    variants = [decree, decree, decree, Expired(decree, now_ms), None]
    router.apply_decision(source.choice([decision.TOPIC] * 9 + ["others"]), source.choice(variants), now_ms)


def routing_results(seed: int) -> tuple[str, list[str]]:
    """Return the digest of one edge's routing of 900 reads, and the kinds of answers among them."""
    source = random.Random(seed)
    settings = zone_settings(source.choice([1, 4, 24]), source.choice([50.0, 300.0]))
    router = ZoneRouter(source.choice(NAMES), REGIONS, settings, 0.0, random.Random(seed + 1))
    digest, now_ms, failure_fractions, answer_kinds = Digest(), 0.0, _draw_failure_fractions(source), set()
    for number in range(900):
        now_ms += source.choice([1.0, 5.0, 20.0, 20.0, 60.0, 12000.0 if source.random() < 0.02 else 10.0])
        if source.random() < 0.01:
            failure_fractions = _draw_failure_fractions(source)
        if source.random() < 0.02:
            _apply_random_decision(source, router, number, now_ms)
        if source.random() < 0.02:
            router.update_zone_loads(
                {zone: source.uniform(0, 400) for zone in NAMES if source.random() < 0.7}
            )
        if source.random() < 0.05:
            for change in router.evidence.due_updates(now_ms, router.wants_evidence()):
                digest.add([change.key, change.value])
        units = source.choice([0.5, 1.0, 1.0, 8.0])
        home = source.choice(["", "", "", "b1", "elsewhere"])
        answer = router.route(source.choice(READ_ZONES), units, source.random() < 0.2, now_ms, home)
        if isinstance(answer, Route):
            digest.add(["route", answer.zone, answer.tier])
            answer_kinds.add(f"tier {answer.tier}")
            source.random()
            latency_ms = source.choice([5.0, 5.0, 5.0, 1500.0])
            failed = source.random() < failure_fractions[answer.zone]
            failed_outcome = source.choice([Outcome.TIMEOUT, Outcome.RESET, Outcome.NO_CONNECTION])
            answered_outcome = source.choice(
                [Outcome.OK, Outcome.OK, Outcome.FULL, Outcome.CANCELLED, Outcome.ABANDONED]
            )
            if source.random() < 0.95:
                router.record_attempt(
                    answer.zone, units, failed_outcome if failed else answered_outcome, now_ms + 1, latency_ms
                )
        else:
            digest.add(["refuse", answer.retry_after_ms, answer.reason])
            answer_kinds.add(answer.reason)
        if source.random() < 0.02:
            router.record_attempt("elsewhere", units, Outcome.OK, now_ms, 5.0)
        if number % 50 == 0:
            digest.add([router.status(), router.evidence.unknown_zone_attempts])
    return digest.hex(), sorted(answer_kinds)


def cluster_results(seed: int) -> tuple[str, int]:
    """Return the digest of 40 s of a small cluster, and the version of its last decision."""
    settings = zone_settings(
        6,
        150.0,
        beat_ms=200.0,
        rest_ms=600.0,
        step_ms=700.0,
        warm_ms=2000.0,
        calm_ms=2000.0,
        recent_ms=3000.0,
    )
    return zones_cluster.run_cluster(seed, settings, {zone: REGIONS[zone] for zone in NAMES[:3]})


def admin_answers() -> list[list[Any]]:
    """Return the answers of the admin port."""
    return zones_cluster.admin_answers(zone_settings(), REGIONS)
