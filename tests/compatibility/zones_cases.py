"""Example values and seeded streams of the zones' part, shared by the recording program and the test.

Results are written as their wire bytes where they have any, and as plain lists elsewhere, so that a digest
holds no name of a class or a field.
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
NEVER_TOLD = 0.15  # of the edges in a stream tell nothing


def zone_settings(edges: int = 24, capacity: float = 300.0, **more: Any) -> FailoverSettings:
    """Return settings of four zones in two regions, read by their outer keys."""
    zones = {name: {"region": region, "capacity": capacity} for name, region in REGIONS.items()}
    return msgspec.convert({"zones": zones, "edges": edges, **more}, FailoverSettings)


# --- wire


def versioned(value: msgspec.Struct) -> bytes:
    """Return the bytes of a value of this version."""
    return bytes((wire.VERSION,)) + msgspec.msgpack.encode(value)


def _piece(beat: int, words: list[ZoneReport]) -> ReportChunk:
    return ReportChunk(beat, words)


COUNTS = [3, 20, 1, 2, 0, 31, 400]

Example = tuple[Callable[[Any], bytes], Callable[[bytes], Any], Any]


def examples() -> dict[str, Example]:
    """Return by name: how a value is written, how its bytes are read, and the value."""

    def write_piece(value: ReportChunk) -> bytes:
        (data,) = reports.encode_reports(value.interval, value.reports)
        return data

    said = [
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
    verdict = (decision.encode, decision.decode)
    move = (decision.encode, decision.decode_write_move)
    row = (versioned, summary.decode_summary_row)
    return {
        "report chunk, empty": (write_piece, reports.decode_report_chunk, _piece(0, [])),
        "report chunk": (write_piece, reports.decode_report_chunk, _piece(7, said)),
        "report chunk, defaults": (
            write_piece,
            reports.decode_report_chunk,
            _piece(2**53, [ZoneReport("z" * 64, 0)]),
        ),
        "report chunk, each word": (
            write_piece,
            reports.decode_report_chunk,
            _piece(300, [ZoneReport(f"z{int(w)}", int(w)) for w in ZoneHealth]),
        ),
        "decision, empty": (*verdict, FailoverDecision()),
        "decision": (*verdict, FailoverDecision(entries, {"a2": 1.5, "b2": 0.0}, 3.25)),
        "decision, room alone": (*verdict, FailoverDecision([], {"a2": 1e12})),
        "move of writes": (*move, WriteMove("north", "south", 500.0, "op")),
        "move of writes, defaults": (*move, WriteMove("north", "south", 0.0)),
        "row of sums": (*row, SummaryRow(COUNTS, 4, 5, 12.5, 0.0, 2, 8, [0] * 7)),
        "row of sums, empty": (*row, SummaryRow([0] * 7, 0, 0, 0.0, 0.0, 0, 0, COUNTS)),
        "work of zones": (
            lambda loads: versioned(ZoneLoads(loads)),
            summary.decode_zone_loads,
            {"a1": 12.5, "b1": 0.0, "c": 1e15},
        ),
        "work of zones, none": (lambda loads: versioned(ZoneLoads(loads)), summary.decode_zone_loads, {}),
    }


# What other programs may send: older ones leave the last elements out, newer ones append some.
FOREIGN = {
    "report chunk, short words": (
        "0192079192a2613104",
        reports.decode_report_chunk,
        _piece(7, [ZoneReport("a1", 4)]),
    ),
    "report chunk, newer": (
        "0193079193a261310405c0",
        reports.decode_report_chunk,
        _piece(7, [ZoneReport("a1", 4, 5)]),
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

# Bytes that none of the readers takes, and the code of the error with which each of them says so.
UNREADABLE = ["", "02", "0290", "01", "01c1", "0192", "0180", "0191a0", "01ff", "019192a26131cb"]


def readers() -> list[Callable[[bytes], Any]]:
    """Return all readers of bytes that come from other processes."""
    return [
        reports.decode_report_chunk,
        decision.decode,
        decision.decode_write_move,
        summary.decode_summary_row,
        summary.decode_zone_loads,
    ]


def refusals() -> list[list[str]]:
    """Return, for each of UNREADABLE, the error code of each reader, or "" where it reads them."""
    found = []
    for data in UNREADABLE:
        codes = []
        for read in readers():
            try:
                read(bytes.fromhex(data))
                codes.append("")
            except FailoverError as error:
                codes.append(error.code)
        found.append(codes)
    return found


def settings_texts() -> dict[str, str]:
    """Return settings as a file holds them, with every key."""
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


def contradictions() -> list[list[str]]:
    """Return settings that contradict themselves, and the field that the error names."""
    found = []
    for key, value in (("usual", 0.99), ("step_ms", 100.0), ("fresh_ms", 100.0), ("half_share", 0.9)):
        try:
            zone_settings(**{key: value})
        except ValueError as error:
            found.append([key, str(error)])
    return found


# --- decisions


def outcome_kinds() -> list[list[Any]]:
    """Return what each outcome says of a zone, fast and slow."""
    return [
        [outcome.value, lag, int(classify_attempt(outcome, lag, 1000.0))]
        for outcome in Outcome
        for lag in (0.0, 999.9, 1000.0, 5000.0)
    ]


def moves() -> list[list[Any]]:
    """Return which moves of writes are refused."""
    found: list[list[Any]] = []
    for source in ("north", "south", "east"):
        for target in ("north", "south", "east"):
            for lost in (0.0, 100.0):
                for behind in (None, 0.0, 50.0, 100.0, 200.0):
                    try:
                        decision.check_write_move(REGIONS, WriteMove(source, target, lost), behind)
                        answer = "moved"
                    except WriteMoveRejectedError as error:
                        answer = error.code
                    found.append([source, target, lost, behind, answer])
    return found


def _fault(source: random.Random) -> dict[str, float]:
    """Draw how large a part of attempts fails, by zone."""
    return {name: source.choice([0.0, 0.0, 0.0, 0.02, 0.3, 0.5, 0.9, 1.0]) for name in NAMES}


def local_evidence(seed: int) -> str:
    """Return the digest of one edge's evidence over 300 attempts and pauses."""
    source = random.Random(seed)
    digest = Digest()
    settings = zone_settings(source.choice([1, 24, 230]), window=source.choice([1, 4, 8]))
    own = LocalEvidence(settings, 0.0)
    now, failing, slow = 0.0, _fault(source), source.random() < 0.4
    for _ in range(300):
        now += source.choice([1.0, 20.0, 150.0, 150.0, 700.0, 15000.0 if source.random() < 0.1 else 5.0])
        if source.random() < 0.03:
            failing, slow = _fault(source), source.random() < 0.4
        own.advance(now)
        zone = source.choice([*NAMES, *NAMES, "elsewhere"])
        kind = AttemptEvidence.FAILED if source.random() < failing.get(zone, 0) else AttemptEvidence.REACHED
        if kind is AttemptEvidence.REACHED and slow and source.random() < 0.7:
            kind = AttemptEvidence.SLOW
        own.record_attempt(
            zone, AttemptEvidence.INCONCLUSIVE if source.random() < 0.02 else kind, source.uniform(0.1, 9.0)
        )
        own.record_demand(source.choice(NAMES), source.uniform(0.1, 9.0))
        if source.random() < 0.01:
            own.reset_zone(source.choice([*NAMES, "elsewhere"]))
        pace, least = source.choice([None, None, 500.0, 2000.0]), source.choice([0.0, 0.0, 0.0, 4000.0])
        for change in own.due_updates(now, source.random() < 0.2, pace, least):
            digest.add([change.key, change.value])
        digest.add([[int(own.health(name)), own.idle_ms(name), own.reported_demand(name)] for name in NAMES])
        digest.add([[own.interval, own.unknown_zone_attempts], msgspec.msgpack.encode(own.reports())])
    return digest.hex()


