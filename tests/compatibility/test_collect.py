"""Messages and decisions of the collectors are those that were recorded before the renames."""

import pytest

from cressrock.aggregation import messages
from tests.compatibility import collect_cases as cases
from tests.compatibility.canonical import load

WIRE = load("collect_wire")
DECISIONS = load("collect_decisions")


@pytest.mark.parametrize("name", sorted(WIRE["messages"]))
def test_messages_are_written_and_read_as_recorded(name):
    message, recorded = cases.examples()[name], bytes.fromhex(WIRE["messages"][name])
    assert messages.encode(message) == recorded
    assert messages.decode(recorded) == message


def test_every_example_is_recorded():
    assert sorted(cases.examples()) == sorted(WIRE["messages"])


@pytest.mark.parametrize("name", sorted(cases.FOREIGN))
def test_messages_of_older_and_newer_programs_are_read(name):
    data, message = cases.FOREIGN[name]
    assert messages.decode(bytes.fromhex(data)) == message


@pytest.mark.parametrize("name", sorted(WIRE["down"]))
def test_what_comes_down_is_written_and_read_as_recorded(name):
    recorded = bytes.fromhex(WIRE["down"][name])
    assert messages.encode_broadcast(cases.DOWN[name]) == recorded
    assert messages.decode_broadcast(recorded) == cases.DOWN[name]


def test_unreadable_bytes_are_refused_with_the_recorded_codes():
    assert cases.refusals() == WIRE["refusals"]


def test_elements_take_as_many_bytes():
    assert cases.sizes() == WIRE["sizes"]


def test_collectors_are_ranked_and_limits_derived_as_recorded():
    assert cases.pure_rules() == DECISIONS["pure rules"]


@pytest.mark.parametrize("seed", range(len(DECISIONS["ways"])))
def test_evidence_takes_the_same_way(seed):
    assert cases.ways(seed) == DECISIONS["ways"][seed]


@pytest.mark.parametrize("seed", range(len(DECISIONS["merged"])))
def test_summaries_merge_to_the_same(seed):
    assert cases.merged(seed) == DECISIONS["merged"][seed]


@pytest.mark.parametrize("seed", range(len(DECISIONS["collectors"])))
def test_collectors_send_and_hold_the_same(seed):
    assert cases.collectors(seed) == DECISIONS["collectors"][seed]


@pytest.mark.parametrize("seed", range(len(DECISIONS["teller"])))
def test_a_teller_sends_the_same(seed):
    assert cases.teller(seed) == DECISIONS["teller"][seed]


@pytest.mark.parametrize("seed", range(len(DECISIONS["carrier"])))
def test_processes_carry_their_evidence_the_same(seed):
    assert cases.carrier(seed) == DECISIONS["carrier"][seed]
