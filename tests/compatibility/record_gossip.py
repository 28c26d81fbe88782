"""Records the gossip messages and decisions; was run once: `python -m tests.compatibility.record_gossip`."""

from __future__ import annotations

from cressrock.gossip.anti_entropy import AntiEntropySettings
from cressrock.gossip.settings import GossipStoreSettings
from tests.compatibility import gossip_cases as cases
from tests.compatibility.canonical import canonical, save


def main() -> None:
    """Write the fixture.  Raises FileExistsError, because a recorded fixture is never overwritten."""
    encoded_messages = cases.encoded_messages()
    save(
        "gossip",
        {
            "encoded": [data.hex() for data in encoded_messages],
            "merge_refusals": [cases.merge_rejection_code(data) for data in cases.malformed_messages()],
            "digest_refusals": [cases.digest_rejection_code(data) for data in cases.malformed_messages()],
            "merged": [cases.merged_state(data) for data in encoded_messages],
            "settings": canonical([GossipStoreSettings(), AntiEntropySettings()]),
            "viewing": cases.view_cache_steps(),
            "stores": {str(seed): cases.store_digest(seed) for seed in cases.STORE_SEEDS},
            "rounds": {str(seed): cases.rounds_digest(seed) for seed in cases.ROUNDS_SEEDS},
        },
    )


if __name__ == "__main__":
    main()
