"""Examples and seeded runs of replication: wire formats, records kept by nodes, and decisions."""

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
    """A value with its encoder and decoder."""

    name: str
    value: Any
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


@dataclass(frozen=True)
class ReadCase:
    """Bytes that only other releases write, or that are invalid."""

    name: str
    data: bytes
    decode: Callable[[bytes], Any]


def outcome(call: Callable[..., Any], *args: Any) -> Any:
    """Return a call's result in canonical form, or the code of the CressrockError that it raised."""
    try:
        return canonical(call(*args))
    except CressrockError as error:
        return {"error": error.code}


def wire_cases() -> list[WireCase]:
    """Return sets and pages, some of them with optional fields left at their defaults."""
    new_replica, state = in_sync_set.Replica, in_sync_set.ReplicaState
    three_replicas = (
        new_replica("a", state.IN_SYNC, "a0"),
        new_replica("b", state.JOINING, "b0", 2, 1),
        new_replica("c", state.OUT_OF_SYNC, "", 0, 9),
    )
    losses = (in_sync_set.AcceptedLoss("a", 0, 4), in_sync_set.AcceptedLoss("b", 7, 2**62))
    entry = records.RecordEntry
    entries = (
        entry("/v/x", "1.2", "file", "1.2", True),
        entry("/v/größe/z", "3.1", "collection", "0.0", False),
        entry("/v/y", "9223372036854775807.1", "gone", "9.9", True),
    )
    sets = [
        ("one copy", in_sync_set.InSyncSet(1, "a", (new_replica("a", state.IN_SYNC),))),
        ("three copies", in_sync_set.InSyncSet(3, "a", three_replicas)),
        ("three copies, one loss", in_sync_set.InSyncSet(2**62, "a", three_replicas, losses[:1], 2**40)),
        ("eight losses", in_sync_set.InSyncSet(9, "a", three_replicas, losses * 4, 9)),
        (
            "eight copies",
            in_sync_set.InSyncSet(
                7, "z3", tuple(new_replica(f"z{n}", state.IN_SYNC, f"s{n}") for n in range(8))
            ),
        ),
    ]
    pages = [
        ("empty page", records.RecordPage(())),
        ("page", records.RecordPage(entries, True)),
        ("last page", records.RecordPage(entries[:1], False)),
    ]
    return [
        *(WireCase(name, value, in_sync_set.encode_set, in_sync_set.decode_set) for name, value in sets),
        *(WireCase(name, value, records.encode_page, records.decode_page) for name, value in pages),
    ]


def read_cases() -> list[ReadCase]:
    """Return the bytes of sets and pages that are older, newer or invalid."""
    pack = msgspec.msgpack.encode
    one_replica = [["a", "in"]]
    sets: list[tuple[str, Any]] = [
        ("shortest", [1, "a", one_replica]),
        ("with losses alone", [1, "a", one_replica, [["b", 1, 2]]]),
        ("further fields", [2, "a", [["a", "in", "a0", 0, 0, "new"]], [], 2, "new"]),
        ("epoch 0", [0, "a", one_replica]),
        ("no copies", [1, "a", []]),
        ("nine copies", [1, "a", [[c, "in"] for c in "abcdefghi"]]),
        ("a zone twice", [1, "a", one_replica * 2]),
        ("a first copy that is owed", [1, "a", [["a", "owed"], ["b", "in"]]]),
        ("a first copy that is not there", [1, "b", one_replica]),
        ("unknown state", [1, "a", [["a", "out"]]]),
        ("zone without a name", [1, "", [["", "in"]]]),
        ("nine losses", [1, "a", one_replica, [["b", 1, 2]] * 9]),
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
        *(ReadCase(f"set: {name}", b"\x01" + pack(value), in_sync_set.decode_set) for name, value in sets),
        *(ReadCase(f"page: {name}", b"\x01" + pack(value), records.decode_page) for name, value in pages),
        *(
            ReadCase(f"broken {index} for reader {n}", data, reader)
            for index, data in enumerate((b"", b"\x00", b"\x01", b"\x02", b"\x02x", b"\x01\xc1", b"\xff" * 9))
            for n, reader in enumerate((in_sync_set.decode_set, records.decode_page))
        ),
    ]


