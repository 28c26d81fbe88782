"""Records full exchanges; was run once: `python -m tests.compatibility.record_exchange`."""

from __future__ import annotations

from tests.compatibility import exchange_cases as cases
from tests.compatibility.canonical import save


def main() -> None:
    """Write the fixture.  Raises FileExistsError, because a recorded fixture is never overwritten."""
    exchanges = [
        {"incoming": [data.hex() for data in chunks], "answer": cases.reply(chunks)}
        for chunks in cases.incoming()
    ]
    save("exchange", {"exchanges": exchanges, "asked": cases.initiated_exchange()})


if __name__ == "__main__":
    main()
