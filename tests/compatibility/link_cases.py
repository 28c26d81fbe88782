"""Example messages, protocol errors and seeded random conversations of two link ends."""

from __future__ import annotations

import random
from collections.abc import Iterator

import msgspec

from cressrock.link import messages
from cressrock.link.protocol import Closed, Link, LinkLimits, LinkState, Opened, OutOfCreditError, Role
from tests.compatibility.canonical import Digest

SEEDS = range(60)
STEPS = 300
UNREADABLE = "a message that cannot be read"


def wire_values() -> list[messages.Message]:
    """Return several messages of every type, some without their optional fields."""
    return [
        messages.Hello([2], "edge-1", "0a1b2c"),
        messages.Hello([3, 2, 1], "e", "l", ["lends limits", "versions of rules"], 256),
        messages.Welcome(2, "planner-1", 0),
        messages.Welcome(65535, "p", 2**53, ["lends limits"], 1),
        messages.Goodbye(""),
        messages.Goodbye("no common version: we speak [2], the peer [1]"),
        messages.Goodbye("é" * 512),
        messages.Ping(0),
        messages.Ping(2**53),
        messages.Pong(1),
        messages.Credit(1),
        messages.Credit(10**6),
        messages.Request(1, 0.0, "r-1", "v", "", 0.0, 0.0, 0, 0, -1, 0),
        messages.Request(
            2**40,
            1234.5,
            "r-2",
            "volume",
            "/volume/a/b",
            16.25,
            5234.5,
            3,
            7,
            65535,
            4800,
            12.5,
            2,
            True,
            8.0,
            9,
            "trial-7",
        ),
        messages.Request(7, 1e15, "r" * 128, "v", "k" * 512, 1e9, 1e15, 1, 1, 0, 1, -1.0, 0, True),
        messages.AttemptEnded(3, 17.25, "r-1", 0, "ok", True, 4.5),
        messages.AttemptEnded(4, 18.0, "r-2", 2, "no connection", False, 0.0, 12, 3.5),
        messages.ClientLeft(5, 19.0, "r-1"),
        messages.NodeDraining(6, 20.0, "n0:7000"),
        messages.BudgetHistory(7, 21.0, [], []),
        messages.BudgetHistory(8, 22.0, [0, 17, 10**9], [1, 70000]),
        messages.LimitLease(9, 23.0, "v", 1, 4.5, 12),
        messages.EdgeClock(10, 24.0),
        messages.Grant(1, 7, "r-1", 0, "n0:7000", 400.0),
        messages.Grant(2**53, 2**53, "r-2", 3, "n1", 1e15, 250.5),
        messages.FinalAnswer(7, "r-1", True),
        messages.FinalAnswer(7, "r-1", False, 1500.0),
        messages.CancelAttempt(7, "r-1", 1),
        messages.ClockStamp(12),
        messages.RuleVersions([]),
        messages.RuleVersions(["trial-7"]),
    ]


def make_ends(
    *, edge_versions: tuple[int, ...] = (2,), planner_versions: tuple[int, ...] = (2,)
) -> tuple[Link, Link]:
    """Return an edge's and a planner's end with different capabilities."""
    edge = Link(Role.EDGE, "e", 0.0, incarnation="l1", capabilities=("a", "b"), versions=edge_versions)
    planner = Link(Role.PLANNER, "p", 0.0, epoch=7, capabilities=("b", "c"), versions=planner_versions)
    return edge, planner


def _make_open_ends() -> tuple[Link, Link]:
    edge, planner = make_ends()
    planner.receive_data(edge.take_bytes(), 0.0)
    edge.receive_data(planner.take_bytes(), 0.0)
    return edge, planner


def _answer(link: Link, data: bytes, now_ms: float = 0.0) -> list[object]:
    link.take_bytes()
    results = link.receive_data(data, now_ms)
    return [described(results), link.take_bytes().hex(), link.state.value]


