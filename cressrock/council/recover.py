"""`python -m cressrock.council.recover`, as runbooks have it; it runs `cressrock.consensus.recover`."""

import sys

from cressrock.consensus.recover import main

if __name__ == "__main__":
    sys.exit(main())
