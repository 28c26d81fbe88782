"""The wire format of the replicated state: golden bytes, and rejected messages."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.errors.gossip import GossipError, MalformedGossipError, UnsupportedGossipFormatError
from tests.gossip.support import MAX_MESSAGE_BYTES, make_store, read_and_check_state, sync


def sample_store():
    a, b = make_store("edge-1", 1700000000001), make_store("b", 7)
    b.add_item("room", "x", b"m")
    a.merge(b.full_state(None, MAX_MESSAGE_BYTES)[0])
    a.put("k", b"v1")
    a.increment("n", 300)
    a.add_item("room", "y", b"")
    a.remove("k")
    a.discard_item("room", "x")
    return a


def test_messages_have_their_golden_bytes():
    a = sample_store()
    recent = a.recent_changes(MAX_MESSAGE_BYTES).hex()
    digest = a.digest(MAX_MESSAGE_BYTES).hex()
    full = a.full_state(None, MAX_MESSAGE_BYTES)[0].hex()
    assert recent == RECENT
    assert digest == DIGEST
    assert full == FULL
    b = make_store("z")
    b.merge(bytes.fromhex(FULL))
    assert b.counter_total("n") == 300 and b.items("room") == {"y": {("edge-1", 1700000000001): b""}}
    assert b.delta(bytes.fromhex(DIGEST), MAX_MESSAGE_BYTES) == b""


RECENT = (
    "9301029198a6656467652d31cf0000018bcfe56801000000c2949402cd012c01a16e9503c40002a4726f6f6da1799404"
    "c000a16b97050103a4726f6f6da178a162079401000000"
)


DIGEST = "95010092a000c09293a162070193a6656467652d31cf0000018bcfe5680105"


FULL = (
    "9301039297a16207000100c3919501c4016d02a4726f6f6da17897a6656467652d31cf0000018bcfe56801000500c394"
    "9402cd012c01a16e9503c40002a4726f6f6da1799404c000a16b97050103a4726f6f6da178a16207"
)


def test_newer_fields_are_ignored_newer_kinds_passed_on_and_other_formats_rejected():
    b, c = make_store("b"), make_store("c")
    entry = [1, b"v", 0, "k", "", "", 0, "a newer field"]
    newer = [2, 17, 9, "key", "item", "who", 3]
    section = ["a", 1, 0, 2, 0, True, [entry, newer], [], "newer"]
    b.merge(msgspec.msgpack.encode([1, 3, [section], "newer"]))
    sync(b, c)
    assert c.values("k") == {("a", 1): b"v"}
    assert c.snapshot()[("a", 1)][2][(9, "key", "item", "who", 3)] == (2, 17)
    for call in (b.merge, lambda data: b.delta(data, MAX_MESSAGE_BYTES)):
        with pytest.raises(UnsupportedGossipFormatError):
            call(msgspec.msgpack.encode([2, 3, {"all": "different"}]))


MALFORMED_SECTIONS = [
    ["", 1, 0, 1, 0, True, []],
    ["a", -1, 0, 1, 0, True, []],
    ["a", 1, 5, 4, 0, True, []],
    ["a", 1, 5, 0, 0, True, []],
    ["a", 1, 0, 2**63, 0, True, []],
    ["a", 1, 0, 2, 0, True, [[3, b"", 0, "k"]]],
    ["a", 1, 0, 2, 0, True, [[2, b"", 0, "k"], [1, b"", 0, "l"]]],
    ["a", 1, 0, 2, 0, True, [[1, 5, 0, "k"]]],
    ["a", 1, 0, 2, 0, True, [[1, b"", 1, "k"]]],
    ["a", 1, 0, 2, 0, True, [[1, b"", 0, ""]]],
    ["a", 1, 0, 2, 0, True, [[1, 1, 3, "k", "i"]]],
    ["a", 1, 0, 2, 0, True, [[1, b"", 0, "k", "i"]]],
    ["a", 1, 0, 2, 0, True, [[1, b"", 0, "k"]], [0]],
    ["a", 1, 0, 0, 0, True, [[1, b"", 0, "k"]], [1]],
    ["a", 1, 0, 0, 0, True, [[1, b"", 0, "k"]], [0, 0]],
]


@pytest.mark.parametrize("section", MALFORMED_SECTIONS)
def test_a_malformed_message_is_rejected_whole(section):
    b = make_store("b")
    good = ["a", 1, 0, 1, 0, True, [[1, b"v", 0, "k"]]]
    b.merge(msgspec.msgpack.encode([1, 3, []]))
    with pytest.raises(MalformedGossipError):
        b.merge(msgspec.msgpack.encode([1, 3, [good, section]]))
    assert list(b.snapshot()) == [("b", 1)] and b.drain_changes() == []


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.data())
def test_arbitrary_bytes_are_merged_or_rejected_whole(data):
    a = sample_store()
    known = [
        bytes.fromhex(FULL),
        a.recent_changes(MAX_MESSAGE_BYTES),
        a.digest(MAX_MESSAGE_BYTES),
        a.full_state(None, MAX_MESSAGE_BYTES)[0],
    ]
    if data.draw(st.booleans()):
        raw = data.draw(st.binary(max_size=200))
    else:
        raw = bytearray(data.draw(st.sampled_from(known)))
        for _ in range(data.draw(st.integers(1, 4))):
            raw[data.draw(st.integers(0, len(raw) - 1))] = data.draw(st.integers(0, 255))
        raw = bytes(raw[: data.draw(st.integers(1, len(raw)))])
    b = make_store("b", 7)
    b.put("own", b"1")
    before = b.snapshot()
    try:
        b.merge(raw)
    except GossipError:
        assert b.snapshot() == before and b.drain_changes() == []
    try:
        assert len(b.delta(raw, MAX_MESSAGE_BYTES)) <= MAX_MESSAGE_BYTES
    except GossipError:
        pass
    assert b.values("own") == {("b", 7): b"1"}
    assert (
        len(b.digest(MAX_MESSAGE_BYTES)) <= MAX_MESSAGE_BYTES
        and len(b.recent_changes(MAX_MESSAGE_BYTES)) <= MAX_MESSAGE_BYTES
    )
    read_and_check_state(b)
    assert b.size_bytes() < 10_000


def test_messages_past_the_size_bound_are_rejected():
    b = make_store("b", max_message_bytes=1000)
    with pytest.raises(MalformedGossipError):
        b.merge(b"\x93\x01\x03" + b"\x90" * 1000)
    with pytest.raises(MalformedGossipError):
        make_store("b").merge(b"\x91" * 100_000)
