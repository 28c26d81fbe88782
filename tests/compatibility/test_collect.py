"""Collector messages and decisions match those recorded before identifiers were renamed."""

import pytest

from cressrock.aggregation import messages
from tests.compatibility import collect_cases as cases
from tests.compatibility.canonical import load

WIRE = load("collect_wire")
DECISIONS = load("collect_decisions")


@pytest.mark.parametrize("name", sorted(WIRE["messages"]))
def test_messages_match_the_recorded_encoding(name):
    message, recorded = cases.example_messages()[name], bytes.fromhex(WIRE["messages"][name])
    assert messages.encode(message) == recorded
    assert messages.decode(recorded) == message


def test_every_example_has_a_recording():
    assert sorted(cases.example_messages()) == sorted(WIRE["messages"])


@pytest.mark.parametrize("name", sorted(cases.OTHER_VERSION_MESSAGES))
def test_messages_of_older_and_newer_programs_decode(name):
    data, message = cases.OTHER_VERSION_MESSAGES[name]
    assert messages.decode(bytes.fromhex(data)) == message


@pytest.mark.parametrize("name", sorted(WIRE["down"]))
def test_broadcasts_match_the_recorded_encoding(name):
    recorded = bytes.fromhex(WIRE["down"][name])
    assert messages.encode_broadcast(cases.BROADCASTS[name]) == recorded
    assert messages.decode_broadcast(recorded) == cases.BROADCASTS[name]


def test_undecodable_bytes_raise_the_recorded_error_codes():
    assert cases.decoding_error_codes() == WIRE["refusals"]


def test_entry_sizes_match_the_recording():
    assert cases.encoded_sizes() == WIRE["sizes"]


def test_rankings_and_limits_match_the_recording():
    assert cases.pure_rules() == DECISIONS["pure rules"]


@pytest.mark.parametrize("seed", range(len(DECISIONS["ways"])))
def test_delivery_modes_match_the_recording(seed):
    assert cases.delivery_mode_digest(seed) == DECISIONS["ways"][seed]


@pytest.mark.parametrize("seed", range(len(DECISIONS["merged"])))
def test_merged_summaries_match_the_recording(seed):
    assert cases.merged_summaries_digest(seed) == DECISIONS["merged"][seed]


@pytest.mark.parametrize("seed", range(len(DECISIONS["collectors"])))
def test_collectors_match_the_recording(seed):
    assert cases.collector_digest(seed) == DECISIONS["collectors"][seed]


@pytest.mark.parametrize("seed", range(len(DECISIONS["teller"])))
def test_senders_match_the_recording(seed):
    assert cases.sender_digest(seed) == DECISIONS["teller"][seed]


@pytest.mark.parametrize("seed", range(len(DECISIONS["carrier"])))
def test_channels_match_the_recording(seed):
    assert cases.channel_digest(seed) == DECISIONS["carrier"][seed]
