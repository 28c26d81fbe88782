"""The simulator's adapter: translates between the simulator's line protocol and the scheduler.

One process hosts many independent scheduler instances.  Standard output carries only protocol lines.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import NamedTuple, TextIO

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
NODE_STATES = {"0": NodeState.GONE, "1": NodeState.READY, "2": NodeState.DRAINING}
LIST_KINDS = {"0": ListKind.COMPLETE, "2": ListKind.CACHED, "3": ListKind.CHANGES, "4": ListKind.FAILED}
WIRE_RESOLUTION_MS = 0.001  # times are written with three decimals

Fields = dict[str, str]


class WireError(ValueError):
    """An input line that violates the protocol."""


class Line(NamedTuple):
    """One protocol line: its first word and its name=value fields."""

    word: str
    fields: Fields

    @classmethod
    def parse(cls, text: str) -> Line:
        """Parse a line; a `config` field extends to the end of the line.  Raises WireError."""
        word, _, rest = text.partition(" ")
        fields: Fields = {}
        while rest:
            if rest.startswith("config="):
                fields["config"] = rest[7:]
                break
            part, _, rest = rest.partition(" ")
            name, equals, value = part.partition("=")
            if part and not equals:
                raise WireError(f"expected name=value, found {part!r}")
            fields[name] = value
        return cls(word, fields)


def _node(fields: Fields) -> Node:
    """Return the node described by the fields of one node list entry.  Raises KeyError and ValueError."""
    return Node(
        name=fields["server"],
        shard=int(fields.get("cluster", 0)),
        zone=int(fields.get("area", 0)),
        started_at_ms=float(fields.get("up_since_ms", 0)),
        state=NODE_STATES[fields.get("stage_state", "0")],
    )


def _arrival(fields: Fields) -> Event:
    return Arrival(
        request=fields["tid"],
        volume=fields.get("store_user", ""),
        key=fields.get("extent", ""),
        units=float(fields.get("size_units", 0)),
        remaining_ms=float(fields.get("remaining_ms", 0)),
        plan=int(fields.get("plan", 0)),
        request_class=int(fields.get("cls", 0)),
        shard=int(float(fields.get("lies_in", -1))),
        sharing_hosts=int(fields.get("writers", 0)),
    )


def _attempt_ended(fields: Fields) -> Event:
    outcome = OUTCOMES[fields.get("code", "0")]
    return AttemptEnded(
        request=fields["tid"],
        attempt=int(fields.get("shot", 0)),
        outcome=outcome,
        settled=fields.get("settled", "0") == "1",
        latency_ms=float(fields.get("lag_ms", 0)),
        reported_usage=int(float(fields.get("metered", 0))),
        units_elsewhere=float(fields.get("delta", 0)),
        # The simulator's stores count a request's units when its first attempt is sent, and an abandoned
        # attempt was never sent.
        charged=outcome is not Outcome.ABANDONED,
    )


def _client_left(fields: Fields) -> Event:
    return ClientLeft(fields["tid"])


def _timer_fired(fields: Fields) -> Event:
    return TimerFired(int(fields.get("ctx", 0)))


EVENTS: dict[str, Callable[[Fields], Event]] = {
    "INBOUND": _arrival,
    "COMPLETED": _attempt_ended,
    "TIMED_OUT_CLIENT": _client_left,
    "TIMEOUT_FIRED": _timer_fired,
}


def action_line(instance: int, action: Action) -> str:
    """Return the protocol line for an action of an instance."""
    match action:
        case Send(request, node, timeout_ms):
            limit = f" within_ms={timeout_ms:.3f}" if timeout_ms else ""
            return f"TRY dispatcher={instance} tid={request}{limit} server={node}"
        case SetTimer(at_ms, token):
            # Rounded up: if a timer fired early, the scheduler would find nothing due and set no other timer.
            is_early = float(f"{at_ms:.3f}") < at_ms
            alarm_ms = at_ms + WIRE_RESOLUTION_MS * is_early
            return f"SET_TIMER dispatcher={instance} alarm_time_ms={alarm_ms:.3f} ctx={token}"
        case Reject(request, retry_after_ms):
            advice = f" hold_off_ms={retry_after_ms:.3f}" if retry_after_ms else ""
            return f"BOUNCE dispatcher={instance} tid={request}{advice}"
        case Fail(request):
            return f"REPORT_FAILURE dispatcher={instance} tid={request}"
        case Cancel(request, attempt):
            return f"ABORT_ATTEMPT dispatcher={instance} tid={request} shot={attempt}"
        case Subscribe():
            return f"KEEP_INFORMED dispatcher={instance} active=1"
        case Log(text):
            return f"EMIT dispatcher={instance} msg={text}"
    raise AssertionError(f"no protocol word for action {action!r}")


class SimulatorLink:
    """Reads batches, passes each instance its events in order, and writes the replies."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        """Start without instances and node lists."""
        self.source = source
        self.sink = sink
        self.line_number = 0
        self.schedulers: dict[int, Scheduler] = {}  # by instance
        self.node_lists: dict[int, tuple[Node, ...]] = {}  # by bank
        self.queued_events: dict[int, list[Event]] = {}  # of the current batch, by instance

    def run(self) -> None:
        """Process batches until the end of the input.  Raises WireError for malformed input."""
        while (text := self._read_line()) is not None:
            if not text:
                continue
            line = Line.parse(text)
            if line.word != "SYNC" or "ts_ms" not in line.fields:
                raise WireError(f"expected SYNC with ts_ms, found {line.word!r}")
            replies = self._answer_batch(float(line.fields["ts_ms"]))
            self.sink.write("\n".join([*replies, "OK\n"]))
            self.sink.flush()

    def _read_line(self) -> str | None:
        text = self.source.readline()
        if not text:
            return None
        self.line_number += 1
        return text.rstrip("\r\n")

    def _answer_batch(self, now_ms: float) -> list[str]:
        """Read the rest of a batch; return the lines of all instances' actions.  Raises WireError."""
        self.queued_events = {}
        while (text := self._read_line()) != "EOB":
            if text is None:
                raise WireError("the input ended before the EOB of a batch")
            if not text:
                continue
            line = Line.parse(text)
            try:
                self._handle_line(now_ms, line)
            except KeyError as error:
                raise WireError(f"{line.word}: missing field or unknown value {error}") from None
            except (ValueError, TypeError, AttributeError) as error:
                raise WireError(f"{line.word}: {error}") from None
        return [
            action_line(instance, action)
            for instance, events in self.queued_events.items()
            for action in self.schedulers[instance].act(now_ms, events)
        ]

    def _handle_line(self, now_ms: float, line: Line) -> None:
        word, fields = line
        if word == "TABLE":
            self.node_lists[int(fields["bank"])] = self._read_nodes(int(fields.get("members", 0)))
            return
        if "dispatcher" not in fields:
            return
        instance = int(fields["dispatcher"])
        if word == "BEGIN":
            settings = parse_settings(json.loads(fields["config"]))
            self.schedulers[instance] = Scheduler(settings, int(fields.get("prng", 0)), now_ms)
            self.queued_events[instance] = []
        elif word == "SHUTDOWN":
            self.schedulers.pop(instance, None)
            self.queued_events.pop(instance, None)
        elif instance not in self.schedulers:
            return
        elif word == "MEMBERS":
            kind = LIST_KINDS[fields.get("how", "0")]
            nodes = () if kind is ListKind.FAILED else self.node_lists[int(fields.get("bank", 0))]
            self.queued_events.setdefault(instance, []).append(NodeList(kind, nodes))
        elif word in EVENTS:
            self.queued_events.setdefault(instance, []).append(EVENTS[word](fields))

    def _read_nodes(self, count: int) -> tuple[Node, ...]:
        nodes = []
        for _ in range(count):
            line = Line.parse(self._read_line() or "")
            if line.word != "M":
                raise WireError(f"expected {count} M lines, found {line.word!r}")
            nodes.append(_node(line.fields))
        return tuple(nodes)


def main() -> int:
    """Serve the protocol on standard input and output; print one line and return 1 for malformed input."""
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    link = SimulatorLink(sys.stdin, sys.stdout)
    try:
        link.run()
    except (WireError, UnicodeDecodeError) as error:
        print(f"line {link.line_number}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
