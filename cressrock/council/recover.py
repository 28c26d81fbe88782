"""Runs `cressrock.consensus.recover`; runbooks still call `python -m cressrock.council.recover`."""

import sys

from cressrock.consensus.recover import main

if __name__ == "__main__":
    sys.exit(main())
