"""Records the gossip's bytes and decisions: `python -m tests.compatibility.record_gossip`, once."""

from __future__ import annotations

from cressrock.gossip.anti_entropy import AntiEntropySettings
from cressrock.gossip.settings import GossipStoreSettings
from tests.compatibility import gossip_cases as cases
from tests.compatibility.canonical import canonical, save


def main() -> None:
    """Write the fixture; it is never written again."""
    encoded = cases.encoded()
    save(
        "gossip",
        {
            "encoded": [data.hex() for data in encoded],
            "merge_refusals": [cases.merge_refusal(data) for data in cases.malformed()],
            "digest_refusals": [cases.digest_refusal(data) for data in cases.malformed()],
            "merged": [cases.merged(data) for data in encoded],
            "settings": canonical([GossipStoreSettings(), AntiEntropySettings()]),
            "viewing": cases.viewing_steps(),
            "stores": {str(seed): cases.store_digest(seed) for seed in cases.STORE_SEEDS},
            "rounds": {str(seed): cases.rounds_digest(seed) for seed in cases.ROUNDS_SEEDS},
        },
    )


if __name__ == "__main__":
    main()
