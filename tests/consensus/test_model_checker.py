"""The explorer sees all states within its bounds, finds what is broken on purpose, and nothing else."""

from dataclasses import replace

import pytest

from cressrock.consensus.raft.node import RaftNode
from cressrock.consensus.raft.persistent_state import initial_state
from cressrock.consensus.raft.settings import RaftSettings
from cressrock.lab.explored import BROKEN, QUICK
from cressrock.lab.explorer import Bounds, Explorer, Scenario

NAMES = [scenario.name for scenario in QUICK]


@pytest.mark.parametrize("scenario", QUICK, ids=NAMES)
def test_every_state_within_the_bounds_keeps_every_invariant(scenario):
    result = Explorer(scenario, traces=False).run(most_states=150_000)
    print(result.row())
    assert result.violation is None, result.violation
    assert result.complete and result.states > 1000 and result.leaders > 500 and result.committed > 1


@pytest.mark.parametrize("kind, invariant, scenario", BROKEN, ids=lambda x: getattr(x, "__name__", ""))
def test_what_is_broken_on_purpose_is_found(kind, invariant, scenario):
    result = Explorer(replace(scenario, make=kind, name=kind.__name__)).run(most_states=100_000)
    print(result.row())
    assert result.violation is not None
    assert result.violation.text.startswith(invariant), result.violation.text
    assert result.violation.trace


def test_the_same_bounds_give_the_same_states_and_the_same_verdict():
    scenario = Scenario("twice", Bounds(max_term=2, wire=3, stands=2, proposals=1, crashes=0))
    one, two = Explorer(scenario).run(), Explorer(scenario).run()
    assert one == two and one.complete


def test_a_copy_of_a_replica_acts_as_the_replica_and_shares_nothing_with_it():
    import random

    timing = RaftSettings()
    seat = RaftNode("a", initial_state(("a",)), timing, random.Random(1), 0.0)
    seat.campaign(0.0)
    copy = seat.clone()
    assert copy.key() == seat.key()
    for one in (seat, copy):
        one.propose(0.0, b"x")
    assert copy.ready() == seat.ready() and copy.key() == seat.key()
    copy.propose(0.0, b"y")
    assert copy.key() != seat.key() and seat.log.last_index == 3
