"""The simulator's adapter: protocol lines in and out, and clear errors for malformed input."""

import io
import json
import os
import pathlib
import random
import re
import subprocess
import sys

import pytest

from cressrock.benchlink import SimulatorLink, action_line, parse_settings
from cressrock.interface import DeduplicationScope, Idempotency, SetTimer

ROOT = pathlib.Path(__file__).parent.parent
CONFIG = {
    "balancers": 2,
    "caps": {"max_attempts": 3, "unheard_of": 1},
    "family_info": {"cold_bears": 10, "usual_units": 2, "most_units": 8, "writes": [False]},
    "membership_mode": "ask",
    "period_ms": 2.0,
    "policies": [{"weight": 1.0, "ceiling_rate": 5.0, "burst": 20.0, "slack": 2.0}, {"weight": 2.0}],
    "profiles": [{"goal_time_ms": 300.0, "give_up_ms": 1500.0, "semantics": "free"}],
    "safety": {"answer_slack_ms": 8.0, "ask_every_ms": 10000.0, "cold_from": 0.2, "warm_up_ms": 9000.0},
}
START = (
    f"SYNC ts_ms=100.0\nBEGIN dispatcher=0 prng=5 config={json.dumps(CONFIG)}\n"
    "TABLE bank=0 members=2\nM cluster=0 stage_state=1 server=10.0.0.1:1 later=1\n"
    "M cluster=1 stage_state=1 server=10.0.0.2:1\nMEMBERS dispatcher=0 how=2 stamp=1 bank=0\nEOB\n"
)
ASK = "INBOUND dispatcher=0 tid=t/{} extent=e{} size_units=2 remaining_ms=900 plan=1 store_user=v{} lies_in=0"


def run_in_process(text):
    sink = io.StringIO()
    SimulatorLink(io.StringIO(text), sink).run()
    return sink.getvalue()


