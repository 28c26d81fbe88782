"""Cases for the simulator's protocol: sessions with the adapter, single actions and settings objects."""

from __future__ import annotations

import io
import json
import random
import re
from typing import Any

from cressrock.benchlink import SimulatorLink, action_line
from cressrock.config import parse_settings
from cressrock.interface import Cancel, Fail, Log, Reject, Send, SetTimer, Subscribe
from tests.compatibility.canonical import canonical

FIXTURE = "benchlink"
CODES = ("0", "0", "0", "0", "0", "0", "5", "11", "104", "110", "111", "114", "125")

ACTIONS = [
    Send("t/a", "10.0.0.1:1"),
    Send("t/a", "10.0.0.1:1", 12.3456),
    SetTimer(0.0, 1),
    SetTimer(36810.1231, 7),
    SetTimer(5e9 + 0.0004, 123456),
    Reject("t/b"),
    Reject("t/b", 99.9996),
    Fail("t/c"),
    Cancel("t/d", 2),
    Subscribe(),
    Log("node 10.0.0.1:1: timeout, now on trial"),
]

# Inputs that the adapter rejects; the number of the line that it reports is recorded.
MALFORMED = [
    "HELLO\n",
    "SYNC\nEOB\n",
    "SYNC ts_ms=x\nEOB\n",
    "SYNC ts_ms=1\nBEGIN dispatcher=0 prng=1 config={\nEOB\n",
    "SYNC ts_ms=1\nBEGIN dispatcher=0 prng=1 config={}\nEOB\n",
    "SYNC ts_ms=1\nBEGIN dispatcher=0 prng=1\nEOB\n",
    "SYNC ts_ms=1\nTABLE bank=0 members=1\nEOB\n",
    "SYNC ts_ms=1\nTABLE bank=0 members=1\nM stage_state=9 server=a\nEOB\n",
    "SYNC ts_ms=1\nTABLE members=0\nEOB\n",
    "SYNC ts_ms=1\n",
    "\n\nSYNC ts_ms=1\n\nINBOUND dispatcher\nEOB\n",
]


def draw_config(rng: random.Random) -> dict[str, Any]:
    """Return a settings object as the simulator writes it, with sections and values left out at random."""

    def random_subset(figures: dict[str, Any]) -> dict[str, Any]:
        return {name: value for name, value in figures.items() if rng.random() < 0.7}

    def profile() -> dict[str, Any]:
        figures = {"goal_time_ms": rng.choice([40, 300.5]), "give_up_ms": rng.choice([900, 4000.25])}
        return figures | random_subset(
            {
                "worth": rng.choice([0, 1.5, 3]),
                "late_value": 0.125,
                "repeat_window_ms": 2500.0,
                "semantics": rng.choice(["free", "guarded", "single_shot"]),
                "key_scope": rng.choice(["all", "zone", "cell"]),
                "in_turn": rng.random() < 0.3,
                "unheard_of": 3,
            }
        )

    def policy() -> dict[str, Any]:
        return random_subset(
            {
                "weight": rng.choice([0.5, 1, 6.0]),
                "rate": 12.5,
                "reserve": rng.choice([0, 4.0]),
                "value_factor": 2.0,
                "ceiling_rate": 30.0,
                "burst": 40.0,
                "slack": 2.0,
            }
        )

    return random_subset(
        {
            "balancers": rng.choice([1, 2, 40]),
            "period_ms": rng.choice([1, 2.0]),
            "membership_mode": rng.choice(["ask", "push"]),
            "caps": random_subset(
                {"max_attempts": 3, "connect_timeout_ms": 200, "max_retry_after_ms": 1500.0, "cancel": True}
            ),
            "safety": random_subset(
                {
                    "answer_slack_ms": 8.0,
                    "drain_grace_ms": 500.0,
                    "ask_every_ms": 10000.0,
                    "cold_from": 0.2,
                    "warm_up_ms": 9000.0,
                    "tip_after_ms": 800.0,
                    "order_settle_ms": 60.0,
                    "look_back_ms": 1000.0,
                    "extra_free": 4.0,
                    "extra_per_request": 0.1,
                }
            ),
            "family_info": random_subset(
                {
                    "cold_bears": 10,
                    "usual_units": 2,
                    "most_units": 8,
                    "within_share": 0.3,
                    "idle_worth": 0.2,
                    "use_period_ms": 1000.0,
                    "writes": [False, True],
                    "counts_others": rng.random() < 0.5,
                }
            ),
            "policies": [policy() for _ in range(rng.randint(1, 3))],
        }
    ) | {"profiles": [profile() for _ in range(rng.randint(1, 4))]}


