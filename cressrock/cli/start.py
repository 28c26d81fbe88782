"""Where every command starts.

`platform` runs in little memory on a part of one core: it is found here, before the libraries of the other
commands (settings, metrics, XML, the laboratory) are loaded.
"""

from __future__ import annotations

import sys


def main() -> None:
    """Run the command line."""
    if sys.argv[1:] == ["platform"]:
        from cressrock.platform.program import main as platform

        sys.exit(platform())
    from cressrock.cli.main import main as others

    others()