def _words_of(found: dict[Any, dict[str, Any]]) -> list[Any]:
    return [
        [
            *origin,
            zone,
            msgspec.msgpack.encode(heard.report),
            heard.age_ms,
            heard.interval,
            heard.sender_age_ms,
        ]
        for origin, words in sorted(found.items())
        for zone, heard in sorted(words.items())
    ]


def _said(source: random.Random, zone: str, word: int) -> ZoneReport:
    bad = {0: 0, 1: source.choice([0, 0, 0, 1]), 2: 0, 3: 5, 4: source.choice([9, 9, 9, 3])}[word]
    good = {0: 0, 1: 9, 2: 9, 3: 5, 4: source.choice([0, 0, 0, 2])}[word]
    run = {0: 0, 1: source.choice([9, 9, 9, -1]), 2: 9, 3: source.choice([-1, 2]), 4: -9}[word]
    age = source.choice([0, 0, 0, 0, 1, 5, 30])
    return ZoneReport(
        zone,
        word,
        good,
        bad,
        good * (word == 2),
        age,
        round(source.uniform(0, 20), 3),
        source.choice([0.0, round(source.uniform(0, 20), 3)]),
        run,
    )


def fleet_evidence(seed: int) -> str:
    """Return the digest of what a reader holds of many edges' reports, in any order, some unreadable."""
    source = random.Random(seed)
    digest = Digest()
    reader = FleetEvidence(zone_settings(), max_origins=source.choice([4, 8, 100]))
    origins = [(f"e{n}", life) for n in range(6) for life in (1, 2)]
    now = 0.0
    for _ in range(120):
        now += source.choice([0.0, 50.0, 400.0, 4000.0])
        origin = source.choice(origins)
        words = [_said(source, zone, source.randrange(5)) for zone in NAMES if source.random() < 0.7]
        if source.random() < 0.1:
            words.append(ZoneReport("elsewhere", 4, 0, 9, 0, 0, 5.0, 5.0, -9))
        (data,) = reports.encode_reports(source.randrange(200), words)
        value: bytes | None = data
        if source.random() < 0.1:
            value = bytes([source.randrange(4)]) + data[1 : source.randrange(len(data))]
        elif source.random() < 0.1:
            value = None
        key = source.choice(["zones/0", "zones/0", "zones/1", "zones/15", "zones/1000", "other/0"])
        digest.add(reader.receive(origin, key, value, now))
        if source.random() < 0.05:
            reader.forget(source.choice(origins))
        if source.random() < 0.05:
            reader.retain(source.sample(origins, 9))
        if source.random() < 0.3:
            digest.add(_words_of(reader.reports(now)))
            digest.add(_words_of(reader.reports(now, source.sample(origins, 5))))
            digest.add([sorted(reader.zone_loads(now).items()), reader.is_any_zone_accused(now)])
            digest.add([sorted(reader.latest_intervals().items()), reader.rejected, dict(reader.status())])
    return digest.hex()