def sample_operations() -> list[operations.ReplicaOperation]:
    """Return operations of every kind, with and without record, payload and media type."""
    operation = operations.ReplicaOperation
    kind, version = operations.OperationKind, records.Version
    record = records.Record("/v/x", version(3, 4))
    full_record = records.Record("/v/x", version(3, 4), "file", version(2, 1), True, "1000 2000")
    collection = records.Record("/v/d", version(5, 1), "collection", records.NO_VERSION, False)
    tombstone = records.Record("/v/g", version(5, 2), "gone", version(5, 2))
    unknown_kind = records.Record("/v/o", version(5, 2), "unknown")
    payload = node_protocol.Payload(Text("abc"), b"text/plain")
    return [
        operation("a", "first", 7, "a0", kind.CLIENT),
        operation("a", "in", 7, "", kind.CLIENT, record),
        operation("b", "joining", 2**60, "life", kind.APPLY, record),
        operation("b", "joining", 8, "life", kind.APPLY, full_record, payload),
        operation("b", "in", 8, "life", kind.APPLY, full_record, node_protocol.Payload(Text(""), b"")),
        operation("b", "in", 8, "life", kind.APPLY, collection),
        operation("b", "in", 8, "life", kind.APPLY, tombstone),
        operation("b", "in", 8, "life", kind.APPLY, unknown_kind),
        operation("c", "owed", 0, "", kind.INSPECT),
        operation("c", "owed", 1, "x", kind.INSPECT, full_record),
    ]


def answers() -> list[tuple[int, list[tuple[bytes, bytes]], str]]:
    """Return nodes' responses: status, headers, and the requested key."""
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
    """Return the decoded fields of a response in canonical form."""
    return [
        got.may_have_run,
        got.unreachable,
        got.failed,
        canonical(got.rejection),
        got.epoch,
        canonical(got.record),
    ]


