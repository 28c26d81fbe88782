"""Records the interfaces to operators and their tools as fixtures.

Run with `python -m tests.compatibility.record_interfaces`.
"""

import tempfile
from pathlib import Path

from tests.compatibility import interfaces_cases as cases
from tests.compatibility.canonical import save


def main() -> None:
    """Write the fixtures `interfaces_settings` and `interfaces`."""
    save(
        "interfaces_settings",
        {
            "shape": cases.settings_shape(),
            "reference": cases.reference_rows(),
            "effective": cases.effective_settings(),
            "scheduler": cases.scheduler_settings(),
        },
    )
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        save(
            "interfaces",
            {
                "deploy": cases.deploy_file(),
                "metrics": cases.metrics(),
                "codes": cases.codes(),
                "help": {command: cases.help_of(command) for command in cases.COMMANDS},
                "exit codes": cases.exit_codes(folder),
                "exit codes of the module": cases.exit_codes_of_the_module(folder),
                "admin": {program: cases.admin_port(program, folder) for program in cases.PROGRAMS},
            },
        )


if __name__ == "__main__":
    main()
