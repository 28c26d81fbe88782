"""The program with a defect that one figure of a rules document sets off: `python -m cressrock.lab.fragile`.

For drills alone.  As soon as this process is to decide by a class whose aim is
`DEADLY_MS`, it is gone, as by a crash in mid-turn: no handler runs and nothing is written.
"""

import os
import runpy

DEADLY_MS = 13.0


def main() -> None:
    """Break the decision module, then be the program."""
    from cressrock.interface import Settings
    from cressrock.scheduler.scheduler import Scheduler

    def extend_tables(self: Scheduler, settings: Settings) -> None:
        if any(cls.latency_objective_ms == DEADLY_MS for cls in settings.classes):
            os._exit(9)
        sound(self, settings)

    sound = Scheduler.extend_tables
    Scheduler.extend_tables = extend_tables  # type: ignore[method-assign]
    runpy.run_module("cressrock", run_name="__main__")


if __name__ == "__main__":
    main()
