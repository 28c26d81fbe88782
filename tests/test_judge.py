"""The judge finds each rule broken by a driver that is broken for it, and days of the real one kept.

Each broken part is the real one with one eye shut: a figure that it is not told, or a fence taken away.
"""

from dataclasses import replace
from functools import partial

import pytest

from cressrock.dispatch.ledger import Ledger
from cressrock.dispatch.task_driver import TaskDriver as Driver
from cressrock.interface import NodeList, NodeState, Outcome, Reject, Send
from cressrock.lab.day import Script, play
from cressrock.lab.judge import judge
from cressrock.lab.trace import load
from cressrock.programs.composition import Components
from cressrock.scheduler.dispatch import Dispatch
from cressrock.scheduler.placement import Placement
from cressrock.scheduler.scheduler import Scheduler
from cressrock.scheduler.slow_start import SlowStart
from cressrock.settings.types import interface_settings


def make_blind(figures, settings, seed, now):
    """The scheduler, told other figures than those that hold."""
    told = interface_settings(settings)
    changes = {k: v for k, v in figures.items() if k not in ("classes", "plans")}
    for name in ("classes", "plans"):
        if name in figures:
            changes[name] = tuple(replace(one, **figures[name]) for one in getattr(told, name))
    return Scheduler(replace(told, **changes), seed, now)


def blind(**figures):
    return partial(make_blind, figures)


class NoFences(Ledger):
    """Lets every order pass."""

    def send(self, name, node, now):
        entry = self.entries.get(name)
        if entry is not None:
            entry.verdict = None
            cls, entry.request_class = (
                entry.request_class,
                replace(entry.request_class, idempotency=entry.request_class.idempotency),
            )
            told = self.withdrawn_at_ms.pop(node, None)
            out = [a for a in entry.attempts if a.outcome is None]
            for attempt in out:
                attempt.outcome = Outcome.ABANDONED
            result = super().send(name, node, now)
            for attempt in out:
                attempt.outcome = None
            entry.request_class = cls
            if told is not None:
                self.withdrawn_at_ms[node] = told
            return result
        return super().send(name, node, now)

    def may_leave(self, name, number, now):
        return True

    def overdue(self, now):
        return []


class Forgetful(Driver):
    """Rule 1: every second denial is never given."""

    lost = 0

    def _give_denial(self, name, verdict, reason, retry_after_ms):
        self.lost += 1
        if self.lost % 2:
            super()._give_denial(name, verdict, reason, retry_after_ms)


class Hasty(Driver):
    """Rule 2: a write is sent a second time while its first attempt is out."""

    def _execute(self, action, now):
        super()._execute(action, now)
        if isinstance(action, Send) and action.request in self.pending:
            if self.pending[action.request].op.method == b"PUT":
                super()._execute(action, now)

    def _enqueue(self, name, rank, event):
        if getattr(event, "attempt", 0) == 0:  # the scheduler knows of one attempt alone
            super()._enqueue(name, rank, event)


class Deaf(Scheduler):
    """Rule 3: does not hear that a node drains."""

    def act(self, now_ms, events):
        heard = []
        for event in events:
            if isinstance(event, NodeList):
                ready = tuple(replace(n, state=NodeState.READY) for n in event.nodes)
                heard.append(replace(event, nodes=ready))
            else:
                heard.append(event)
        return super().act(now_ms, heard)


def deaf(settings, seed, now):
    return Deaf(interface_settings(settings), seed, now)


class NoSlowStart(SlowStart):
    """Takes a cold node for a warm one."""

    def allowed_units(self, endpoint, now_ms):
        super().allowed_units(endpoint, now_ms)
        endpoint.admitted_share = 1.0
        return float("inf")


class HeadlongDispatch(Dispatch):
    """Sends all that waits."""

    def has_free_slot(self, endpoint, now_ms):
        return True

    def next_request(self, queue, endpoint, now_ms):
        self.slow_start.allowed_units(endpoint, now_ms)
        return next((volume.waiting[0] for volume in queue.volumes.values() if volume.waiting), None)


class Headlong(Scheduler):
    """Rule 4: takes a cold node for a warm one, and sends it all that waits."""

    def __init__(self, settings, seed, now_ms):
        super().__init__(settings, seed, now_ms)
        self.slow_start = NoSlowStart(settings, self.queues, now_ms)
        self.placement = Placement(self.queues, self.slow_start, self.random)
        admission = self.dispatch.admission
        self.dispatch = HeadlongDispatch(settings, admission, self.slow_start, self.lost_attempts)