BAD_CONFIGS: list[dict[str, Any]] = [
    {},
    {"profiles": {}},
    {"profiles": [3]},
    {"profiles": [{"give_up_ms": 10}]},
    {"profiles": [{"goal_time_ms": 0, "give_up_ms": 10}]},
    {"profiles": [{"goal_time_ms": True, "give_up_ms": 10}]},
    {"profiles": [{"goal_time_ms": "5", "give_up_ms": 10}]},
    {"profiles": [{"goal_time_ms": 5, "give_up_ms": 1e400}]},
    {"profiles": [{"goal_time_ms": 5, "give_up_ms": 10, "worth": -1}]},
    {"profiles": [{"goal_time_ms": 5, "give_up_ms": 10, "semantics": "odd"}]},
    {"profiles": [{"goal_time_ms": 5, "give_up_ms": 10, "key_scope": 4}]},
    {"profiles": [{"goal_time_ms": 5, "give_up_ms": 10}], "policies": [{"weight": 0}]},
    {"profiles": [{"goal_time_ms": 5, "give_up_ms": 10}], "caps": [1]},
    {"profiles": [{"goal_time_ms": 5, "give_up_ms": 10}], "safety": {"cold_from": -1}},
    {"profiles": [{"goal_time_ms": 5, "give_up_ms": 10}], "family_info": {"writes": {"a": 1}}},
]


def parsed_or_error(config: dict[str, Any]) -> Any:
    """Parse a settings object; return its values in order, or the error's text."""
    try:
        return canonical(parse_settings(config))
    except ValueError as error:
        return {"error": str(error)}


def record_settings() -> list[Any]:
    """Return pairs of a settings object and its parsed values or error."""
    rng = random.Random(11)
    configs = [draw_config(rng) for _ in range(40)] + BAD_CONFIGS
    return [[config, parsed_or_error(config)] for config in json.loads(json.dumps(configs))]


def rejected_line_number(text: str) -> int:
    """Return the number of the line at which the adapter rejects an input, 0 if it accepts all lines."""
    link = SimulatorLink(io.StringIO(text), io.StringIO())
    try:
        link.run()
    except ValueError:
        return link.line_number
    return 0


def without_texts(reply: str) -> str:
    """Return a reply without the texts of log lines, which may change."""
    return re.sub(r"(EMIT dispatcher=\d+ msg=).*", r"\1", reply)