def described(results: list[object]) -> list[object]:
    """Return a link's events as lists, with messages in their encoded form."""
    lines: list[object] = []
    for result in results:
        match result:
            case Opened():
                lines.append(
                    [
                        "opened",
                        result.version,
                        result.peer,
                        result.incarnation,
                        result.epoch,
                        list(result.capabilities),
                    ]
                )
            case Closed():
                lines.append(["closed", _mask_decoder_text(result.reason), result.by_us])
            case _:
                lines.append(["message", messages.encode(result).hex()])
    return lines


def _mask_decoder_text(reason: str) -> str:
    # The rest of the text comes from the decoder library.
    return UNREADABLE if reason.startswith(UNREADABLE) else reason


def protocol_violations() -> dict[str, object]:
    """Return events, output bytes and state of the link for each kind of protocol violation."""
    hello = messages.encode(messages.Hello([2], "e", "l"))
    left = messages.encode(messages.ClientLeft(0, 0.0, "r"))
    answers: dict[str, object] = {}

    def planner(name: str, data: bytes) -> None:
        answers[name] = _answer(make_ends()[1], data)

    planner("frame too long", b"\xff\xff\xff\xff")
    planner("event before the handshake", left)
    planner("credit before the handshake", messages.encode(messages.Credit(1)))
    planner("welcome to a planner", messages.encode(messages.Welcome(2, "x", 1)))
    planner("second hello", hello + hello)
    planner("no common version", messages.encode(messages.Hello([1, 3], "e", "l")))
    planner("goodbye first", messages.encode(messages.Goodbye("stopping")))
    planner("ping first", messages.encode(messages.Ping(9)))
    planner("pong unasked", messages.encode(messages.Pong(9)))
    planner("order up", hello + messages.encode(messages.CancelAttempt(7, "r", 0)))
    planner("endless credit", hello + messages.encode(messages.Credit(10**6)) * 11)
    planner(
        "more than credit",
        hello + b"".join(messages.encode(messages.ClientLeft(n, 0.0, "r")) for n in range(257)),
    )
    planner("event after the end", messages.encode(messages.Goodbye("stopping")) + left)
    answers["hello to an edge"] = _answer(make_ends()[0], hello)
    answers["version never offered"] = _answer(make_ends()[0], messages.encode(messages.Welcome(1, "p", 1)))
    answers["second welcome"] = _answer(_make_open_ends()[0], messages.encode(messages.Welcome(2, "p", 1)))
    answers["event down"] = _answer(_make_open_ends()[0], left)
    answers["long reason"] = [
        described(_make_open_ends()[0].close("x" * 600)),
        described(_make_open_ends()[1].close("y")),
    ]
    slow = make_ends()[1]
    answers["no greeting"] = [slow.next_tick_ms(), described(slow.tick(2000.0)), slow.take_bytes().hex()]
    silent = _make_open_ends()[0]
    answers["silent"] = [
        described(silent.tick(silent.next_tick_ms())),
        silent.take_bytes().hex(),
        described(silent.tick(2000.0)),
        silent.take_bytes().hex(),
        silent.next_tick_ms() == float("inf"),
    ]
    ended = _make_open_ends()[0]
    answers["end of stream"] = [
        described(ended.receive_end()),
        described(ended.receive_end()),
        ended.take_bytes().hex(),
    ]
    return answers


def handshakes() -> list[object]:
    """Return all bytes and events of handshakes between ends with different versions."""
    rows: list[object] = []
    for edge_versions, planner_versions in (
        ((2,), (2,)),
        ((3, 2, 1), (2, 1)),
        ((3,), (2,)),
        ((1, 2), (2, 3, 1)),
    ):
        edge, planner = make_ends(edge_versions=edge_versions, planner_versions=planner_versions)
        up = edge.take_bytes()
        to_planner = planner.receive_data(up, 1.0)
        down = planner.take_bytes()
        to_edge = edge.receive_data(down, 2.0)
        rows.append(
            [up.hex(), described(to_planner), down.hex(), described(to_edge), edge.take_bytes().hex()]
        )
    return rows


