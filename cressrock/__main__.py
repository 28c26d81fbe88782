"""python -m cressrock."""

from cressrock.cli.start import main

if __name__ == "__main__":
    main()
