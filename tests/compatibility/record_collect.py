"""Record bytes and decisions of the collectors: `python -m tests.compatibility.record_collect`, once."""

from cressrock.aggregation import messages
from tests.compatibility import collect_cases as cases
from tests.compatibility.canonical import save


def main() -> None:
    """Write fixtures/collect_wire.json and fixtures/collect_decisions.json."""
    save(
        "collect_wire",
        {
            "messages": {name: messages.encode(value).hex() for name, value in cases.examples().items()},
            "down": {name: messages.encode_broadcast(value).hex() for name, value in cases.DOWN.items()},
            "refusals": cases.refusals(),
            "sizes": cases.sizes(),
        },
    )
    save(
        "collect_decisions",
        {
            "pure rules": cases.pure_rules(),
            "ways": [cases.ways(seed) for seed in range(20)],
            "merged": [cases.merged(seed) for seed in range(12)],
            "collectors": [cases.collectors(seed) for seed in range(7)],
            "teller": [cases.teller(seed) for seed in range(9)],
            "carrier": [cases.carrier(seed) for seed in range(4)],
        },
    )


if __name__ == "__main__":
    main()