def _random_event(rng: random.Random, number: int) -> messages.EdgeEvent:
    return rng.choice(
        (
            messages.ClientLeft(number, float(number), f"r{number}"),
            messages.EdgeClock(number, 1.5 * number),
            messages.AttemptEnded(number, float(number), f"r{number}", 0, "reset", False, 2.0),
            messages.Request(number, float(number), f"r{number}", "v", "k", 1.0, 99.0, 0, 0, -1, 1),
        )
    )


def _random_order(rng: random.Random, number: int) -> messages.PlannerOrder:
    return rng.choice(
        (
            messages.ClockStamp(number),
            messages.Grant(number, 7, f"r{number}", 0, "n", 50.0),
            messages.FinalAnswer(7, f"r{number}", True, 5.0),
        )
    )


def _without_decoder_text(data: bytes) -> str:
    """Return sent bytes as hex, without the decoder library's text in a Goodbye."""
    parts: list[str] = []
    while data:
        size = int.from_bytes(data[:4], "big")
        message = messages.decode(data[4 : 4 + size])
        if isinstance(message, messages.Goodbye):
            message = msgspec.structs.replace(message, reason=_mask_decoder_text(message.reason))
            parts.append(messages.encode(message).hex())
        else:
            parts.append(data[: 4 + size].hex())
        data = data[4 + size :]
    return "".join(parts)


def conversation(seed: int) -> str:
    """Return the digest of a seeded conversation over a stream that splits, delays and sometimes corrupts."""
    rng = random.Random(f"link/{seed}")
    digest = Digest()
    limits = LinkLimits(credit=rng.choice((4, 16, 256)), ping_ms=rng.choice((50.0, 500.0)), silent_ms=2000.0)
    ends = {
        "e": Link(Role.EDGE, "e", 0.0, incarnation=f"l{seed}", capabilities=("a", "b"), limits=limits),
        "p": Link(Role.PLANNER, "p", 0.0, epoch=seed, capabilities=("b",), limits=limits),
    }
    pipes = {"e": b"", "p": b""}  # bytes in transit to each end
    unreturned = {"e": 0, "p": 0}
    now = 0.0
    corrupts = seed % 3 == 0
    for number in range(STEPS):
        now += rng.choice((0.0, 1.0, 20.0, 200.0)) if rng.random() < 0.98 else 1500.0
        name = rng.choice(("e", "p"))
        other = "p" if name == "e" else "e"
        link = ends[name]
        kind = rng.random()
        if kind < 0.35:
            message = _random_event(rng, number) if name == "e" else _random_order(rng, number)
            try:
                link.send(message)
                digest.add([name, "sent"])
            except OutOfCreditError:
                digest.add([name, "out of credit"])
            except ValueError:
                digest.add([name, "not open"])
        elif kind < 0.7:
            size = rng.choice((1, 7, 64, 4096))
            data, pipes[name] = pipes[name][:size], pipes[name][size:]
            if corrupts and data and rng.random() < 0.02:
                place = rng.randrange(len(data))
                data = data[:place] + bytes([rng.randrange(256)]) + data[place + 1 :]
            results = link.receive_data(data, now)
            unreturned[name] += sum(not isinstance(r, Opened | Closed) for r in results)
            digest.add([name, "received", described(results)])
        elif kind < 0.8:
            count, unreturned[name] = unreturned[name], 0
            link.return_credit(count)
        elif kind < 0.995:
            digest.add([name, "tick", described(link.tick(now))])
        else:
            digest.add(
                [
                    name,
                    "close",
                    described(link.close("enough") if rng.random() < 0.5 else link.receive_end()),
                ]
            )
        written = link.take_bytes()
        pipes[other] += written
        due = link.next_tick_ms()
        digest.add([name, now, _without_decoder_text(written), due, link.credit, link.state.value])
        if all(end.state is LinkState.CLOSED for end in ends.values()):
            break
    return digest.hex()


def conversations() -> Iterator[str]:
    """Iterate over the digests of all seeds."""
    return map(conversation, SEEDS)
