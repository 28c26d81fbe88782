"""Examples and seeded streams of copies: what goes over the wire, what nodes keep, what is decided."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import anyio
import msgspec
import trio
import trio.testing

from cressrock.consensus import decisions as d
from cressrock.consensus.decision_cache import DecisionCache
from cressrock.dispatch.ledger import Verdict
from cressrock.dispatch.node_client import NoConnectionError
from cressrock.dispatch.operation import Operation, Reply, Result
from cressrock.dispatch.reasons import Reason
from cressrock.dispatch.transport import Denial
from cressrock.errors import CressrockError
from cressrock.errors.consensus import DecisionConflictError, NoQuorumError
from cressrock.errors.replication import TransitionNotAllowedError
from cressrock.http.channel import Headers
from cressrock.interface import ListKind, Node, NodeList, NodeState, Outcome
from cressrock.lab.copysim import Text
from cressrock.lab.rack import Done, Rack, Task
from cressrock.membership.packets import MemberState
from cressrock.membership.types import Member
from cressrock.replication import (
    headers,
    in_sync_set,
    known_set,
    manager,
    node_protocol,
    operations,
    publisher,
    reachability,
    read,
    records,
    repair,
    repair_pacer,
    service,
    shard_request,
    transitions,
    write,
)
from cressrock.webdav.paths import parse
from tests.compatibility.canonical import Digest, canonical

STATES = (
    in_sync_set.ReplicaState.IN_SYNC,
    in_sync_set.ReplicaState.JOINING,
    in_sync_set.ReplicaState.OUT_OF_SYNC,
)

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
    """Bytes that only other versions write, or nothing that can be read."""

    name: str
    data: bytes
    decode: Callable[[bytes], Any]


def outcome(call: Callable[..., Any], *args: Any) -> Any:
    """Return what a call returned in canonical form, or the code of its error."""
    try:
        return canonical(call(*args))
    except CressrockError as error:
        return {"error": error.code}


def wire_cases() -> list[WireCase]:
    """Return sets and pages, some with their optional fields unset."""
    copy, state = in_sync_set.Replica, in_sync_set.ReplicaState
    three = (
        copy("a", state.IN_SYNC, "a0"),
        copy("b", state.JOINING, "b0", 2, 1),
        copy("c", state.OUT_OF_SYNC, "", 0, 9),
    )
    lost = (in_sync_set.AcceptedLoss("a", 0, 4), in_sync_set.AcceptedLoss("b", 7, 2**62))
    entry = records.RecordEntry
    entries = (
        entry("/v/x", "1.2", "file", "1.2", True),
        entry("/v/größe/z", "3.1", "collection", "0.0", False),
        entry("/v/y", "9223372036854775807.1", "gone", "9.9", True),
    )
    sync = [
        ("one copy", in_sync_set.InSyncSet(1, "a", (copy("a", state.IN_SYNC),))),
        ("three copies", in_sync_set.InSyncSet(3, "a", three)),
        ("three copies, one loss", in_sync_set.InSyncSet(2**62, "a", three, lost[:1], 2**40)),
        ("eight losses", in_sync_set.InSyncSet(9, "a", three, lost * 4, 9)),
        (
            "eight copies",
            in_sync_set.InSyncSet(7, "z3", tuple(copy(f"z{n}", state.IN_SYNC, f"s{n}") for n in range(8))),
        ),
    ]
    pages = [
        ("empty page", records.RecordPage(())),
        ("page", records.RecordPage(entries, True)),
        ("last page", records.RecordPage(entries[:1], False)),
    ]
    return [
        *(WireCase(name, value, in_sync_set.encode_set, in_sync_set.decode_set) for name, value in sync),
        *(WireCase(name, value, records.encode_page, records.decode_page) for name, value in pages),
    ]


def read_cases() -> list[ReadCase]:
    """Return bytes of older, newer and broken sets and pages."""
    pack = msgspec.msgpack.encode
    one = [["a", "in"]]
    values: list[tuple[str, Any]] = [
        ("shortest", [1, "a", one]),
        ("with losses alone", [1, "a", one, [["b", 1, 2]]]),
        ("further fields", [2, "a", [["a", "in", "a0", 0, 0, "new"]], [], 2, "new"]),
        ("epoch 0", [0, "a", one]),
        ("no copies", [1, "a", []]),
        ("nine copies", [1, "a", [[c, "in"] for c in "abcdefghi"]]),
        ("a zone twice", [1, "a", one * 2]),
        ("a first copy that is owed", [1, "a", [["a", "owed"], ["b", "in"]]]),
        ("a first copy that is not there", [1, "b", one]),
        ("unknown state", [1, "a", [["a", "out"]]]),
        ("zone without a name", [1, "", [["", "in"]]]),
        ("nine losses", [1, "a", one, [["b", 1, 2]] * 9]),
        ("negative count", [1, "a", [["a", "in", "", -1]]]),
    ]
    entry = ["/v/x", "1.2", "file", "1.2", True]
    pages: list[tuple[str, Any]] = [
        ("shortest page", [[entry]]),
        ("further fields in a page", [[[*entry, 1]], True, "new"]),
        ("short entry", [[entry[:4]]]),
        ("not sure nor unsure", [[[*entry[:4], "yes"]]]),
        ("too many entries", [[entry] * 1025]),
        ("no page", "x"),
    ]
    return [
        *(ReadCase(f"set: {name}", b"\x01" + pack(value), in_sync_set.decode_set) for name, value in values),
        *(ReadCase(f"page: {name}", b"\x01" + pack(value), records.decode_page) for name, value in pages),
        *(
            ReadCase(f"broken {index} for reader {n}", data, reader)
            for index, data in enumerate((b"", b"\x00", b"\x01", b"\x02", b"\x02x", b"\x01\xc1", b"\xff" * 9))
            for n, reader in enumerate((in_sync_set.decode_set, records.decode_page))
        ),
    ]


def sample_operations() -> list[operations.ReplicaOperation]:
    """Return operations of every kind, with and without what they may carry."""
    operation = operations.ReplicaOperation
    kind, version = operations.OperationKind, records.Version
    record = records.Record("/v/x", version(3, 4))
    full = records.Record("/v/x", version(3, 4), "file", version(2, 1), True, "1000 2000")
    folder = records.Record("/v/d", version(5, 1), "collection", records.NO_VERSION, False)
    gone = records.Record("/v/g", version(5, 2), "gone", version(5, 2))
    other = records.Record("/v/o", version(5, 2), "unknown")
    payload = node_protocol.Payload(Text("abc"), b"text/plain")
    return [
        operation("a", "first", 7, "a0", kind.CLIENT),
        operation("a", "in", 7, "", kind.CLIENT, record),
        operation("b", "joining", 2**60, "life", kind.APPLY, record),
        operation("b", "joining", 8, "life", kind.APPLY, full, payload),
        operation("b", "in", 8, "life", kind.APPLY, full, node_protocol.Payload(Text(""), b"")),
        operation("b", "in", 8, "life", kind.APPLY, folder),
        operation("b", "in", 8, "life", kind.APPLY, gone),
        operation("b", "in", 8, "life", kind.APPLY, other),
        operation("c", "owed", 0, "", kind.INSPECT),
        operation("c", "owed", 1, "x", kind.INSPECT, full),
    ]


def answers() -> list[tuple[int, list[tuple[bytes, bytes]], str]]:
    """Return nodes' answers: status, headers, and the key that was asked for."""
    epoch = (b"x-cressrock-epoch", b"7")
    record = [
        (b"x-cressrock-path", b"/v/\xc3\xb6".hex().encode()),
        (b"x-cressrock-version", b"3.4"),
        (b"x-cressrock-kind", b"file"),
        (b"x-cressrock-cleared", b"2.1"),
        (b"x-cressrock-sure", b"yes"),
        (b"x-cressrock-times", b"1000 2000"),
    ]
    version = (b"x-cressrock-version", b"3.4")
    return [
        (200, [], "/v/x"),
        (404, [], "/v/x"),
        (500, [epoch], "/v/x"),
        (204, [epoch], "/v/x"),
        (204, [epoch, version], "/v/x"),
        (204, [epoch, *record], "/v/x"),
        (200, [epoch, version, (b"x-cressrock-sure", b"no")], "/v/x"),
        (409, [epoch, (b"x-cressrock-refused", b"older-epoch")], ""),
        (409, [epoch, (b"x-cressrock-refused", b"other-store")], ""),
        (409, [epoch, (b"x-cressrock-refused", b"not-in-sync")], ""),
        (409, [epoch, (b"x-cressrock-refused", b"a new one")], ""),
        (200, [(b"x-cressrock-epoch", b"x")], ""),
        (200, [epoch, (b"x-cressrock-version", b"3")], ""),
        (200, [epoch, (b"x-cressrock-version", b"3.4.5")], ""),
        (200, [epoch, (b"x-cressrock-version", b"-3.4")], ""),
        (200, [epoch, (b"x-cressrock-version", b"1." + b"1" * 50)], ""),
        (200, [epoch, version, (b"x-cressrock-path", b"zz")], ""),
        (200, [epoch, version, (b"x-cressrock-path", b"ff")], ""),
        (200, [epoch, version, (b"x-cressrock-cleared", b"x")], ""),
    ]


