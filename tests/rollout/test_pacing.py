"""When the leader takes the next step, and which requests are eligible for the candidate."""

from cressrock.rollout.lifecycle import (
    RolloutStatus,
    advance,
    end_rollout,
    start_rollout,
)
from cressrock.rollout.pacing import LeaderFindings, StagePacer
from cressrock.rollout.plan import document_digest
from cressrock.rollout.selection import eligible_stage, selects_volume
from tests.rollout.support import PLAN


def test_a_stage_advances_only_after_its_minimum_duration_and_answers_on_one_leaders_clock():
    pacer, state = StagePacer(), start_rollout(None, b"one")
    enough = LeaderFindings(10)
    assert pacer.next_state(0, 7, state, PLAN, enough) is None
    assert pacer.next_state(99, 7, state, PLAN, enough) is None
    assert pacer.next_state(100, 7, state, PLAN, LeaderFindings(9)) is None
    new_pacer = StagePacer()  # another leader restarts the stage's timer
    assert new_pacer.next_state(100, 7, state, PLAN, enough) is None
    assert new_pacer.next_state(199, 7, state, PLAN, enough) is None
    second_stage = new_pacer.next_state(200, 7, state, PLAN, enough)
    assert second_stage is not None and second_stage.stage == 1
    # The same leader sees a new decision: the timer restarts.
    assert new_pacer.next_state(201, 8, second_stage, PLAN, enough) is None
    assert new_pacer.next_state(300, 8, second_stage, PLAN, enough) is None
    assert new_pacer.next_state(301, 8, second_stage, PLAN, enough).stage == 2
    halted = new_pacer.next_state(301, 8, second_stage, PLAN, LeaderFindings(10, "worse"))
    assert (halted.status, halted.reason, halted.ended_digests) == ("halted", "worse", [state.digest[:12]])
    assert (
        new_pacer.next_state(301, 8, second_stage, PLAN, LeaderFindings(0, rollback_count=2)).status
        == "halted"
    )
    assert new_pacer.next_state(201 + 3.6e6, 8, second_stage, PLAN, LeaderFindings(0)).status == "expired"
    assert new_pacer.next_state(9e9, 9, halted, PLAN, enough) is None


def test_larger_volume_fractions_contain_smaller_ones_and_documents_select_independently():
    volumes = [f"v{n}" for n in range(2000)]
    one, two = document_digest(b"1"), document_digest(b"2")
    selected = {x for x in volumes if selects_volume(one, x, 0.05)}
    assert selected <= {x for x in volumes if selects_volume(one, x, 0.3)}
    assert 60 < len(selected) < 140
    assert len(selected & {x for x in volumes if selects_volume(two, x, 0.05)}) < 25
    state = start_rollout(None, b"1")
    volume = next(iter(selected))
    assert eligible_stage(state, PLAN, volume, "z") == PLAN.stages[0]
    second = advance(state, PLAN, {})
    assert eligible_stage(second, PLAN, "any", "y") is None
    assert eligible_stage(second, PLAN, "any", "z") is not None
    assert eligible_stage(end_rollout(state, RolloutStatus.HALTED, "", {}), PLAN, volume, "z") is None
