"""Each fence around a planner's death switched off by itself: which rule breaks, on which seed.

    python benchmarks/fences.py [--seeds 8] [--jobs 4]

A day of planners that die again and again beside nodes that fail, lose answers and come up cold, in simulated
time, judged from the sockets.  The first line is the program as it is.
"""

import argparse
from concurrent.futures import ProcessPoolExecutor

import msgspec

from cressrock.edge.decisions import EdgeDecisions
from cressrock.lab.day import Script, play
from cressrock.lab.judge import judge
from cressrock.programs.composition import Components
from cressrock.scheduler.scheduler import Scheduler
from cressrock.settings.types import interface_settings


def is_own(settings):
    return settings.scheduler.limits_lent and not settings.scheduler.budget_begins_spent


def module(settings, seed, now, **changes):
    scheduler = msgspec.structs.replace(settings.scheduler, **changes)
    return Scheduler(interface_settings(msgspec.structs.replace(settings, scheduler=scheduler)), seed, now)


class CountedAgain(EdgeDecisions):
    """What another decider had is offered as if nobody had counted it."""

    def _hand_over(self, name, now):
        pending = self.operations.get(name)
        if pending is not None:
            pending.counted_in_budget, pending.accepted_at_ms = False, now
        return super()._hand_over(name, now)


class AttemptsUntold(EdgeDecisions):
    """Offers say nothing of attempts that were made: those that follow look like first ones."""

    def _offer(self, name, pending, attempts, now):
        super()._offer(name, pending, 0, now)
        pending.number_offset = -attempts


class NoTurns(EdgeDecisions):
    """Order is not looked at over a change of who decides."""

    def __init__(self, *given, **more):
        super().__init__(*given, **more | {"ordering": None})


class RunsOnForEver(EdgeDecisions):
    """Nobody gives up an attempt whose planner is gone."""

    def _answer_overdue(self, now, actions):
        entries = {name: self.ledger.entries.get(name) for name in self.operations}
        running = {
            name: self.operations[name]
            for name, entry in entries.items()
            if entry is not None and entry.attempt_in_flight() is not None
        }
        for name in running:
            del self.operations[name]
        next_check_ms = super()._answer_overdue(now, actions)
        self.operations.update(running)
        return next_check_ms


class LendsWhatItLikes(EdgeDecisions):
    """Every operation of a limited volume brings its units, whether the edge's part has them or not."""

    def __init__(self, *given, **more):
        super().__init__(*given, **more)
        if self.quota is not None:
            self.quota.lease = lambda volume, plan, wanted, now: wanted


def cold_alone(settings, seed, now):
    """An edge by itself takes all that a cold node bears for its own."""
    return module(settings, seed, now, cold_bears=1e6) if is_own(settings) else module(settings, seed, now)


def free_alone(settings, seed, now):
    """An edge by itself has free attempts of its own, beside those of planners."""
    return module(settings, seed, now, budget_free=20.0) if is_own(settings) else module(settings, seed, now)


def begins_free(settings, seed, now):
    """A new planner's free attempts are its own, whatever the former one spent."""
    return module(settings, seed, now, budget_begins_spent=False)


FENCES = {
    "none off": {},
    "offers count once": {"edge": CountedAgain},
    "offers tell of attempts": {"edge": AttemptsUntold},
    "order over a change": {"edge": NoTurns},
    "what runs on ends in time": {"edge": RunsOnForEver},
    "limits are lent from the part": {"edge": LendsWhatItLikes},
    "alone, nothing for cold nodes": {"decisions": cold_alone},
    "alone, no free attempts": {"decisions": free_alone},
    "a budget begins as spent": {"decisions": begins_free},
}


def one(job):
    name, seed, ordered = job
    script = Script(
        seed=seed,
        dispatchers=4,
        planners=1,
        rate=60.0,
        ordered=ordered,
        troubles=("planners", "surge", "replace", "crash", "lost", "broken", "errors", "hung"),
    )
    result = play(script, parts=Components(**FENCES[name]))
    found = judge(result.trace)
    rules = sorted({b.rule for b in found.breaches})
    return name, seed, rules, sum(result.fences.values()), len(found.breaches)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=6)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", nargs="*", default=list(FENCES))
    options = parser.parse_args()
    jobs = [(name, seed, 0.2) for name in options.only for seed in range(1, options.seeds + 1)]
    rows = {name: [] for name in options.only}
    with ProcessPoolExecutor(options.jobs) as pool:
        for name, *row in pool.map(one, jobs):
            rows[name].append(row)
    print(f"4 edges, 1 planner that dies again and again, seeds 1 to {options.seeds}, one play each\n")
    print("| off | days with a rule broken | rules | breaches | fences tripped |")
    print("| --- | --- | --- | --- | --- |")
    bad = False
    for name, found in rows.items():
        days = sum(bool(rules) for _, rules, _, _ in found)
        rules = sorted({rule for _, r, _, _ in found for rule in r})
        trips = sum(f for _, _, f, _ in found)
        breaches = sum(count for *_, count in found)
        print(f"| {name} | {days} of {len(found)} | {rules or 'none'} | {breaches} | {trips} |")
        bad |= (days > 0) == (name == "none off")
    raise SystemExit(bad)


if __name__ == "__main__":
    main()