class Session:
    """Three instances in one process (two after a shutdown), their clients and their servers."""

    def __init__(self, seed: int) -> None:
        """Start the adapter without instances."""
        self.rng = random.Random(seed)
        self.now = 100.0
        self.link = SimulatorLink(io.StringIO(), io.StringIO())
        self.exchanges: list[list[str]] = []
        self.outstanding: list[tuple[float, str, str, str, str]] = []
        self.timers: list[tuple[float, str, str]] = []
        self.shots: dict[str, int] = {}
        self.count = 0

    def play(self, batches: int) -> list[list[str]]:
        """Run so many batches; return the input and the reply of each batch."""
        rng = self.rng
        begin = [
            f"BEGIN dispatcher={instance} prng={rng.getrandbits(60)} config={json.dumps(draw_config(rng))}"
            for instance in range(3)
        ]
        self.exchange([*begin, *self.list_lines("2"), "MEMBERS dispatcher=1 how=0 stamp=2 bank=0"])
        self.exchange(["MEMBERS dispatcher=2 how=0 bank=0", "NEWS dispatcher=0 later=1", ""])
        for number in range(batches):
            self.now = round(self.now + rng.choice([2.0, 2.0, 4.125, 20.0]), 4)
            lines = self.due_event_lines()
            if rng.random() < 0.6:
                lines.append(self.arrival_line())
            if rng.random() < 0.02:
                lines += self.list_lines(rng.choice(["0", "3", "4"]))
            if rng.random() < 0.05 and self.outstanding:
                _, instance, tid, _, _ = rng.choice(self.outstanding)
                lines.append(f"TIMED_OUT_CLIENT dispatcher={instance} tid={tid}")
            if number == batches * 2 // 3:
                lines.append("SHUTDOWN dispatcher=2")
            self.exchange(lines)
        return self.exchanges

    def list_lines(self, how: str) -> list[str]:
        """Return the lines of a table of servers and of its delivery to one instance."""
        rng = self.rng
        lines = ["TABLE bank=0 members=4"]
        for shard in range(4):
            state = "1" if how == "2" else rng.choice(["1", "1", "1", "2", "0"])
            started = rng.choice(["", "", f" up_since_ms={self.now - 50}"])
            lines.append(
                f"M cluster={shard} area={shard % 2} stage_state={state} server=10.0.0.{shard}:1{started}"
            )
        return [
            *lines,
            f"MEMBERS dispatcher={0 if how == '2' else rng.randrange(3)} how={how} stamp=1 bank=0",
        ]

    def arrival_line(self) -> str:
        """Return the line of a client's request."""
        rng = self.rng
        self.count += 1
        left_out = rng.choice(["", "", f" plan={0}", f" plan={0} writers={rng.randint(1, 3)}"])
        return (
            f"INBOUND dispatcher={rng.randrange(3)} tid=t/{self.count} extent=e{rng.randrange(9)}"
            f" size_units={rng.choice(['1', '2', '2.5'])} remaining_ms={rng.choice([600, 900.25, 3000])}"
            f" store_user=v{rng.randrange(4)} cls=0"
            f" lies_in={rng.choice(['-1', '0', '1.0', '2', '3'])}{left_out}"
        )

    def due_event_lines(self) -> list[str]:
        """Return the lines of the outcomes and timers that are due."""
        rng, lines = self.rng, []
        for entry in [entry for entry in self.outstanding if entry[0] <= self.now]:
            self.outstanding.remove(entry)
            _, instance, tid, server, shot = entry
            code = rng.choice(CODES)
            settled = f" settled={rng.choice('01')}" if code != "0" else " settled=1"
            figures = rng.choice(["", f" metered={rng.randint(0, 200)}.0 delta={rng.randint(0, 9)}"])
            lines.append(
                f"COMPLETED dispatcher={instance} tid={tid} shot={shot} server={server}"
                f" lag_ms={rng.choice([15, 30.5, 90])} code={code}{settled}{figures}"
            )
        lines += [f"TIMEOUT_FIRED dispatcher={i} ctx={ctx}" for at, i, ctx in self.timers if at <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        return lines

    def exchange(self, lines: list[str]) -> None:
        """Pass the adapter one batch; record its reply and act on it."""
        text = "\n".join([f"SYNC ts_ms={self.now}", *lines, "EOB\n"])
        sink = io.StringIO()
        self.link.source, self.link.sink = io.StringIO(text), sink
        self.link.run()
        reply = without_texts(sink.getvalue())
        self.exchanges.append([text, reply])
        for instance, tid, server in re.findall(r"TRY dispatcher=(\d) tid=(\S+).* server=(\S+)", reply):
            shot = self.shots[tid] = self.shots.get(tid, -1) + 1
            self.outstanding.append(
                (self.now + self.rng.choice([5, 30, 90]), instance, tid, server, str(shot))
            )
        for instance, at, ctx in re.findall(
            r"SET_TIMER dispatcher=(\d) alarm_time_ms=(\S+) ctx=(\S+)", reply
        ):
            self.timers.append((float(at), instance, ctx))


def replay(exchanges: list[list[str]]) -> list[list[str]]:
    """Pass recorded batches to a new adapter; return them with its replies."""
    link = SimulatorLink(io.StringIO(), io.StringIO())
    replayed = []
    for text, _ in exchanges:
        sink = io.StringIO()
        link.source, link.sink = io.StringIO(text), sink
        link.run()
        replayed.append([text, without_texts(sink.getvalue())])
    return replayed


def action_lines() -> list[str]:
    """Return the protocol line of each example action."""
    return [action_line(3, action) for action in ACTIONS]