def run(text, hash_seed="0"):
    env = os.environ | {"PYTHONHASHSEED": hash_seed}
    return subprocess.run(
        [sys.executable, "-m", "cressrock.benchlink"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env=env,
        timeout=60,
    )


def test_a_batch_gets_one_reply_and_the_first_requests_the_node_list():
    reply = run_in_process("SYNC ts_ms=1\nEOB\n" + START)
    assert reply.startswith("OK\n")
    assert "KEEP_INFORMED dispatcher=0 active=1\n" in reply
    assert reply.count("OK\n") == 2


def test_a_request_is_sent_to_the_node_of_its_shard():
    reply = run_in_process(START + "SYNC ts_ms=110\n" + ASK.format("a", 1, 1) + "\nEOB\n")
    assert "TRY dispatcher=0 tid=t/a server=10.0.0.1:1\n" in reply


def test_unknown_words_and_fields_are_ignored():
    extra = "NEWS dispatcher=0 x=1\nTIMEOUT_FIRED dispatcher=0 ctx=1 y=2\n"
    extra += "TIMED_OUT_CLIENT dispatcher=9 tid=t/q\n"
    assert run_in_process(START + "SYNC ts_ms=110\n" + extra + "EOB\n").endswith("OK\n")


def test_an_instance_that_was_shut_down_takes_no_more_actions():
    ask = ASK.format("a", 1, 1) + "\n"
    reply = run_in_process(START + "SYNC ts_ms=110\n" + ask + "SHUTDOWN dispatcher=0\nEOB\n")
    assert "TRY" not in reply


@pytest.mark.parametrize(
    ("text", "line", "words"),
    [
        ("HELLO\n", 1, "SYNC"),
        ("SYNC ts_ms=1\nBEGIN dispatcher=0 prng=1 config={\nEOB\n", 2, "BEGIN"),
        ("SYNC ts_ms=1\nBEGIN dispatcher=0 prng=1 config={}\nEOB\n", 2, "class"),
        ("SYNC ts_ms=1\nTABLE bank=0 members=1\nEOB\n", 3, "M lines"),
        ("SYNC ts_ms=1\n", 1, "ended"),
        (START + "SYNC ts_ms=2\nCOMPLETED dispatcher=0 tid=t/a code=999\nEOB\n", 9, "999"),
        (START + "SYNC ts_ms=2\nINBOUND dispatcher=0 tid\nEOB\n", 9, "name=value"),
    ],
)
def test_a_malformed_line_is_reported_by_number_and_ends_the_process(text, line, words):
    result = run(text)
    assert result.returncode == 1
    assert result.stderr.startswith(f"line {line}:") and words in result.stderr
    assert result.stderr.count("\n") == 1
    assert all(part == "OK" or "dispatcher=" in part for part in result.stdout.split("\n") if part)


@pytest.mark.parametrize("left", [900, 500.003, 600.001, 622.223])
def test_a_batch_at_the_exact_time_of_a_timer_is_not_too_early(left):
    """With a timer rounded down nothing would be due, no other set, and the request never answered."""
    ask = ASK.format("a", 1, 1).replace("lies_in=0", "lies_in=9").replace("=900", f"={left}")
    batches = START + f"SYNC ts_ms=110\n{ask}\nEOB\n"
    for _ in range(100):
        last = run_in_process(batches).split("OK\n")[-2]
        if "BOUNCE dispatcher=0 tid=t/a" in last:
            return
        alarm = re.findall(r"SET_TIMER dispatcher=0 alarm_time_ms=(\S+) ctx=(\S+)", last)
        assert alarm, "the request is open, but no timer is set"
        batches += f"SYNC ts_ms={alarm[-1][0]}\nTIMEOUT_FIRED dispatcher=0 ctx={alarm[-1][1]}\nEOB\n"
    raise AssertionError("the request was never answered")


@pytest.mark.parametrize("at", [0.0, 20.0, 36810.123, 36810.1231, 36810.1239, 5e9 + 0.0004])
def test_a_timer_is_never_written_with_an_earlier_time(at):
    written = float(action_line(0, SetTimer(at, 1)).split("alarm_time_ms=")[1].split()[0])
    assert at <= written < at + 0.0015


def test_the_end_of_the_input_is_not_an_error():
    assert run("").returncode == 0
    assert run(START).returncode == 0


def test_errors_name_missing_and_invalid_settings():
    with pytest.raises(ValueError, match=r"profiles\[0\].goal_time_ms"):
        parse_settings({"profiles": [{"give_up_ms": 10}]})
    with pytest.raises(ValueError, match="weight"):
        parse_settings(CONFIG | {"policies": [{"weight": 0}]})


def test_absent_settings_get_their_defaults():
    made = parse_settings({"profiles": [{"goal_time_ms": 10, "give_up_ms": 20}]})
    assert (
        made.classes[0].idempotency is Idempotency.NEVER
        and made.classes[0].deduplication_scope is DeduplicationScope.SHARD
    )
    assert made.plans[0].limit_rate == 0 and not made.must_ask and made.budget_window_ms == 0


def test_the_actions_do_not_depend_on_the_hash_seed_or_the_process():
    """Run a session in this process, then replay its input in others with different hash seeds."""
    rng, now, out, text, replies = random.Random(4), 100.0, [], "", ""
    link = SimulatorLink(io.StringIO(), io.StringIO())
    for i in range(400):
        batch = START if not i else f"SYNC ts_ms={now}\n"
        if i:
            batch += ASK.format(i, rng.randrange(5), rng.randrange(4)) + "\n"
            for name, server in [o for o in out if rng.random() < 0.6]:
                out.remove((name, server))
                lag = rng.choice([15, 30, 90])
                batch += f"COMPLETED dispatcher=0 tid={name} server={server} lag_ms={lag} settled=1 code=0\n"
            batch += "TIMEOUT_FIRED dispatcher=0 ctx=1\nEOB\n"
        link.source, link.sink = io.StringIO(batch), io.StringIO()
        link.run()
        reply = link.sink.getvalue()
        out += re.findall(r"TRY dispatcher=0 tid=(\S+) server=(\S+)", reply)
        text, replies, now = text + batch, replies + reply, now + rng.choice([2.0, 20.0])
    assert replies.count("TRY") > 100
    assert run(text, "1").stdout == run(text, "2").stdout == replies
