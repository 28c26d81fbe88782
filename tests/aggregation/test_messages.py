"""Encoding of collector messages: recorded bytes, newer versions and malformed input."""

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.aggregation.messages import (
    Handover,
    HandoverAck,
    HeldEntry,
    Report,
    ReportAck,
    ReportEntry,
    ZoneSummary,
    decode,
    encode,
)
from cressrock.errors.aggregation import (
    AggregationError,
    MalformedAggregationMessageError,
    UnsupportedAggregationVersionError,
)

REPORT = Report(7, [ReportEntry("zones/0", 3, b"v", 0), ReportEntry("zones/1", 4, None, 0)])


def test_golden_bytes():
    assert encode(REPORT).hex() == (
        "01930107" + "92" + "94a77a6f6e65732f3003c4017600" + "94a77a6f6e65732f3104c000"
    )


@pytest.mark.parametrize(
    "message",
    [
        REPORT,
        ReportAck([7], 9, True, 1.5, 500.0, False, b"d"),
        HandoverAck(3),
        Handover(3, "a", [HeldEntry("e1", 5, ReportEntry("k", 1, b"", 12.0))]),
        ZoneSummary("a", 1, 2, 1, 3, 4.5, ["e9"], {"zones/a": b"r"}, 0, 2),
    ],
    ids=lambda message: type(message).__name__,
)
def test_messages_survive_an_encode_decode_round_trip(message):
    assert decode(encode(message)) == message


def test_appended_fields_are_ignored():
    assert decode(bytes.fromhex("0194010790c0")) == Report(7, []), "appended fields are ignored"


def test_unsupported_major_version_is_rejected():
    with pytest.raises(UnsupportedAggregationVersionError):
        decode(b"\x02\x90")


@pytest.mark.parametrize(
    "data",
    [b"", b"\x01", b"\x01\xc1", b"\x01\x91\x63", b"\x01\x93\x01\xff\x90", b"\x01" + b"\x91" * 4000],
    ids=["empty", "no body", "invalid MessagePack", "unknown tag", "wrong type", "nested too deep"],
)
def test_malformed_messages_are_rejected(data):
    with pytest.raises(MalformedAggregationMessageError):
        decode(data)


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=300))
def test_arbitrary_bytes_decode_or_raise_aggregation_error(data):
    for candidate in (data, b"\x01" + data):
        with contextlib.suppress(AggregationError):
            decode(candidate)
