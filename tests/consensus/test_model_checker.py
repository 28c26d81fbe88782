"""The model checker covers all states within its bounds and finds only deliberately broken variants."""

from dataclasses import replace

import pytest

from cressrock.consensus.raft.node import RaftNode
from cressrock.consensus.raft.persistent_state import initial_state
from cressrock.consensus.raft.settings import RaftSettings
from cressrock.lab.explored import BROKEN, QUICK
from cressrock.lab.explorer import Bounds, Explorer, Scenario

SCENARIO_NAMES = [scenario.name for scenario in QUICK]


@pytest.mark.parametrize("scenario", QUICK, ids=SCENARIO_NAMES)
def test_all_invariants_hold_in_every_state_within_the_bounds(scenario):
    result = Explorer(scenario, traces=False).run(most_states=150_000)
    print(result.row())
    assert result.violation is None, result.violation
    assert result.complete and result.states > 1000 and result.leaders > 500 and result.committed > 1


@pytest.mark.parametrize(
    "node_type, invariant, scenario", BROKEN, ids=lambda value: getattr(value, "__name__", "")
)
def test_deliberately_broken_variants_are_found(node_type, invariant, scenario):
    result = Explorer(replace(scenario, make=node_type, name=node_type.__name__)).run(most_states=100_000)
    print(result.row())
    assert result.violation is not None
    assert result.violation.text.startswith(invariant), result.violation.text
    assert result.violation.trace


def test_exploration_of_the_same_bounds_is_deterministic():
    scenario = Scenario("twice", Bounds(max_term=2, wire=3, stands=2, proposals=1, crashes=0))
    first, second = Explorer(scenario).run(), Explorer(scenario).run()
    assert first == second and first.complete


def test_a_cloned_node_behaves_identically_and_shares_no_state():
    import random

    settings = RaftSettings()
    node = RaftNode("a", initial_state(("a",)), settings, random.Random(1), 0.0)
    node.campaign(0.0)
    copy = node.clone()
    assert copy.key() == node.key()
    for replica in (node, copy):
        replica.propose(0.0, b"x")
    assert copy.ready() == node.ready() and copy.key() == node.key()
    copy.propose(0.0, b"y")
    assert copy.key() != node.key() and node.log.last_index == 3