def headlong(settings, seed, now):
    return Headlong(interface_settings(settings), seed, now)


class Trusting(Ledger):
    """A ledger without the fence of rule 2's refusals."""

    def may_reject(self, entry):
        return True


class Refuser(Scheduler):
    """Rule 2 again: refuses what may have run."""

    def act(self, now_ms, events):
        return [Reject(a.request) if type(a).__name__ == "Fail" else a for a in super().act(now_ms, events)]


def refuser(settings, seed, now):
    return Refuser(interface_settings(settings), seed, now)


BROKEN = {
    1: (Components(driver=Forgetful, ledger=NoFences), {"troubles": ("slow",), "rate": 160.0}),
    2: (Components(driver=Hasty, ledger=NoFences), {"troubles": ("none",)}),
    3: (Components(decisions=deaf, ledger=NoFences), {"troubles": ("drain",), "length_ms": 30000}),
    4: (Components(decisions=headlong), {"troubles": ("replace",), "rate": 150.0, "nodes": 3}),
    5: (
        Components(decisions=blind(classes={"ordered": False})),
        {"troubles": ("slow",), "ordered": 0.3, "nodes": 2, "rate": 70.0},
    ),
    6: (Components(decisions=blind(budget_window_ms=0.0)), {"troubles": ("errors",), "length_ms": 60000}),
    7: (Components(decisions=blind(plans={"limit_rate": 0.0})), {"troubles": ("surge",), "rate": 90.0}),
}


def scripts():
    """Every day that the tests look at: name, script, parts."""
    for rule, (parts, changes) in BROKEN.items():
        script = Script(**({"seed": 3, "length_ms": 20000} | changes))
        yield f"broken {rule}", script, parts
        yield f"sound {rule}", script, Components()
    hung = Script(seed=3, length_ms=20000, troubles=("hung", "lost"), rate=120.0)
    yield "refuser trusted", hung, Components(decisions=refuser, ledger=Trusting)
    yield "refuser fenced", hung, Components(decisions=refuser)
    for name in ("bad", "bad again"):
        yield name, Script(seed=7, length_ms=60000), Components()
    for seed in (11, 12):
        yield (
            f"many {seed}",
            Script(seed=seed, dispatchers=20, nodes=6, rate=60, length_ms=20000),
            Components(),
        )


def day(script, parts):
    """Play and judge."""
    result = play(script, parts=parts)
    return judge(result.trace), result


class Days(dict):
    """Plays a day when a test first asks for it: tests run in processes of their own."""

    def __missing__(self, name):
        script, parts = next((s, p) for n, s, p in scripts() if n == name)
        self[name] = day(script, parts)
        return self[name]


@pytest.fixture(scope="module")
def days():
    return Days()


@pytest.mark.parametrize("rule", BROKEN)
def test_each_rule_is_found_broken_in_a_driver_that_is_broken_for_it(days, rule):
    broken, _ = days[f"broken {rule}"]
    assert not broken.kept(rule)
    sound, _ = days[f"sound {rule}"]
    assert sound.kept(rule), sound.breaches[:3]
    assert sound.looked_at[rule]


def test_a_refusal_of_what_may_have_run_is_found_and_the_ledger_would_stop_it(days):
    broken, _ = days["refuser trusted"]
    assert any("refused, though" in b.what for b in broken.breaches)
    fenced, result = days["refuser fenced"]
    assert result.fences["rule2-refusal-not-provable"] > 0
    assert fenced.kept(2)


def test_the_bad_day_keeps_all_rules_and_one_seed_gives_one_trace(days, tmp_path):
    found, first = days["bad"]
    _, second = days["bad again"]
    assert not found.breaches and not first.fences
    assert all(found.looked_at[rule] for rule in (1, 2, 3, 4, 5, 6, 7))
    assert first.trace.rows == second.trace.rows
    first.trace.write(str(tmp_path / "day.parquet"))
    again = load(str(tmp_path / "day.parquet"))
    assert again.facts == first.trace.facts and again.rows == list(first.trace)
    with pytest.raises(ValueError, match="not a readable trace"):
        load(__file__)


@pytest.mark.parametrize("seed", [11, 12])
def test_many_dispatchers_keep_all_rules(days, seed):
    found, result = days[f"many {seed}"]
    assert not found.breaches and not result.fences
