"""Anti-entropy: replies to digests are rate limited."""

import random

from cressrock.gossip.anti_entropy import AntiEntropy, AntiEntropySettings
from cressrock.membership import packets
from cressrock.membership.membership import Membership
from cressrock.membership.packets import MemberState
from cressrock.membership.settings import MembershipSettings
from cressrock.membership.types import Identity, OutgoingMessage
from tests.gossip.transport_support import LetterStore


def test_replies_to_digests_keep_to_the_budget():
    membership = Membership(Identity("a", 1, "a:1"), MembershipSettings(), (), random.Random(1), 0.0)
    info = packets.MemberInfo("b:1", "edge")
    membership.receive(
        1.0,
        "b:1",
        packets.Packet(
            "b", 1, packets.Updates([packets.MemberUpdate("b", 1, 0, MemberState.ALIVE, "", info)])
        ),
    )
    store = LetterStore(map(chr, range(0x100, 0x500)))
    anti_entropy = AntiEntropy(
        membership,
        store,
        AntiEntropySettings(reply_bytes_per_s=2000, reply_burst_bytes=4000),
        random.Random(1),
        0.0,
    )
    digest = packets.Packet("b", 1, packets.GossipDigest(b"+"))
    answers = [anti_entropy.receive(2.0, digest) for _ in range(50)]
    assert 2 <= sum(map(bool, answers)) <= 4 and anti_entropy.error_counts["spread-over-budget"] >= 46
    assert all(isinstance(s, OutgoingMessage) and s.name == "b" for a in answers for s in a)
    assert anti_entropy.receive(2002.0, digest)
    assert anti_entropy.receive(4002.0, packets.Packet("b", 1, packets.GossipDigest(b"?"))) == []
    assert anti_entropy.receive(4002.0, packets.Packet("stranger", 1, packets.GossipDigest(b"+"))) == []
    assert (
        anti_entropy.error_counts["fleet-malformed"]
        == anti_entropy.error_counts["spread-unknown-sender"]
        == 1
    )
