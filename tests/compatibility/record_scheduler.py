"""Record the scheduler's decisions: `python -m tests.compatibility.record_scheduler`."""

from tests.compatibility import canonical, scheduler_cases

if __name__ == "__main__":
    canonical.save(scheduler_cases.FIXTURE, [scheduler_cases.play(seed) for seed in scheduler_cases.SEEDS])
