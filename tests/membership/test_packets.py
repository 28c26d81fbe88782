"""The wire format: golden encodings, and packets that are rejected."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.errors.membership import (
    DatagramError,
    ForeignClusterError,
    MalformedPacketError,
    PacketTooLargeError,
    UnsupportedPacketVersionError,
)
from cressrock.membership import packets
from cressrock.membership.settings import MembershipSettings
from tests.membership.support import FULL_UPDATE, SUSPECT_UPDATE, start_membership


@pytest.mark.parametrize(
    ("body", "golden"),
    [
        (packets.Ping(3, "a", [SUSPECT_UPDATE], 9), "9501a163a16e07950103a1619196a161050201a162c009"),
        (
            packets.Ack(3, [FULL_UPDATE], 9),
            "9501a163a16e079402039196a161050000a095a3683a31a465646765a17aa172c4017809",
        ),
        (packets.PingRequest(3, "a", "h:1"), "9501a163a16e07950303a161a3683a3190"),
        (packets.Nack(3), "9501a163a16e0793040390"),
        (packets.Updates([SUSPECT_UPDATE]), "9501a163a16e0792059196a161050201a162c0"),
        (
            packets.JoinRequest(FULL_UPDATE),
            "9501a163a16e07920696a161050000a095a3683a31a465646765a17aa172c40178",
        ),
        (
            packets.JoinResponse([FULL_UPDATE]),
            "9501a163a16e0792079196a161050000a095a3683a31a465646765a17aa172c40178",
        ),
        (packets.IdentityRequest(), "9501a163a16e079108"),
        (packets.GossipDigest(b"d"), "9501a163a16e079209c40164"),
        (packets.GossipDelta(b"d"), "9501a163a16e07920ac40164"),
        (
            packets.ExchangePart([FULL_UPDATE], b"s", True, True),
            "9501a163a16e07950b9196a161050000a095a3683a31a465646765a17aa172c40178c40173c3c3",
        ),
    ],
)
def test_each_message_has_its_golden_encoding(body, golden):
    data = packets.encode("c", "n", 7, body)
    assert data.hex() == golden
    assert packets.decode(data, "c") == packets.Packet("n", 7, body)


def test_foreign_and_malformed_datagrams_raise_distinct_errors():
    data = packets.encode("c", "n", 7, packets.IdentityRequest())
    with pytest.raises(ForeignClusterError):
        packets.decode(data, "d")
    with pytest.raises(UnsupportedPacketVersionError):
        packets.decode(b"\x95\x02" + data[2:], "c")
    with pytest.raises(PacketTooLargeError):
        packets.decode(data + b"\0" * 1200, "c")
    with pytest.raises(MalformedPacketError):
        packets.decode(data[:-1], "c")
    with pytest.raises(MalformedPacketError):
        packets.decode(packets.encode("c", "no name", 7, packets.IdentityRequest()), "c")


def test_extra_elements_of_a_newer_minor_version_are_ignored():
    extended = packets._encode([1, "c", "n", 7, [8, "new", 1], "more"])
    assert packets.decode(extended, "c").body == packets.IdentityRequest()


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200), st.integers(0, 60), st.integers(0, 255))
def test_arbitrary_bytes_decode_to_a_packet_or_raise_datagram_error(data, index, byte):
    valid = bytearray(packets.encode("c", "n", 7, packets.Ping(1, "me", [FULL_UPDATE, SUSPECT_UPDATE])))
    valid[index % len(valid)] = byte
    for candidate in (data, bytes(valid), bytes(valid[:index])):
        try:
            packet = packets.decode(candidate, "c")
        except DatagramError:
            continue
        membership = start_membership(settings=MembershipSettings(cluster="c"))
        membership.receive(1.0, "x:1", packet)
        membership.tick(300.0)
        assert len(membership.state.table.records) <= 2
