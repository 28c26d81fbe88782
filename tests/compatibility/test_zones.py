"""The wire bytes, settings and decisions of zone failover stay as recorded in the fixtures."""

import json

import msgspec
import pytest

from cressrock.failover.settings import FailoverSettings
from tests.compatibility import zones_cases as cases
from tests.compatibility.canonical import load

WIRE = load("zones_wire")
DECISIONS = load("zones_decisions")


@pytest.mark.parametrize("name", sorted(WIRE["values"]))
def test_values_are_encoded_and_decoded_as_recorded(name):
    write, read, value = cases.examples()[name]
    recorded = bytes.fromhex(WIRE["values"][name])
    assert write(value) == recorded
    assert read(recorded) == value


def test_every_example_is_recorded():
    assert sorted(cases.examples()) == sorted(WIRE["values"])


@pytest.mark.parametrize("name", sorted(cases.OTHER_VERSIONS))
def test_bytes_of_older_and_newer_versions_are_decoded(name):
    data, read, value = cases.OTHER_VERSIONS[name]
    assert read(bytes.fromhex(data)) == value


def test_undecodable_bytes_give_the_recorded_error_codes():
    assert cases.error_codes() == WIRE["refusals"]


@pytest.mark.parametrize("name", sorted(WIRE["settings"]))
def test_settings_keep_their_recorded_keys(name):
    text = WIRE["settings"][name]
    assert cases.settings_json()[name] == text
    assert msgspec.json.encode(msgspec.json.decode(text, type=FailoverSettings)).decode() == text


def test_contradicting_settings_give_the_recorded_error_text():
    assert cases.rejected_settings() == WIRE["contradictions"]


def test_the_admin_port_answers_as_recorded():
    assert cases.admin_answers() == WIRE["admin answers"]


def test_outcomes_are_classified_as_recorded():
    assert cases.outcome_classifications() == DECISIONS["outcome kinds"]


def test_moves_of_writes_are_accepted_or_rejected_as_recorded():
    assert cases.move_results() == DECISIONS["moves"]


@pytest.mark.parametrize("seed", range(len(DECISIONS["local evidence"])))
def test_local_evidence_is_as_recorded(seed):
    assert cases.local_evidence(seed) == DECISIONS["local evidence"][seed]


@pytest.mark.parametrize("seed", range(len(DECISIONS["fleet evidence"])))
def test_merged_reports_are_as_recorded(seed):
    assert cases.fleet_evidence(seed) == DECISIONS["fleet evidence"][seed]


def _plain(value):
    """Return a value after a JSON round trip, which turns tuples into lists."""
    return json.loads(json.dumps(value))


@pytest.mark.parametrize("seed", range(len(DECISIONS["verdicts by reports"])))
def test_decisions_by_reports_are_as_recorded(seed):
    assert _plain(cases.decisions_by_reports(seed)) == DECISIONS["verdicts by reports"][seed]


@pytest.mark.parametrize("seed", range(len(DECISIONS["verdicts by sums"])))
def test_decisions_by_summaries_are_as_recorded(seed):
    assert _plain(cases.decisions_by_summaries(seed)) == DECISIONS["verdicts by sums"][seed]


@pytest.mark.parametrize("seed", range(len(DECISIONS["choices"])))
def test_reads_are_routed_as_recorded(seed):
    assert _plain(cases.routing_results(seed)) == DECISIONS["choices"][seed]


@pytest.mark.parametrize("seed", range(len(DECISIONS["clusters"])))
def test_simulated_clusters_behave_as_recorded(seed):
    assert _plain(cases.cluster_results(seed)) == DECISIONS["clusters"][seed]
