"""The messages between gateways: their recorded encoding, and frames that are not valid messages."""

import contextlib
import random

import pytest

from cressrock.errors.presence import PresenceFrameError
from cressrock.presence.agreed_names import NameHolder, decode_holder, encode_holder
from cressrock.presence.messages import (
    Change,
    ChangeBatch,
    Hello,
    MemberEntry,
    Reply,
    SnapshotPage,
    Subscribe,
    VersionStamp,
    decode_frame,
    encode_frame,
)

STAMP = VersionStamp("a", 2, 3)
ENTRY = MemberEntry("b.1.1", 1, b"x", ["l"], b"c" * 8, STAMP)
SAMPLES = [
    (Hello(1, "c", "n", 5), "00000008950001a163a16e05"),
    (Subscribe("docs", 7), "000000089301a4646f637307"),
    (
        ChangeBatch("docs", [Change(3, "b.1.1", ENTRY, "moved", [STAMP])]),
        "000000399304a4646f6373919503a5622e312e3196a5622e312e3101c4017891a16cc40863636363"
        "6363636393a1610203a56d6f7665649193a1610203",
    ),
    (SnapshotPage("docs", 4, True, True, [], [STAMP]), "000000119703a4646f637304c3c3909193a1610203"),
    (Reply(1, False), "00000007960a01c2c0a000"),
]


@pytest.mark.parametrize(("message", "recorded"), SAMPLES, ids=lambda value: type(value).__name__)
def test_encoding_matches_recorded_bytes(message, recorded):
    assert encode_frame(message).hex() == recorded
    assert decode_frame(bytearray.fromhex(recorded)) == message


def test_field_of_newer_version_is_ignored():
    assert decode_frame(bytearray.fromhex("000000099401a4646f63730701")) == Subscribe("docs", 7)


@pytest.mark.parametrize("frame", ["0000000193", "00000003c10000", "7fffffff"])
def test_invalid_or_too_long_frame_is_rejected(frame):
    with pytest.raises(PresenceFrameError):
        decode_frame(bytearray.fromhex(frame))


def test_corrupted_frame_is_rejected_or_decoded_as_another_message():
    """A corrupted byte must not raise anything other than PresenceFrameError."""
    rng = random.Random(5)
    for _ in range(2000):
        data = bytearray.fromhex(rng.choice(SAMPLES)[1])
        data[rng.randrange(4, len(data))] = rng.randrange(256)
        with contextlib.suppress(PresenceFrameError):
            decode_frame(data)


def test_encoding_of_name_holder_matches_recorded_bytes():
    holder = NameHolder(1, "docs", "n", "b.1.1", "b", 1)
    assert encode_holder(holder).hex() == "9601a4646f6373a16ea5622e312e31a16201"
    assert decode_holder(encode_holder(holder)) == holder
    with pytest.raises(PresenceFrameError):
        decode_holder(b"\x91\x02")
