"""Bytes of the collectors' messages: golden ones, newer ones, and anything at all."""

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
def test_messages_are_read_as_they_were_written(message):
    assert decode(encode(message)) == message


def test_appended_fields_are_passed_over():
    assert decode(bytes.fromhex("0194010790c0")) == Report(7, []), "appended fields are passed over"


def test_another_major_version_is_not_read():
    with pytest.raises(UnsupportedAggregationVersionError):
        decode(b"\x02\x90")


@pytest.mark.parametrize(
    "data",
    [b"", b"\x01", b"\x01\xc1", b"\x01\x91\x63", b"\x01\x93\x01\xff\x90", b"\x01" + b"\x91" * 4000],
    ids=["nothing", "no body", "no MessagePack", "unknown tag", "wrong type", "nested too deep"],
)
def test_damaged_bytes_are_not_read(data):
    with pytest.raises(MalformedAggregationMessageError):
        decode(data)


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=300))
def test_any_bytes_are_read_or_refused_by_type(data):
    for candidate in (data, b"\x01" + data):
        with contextlib.suppress(AggregationError):
            decode(candidate)