def answer_values(got: operations.ReplicaResult) -> Any:
    """Return what was read of an answer."""
    return [
        got.may_have_run,
        got.unreachable,
        got.failed,
        canonical(got.rejection),
        got.epoch,
        canonical(got.record),
    ]


def names() -> dict[str, Any]:
    """Return the names under which sets and words are found by others."""
    regions = {"a": "r0", "b": "r0", "c": "r1", "d": ""}
    return {
        "topics": [in_sync_set.set_topic("v", 0), in_sync_set.set_topic("a volume", 17)],
        "words": canonical(
            [
                reachability.UNREACHABLE,
                reachability.OTHER_STORE,
                reachability.REACHABLE,
                reachability.REACHABILITY_KEY_PREFIX,
            ]
        ),
        "refusals": [refusal.value for refusal in headers.Rejection],
        "states": [state.value for state in in_sync_set.ReplicaState],
        "versions": [str(records.NO_VERSION), str(records.Version(3, 2**40))],
        "read versions": [
            outcome(records.parse_version, text) for text in ("0.0", " 1.2 ", "1", "a.b", "1.2.3", "", "1.-2")
        ],
        "headers": [
            [
                canonical(node_protocol.operation_headers(op)),
                canonical(node_protocol.operation_headers(op, [records.Version(1, 1), records.NO_VERSION])),
                canonical(node_protocol.set_headers(op)),
                canonical(node_protocol.operation_method(op)),
            ]
            for op in sample_operations()
        ],
        "answers": [
            answer_values(node_protocol.parse_result(None, status, headers, key))
            for status, headers, key in answers()
        ],
        "nearest": [
            canonical(in_sync_set.by_distance("dcba", own, regions)) for own in ("a", "b", "c", "d", "x")
        ],
        "back after": [transitions.rejoin_delay_ms(times, 100.0, 9000.0) for times in (0, 1, 2, 7, 8, 1000)],
    }