def names() -> dict[str, Any]:
    """Return topics, report values, headers and decoded responses, as other processes and nodes see them."""
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
    """Send operations to a simulated node; return its responses and its lists of records."""
    rack, responses = Rack(0, window_ms=0.0, life="s0"), []
    new_operation, kind = operations.ReplicaOperation, operations.OperationKind
    client_requests = [
        ("MKCOL", "/v/d", None),
        ("PUT", "/v/d/x", "1"),
        ("PUT", "/v/y", "2"),
        ("PUT", "/v/y", "3"),
        ("DELETE", "/v/d", None),
        ("GET", "/v/y", None),
        ("GET", "/v/none", None),
    ]
    for number, (method, key, text) in enumerate(client_requests):
        fields = node_protocol.operation_headers(
            new_operation("a", "first", 1 + number // 3, "s0", kind.CLIENT)
        )
        responses.append(_executed(rack, method, key, fields, text))
    for operation in sample_operations():
        key = operation.record.path if operation.record is not None else "/v"
        text = "abc" if operation.record is not None and operation.record.kind == "file" else None
        fields = node_protocol.operation_headers(operation, [records.Version(1, 1)])
        responses.append(
            _executed(rack, node_protocol.operation_method(operation).decode(), key, fields, text)
        )
    for since, after in (("0", ""), ("2", ""), ("0", "/v/d")):
        fields = node_protocol.operation_headers(new_operation("a", "first", 2**60, "", kind.INSPECT))
        fields += [
            (headers.MISSING_SINCE_HEADER, since.encode()),
            (headers.AFTER_HEADER, after.encode().hex().encode()),
        ]
        responses.append(_executed(rack, "GET", "/v", fields, None))
    return responses


def _executed(rack: Rack, method: str, key: str, headers: Headers, text: str | None) -> Any:
    fields = {name.decode(): value.decode() for name, value in headers}
    body = Text(text) if text is not None else None
    response = rack.execute(Task(method, parse(key), fields, body, b"", 1000.0))
    return [
        method,
        key,
        canonical(headers),
        response.status,
        canonical(response.headers),
        response.content.hex(),
    ]


# --- decisions: the pure modules


def draw_set(draw: random.Random) -> in_sync_set.InSyncSet:
    """Draw a set of two to four replicas, at least one of them in sync."""
    zones = "abcd"[: draw.randrange(2, 5)]
    replicas = []
    for index, zone in enumerate(zones):
        state = in_sync_set.ReplicaState.IN_SYNC if not index else draw.choice((STATES[0], *STATES))
        complete_epoch = 0 if state is in_sync_set.ReplicaState.IN_SYNC else draw.randrange(4)
        replicas.append(
            in_sync_set.Replica(zone, state, f"{zone}{draw.randrange(2)}", complete_epoch, draw.randrange(3))
        )
    in_sync_zones = [
        replica.zone for replica in replicas if replica.state is in_sync_set.ReplicaState.IN_SYNC
    ]
    draw.shuffle(replicas)
    epoch = draw.randrange(4, 9)
    return in_sync_set.InSyncSet(
        epoch, draw.choice(in_sync_zones), tuple(replicas), (), draw.randrange(1, epoch + 1)
    )


def sets_digest(seed: int) -> str:
    """Apply permitted and forbidden transitions to a set; return the digest of the results."""
    draw, digest = random.Random(f"sets/{seed}"), Digest()
    current = draw_set(draw)
    for _ in range(150):
        zone = draw.choice("abcde")
        store_id = f"{zone}{draw.randrange(2)}"
        order = draw.sample("abcd", draw.randrange(5))
        proof = transitions.CatchUpProof(zone, current.epoch - draw.choice((0, 0, 0, 1)), store_id)
        name, change, args = draw.choice(
            (
                ("put out", transitions.evict, (current, zone)),
                ("first lost", transitions.replace_primary, (current, zone, order)),
                ("first lost", transitions.replace_primary, (current, current.primary)),
                ("joined", transitions.begin_joining, (current, zone, store_id)),
                ("came back", transitions.readmit, (current, proof)),
                ("faded", transitions.reset_evictions, (current, zone)),
                ("taken over", transitions.force_primary, (current, zone, store_id)),
                (
                    "founded",
                    transitions.initial_set,
                    (zone, {"b": "b0", "a": store_id}, [draw.choice((0, 0, 3))]),
                ),
            )
        )
        digest.add([name, outcome(change, *args)])
        try:
            changed = change(*args)
        except CressrockError:
            continue
        if name not in ("founded", "taken over") or draw.random() < 0.05:
            current = changed if changed.primary in changed.read_zones else current
        properties = [
            current.write_zones,
            current.read_zones,
            current.zones_in(*STATES[1:]),
            current.replica(zone),
            current.replica("a") is None,
        ]
        digest.add([canonical(properties), in_sync_set.encode_set(current)])
    return digest.hex()


def _describe_action(value: Any) -> Any:
    """Return a state machine's action as plain values, after the name under which it was recorded."""
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
    """A node's response, with the only field that the state machines read."""

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
        return _draw_neighbour(op.record, draw)
    version = records.Version(draw.randrange(1, sync.epoch + 2), draw.randrange(5))
    cleared = records.Version(draw.randrange(2), draw.randrange(3))
    path, kind = draw.choice(("/v/x", "/v/x", "/v")), draw.choice(("file", "file", "collection", "gone"))
    return records.Record(path, version, kind, cleared, draw.random() < 0.3, draw.choice(("", "1 2")))


def _draw_neighbour(record: records.Record, draw: random.Random) -> records.Record:
    """Draw a record whose version is one before or after another's."""
    neighbour_version = records.Version(
        record.version.epoch, max(0, record.version.number + draw.choice((-1, 1)))
    )
    return records.Record(
        record.path,
        neighbour_version,
        record.kind,
        record.cleared_version,
        draw.random() < 0.5,
        record.timestamps,
    )


def _draw_operation_result(
    draw: random.Random, op: operations.ReplicaOperation, sync: in_sync_set.InSyncSet, failure_rate: float
) -> operations.ReplicaResult:
    if draw.random() < failure_rate:
        chance = draw.random()
        if chance < 0.3:
            drawn_rejection = draw.choice(tuple(headers.Rejection))
            return operations.ReplicaResult(
                _Status(409), rejection=drawn_rejection, epoch=sync.epoch + draw.randrange(3)
            )
        if chance < 0.6:
            return operations.ReplicaResult(may_have_run=draw.random() < 0.5, unreachable=draw.random() < 0.5)
        if chance < 0.8:
            return operations.ReplicaResult(_Status(500), may_have_run=True, failed=True, epoch=sync.epoch)
        return operations.ReplicaResult()
    status = draw.choice((201, 204, 204, 200, 404, 412))
    epoch = sync.epoch + (draw.random() < 0.1)
    return operations.ReplicaResult(_Status(status), epoch=epoch, record=_draw_record(draw, op, sync))


def _draw_later_set(draw: random.Random, later: in_sync_set.InSyncSet) -> in_sync_set.InSyncSet:
    """Draw a set one or two transitions later than the given one."""
    for _ in range(draw.randrange(1, 3)):
        zone = draw.choice("abcd")
        options: list[tuple[Callable[..., in_sync_set.InSyncSet], Any]] = [
            (transitions.evict, (later, zone)),
            (transitions.replace_primary, (later, later.primary)),
            (transitions.begin_joining, (later, zone, f"{zone}{draw.randrange(2)}")),
        ]
        change, args = draw.choice(options)
        try:
            later = change(*args)
        except CressrockError:
            continue
    return later


def _draw_action_result(
    draw: random.Random, action: Any, sync: in_sync_set.InSyncSet, failure_rate: float
) -> tuple[Any, in_sync_set.InSyncSet]:
    """Draw an action's result; return it with the set that is current afterwards."""
    match action:
        case operations.PerformOperations(ops):
            return [_draw_operation_result(draw, op, sync, failure_rate) for op in ops], sync
        case operations.FetchRecord(op):
            record = op.record if draw.random() < 0.8 else _draw_record(draw, op, sync)
            return (None if record is None or draw.random() < failure_rate else (record, "payload")), sync
        case operations.EvictReplicas(zones, _):
            try:
                for zone in zones:
                    sync = transitions.evict(sync, zone)
            except TransitionNotAllowedError:
                return None, sync
            return (None if draw.random() < failure_rate else sync), sync
        case operations.RefreshSet():
            sync = _draw_later_set(draw, sync)
            return (None if draw.random() < failure_rate else sync), sync
        case repair.ListMissing():
            if draw.random() < failure_rate / 4:
                return None, sync
            count, first_number = draw.choice((0, 1, 3, 70)), draw.randrange(4)
            entries = tuple(_draw_entry(draw, first_number + n) for n in range(count))
            return records.RecordPage(entries, draw.random() < 0.3), sync
        case repair.InspectStore():
            return (
                None if draw.random() < failure_rate else f"{action.operation.zone}{draw.randrange(2)}"
            ), sync
        case repair.ProposeSet():
            return draw.random() >= failure_rate, sync
    return None, sync


def _draw_entry(draw: random.Random, number: int) -> records.RecordEntry:
    version = draw.choice(("1.1", "2.3", "5.1", "5.1", "5.1")) if draw.random() < 0.995 else "broken"
    kind, cleared = draw.choice(("file", "collection", "gone")), draw.choice(("0.0", "0.0", "1.1"))
    return records.RecordEntry(f"/v/{number:03}", version, kind, cleared, draw.random() < 0.5)


def _drive(
    draw: random.Random, digest: Digest, steps: Any, sync: in_sync_set.InSyncSet, failure_rate: float
) -> Any:
    """Run a state machine to its end with drawn results; return what it returned."""
    value: Any = None
    while True:
        try:
            action = steps.send(value)
        except StopIteration as stop:
            return stop.value
        digest.add(_describe_action(action))
        value, sync = _draw_action_result(draw, action, sync, failure_rate)


def requests_digest(seed: int) -> str:
    """Run writes and reads with drawn results from nodes and council; return the digest of their actions."""
    draw, digest = random.Random(f"requests/{seed}"), Digest()
    for _ in range(120):
        sync, failure_rate = draw_set(draw), draw.choice((0.0, 0.1, 0.3, 0.6))
        rules = (
            operations.DEFAULT_SAFETY_RULES
            if draw.random() < 0.9
            else operations.SafetyRules(draw.random() < 0.5, draw.random() < 0.5)
        )
        if draw.random() < 0.5:
            payload = draw.choice((None, "payload"))
            unreachable = [zone for zone in "abcd" if draw.random() < 0.1]
            set_if_current = None if draw.random() < 0.03 else sync
            steps = write.write_replicated(set_if_current, payload, rules, unreachable)
        else:
            order = draw.sample("abcd", draw.randrange(5))
            steps = read.read_replicated(sync, order, lease_valid=draw.random() < 0.9, rules=rules)
        result: operations.OperationOutcome = _drive(draw, digest, steps, sync, failure_rate)
        fields = None
        if result.result is not None:
            fields = [getattr(result.result.reply, "status", None), *answer_values(result.result)]
        digest.add([result.disposition.value, fields])
    return digest.hex()


def repair_digest(seed: int) -> str:
    """Run repair plans with drawn results, and a pacer; return the digest."""
    draw, digest = random.Random(f"repair/{seed}"), Digest()
    pacer = repair_pacer.RepairPacer(
        max_time_share=draw.choice((0.1, 0.5, 1.0)), max_operations_per_s=draw.choice((10.0, 200.0))
    )
    now_ms = 0.0
    for _ in range(25):
        sync, zone = draw_set(draw), draw.choice("abcd")
        plan = repair.repair_replica(sync, zone, skip_last_pass=draw.random() < 0.1)
        report = _drive(draw, digest, plan, sync, draw.choice((0.0, 0.01, 0.1, 0.5)))
        digest.add([report.rejoined, report.records_copied])
        now_ms += draw.choice((0.0, 3.0, 100.0))
        digest.add(pacer.wait_ms(now_ms))
        pacer.record_operation(
            now_ms, draw.choice((0.0, 2.0, 30.0)), rejected=draw.random() < 0.2, load=draw.random()
        )
        digest.add(pacer.wait_ms(now_ms + draw.choice((0.0, 1.0, 300.0))))
    return digest.hex()


def reachability_digest(seed: int) -> str:
    """Feed trackers drawn outcomes and combine drawn reports; return the digest of the verdicts."""
    draw, digest = random.Random(f"reach/{seed}"), Digest()
    tracker, now_ms = reachability.ReachabilityTracker(), 0.0
    if seed % 2:
        tracker = reachability.ReachabilityTracker(
            min_failures=1, min_failing_ms=0.0, evidence_ttl_ms=300.0, max_absence_ms=50.0
        )
    for _ in range(400):
        now_ms += draw.choice((0.0, 20.0, 60.0, 400.0))
        shard, event = draw.randrange(4), draw.random()
        if event < 0.6:
            is_failure = draw.random() < 0.6
            failure = (
                draw.choice((Outcome.TIMEOUT, Outcome.RESET, Outcome.NO_CONNECTION)) if is_failure else None
            )
            tracker.record_outcome(shard, failure or draw.choice(tuple(Outcome)), now_ms)
        elif event < 0.75:
            tracker.record_node_list({n for n in range(4) if draw.random() < 0.9}, range(3), now_ms)
        elif event < 0.8:
            tracker.clear_failures(shard)
        else:
            tracker.record_store(shard, other=draw.random() < 0.2)
        has_reports = draw.random() < 0.5
        digest.add(
            [
                [tracker.is_unreachable(n, now_ms), canonical(tracker.report(n, now_ms, has_reports))]
                for n in range(5)
            ]
        )
        reports = {
            f"p{n}": draw.choice(
                (reachability.UNREACHABLE, reachability.OTHER_STORE, reachability.REACHABLE, b"?")
            )
            for n in range(4)
        }
        digest.add([reachability.is_lost(reports, witnesses) for witnesses in (0, 1, 2, 3)])
    return digest.hex()


# --- decisions: gateways, planner and nodes together


class _Log:
    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_, **__: None


PLACEMENTS = {
    "v": known_set.ReplicaPlacement((0, 1), {"a": (0, 1), "b": (2, 3), "c": (4, 5)}),
    "w": known_set.ReplicaPlacement((3,), {"a": (1,), "b": (3,)}),
}
ZONES, REGIONS = ("a", "b", "c"), {"a": "r0", "b": "r0", "c": "r1"}


class _Council:
    """A compare-and-set register; its decisions reach the processes with a delay."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster, self.last_version, self.failing = cluster, 100, False
        self.decided: dict[str, d.Decision] = {}

    def client_for(self, cache: DecisionCache) -> _CouncilClient:
        return _CouncilClient(self, cache)


class _CouncilClient:
    """One process's client of the council."""

    def __init__(self, council: _Council, cache: DecisionCache) -> None:
        self.council, self.cache = council, cache

    async def decide(
        self, topic: str, value: bytes, hold_ms: float, if_number: int | None = None, **_: Any
    ) -> d.Decision:
        council = self.council
        await anyio.sleep(0.004)
        council.cluster.digest.add(["decide", topic, canonical(value), hold_ms, if_number])
        if council.failing:
            raise NoQuorumError("none")
        decided = council.decided.get(topic)
        if if_number is not None and if_number != (decided.version if decided is not None else 0):
            raise DecisionConflictError("another stands")
        council.last_version += 1
        decision = council.decided[topic] = d.Decision(
            topic, council.last_version, value, hold_ms, "", council.last_version
        )
        self.cache.receive(decision)
        council.cluster.deliver_later(decision)
        return decision

    async def read(self, topic: str, *_: Any, **__: Any) -> d.Decision | None:
        await anyio.sleep(0.002)
        if self.council.failing:
            raise NoQuorumError("none")
        decision = self.council.decided.get(topic)
        if decision is not None:
            self.cache.receive(decision)
        return decision


class _Gossip:
    """One process's view of the gossip store, whose entries are shared without delay."""

    def __init__(self, all_entries: dict[str, dict[Any, bytes]], name: str) -> None:
        self.all_entries, self.origin = all_entries, (name, 1)

    def values(self, key: str) -> dict[Any, bytes]:
        return dict(self.all_entries.get(key, {}))

    def put(self, key: str, value: bytes) -> None:
        self.all_entries.setdefault(key, {})[self.origin] = value

    def remove(self, key: str) -> None:
        self.all_entries.get(key, {}).pop(self.origin, None)


class _Process:
    """A process's runtime: decisions, consensus client, gossip and members."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self.decision_cache = DecisionCache(None, cluster.clock)
        self.consensus = cluster.council.client_for(self.decision_cache)
        self.gossip = _Gossip(cluster.gossip_entries, name)
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
        # Error texts may change, so only the error's code is kept; the sets must stay as recorded.
        self.answer = [status, canonical(headers), value.get("error") or canonical(body)]


class _Stream:
    """A response payload that is still being received."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster

    def abandon(self) -> None:
        self.cluster.abandoned += 1


class _Client:
    """The planner's connections to nodes; now and then a node is busy or reports a high load."""

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
        """Start with empty stores and no decided sets."""
        self.draw = random.Random(f"cluster/{seed}")
        self.digest = Digest()
        self.racks = {shard: Rack(shard, window_ms=0.0, life=f"s{shard}") for shard in range(6)}
        self.down: set[int] = set()
        self.cut_links: set[tuple[int, int]] = set()  # (gateway, shard)
        self.gossip_entries: dict[str, dict[Any, bytes]] = {}
        self.abandoned = 0
        self.pending_deliveries: list[tuple[float, DecisionCache, d.Decision]] = []
        self.council = _Council(self)
        self.processes = [_Process(self, name) for name in ("e0", "e1", "planner")]
        self.trackers = [reachability.ReachabilityTracker(), reachability.ReachabilityTracker()]
        shares = shard_request.DeadlineShares(
            first_step=0.5,
            following_steps=0.6,
            eviction_pause_ms=5.0,
            consensus_timeout_ms=100.0,
            lease_ms=400.0,
        )
        self.gateways = [
            service.ReplicatedVolumes(
                PLACEMENTS,
                self.processes[n],
                shares,
                self.trackers[n],
                zone=zone,
                regions=REGIONS,
                clock=self.clock,
                log=_Log(),
                retry_after_ms=1000.0,
            )
            for n, zone in enumerate(("a", "c"))
        ]
        manager_settings = manager.ManagerSettings(
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
        self.replica_manager = manager.ReplicaManager(
            PLACEMENTS,
            self.processes[2],
            _Client(self),
            manager_settings,
            regions=REGIONS,
            clock=self.clock,
            log=_Log(),
            incarnation="planner-7",
        )

    def clock(self) -> float:
        """Return the simulated time in ms."""
        return trio.current_time() * 1000

    def deliver_later(self, decision: d.Decision) -> None:
        """Schedule a decision's delivery to each process after a drawn delay; some deliveries are lost."""
        for process in self.processes:
            if self.draw.random() < 0.9:
                self.pending_deliveries.append(
                    (self.clock() + self.draw.uniform(1, 60), process.decision_cache, decision)
                )

    async def execute(self, shard: int, method: str, key: str, headers: Headers, body: Any) -> Reply | None:
        """Perform an operation at a node; None if the node cannot be reached."""
        await anyio.sleep(0.001 + 0.0001 * shard)
        if shard in self.down:
            await anyio.sleep(0.01)
            return None
        fields = {name.decode(): value.decode() for name, value in headers}
        done: Done = self.racks[shard].execute(Task(method, parse(key), fields, body, b"", 1000.0))
        content = done.content
        if done.payload is not None:
            stored_body, first, end = done.payload
            content = (await stored_body.read_chunk(0))[first:end]
        self.digest.add(
            [shard, method, key, canonical(headers), done.status, canonical(done.headers), content]
        )
        return Reply(done.status, done.headers, content)

    def _send(self, gateway: int, method: str, key: str) -> shard_request.Send:
        """Return a function that performs the storage operations of one client's request."""

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
            if (gateway, shard) not in self.cut_links:
                reply = await self.execute(shard, asked, own_key or key, headers, body)
            if reply is not None:
                self.trackers[gateway].record_outcome(shard, Outcome.OK, self.clock())
                if asked == "GET" and not collect and self.draw.random() < 0.5:
                    return Reply(reply.status, reply.headers, stream=_Stream(self))
                if self.draw.random() < 0.03:
                    return Denial(Verdict.FAILED, Reason.DEADLINE)
                return reply
            self.trackers[gateway].record_outcome(shard, Outcome.NO_CONNECTION, self.clock())
            await anyio.sleep(max(0.0, min(0.02, (deadline - self.clock()) / 1000)))
            if self.draw.random() < 0.6:
                return Denial(Verdict.REJECTED, Reason.SCHEDULER, 50.0)
            return Denial(Verdict.FAILED, Reason.ATTEMPTS)

        return send

    async def client(self, count: int) -> None:
        """Run one client: sequential operations at drawn gateways."""
        draw = self.draw
        for number in range(count):
            gateway = draw.randrange(2)
            volume = draw.choice(("v", "v", "v", "w"))
            shard = draw.choice(PLACEMENTS[volume].shards)
            methods = ("GET", "GET", "HEAD", "PUT", "PUT", "PUT", "DELETE", "MKCOL")
            method, key = draw.choice(methods), f"/{volume}/{draw.choice('xyz')}"
            body = Text(f"{number}") if method == "PUT" else None
            volumes = self.gateways[gateway]
            assert volumes.is_replicated(volume) and not volumes.is_replicated("u")
            result = await volumes.perform(
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

    async def inject_faults(self) -> None:
        """Inject faults at nodes, links, council and leadership, and send admin orders."""
        draw = self.draw
        while True:
            await anyio.sleep(draw.uniform(0.02, 0.3))
            shard, kind = draw.choice((0, 0, 1, 2, 3, 4, 5)), draw.random()
            duration_s = draw.uniform(0.05, 0.8)
            if kind < 0.1:
                self.racks[shard] = self.racks[shard].snapshot(f"s{shard}-{draw.randrange(1000)}")
            elif kind < 0.4:
                self.down.add(shard)
                await anyio.sleep(duration_s)
                if draw.random() < 0.2:
                    self.racks[shard] = self.racks[shard].snapshot(f"s{shard}-{draw.randrange(1000)}")
                self.down.discard(shard)
            elif kind < 0.55:
                self.cut_links.add((draw.randrange(2), shard))
                await anyio.sleep(duration_s)
                self.cut_links.clear()
            elif kind < 0.65:
                self.council.failing = True
                await anyio.sleep(duration_s / 2)
                self.council.failing = False
            elif kind < 0.75:
                self.processes[2].is_leader = False
                await anyio.sleep(duration_s / 2)
                self.processes[2].is_leader = True
            else:
                for _ in range(3):
                    await self.send_admin_order()

    async def send_admin_order(self) -> None:
        """Send a request to the planner's admin port."""
        draw = self.draw
        request = {
            "volume": draw.choice("vwu"),
            "shard": draw.choice((0, 0, 1)),
            "zone": draw.choice("abbccd"),
            "accept_loss": draw.random() < 0.8,
        }
        body = draw.choice(
            (msgspec.json.encode(request), msgspec.json.encode(request), b"broken", b"x" * 9000)
        )
        exchange = _Exchange(draw.choice((b"GET", b"POST", b"POST", b"POST")), body)
        await self.replica_manager.handle(exchange)
        self.digest.add(exchange.answer)

    async def deliver_updates(self) -> None:
        """Deliver and renew decisions, and publish the node list."""
        while True:
            await anyio.sleep(0.01)
            now = self.clock()
            for at_ms, cache, decision in [one for one in self.pending_deliveries if one[0] <= now]:
                cache.receive(decision)
                self.pending_deliveries.remove((at_ms, cache, decision))
            if self.draw.random() < 0.2 and not self.council.failing:
                self.council.last_version += 1
                for decision in list(self.council.decided.values()):
                    for process in self.processes:
                        if self.draw.random() < 0.7:
                            process.decision_cache.receive(
                                msgspec.structs.replace(decision, renewal=self.council.last_version)
                            )
            self.publish_node_list()

    def publish_node_list(self) -> None:
        """Publish a node list, in which a node that is down may be ready, draining or left out."""
        draw = self.draw
        states = {shard: NodeState.READY for shard in range(6)}
        for shard in self.down:
            states[shard] = draw.choice((NodeState.READY, NodeState.DRAINING))
        listed = [Node(f"n{shard}", shard, 0, float(shard), state) for shard, state in states.items()]
        complete = draw.random() < 0.9
        kind = ListKind.COMPLETE if complete else draw.choice((ListKind.CHANGES, ListKind.FAILED))
        nodes = [node for node in listed if complete or draw.random() < 0.5]
        self.replica_manager.on_node_list(NodeList(kind, tuple(nodes)))
        for gateway in self.gateways:
            gateway.on_node_list(listed)

    async def run_scenario(self) -> str:
        """Run the scenario; return the digest of everything that was sent, decided and answered."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.replica_manager.run)
            tasks.start_soon(self.deliver_updates)
            tasks.start_soon(self.inject_faults)
            for gateway, process in zip(self.gateways, self.processes, strict=False):
                tasks.start_soon(publisher.ReachabilityPublisher(gateway, process.gossip, 20.0).run)
            await anyio.sleep(0.1)
            async with anyio.create_task_group() as clients:
                for _ in range(3):
                    clients.start_soon(self.client, 60)
            await self.wait_for_repair()
            tasks.cancel_scope.cancel()
        for volumes in self.gateways:
            self.digest.add(msgspec.json.encode(volumes.status()))
        self.digest.add([self.abandoned, canonical(self.replica_manager.status()), canonical(self._stored())])
        return self.digest.hex()

    async def wait_for_repair(self) -> None:
        """End all faults and give the planner 1 s to repair replicas."""
        for _ in range(50):
            self.down.clear()
            self.cut_links.clear()
            self.council.failing, self.processes[2].is_leader = False, True
            await anyio.sleep(0.02)

    def _stored(self) -> Mapping[int, Any]:
        """Return the lists of records that the nodes' stores hold."""
        fields = {"x-cressrock-epoch": "99", "x-cressrock-copy": "in;", "x-cressrock-owed": "0"}
        return {
            shard: [
                rack.execute(Task("GET", parse(f"/{volume}"), fields, None, b"", 0.0)).content
                for volume in PLACEMENTS
            ]
            for shard, rack in self.racks.items()
        }


def cluster_digest(seed: int) -> str:
    """Run two gateways, a planner and nodes with faults; return the digest."""
    return run_simulated(seed, lambda: Cluster(seed).run_scenario())


def run_simulated(seed: int, main: Callable[[], Awaitable[str]]) -> str:
    """Run under simulated time; the seed determines the order of tasks that are runnable together."""
    from trio._core import _run

    _run._ALLOW_DETERMINISTIC_SCHEDULING = True
    _run._r.seed(seed)
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def stream_seeds() -> Iterator[tuple[str, Callable[[int], str], Iterable[int]]]:
    """Yield the name, digest function and seeds of every stream."""
    yield "sets", sets_digest, range(20)
    yield "requests", requests_digest, range(30)
    yield "repair", repair_digest, range(20)
    yield "reach", reachability_digest, range(10)
    yield "cluster", cluster_digest, range(10)
