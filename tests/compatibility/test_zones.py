"""Bytes, settings and decisions of the zones' part are those that were recorded before the renames."""

import json

import msgspec
import pytest

from cressrock.failover.settings import FailoverSettings
from tests.compatibility import zones_cases as cases
from tests.compatibility.canonical import load

WIRE = load("zones_wire")
DECISIONS = load("zones_decisions")


@pytest.mark.parametrize("name", sorted(WIRE["values"]))
def test_values_are_written_and_read_as_recorded(name):
    write, read, value = cases.examples()[name]
    recorded = bytes.fromhex(WIRE["values"][name])
    assert write(value) == recorded
    assert read(recorded) == value


def test_every_example_is_recorded():
    assert sorted(cases.examples()) == sorted(WIRE["values"])


@pytest.mark.parametrize("name", sorted(cases.FOREIGN))
def test_bytes_of_older_and_newer_programs_are_read(name):
    data, read, value = cases.FOREIGN[name]
    assert read(bytes.fromhex(data)) == value


def test_unreadable_bytes_are_refused_with_the_recorded_codes():
    assert cases.refusals() == WIRE["refusals"]


@pytest.mark.parametrize("name", sorted(WIRE["settings"]))
def test_settings_keep_their_keys(name):
    text = WIRE["settings"][name]
    assert cases.settings_texts()[name] == text
    assert msgspec.json.encode(msgspec.json.decode(text, type=FailoverSettings)).decode() == text


def test_contradicting_settings_are_refused_with_the_recorded_text():
    assert cases.contradictions() == WIRE["contradictions"]


def test_the_admin_port_answers_as_recorded():
    assert cases.admin_answers() == WIRE["admin answers"]


def test_outcomes_say_the_same_of_a_zone():
    assert cases.outcome_kinds() == DECISIONS["outcome kinds"]


def test_the_same_moves_of_writes_are_refused():
    assert cases.moves() == DECISIONS["moves"]


@pytest.mark.parametrize("seed", range(len(DECISIONS["local evidence"])))
def test_an_edge_draws_the_same_evidence_from_its_attempts(seed):
    assert cases.local_evidence(seed) == DECISIONS["local evidence"][seed]


@pytest.mark.parametrize("seed", range(len(DECISIONS["fleet evidence"])))
def test_reports_of_many_edges_merge_to_the_same(seed):
    assert cases.fleet_evidence(seed) == DECISIONS["fleet evidence"][seed]


def _plain(value):
    """Return a value as JSON gives it back: tuples as lists."""
    return json.loads(json.dumps(value))


@pytest.mark.parametrize("seed", range(len(DECISIONS["verdicts by reports"])))
def test_verdicts_by_all_reports_are_the_same(seed):
    assert _plain(cases.verdicts_by_reports(seed)) == DECISIONS["verdicts by reports"][seed]


@pytest.mark.parametrize("seed", range(len(DECISIONS["verdicts by sums"])))
def test_verdicts_by_sums_are_the_same(seed):
    assert _plain(cases.verdicts_by_sums(seed)) == DECISIONS["verdicts by sums"][seed]


@pytest.mark.parametrize("seed", range(len(DECISIONS["choices"])))
def test_reads_are_routed_the_same(seed):
    assert _plain(cases.choices(seed)) == DECISIONS["choices"][seed]


@pytest.mark.parametrize("seed", range(len(DECISIONS["clusters"])))
def test_clusters_tell_decide_and_route_the_same(seed):
    assert _plain(cases.clusters(seed)) == DECISIONS["clusters"][seed]