SCENES = [
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


class FleetStream:
    """Edges of four zones whose reports follow drawn scenes, and a leader that judges them."""

    def __init__(self, source: random.Random) -> None:
        """Draw the settings and the members."""
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
        self.now, self.beat, self.scene, self.target = 0.0, 1, "calm", "a1"
        self.place, self.chosen = "b1", set[str]()

    def turn(self) -> None:
        """Let time pass; now and then a new scene begins."""
        self.now += self.source.choice([250.0, 250.0, 250.0, 1000.0])
        self.beat += 1
        if self.source.random() < 0.07:
            self.scene = self.source.choice(SCENES)
            self.target, self.place = self.source.choice(NAMES), self.source.choice(NAMES)
            self.chosen = {m.origin[0] for m in self.members if self.source.random() < 0.2}
        if self.source.random() < 0.02:
            self.members = [
                ZoneMember(m.origin, m.zone, self.source.random() < 0.95, m.is_edge) for m in self.members
            ]

    def _word(self, member: ZoneMember, zone: str) -> int:
        scene, hit = self.scene, zone == self.target
        if scene == "noise":
            return self.source.randrange(5)
        if scene == "liars" and member.origin[0] in self.chosen:
            return int(ZoneHealth.UNREACHABLE)
        if scene == "own" and member.zone != zone:
            return int(ZoneHealth.UNKNOWN)
        if scene == "two" and zone in (self.target, self.place):
            return int(ZoneHealth.UNREACHABLE)
        if hit and scene in ("lost", "own", "unheard") and self.source.random() < 0.97:
            return int(ZoneHealth.UNREACHABLE)
        if hit and scene == "half" and self.source.random() < 0.9:
            return int(ZoneHealth.DEGRADED)
        if hit and scene == "slow" and self.source.random() < 0.9:
            return int(ZoneHealth.SLOW)
        if hit and scene == "blind" and member.zone == self.place:
            return int(ZoneHealth.UNREACHABLE)
        return int(ZoneHealth.HEALTHY)

    def reports(self) -> Iterator[tuple[ZoneMember, bytes]]:
        """Return what the edges tell now."""
        for member in self.members:
            if not member.is_edge or self.source.random() < NEVER_TOLD:
                continue
            words = [_said(self.source, zone, self._word(member, zone)) for zone in NAMES]
            (data,) = reports.encode_reports(self.beat, words)
            yield member, data


def _tallies(memory: EvaluationMemory) -> list[Any]:
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


def verdicts_by_reports(seed: int) -> tuple[str, list[tuple[int, int]]]:
    """Return the digest of a leader's verdicts that hears all edges, and the states and parts it went by."""
    source = random.Random(seed)
    stream, digest, memory = FleetStream(source), Digest(), EvaluationMemory()
    heard, standing, states = FleetEvidence(stream.settings), None, set()
    for _ in range(240):
        stream.turn()
        for member, data in stream.reports():
            heard.receive(member.origin, "zones/0", data, stream.now)
        if source.random() < 0.02:
            memory = EvaluationMemory()
        view = ReportView(stream.settings, stream.members, heard, stream.now)
        result = evaluate(stream.settings, stream.members, view, standing, stream.now, memory)
        digest.add(_tallies(memory))
        digest.add(decision.encode(result) if result is not None else None)
        if result is not None and source.random() < 0.9:
            standing = result
            states |= {(int(e.state), e.share) for e in result.zones}
            memory.record_decision(stream.now)
    return digest.hex(), sorted(states)


def verdicts_by_sums(seed: int) -> tuple[str, list[tuple[int, int]]]:
    """Return the digest of collectors' sums and of the verdicts of a leader that has these alone."""
    source = random.Random(seed)
    stream, digest, memory = FleetStream(source), Digest(), EvaluationMemory()
    collectors = {name: ReportSummarizer(stream.settings) for name in NAMES}
    standing, states = None, set()
    for _ in range(160):
        stream.turn()
        for member, data in stream.reports():
            collectors[member.zone].receive(member.origin, "zones/0", data, stream.now)
        if source.random() < 0.05:
            collectors[source.choice(NAMES)].forget(source.choice(stream.members).origin)
        rows, tellers = {}, {}
        for name, collector in collectors.items():
            collector.apply_decision(standing, stream.now)
            if stream.scene == "unheard" and name == stream.place:
                continue
            origins = [m.origin for m in stream.members if m.zone == name and m.is_edge]
            rows[name] = collector.summarize(name, origins, stream.now)
            tellers[name] = len(origins)
        if source.random() < 0.1:
            rows.setdefault("a1", {})["zones/b1"] = b"\x01\xc1"
        digest.add(rows)
        digest.add(list(collectors["a1"].broadcast(rows, stream.now)))
        view = SummaryView(stream.settings, stream.members, rows, tellers)
        digest.add(
            [
                sorted(view.unreported_zones()),
                [[view.load(z), view.remote_requesters(z), view.demand(z, ["b1"])] for z in NAMES],
            ]
        )
        result = evaluate(stream.settings, stream.members, view, standing, stream.now, memory)
        digest.add(_tallies(memory))
        digest.add(decision.encode(result) if result is not None else None)
        if result is not None:
            standing = result
            states |= {(int(e.state), e.share) for e in result.zones}
            memory.record_decision(stream.now)
    return digest.hex(), sorted(states)


def _decree(source: random.Random, number: int) -> Decision:
    """Draw what may stand of the zones."""
    if source.random() < 0.1:
        return Decision(decision.TOPIC, number, b"\x09nonsense", 1000.0)
    entries = []
    for zone in NAMES:
        if source.random() < 0.5:
            continue
        state = source.choice([*ZoneState, 77 if source.random() < 0.1 else ZoneState.EVACUATED])
        part = (
            0 if state in (ZoneState.EVACUATED, ZoneState.PARTITIONED) else source.choice([1, 8, 16, 32, 64])
        )
        blind = source.sample(NAMES, 2) if state == ZoneState.PARTITIONED or source.random() < 0.1 else []
        entries.append(
            ZoneDecision(zone, int(state), part, source.randrange(3), source.choice([0, 1, 24]), blind)
        )
    room = {zone: source.uniform(0, 300) for zone in NAMES if source.random() < 0.6}
    verdict = FailoverDecision(entries, room, source.choice([0.0, 10.0, 300.0]))
    return Decision(decision.TOPIC, number, decision.encode(verdict), 10000.0)


READ_ZONES = [NAMES, ["a1", "b1"], ["a2"], [], ["elsewhere"], ["b1", "b2", "elsewhere"]]


def _decreed(source: random.Random, choice: ZoneRouter, number: int, now: float) -> None:
    if source.random() < 0.1:
        value = (
            decision.encode(WriteMove("north", "south", 5.0, "op")) if source.random() < 0.8 else b"\x01\xc1"
        )
        move = Decision(decision.WRITE_MOVE_TOPIC, number, value, 1000.0)
        ended = Expired(move, now) if source.random() < 0.5 else move
        choice.apply_decision(decision.WRITE_MOVE_TOPIC, source.choice([ended, ended, None]), now)
        return
    decree = _decree(source, number)
    ways = [decree, decree, decree, Expired(decree, now), None]
    choice.apply_decision(source.choice([decision.TOPIC] * 9 + ["others"]), source.choice(ways), now)


def choices(seed: int) -> tuple[str, list[str]]:
    """Return the digest of one edge's choices over 900 reads, and the kinds of answers among them."""
    source = random.Random(seed)
    settings = zone_settings(source.choice([1, 4, 24]), source.choice([50.0, 300.0]))
    choice = ZoneRouter(source.choice(NAMES), REGIONS, settings, 0.0, random.Random(seed + 1))
    digest, now, failing, kinds = Digest(), 0.0, _fault(source), set()
    for number in range(900):
        now += source.choice([1.0, 5.0, 20.0, 20.0, 60.0, 12000.0 if source.random() < 0.02 else 10.0])
        if source.random() < 0.01:
            failing = _fault(source)
        if source.random() < 0.02:
            _decreed(source, choice, number, now)
        if source.random() < 0.02:
            choice.update_zone_loads(
                {zone: source.uniform(0, 400) for zone in NAMES if source.random() < 0.7}
            )
        if source.random() < 0.05:
            for change in choice.evidence.due_updates(now, choice.wants_evidence()):
                digest.add([change.key, change.value])
        units = source.choice([0.5, 1.0, 1.0, 8.0])
        home = source.choice(["", "", "", "b1", "elsewhere"])
        answer = choice.route(source.choice(READ_ZONES), units, source.random() < 0.2, now, home)
        if isinstance(answer, Route):
            digest.add(["route", answer.zone, answer.tier])
            kinds.add(f"tier {answer.tier}")
            source.random()
            lag = source.choice([5.0, 5.0, 5.0, 1500.0])
            failed = source.random() < failing[answer.zone]
            bad = source.choice([Outcome.TIMEOUT, Outcome.RESET, Outcome.NO_CONNECTION])
            good = source.choice([Outcome.OK, Outcome.OK, Outcome.FULL, Outcome.CANCELLED, Outcome.ABANDONED])
            if source.random() < 0.95:
                choice.record_attempt(answer.zone, units, bad if failed else good, now + 1, lag)
        else:
            digest.add(["refuse", answer.retry_after_ms, answer.reason])
            kinds.add(answer.reason)
        if source.random() < 0.02:
            choice.record_attempt("elsewhere", units, Outcome.OK, now, 5.0)
        if number % 50 == 0:
            digest.add([choice.status(), choice.evidence.unknown_zone_attempts])
    return digest.hex(), sorted(kinds)


def clusters(seed: int) -> tuple[str, int]:
    """Return the digest of 40 s of a small cluster, and how many decrees there were."""
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
    return zones_cluster.cluster(seed, settings, {zone: REGIONS[zone] for zone in NAMES[:3]})


def admin_answers() -> list[list[Any]]:
    """Return the answers of the admin port."""
    return zones_cluster.admin_answers(zone_settings(), REGIONS)
