"""Runs a command that dies with who started it: `python child.py PARENT COMMAND...`.

A file to be run by its path, with nothing but the standard library: a drill that is killed itself can end
none of its processes, so the system is asked to (Linux: PR_SET_PDEATHSIG, prctl(2)).
"""

import os
import sys


def main() -> None:
    """Ask for SIGKILL at the parent's death, then become the command."""
    parent, command = int(sys.argv[1]), sys.argv[2:]
    if sys.platform == "linux":
        import ctypes
        import signal

        ctypes.CDLL(None).prctl(1, signal.SIGKILL)
    if os.getppid() != parent:
        raise SystemExit(3)  # it died before it could be asked for
    os.execv(command[0], command)


if __name__ == "__main__":
    main()
