"""Records the membership's bytes and decisions: `python -m tests.compatibility.record_membership`, once."""

from __future__ import annotations

from cressrock.membership import packets as m
from cressrock.membership.settings import MembershipSettings
from tests.compatibility import membership_cases as cases
from tests.compatibility.canonical import canonical, save


def main() -> None:
    """Write the fixture; it is never written again."""
    save(
        "membership",
        {
            "datagrams": [m.encode(*envelope).hex() for envelope in cases.envelopes()],
            "frame": m.encode_frame(b"body" * 100).hex(),
            "sizes": [m.encoded_size(claim) for claim in cases.CLAIM_LISTS[3]],
            "room": m.updates_capacity(1200, "cressrock", "edge-1"),
            "refused": [[data.hex(), cases.refusal(data)] for data in cases.refused_bytes()],
            "settings": canonical(MembershipSettings()),
            "fleets": {str(seed): cases.fleet_digest(seed) for seed in cases.FLEET_SEEDS},
            "merges": {str(seed): cases.merge_digest(seed) for seed in cases.MERGE_SEEDS},
        },
    )


if __name__ == "__main__":
    main()
