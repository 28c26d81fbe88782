"""Translates between the bench's wire and the decision module; it decides nothing.

One process hosts many instances, which share nothing.  Standard output carries the wire alone.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import TextIO

from cressrock.config import parse_settings
from cressrock.interface import (
    Action,
    Arrival,
    AttemptEnded,
    Cancel,
    ClientLeft,
    Event,
    Fail,
    ListKind,
    Log,
    Node,
    NodeList,
    NodeState,
    Outcome,
    Reject,
    Send,
    SetTimer,
    Subscribe,
    TimerFired,
)
from cressrock.scheduler.scheduler import Scheduler

OUTCOMES = {
    "0": Outcome.OK,
    "5": Outcome.ERROR,
    "11": Outcome.FULL,
    "104": Outcome.RESET,
    "110": Outcome.TIMEOUT,
    "111": Outcome.NO_CONNECTION,
    "114": Outcome.ABANDONED,
    "125": Outcome.CANCELLED,
}
STATES = {"0": NodeState.GONE, "1": NodeState.READY, "2": NodeState.DRAINING}
KINDS = {"0": ListKind.COMPLETE, "2": ListKind.CACHED, "3": ListKind.CHANGES, "4": ListKind.FAILED}


class WireError(ValueError):
    """A line of the wire that cannot be understood."""


def _node(value: dict[str, str]) -> Node:
    """Read one line of a list."""
    return Node(
        name=value["server"],
        shard=int(value.get("cluster", 0)),
        zone=int(value.get("area", 0)),
        started_at_ms=float(value.get("up_since_ms", 0)),
        state=STATES[value.get("stage_state", "0")],
    )


def _arrival(value: dict[str, str]) -> Event:
    return Arrival(
        request=value["tid"],
        volume=value.get("store_user", ""),
        key=value.get("extent", ""),
        units=float(value.get("size_units", 0)),
        remaining_ms=float(value.get("remaining_ms", 0)),
        plan=int(value.get("plan", 0)),
        request_class=int(value.get("cls", 0)),
        shard=int(float(value.get("lies_in", -1))),
        sharing_hosts=int(value.get("writers", 0)),
    )


def _ended(value: dict[str, str]) -> Event:
    return AttemptEnded(
        request=value["tid"],
        attempt=int(value.get("shot", 0)),
        outcome=OUTCOMES[value.get("code", "0")],
        settled=value.get("settled", "0") == "1",
        latency_ms=float(value.get("lag_ms", 0)),
        reported_usage=int(float(value.get("metered", 0))),
        units_elsewhere=float(value.get("delta", 0)),
        # The simulator's stores take a request's units as its first attempt is sent; a moot one never is.
        charged=OUTCOMES[value.get("code", "0")] is not Outcome.ABANDONED,
    )


EVENTS: dict[str, Callable[[dict[str, str]], Event]] = {
    "INBOUND": _arrival,
    "COMPLETED": _ended,
    "TIMED_OUT_CLIENT": lambda value: ClientLeft(value["tid"]),
    "TIMEOUT_FIRED": lambda value: TimerFired(int(value.get("ctx", 0))),
}


def action_line(instance: int, action: Action) -> str:
    """Write one action on the wire."""
    match action:
        case Send(request, node, within):
            limit = f" within_ms={within:.3f}" if within else ""
            return f"TRY dispatcher={instance} tid={request}{limit} server={node}"
        case SetTimer(at, token):
            # A microsecond too early, the module finds nothing due and no timer to set anew: it sleeps on.
            early = float(f"{at:.3f}") < at
            return f"SET_TIMER dispatcher={instance} alarm_time_ms={at + 0.001 * early:.3f} ctx={token}"
        case Reject(request, away):
            advice = f" hold_off_ms={away:.3f}" if away else ""
            return f"BOUNCE dispatcher={instance} tid={request}{advice}"
        case Fail(request):
            return f"REPORT_FAILURE dispatcher={instance} tid={request}"
        case Cancel(request, attempt):
            return f"ABORT_ATTEMPT dispatcher={instance} tid={request} shot={attempt}"
        case Subscribe():
            return f"KEEP_INFORMED dispatcher={instance} active=1"
        case Log(text):
            return f"EMIT dispatcher={instance} msg={text}"
    raise AssertionError(f"no wire word for {action!r}")


class Link:
    """Reads batches, hands each instance its events in order, and writes the replies."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        """Nothing is known before the first line."""
        self.source = source
        self.sink = sink
        self.line_number = 0
        self.brains: dict[int, Scheduler] = {}
        self.lists: dict[int, tuple[Node, ...]] = {}

    def run(self) -> None:
        """Answer batches until the input ends."""
        while (line := self._line()) is not None:
            if not line:
                continue
            word, value = self._parts(line)
            if word != "SYNC" or "ts_ms" not in value:
                raise WireError(f"expected SYNC with ts_ms, found {word!r}")
            self.sink.write("\n".join([*self._batch(float(value["ts_ms"])), "OK\n"]))
            self.sink.flush()

    def _line(self) -> str | None:
        line = self.source.readline()
        if not line:
            return None
        self.line_number += 1
        return line.rstrip("\r\n")

    def _parts(self, line: str) -> tuple[str, dict[str, str]]:
        word, _, rest = line.partition(" ")
        value: dict[str, str] = {}
        while rest:
            if rest.startswith("config="):
                value["config"] = rest[7:]
                break
            part, _, rest = rest.partition(" ")
            name, found, text = part.partition("=")
            if part and not found:
                raise WireError(f"expected name=value, found {part!r}")
            value[name] = text
        return word, value

    def _batch(self, now_ms: float) -> list[str]:
        queued: dict[int, list[Event]] = {}
        while (line := self._line()) != "EOB":
            if line is None:
                raise WireError("the input ended within a batch")
            if not line:
                continue
            word, value = self._parts(line)
            try:
                self._event(now_ms, word, value, queued)
            except KeyError as missing:
                raise WireError(f"{word} lacks or misstates {missing}") from None
            except (ValueError, TypeError, AttributeError) as wrong:
                raise WireError(f"{word}: {wrong}") from None
        reply = []
        for instance, events in queued.items():
            for action in self.brains[instance].act(now_ms, events):
                reply.append(action_line(instance, action))
        return reply

    def _event(self, now_ms: float, word: str, value: dict[str, str], queued: dict[int, list[Event]]) -> None:
        if word == "TABLE":
            self.lists[int(value["bank"])] = self._entries(int(value.get("members", 0)))
            return
        if "dispatcher" not in value:
            return
        instance = int(value["dispatcher"])
        if word == "BEGIN":
            config = json.loads(value["config"])
            self.brains[instance] = Scheduler(parse_settings(config), int(value.get("prng", 0)), now_ms)
            queued[instance] = []
        elif word == "SHUTDOWN":
            self.brains.pop(instance, None)
            queued.pop(instance, None)
        elif instance not in self.brains:
            return
        elif word == "MEMBERS":
            kind = KINDS[value.get("how", "0")]
            nodes = () if kind is ListKind.FAILED else self.lists[int(value.get("bank", 0))]
            queued.setdefault(instance, []).append(NodeList(kind, nodes))
        elif word in EVENTS:
            queued.setdefault(instance, []).append(EVENTS[word](value))

    def _entries(self, count: int) -> tuple[Node, ...]:
        nodes = []
        for _ in range(count):
            line = self._line()
            word, value = self._parts(line or "")
            if word != "M":
                raise WireError(f"expected {count} M lines, found {word!r}")
            nodes.append(_node(value))
        return tuple(nodes)


def main() -> int:
    """Serve the wire on standard input and output; 1 and one plain line where it is malformed."""
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    link = Link(sys.stdin, sys.stdout)
    try:
        link.run()
    except (WireError, UnicodeDecodeError) as wrong:
        print(f"line {link.line_number}: {wrong}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
