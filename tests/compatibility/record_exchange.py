"""Records full exchanges: `python -m tests.compatibility.record_exchange`, once."""

from __future__ import annotations

from tests.compatibility import exchange_cases as cases
from tests.compatibility.canonical import save


def main() -> None:
    """Write the fixture; it is never written again."""
    exchanges = [
        {"incoming": [data.hex() for data in pieces], "answer": cases.answer(pieces)}
        for pieces in cases.incoming()
    ]
    save("exchange", {"exchanges": exchanges, "asked": cases.asked()})


if __name__ == "__main__":
    main()
