"""Records collector messages and decisions; run once: `python -m tests.compatibility.record_collect`."""

from cressrock.aggregation import messages
from tests.compatibility import collect_cases as cases
from tests.compatibility.canonical import save


def main() -> None:
    """Write fixtures/collect_wire.json and fixtures/collect_decisions.json."""
    save(
        "collect_wire",
        {
            "messages": {
                name: messages.encode(value).hex() for name, value in cases.example_messages().items()
            },
            "down": {
                name: messages.encode_broadcast(value).hex() for name, value in cases.BROADCASTS.items()
            },
            "refusals": cases.decoding_error_codes(),
            "sizes": cases.encoded_sizes(),
        },
    )
    save(
        "collect_decisions",
        {
            "pure rules": cases.pure_rules(),
            "ways": [cases.delivery_mode_digest(seed) for seed in range(20)],
            "merged": [cases.merged_summaries_digest(seed) for seed in range(12)],
            "collectors": [cases.collector_digest(seed) for seed in range(7)],
            "teller": [cases.sender_digest(seed) for seed in range(9)],
            "carrier": [cases.channel_digest(seed) for seed in range(4)],
        },
    )


if __name__ == "__main__":
    main()
