"""Records the fixtures of presence; run once as `python -m tests.compatibility.record_presence`."""

from __future__ import annotations

from cressrock.presence import agreed_names, messages
from tests.compatibility import presence_cases as cases
from tests.compatibility import presence_cluster as cluster
from tests.compatibility.canonical import save

SEED_COUNT = 40
STATELESS_SEED_COUNT = 10


def main() -> None:
    """Record the wire format, the decisions and the admin port's responses of this version."""
    save(
        "presence_wire",
        {
            "messages": {
                label: messages.encode_frame(message).hex() for label, message in cases.example_messages()
            },
            "holders": [agreed_names.encode_holder(holder).hex() for holder in cases.holders()],
            "hashes": cases.hashes(),
            "errors": cases.errors(),
        },
    )
    save(
        "presence_decisions",
        {
            "play": [cases.play(seed)[0] for seed in range(SEED_COUNT)],
            "verdicts": [cases.verdicts(seed) for seed in range(STATELESS_SEED_COUNT)],
            "crowd": [cases.crowd(seed) for seed in range(STATELESS_SEED_COUNT)],
        },
    )
    save(
        "presence_admin",
        {
            "scenes": {scene.__name__: cluster.admin_port(scene) for scene in cluster.SCENES},
            "library": cluster.client_library(),
        },
    )


if __name__ == "__main__":
    main()