def stored() -> list[Any]:
    """Have a stand-in node keep some records; return what it answers, and its list of what it keeps."""
    rack, found = Rack(0, window_ms=0.0, life="s0"), []
    op, kind = operations.ReplicaOperation, operations.OperationKind
    first = [
        ("MKCOL", "/v/d", None),
        ("PUT", "/v/d/x", "1"),
        ("PUT", "/v/y", "2"),
        ("PUT", "/v/y", "3"),
        ("DELETE", "/v/d", None),
        ("GET", "/v/y", None),
        ("GET", "/v/none", None),
    ]
    for number, (method, key, text) in enumerate(first):
        fields = node_protocol.operation_headers(op("a", "first", 1 + number // 3, "s0", kind.CLIENT))
        found.append(_executed(rack, method, key, fields, text))
    for asked in sample_operations():
        key = asked.record.path if asked.record is not None else "/v"
        text = "abc" if asked.record is not None and asked.record.kind == "file" else None
        fields = node_protocol.operation_headers(asked, [records.Version(1, 1)])
        found.append(_executed(rack, node_protocol.operation_method(asked).decode(), key, fields, text))
    for since, after in (("0", ""), ("2", ""), ("0", "/v/d")):
        fields = node_protocol.operation_headers(op("a", "first", 2**60, "", kind.INSPECT))
        fields += [
            (headers.MISSING_SINCE_HEADER, since.encode()),
            (headers.AFTER_HEADER, after.encode().hex().encode()),
        ]
        found.append(_executed(rack, "GET", "/v", fields, None))
    return found


def _executed(rack: Rack, method: str, key: str, headers: Headers, text: str | None) -> Any:
    fields = {name.decode(): value.decode() for name, value in headers}
    body = Text(text) if text is not None else None
    done = rack.execute(Task(method, parse(key), fields, body, b"", 1000.0))
    return [method, key, canonical(headers), done.status, canonical(done.headers), done.content.hex()]


# --- decisions: the pure modules


def draw_set(draw: random.Random) -> in_sync_set.InSyncSet:
    """Draw a set of two to four copies, of which one at least is in."""
    zones = "abcd"[: draw.randrange(2, 5)]
    copies = []
    for index, zone in enumerate(zones):
        state = in_sync_set.ReplicaState.IN_SYNC if not index else draw.choice((STATES[0], *STATES))
        since = 0 if state is in_sync_set.ReplicaState.IN_SYNC else draw.randrange(4)
        copies.append(
            in_sync_set.Replica(zone, state, f"{zone}{draw.randrange(2)}", since, draw.randrange(3))
        )
    inside = [copy.zone for copy in copies if copy.state is in_sync_set.ReplicaState.IN_SYNC]
    draw.shuffle(copies)
    epoch = draw.randrange(4, 9)
    return in_sync_set.InSyncSet(epoch, draw.choice(inside), tuple(copies), (), draw.randrange(1, epoch + 1))


def sets_digest(seed: int) -> str:
    """Drive a set through changes, lawful and not."""
    draw, digest = random.Random(f"sets/{seed}"), Digest()
    sync = draw_set(draw)
    for _ in range(150):
        zone = draw.choice("abcde")
        life = f"{zone}{draw.randrange(2)}"
        order = draw.sample("abcd", draw.randrange(5))
        proof = transitions.CatchUpProof(zone, sync.epoch - draw.choice((0, 0, 0, 1)), life)
        name, change, args = draw.choice(
            (
                ("put out", transitions.evict, (sync, zone)),
                ("first lost", transitions.replace_primary, (sync, zone, order)),
                ("first lost", transitions.replace_primary, (sync, sync.primary)),
                ("joined", transitions.begin_joining, (sync, zone, life)),
                ("came back", transitions.readmit, (sync, proof)),
                ("faded", transitions.reset_evictions, (sync, zone)),
                ("taken over", transitions.force_primary, (sync, zone, life)),
                (
                    "founded",
                    transitions.initial_set,
                    (zone, {"b": "b0", "a": life}, [draw.choice((0, 0, 3))]),
                ),
            )
        )
        digest.add([name, outcome(change, *args)])
        try:
            found = change(*args)
        except CressrockError:
            continue
        if name not in ("founded", "taken over") or draw.random() < 0.05:
            sync = found if found.primary in found.read_zones else sync
        shown = [
            sync.write_zones,
            sync.read_zones,
            sync.zones_in(*STATES[1:]),
            sync.replica(zone),
            sync.replica("a") is None,
        ]
        digest.add([canonical(shown), in_sync_set.encode_set(sync)])
    return digest.hex()


def _asked(value: Any) -> Any:
    """Return what a machine asks for as plain values, behind the name under which it was recorded."""
    match value:
        case operations.PerformOperations(ops):
            return ["do", [canonical(op) for op in ops]]
        case operations.FetchRecord(op):
            return ["fetch", canonical(op)]
        case operations.EvictReplicas(zones, sync):
            return ["put out", list(zones), canonical(sync)]
        case operations.RefreshSet(epoch):
            return ["refresh", epoch]
        case operations.MarkCommitted(sync, at):
            return ["sure", canonical(sync), canonical(at)]
        case repair.ListMissing(op, since, after):
            return ["list", canonical(op), since, after]
        case repair.InspectStore(op):
            return ["look", canonical(op)]
        case repair.ProposeSet(old, new):
            return ["decide", canonical(old), canonical(new)]
    raise TypeError(value)


class _Status:
    """A node's answer, as far as machines look into it."""

    def __init__(self, status: int) -> None:
        self.status = status


def _draw_record(
    draw: random.Random, op: operations.ReplicaOperation, sync: in_sync_set.InSyncSet
) -> records.Record | None:
    if draw.random() < 0.1:
        return None
    if op.record is not None and draw.random() < 0.7:
        if draw.random() < 0.8:
            return op.record
        return _beside(op.record, draw)
    at = records.Version(draw.randrange(1, sync.epoch + 2), draw.randrange(5))
    cleared = records.Version(draw.randrange(2), draw.randrange(3))
    path, kind = draw.choice(("/v/x", "/v/x", "/v")), draw.choice(("file", "file", "collection", "gone"))
    return records.Record(path, at, kind, cleared, draw.random() < 0.3, draw.choice(("", "1 2")))


def _beside(record: records.Record, draw: random.Random) -> records.Record:
    """Return a record that stands a little before or after another."""
    at = records.Version(record.version.epoch, max(0, record.version.number + draw.choice((-1, 1))))
    return records.Record(
        record.path, at, record.kind, record.cleared_version, draw.random() < 0.5, record.timestamps
    )


def _draw_got(
    draw: random.Random, op: operations.ReplicaOperation, sync: in_sync_set.InSyncSet, trouble: float
) -> operations.ReplicaResult:
    if draw.random() < trouble:
        chance = draw.random()
        if chance < 0.3:
            refusal = draw.choice(tuple(headers.Rejection))
            return operations.ReplicaResult(
                _Status(409), rejection=refusal, epoch=sync.epoch + draw.randrange(3)
            )
        if chance < 0.6:
            return operations.ReplicaResult(may_have_run=draw.random() < 0.5, unreachable=draw.random() < 0.5)
        if chance < 0.8:
            return operations.ReplicaResult(_Status(500), may_have_run=True, failed=True, epoch=sync.epoch)
        return operations.ReplicaResult()
    status = draw.choice((201, 204, 204, 200, 404, 412))
    epoch = sync.epoch + (draw.random() < 0.1)
    return operations.ReplicaResult(_Status(status), epoch=epoch, record=_draw_record(draw, op, sync))


def _later(draw: random.Random, sync: in_sync_set.InSyncSet) -> in_sync_set.InSyncSet:
    """Return a set as it may stand some changes later."""
    for _ in range(draw.randrange(1, 3)):
        zone = draw.choice("abcd")
        options: list[tuple[Callable[..., in_sync_set.InSyncSet], Any]] = [
            (transitions.evict, (sync, zone)),
            (transitions.replace_primary, (sync, sync.primary)),
            (transitions.begin_joining, (sync, zone, f"{zone}{draw.randrange(2)}")),
        ]
        change, args = draw.choice(options)
        try:
            sync = change(*args)
        except CressrockError:
            continue
    return sync


def _reply(
    draw: random.Random, asked: Any, sync: in_sync_set.InSyncSet, trouble: float
) -> tuple[Any, in_sync_set.InSyncSet]:
    """Return an answer to what a machine asked, and the set that stands then."""
    match asked:
        case operations.PerformOperations(ops):
            return [_draw_got(draw, op, sync, trouble) for op in ops], sync
        case operations.FetchRecord(op):
            record = op.record if draw.random() < 0.8 else _draw_record(draw, op, sync)
            return (None if record is None or draw.random() < trouble else (record, "payload")), sync
        case operations.EvictReplicas(zones, _):
            try:
                for zone in zones:
                    sync = transitions.evict(sync, zone)
            except TransitionNotAllowedError:
                return None, sync
            return (None if draw.random() < trouble else sync), sync
        case operations.RefreshSet():
            sync = _later(draw, sync)
            return (None if draw.random() < trouble else sync), sync
        case repair.ListMissing():
            if draw.random() < trouble / 4:
                return None, sync
            count, first = draw.choice((0, 1, 3, 70)), draw.randrange(4)
            entries = tuple(_entry(draw, first + n) for n in range(count))
            return records.RecordPage(entries, draw.random() < 0.3), sync
        case repair.InspectStore():
            return (None if draw.random() < trouble else f"{asked.operation.zone}{draw.randrange(2)}"), sync
        case repair.ProposeSet():
            return draw.random() >= trouble, sync
    return None, sync


def _entry(draw: random.Random, number: int) -> records.RecordEntry:
    at = draw.choice(("1.1", "2.3", "5.1", "5.1", "5.1")) if draw.random() < 0.995 else "broken"
    kind, cleared = draw.choice(("file", "collection", "gone")), draw.choice(("0.0", "0.0", "1.1"))
    return records.RecordEntry(f"/v/{number:03}", at, kind, cleared, draw.random() < 0.5)


def _drive(
    draw: random.Random, digest: Digest, steps: Any, sync: in_sync_set.InSyncSet, trouble: float
) -> Any:
    """Answer a machine to its end; returns what it returned."""
    value: Any = None
    while True:
        try:
            asked = steps.send(value)
        except StopIteration as stop:
            return stop.value
        digest.add(_asked(asked))
        value, sync = _reply(draw, asked, sync, trouble)


def requests_digest(seed: int) -> str:
    """Drive writes and reads with any answers that nodes and council may give."""
    draw, digest = random.Random(f"requests/{seed}"), Digest()
    for _ in range(120):
        sync, trouble = draw_set(draw), draw.choice((0.0, 0.1, 0.3, 0.6))
        rules = (
            operations.DEFAULT_SAFETY_RULES
            if draw.random() < 0.9
            else operations.SafetyRules(draw.random() < 0.5, draw.random() < 0.5)
        )
        if draw.random() < 0.5:
            payload = draw.choice((None, "payload"))
            gone = [zone for zone in "abcd" if draw.random() < 0.1]
            stands = None if draw.random() < 0.03 else sync
            steps = write.write_replicated(stands, payload, rules, gone)
        else:
            order = draw.sample("abcd", draw.randrange(5))
            steps = read.read_replicated(sync, order, lease_valid=draw.random() < 0.9, rules=rules)
        result: operations.OperationOutcome = _drive(draw, digest, steps, sync, trouble)
        got = None
        if result.result is not None:
            got = [getattr(result.result.reply, "status", None), *answer_values(result.result)]
        digest.add([result.disposition.value, got])
    return digest.hex()


def repair_digest(seed: int) -> str:
    """Drive plans that bring a copy back, and their pace."""
    draw, digest = random.Random(f"repair/{seed}"), Digest()
    pace = repair_pacer.RepairPacer(
        max_time_share=draw.choice((0.1, 0.5, 1.0)), max_operations_per_s=draw.choice((10.0, 200.0))
    )
    now = 0.0
    for _ in range(25):
        sync, zone = draw_set(draw), draw.choice("abcd")
        plan = repair.repair_replica(sync, zone, skip_last_pass=draw.random() < 0.1)
        report = _drive(draw, digest, plan, sync, draw.choice((0.0, 0.01, 0.1, 0.5)))
        digest.add([report.rejoined, report.records_copied])
        now += draw.choice((0.0, 3.0, 100.0))
        digest.add(pace.wait_ms(now))
        pace.record_operation(
            now, draw.choice((0.0, 2.0, 30.0)), rejected=draw.random() < 0.2, load=draw.random()
        )
        digest.add(pace.wait_ms(now + draw.choice((0.0, 1.0, 300.0))))
    return digest.hex()


def reach_digest(seed: int) -> str:
    """Drive what attempts say of copies, and what many say together."""
    draw, digest = random.Random(f"reach/{seed}"), Digest()
    found, now = reachability.ReachabilityTracker(), 0.0
    if seed % 2:
        found = reachability.ReachabilityTracker(
            min_failures=1, min_failing_ms=0.0, evidence_ttl_ms=300.0, max_absence_ms=50.0
        )
    for _ in range(400):
        now += draw.choice((0.0, 20.0, 60.0, 400.0))
        shard, act = draw.randrange(4), draw.random()
        if act < 0.6:
            bad = draw.random() < 0.6
            ended = draw.choice((Outcome.TIMEOUT, Outcome.RESET, Outcome.NO_CONNECTION)) if bad else None
            found.record_outcome(shard, ended or draw.choice(tuple(Outcome)), now)
        elif act < 0.75:
            found.record_node_list({n for n in range(4) if draw.random() < 0.9}, range(3), now)
        elif act < 0.8:
            found.reset(shard)
        else:
            found.record_store(shard, other=draw.random() < 0.2)
        asked = draw.random() < 0.5
        digest.add([[found.is_unreachable(n, now), canonical(found.report(n, now, asked))] for n in range(5)])
        words = {
            f"p{n}": draw.choice(
                (reachability.UNREACHABLE, reachability.OTHER_STORE, reachability.REACHABLE, b"?")
            )
            for n in range(4)
        }
        digest.add([reachability.is_lost(words, least) for least in (0, 1, 2, 3)])
    return digest.hex()


# --- decisions: gateways and the planner over nodes


class _Log:
    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_, **__: None


PLACED = {
    "v": known_set.ReplicaPlacement((0, 1), {"a": (0, 1), "b": (2, 3), "c": (4, 5)}),
    "w": known_set.ReplicaPlacement((3,), {"a": (1,), "b": (3,)}),
}
ZONES, REGIONS = ("a", "b", "c"), {"a": "r0", "b": "r0", "c": "r1"}


class _Council:
    """A register with compare-and-set; processes are told of its decrees some time later."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster, self.number, self.failing = cluster, 100, False
        self.stands: dict[str, d.Decision] = {}

    def asked_by(self, kept: DecisionCache) -> _Asked:
        return _Asked(self, kept)


class _Asked:
    """The council as one process asks it."""

    def __init__(self, council: _Council, kept: DecisionCache) -> None:
        self.council, self.kept = council, kept

    async def decide(
        self, topic: str, value: bytes, hold_ms: float, if_number: int | None = None, **_: Any
    ) -> d.Decision:
        council = self.council
        await anyio.sleep(0.004)
        council.cluster.digest.add(["decide", topic, canonical(value), hold_ms, if_number])
        if council.failing:
            raise NoQuorumError("none")
        stands = council.stands.get(topic)
        if if_number is not None and if_number != (stands.version if stands is not None else 0):
            raise DecisionConflictError("another stands")
        council.number += 1
        decree = council.stands[topic] = d.Decision(topic, council.number, value, hold_ms, "", council.number)
        self.kept.receive(decree)
        council.cluster.spread_decree(decree)
        return decree

    async def read(self, topic: str, *_: Any, **__: Any) -> d.Decision | None:
        await anyio.sleep(0.002)
        if self.council.failing:
            raise NoQuorumError("none")
        decree = self.council.stands.get(topic)
        if decree is not None:
            self.kept.receive(decree)
        return decree


class _Words:
    """What processes tell each other, as one of them writes it."""

    def __init__(self, all_words: dict[str, dict[Any, bytes]], name: str) -> None:
        self.all_words, self.me = all_words, (name, 1)

    def values(self, key: str) -> dict[Any, bytes]:
        return dict(self.all_words.get(key, {}))

    def put(self, key: str, value: bytes) -> None:
        self.all_words.setdefault(key, {})[self.me] = value

    def remove(self, key: str) -> None:
        self.all_words.get(key, {}).pop(self.me, None)


class _Ground:
    """A process's surroundings."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self.decision_cache = DecisionCache(None, cluster.clock)
        self.consensus = cluster.council.asked_by(self.decision_cache)
        self.gossip = _Words(cluster.words, name)
        self.cluster, self.is_leader = cluster, True

    def members(self) -> tuple[Member, ...]:
        states = [("e0", MemberState.ALIVE), ("e1", MemberState.ALIVE), ("e9", MemberState.SUSPECT)]
        return tuple(Member(name, 1, "edge", "a", "r0", "x:1", state, 0.0, b"") for name, state in states)


class _Exchange:
    """A request to the admin port."""

    def __init__(self, method: bytes, body: bytes = b"") -> None:
        self.head, self.body = type("Head", (), {"method": method})(), body
        self.answer: Any = None

    async def read(self) -> bytes:
        data, self.body = self.body[:1000], self.body[1000:]
        return data

    async def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes = b"") -> None:
        value = msgspec.json.decode(body)
        # Texts of errors are for people; what stands must stay as it is.
        self.answer = [status, canonical(headers), value.get("error") or canonical(body)]


class _Stream:
    """A payload that still comes in."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster

    def abandon(self) -> None:
        self.cluster.abandoned += 1


class _Client:
    """Connections from the planner to nodes."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster

    async def exchange(
        self, node: str, op: Operation, extra: Headers, progress: Any, *, may_stream: bool
    ) -> tuple[Reply, None]:
        shard = int(node.removeprefix("n"))
        self.cluster.digest.add(
            ["repair", node, canonical(op.method), canonical(op.target), canonical(extra)]
        )
        reply = await self.cluster.execute(shard, op.method.decode(), op.key, op.headers, op.body)
        if reply is None:
            raise NoConnectionError(node)
        if self.cluster.draw.random() < 0.05:
            return Reply(503, reply.headers), None
        load = (b"endpoint-load-metrics", b'JSON {"cpu_utilization": 0.9}')
        more = [load] if self.cluster.draw.random() < 0.05 else []
        return Reply(reply.status, [*reply.headers, *more], reply.body), None


class Cluster:
    """Six nodes in three zones, two gateways and a planner, under simulated time."""

    def __init__(self, seed: int) -> None:
        """Begin with empty stores; no set is founded yet."""
        self.draw = random.Random(f"cluster/{seed}")
        self.digest = Digest()
        self.racks = {shard: Rack(shard, window_ms=0.0, life=f"s{shard}") for shard in range(6)}
        self.down: set[int] = set()
        self.cut: set[tuple[int, int]] = set()  # (gateway, shard)
        self.words: dict[str, dict[Any, bytes]] = {}
        self.abandoned = 0
        self.late: list[tuple[float, DecisionCache, d.Decision]] = []
        self.council = _Council(self)
        self.grounds = [_Ground(self, name) for name in ("e0", "e1", "planner")]
        self.reach = [reachability.ReachabilityTracker(), reachability.ReachabilityTracker()]
        shares = shard_request.DeadlineShares(
            first_step=0.5,
            following_steps=0.6,
            eviction_pause_ms=5.0,
            consensus_timeout_ms=100.0,
            lease_ms=400.0,
        )
        self.gateways = [
            service.ReplicatedVolumes(
                PLACED,
                self.grounds[n],
                shares,
                self.reach[n],
                zone=zone,
                regions=REGIONS,
                clock=self.clock,
                log=_Log(),
                retry_after_ms=1000.0,
            )
            for n, zone in enumerate(("a", "c"))
        ]
        figures = manager.ManagerSettings(
            poll_interval_ms=20.0,
            min_witnesses=2,
            min_rejoin_delay_ms=50.0,
            max_rejoin_delay_ms=400.0,
            forget_evictions_ms=400.0,
            lease_ms=400.0,
            repair_share=0.5,
            repair_rate=2000.0,
            repair_busy_load=0.8,
            repair_pause_ms=20.0,
        )
        self.keeper = manager.ReplicaManager(
            PLACED,
            self.grounds[2],
            _Client(self),
            figures,
            regions=REGIONS,
            clock=self.clock,
            log=_Log(),
            incarnation="planner-7",
        )

    def clock(self) -> float:
        """Return simulated milliseconds."""
        return trio.current_time() * 1000

    def spread_decree(self, decree: d.Decision) -> None:
        """Have processes hear of a decree, each some time later; now and then one does not."""
        for ground in self.grounds:
            if self.draw.random() < 0.9:
                self.late.append((self.clock() + self.draw.uniform(1, 60), ground.decision_cache, decree))

    async def execute(self, shard: int, method: str, key: str, headers: Headers, body: Any) -> Reply | None:
        """Have a node do an operation; None where it cannot be reached."""
        await anyio.sleep(0.001 + 0.0001 * shard)
        if shard in self.down:
            await anyio.sleep(0.01)
            return None
        fields = {name.decode(): value.decode() for name, value in headers}
        done: Done = self.racks[shard].execute(Task(method, parse(key), fields, body, b"", 1000.0))
        content = done.content
        if done.payload is not None:
            held, first, end = done.payload
            content = (await held.read_chunk(0))[first:end]
        self.digest.add(
            [shard, method, key, canonical(headers), done.status, canonical(done.headers), content]
        )
        return Reply(done.status, done.headers, content)

    def _send(self, gateway: int, method: str, key: str) -> shard_request.Send:
        """Return what performs one client's storage operations."""

        async def send(
            shard: int,
            own_method: bytes | None,
            own_key: str | None,
            headers: Headers,
            body: Any,
            deadline: float,
            *,
            collect: bool = False,
        ) -> Result:
            asked = own_method.decode() if own_method is not None else method
            body = Text(body.decode()) if isinstance(body, bytes) else body
            reply = None
            if (gateway, shard) not in self.cut:
                reply = await self.execute(shard, asked, own_key or key, headers, body)
            if reply is not None:
                self.reach[gateway].record_outcome(shard, Outcome.OK, self.clock())
                if asked == "GET" and not collect and self.draw.random() < 0.5:
                    return Reply(reply.status, reply.headers, stream=_Stream(self))
                if self.draw.random() < 0.03:
                    return Denial(Verdict.FAILED, Reason.DEADLINE)
                return reply
            self.reach[gateway].record_outcome(shard, Outcome.NO_CONNECTION, self.clock())
            await anyio.sleep(max(0.0, min(0.02, (deadline - self.clock()) / 1000)))
            if self.draw.random() < 0.6:
                return Denial(Verdict.REJECTED, Reason.SCHEDULER, 50.0)
            return Denial(Verdict.FAILED, Reason.ATTEMPTS)

        return send

    async def client(self, count: int) -> None:
        """One client: operations one after another at drawn gateways."""
        draw = self.draw
        for number in range(count):
            gateway = draw.randrange(2)
            volume = draw.choice(("v", "v", "v", "w"))
            shard = draw.choice(PLACED[volume].shards)
            methods = ("GET", "GET", "HEAD", "PUT", "PUT", "PUT", "DELETE", "MKCOL")
            method, key = draw.choice(methods), f"/{volume}/{draw.choice('xyz')}"
            body = Text(f"{number}") if method == "PUT" else None
            copies = self.gateways[gateway]
            assert copies.is_replicated(volume) and not copies.is_replicated("u")
            result = await copies.perform(
                volume,
                shard,
                key,
                method,
                1.0,
                body,
                b"text/plain" if body is not None else b"",
                self._send(gateway, method, key),
                self.clock() + draw.choice((30.0, 300.0, 1000.0)),
            )
            if isinstance(result, Reply):
                answer: Any = [result.status, canonical(result.headers), result.body, result.stream is None]
            else:
                answer = [result.verdict.value, result.reason.value, result.retry_after_ms]
            self.digest.add([gateway, volume, shard, method, key, answer])
            await anyio.sleep(draw.uniform(0.0, 0.03))

    async def trouble(self) -> None:
        """Let nodes, ways, decrees and the council fail for a while."""
        draw = self.draw
        while True:
            await anyio.sleep(draw.uniform(0.02, 0.3))
            shard, kind = draw.choice((0, 0, 1, 2, 3, 4, 5)), draw.random()
            length = draw.uniform(0.05, 0.8)
            if kind < 0.1:
                self.racks[shard] = self.racks[shard].snapshot(f"s{shard}-{draw.randrange(1000)}")
            elif kind < 0.4:
                self.down.add(shard)
                await anyio.sleep(length)
                if draw.random() < 0.2:
                    self.racks[shard] = self.racks[shard].snapshot(f"s{shard}-{draw.randrange(1000)}")
                self.down.discard(shard)
            elif kind < 0.55:
                self.cut.add((draw.randrange(2), shard))
                await anyio.sleep(length)
                self.cut.clear()
            elif kind < 0.65:
                self.council.failing = True
                await anyio.sleep(length / 2)
                self.council.failing = False
            elif kind < 0.75:
                self.grounds[2].is_leader = False
                await anyio.sleep(length / 2)
                self.grounds[2].is_leader = True
            else:
                for _ in range(3):
                    await self.order()

    async def order(self) -> None:
        """Send a request to the planner's admin port."""
        draw = self.draw
        wish = {
            "volume": draw.choice("vwu"),
            "shard": draw.choice((0, 0, 1)),
            "zone": draw.choice("abbccd"),
            "accept_loss": draw.random() < 0.8,
        }
        body = draw.choice((msgspec.json.encode(wish), msgspec.json.encode(wish), b"broken", b"x" * 9000))
        exchange = _Exchange(draw.choice((b"GET", b"POST", b"POST", b"POST")), body)
        await self.keeper.handle(exchange)
        self.digest.add(exchange.answer)

    async def news(self) -> None:
        """Let decrees come and be renewed, and the node list be told."""
        while True:
            await anyio.sleep(0.01)
            now = self.clock()
            for at_ms, kept, decree in [one for one in self.late if one[0] <= now]:
                kept.receive(decree)
                self.late.remove((at_ms, kept, decree))
            if self.draw.random() < 0.2 and not self.council.failing:
                self.council.number += 1
                for decree in list(self.council.stands.values()):
                    for ground in self.grounds:
                        if self.draw.random() < 0.7:
                            ground.decision_cache.receive(
                                msgspec.structs.replace(decree, renewal=self.council.number)
                            )
            self.list_nodes()

    def list_nodes(self) -> None:
        """Tell the node list: a node that is down may be missing, draining, or named still."""
        draw = self.draw
        states = {shard: NodeState.READY for shard in range(6)}
        for shard in self.down:
            states[shard] = draw.choice((NodeState.READY, NodeState.DRAINING))
        listed = [Node(f"n{shard}", shard, 0, float(shard), state) for shard, state in states.items()]
        complete = draw.random() < 0.9
        kind = ListKind.COMPLETE if complete else draw.choice((ListKind.CHANGES, ListKind.FAILED))
        some = [node for node in listed if complete or draw.random() < 0.5]
        self.keeper.on_node_list(NodeList(kind, tuple(some)))
        for gateway in self.gateways:
            gateway.on_node_list(listed)

    async def play(self) -> str:
        """Run for some seconds; return the digest of all that was sent, decided and answered."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.keeper.run)
            tasks.start_soon(self.news)
            tasks.start_soon(self.trouble)
            for gateway, ground in zip(self.gateways, self.grounds, strict=False):
                tasks.start_soon(publisher.ReachabilityPublisher(gateway, ground.gossip, 20.0).run)
            await anyio.sleep(0.1)
            async with anyio.create_task_group() as clients:
                for _ in range(3):
                    clients.start_soon(self.client, 60)
            await self.settle()
            tasks.cancel_scope.cancel()
        for copies in self.gateways:
            self.digest.add(msgspec.json.encode(copies.status()))
        self.digest.add([self.abandoned, canonical(self.keeper.status()), canonical(self._stored())])
        return self.digest.hex()

    async def settle(self) -> None:
        """Let the planner bring back what it can."""
        for _ in range(50):
            self.down.clear()
            self.cut.clear()
            self.council.failing, self.grounds[2].is_leader = False, True
            await anyio.sleep(0.02)

    def _stored(self) -> Mapping[int, Any]:
        """Return what the nodes' stores hold of copies, as their lists tell it."""
        fields = {"x-cressrock-epoch": "99", "x-cressrock-copy": "in;", "x-cressrock-owed": "0"}
        return {
            shard: [
                rack.execute(Task("GET", parse(f"/{volume}"), fields, None, b"", 0.0)).content
                for volume in PLACED
            ]
            for shard, rack in self.racks.items()
        }


def cluster_digest(seed: int) -> str:
    """Drive two gateways and a planner over nodes, with faults."""
    return run_simulated(seed, lambda: Cluster(seed).play())


def run_simulated(seed: int, main: Callable[[], Awaitable[str]]) -> str:
    """Run under simulated time; the order of tasks that are runnable at once is drawn from the seed."""
    from trio._core import _run

    _run._ALLOW_DETERMINISTIC_SCHEDULING = True
    _run._r.seed(seed)
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def stream_seeds() -> Iterator[tuple[str, Callable[[int], str], Iterable[int]]]:
    """Return every stream by name, with its seeds."""
    yield "sets", sets_digest, range(20)
    yield "requests", requests_digest, range(30)
    yield "repair", repair_digest, range(20)
    yield "reach", reach_digest, range(10)
    yield "cluster", cluster_digest, range(10)
