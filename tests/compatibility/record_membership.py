"""Recorded the membership fixture, once: `python -m tests.compatibility.record_membership`."""

from __future__ import annotations

from cressrock.membership import packets as wire
from cressrock.membership.settings import MembershipSettings
from tests.compatibility import membership_cases as cases
from tests.compatibility.canonical import canonical, save


def main() -> None:
    """Write the fixture; the recorded one must not be overwritten."""
    save(
        "membership",
        {
            "datagrams": [wire.encode(*envelope).hex() for envelope in cases.envelopes()],
            "frame": wire.encode_frame(b"body" * 100).hex(),
            "sizes": [wire.encoded_size(update) for update in cases.UPDATE_LISTS[3]],
            "room": wire.updates_capacity(1200, "cressrock", "edge-1"),
            "refused": [[data.hex(), cases.rejection_code(data)] for data in cases.rejected_packets()],
            "settings": canonical(MembershipSettings()),
            "fleets": {str(seed): cases.fleet_digest(seed) for seed in cases.FLEET_SEEDS},
            "merges": {str(seed): cases.merge_digest(seed) for seed in cases.MERGE_SEEDS},
        },
    )


if __name__ == "__main__":
    main()
