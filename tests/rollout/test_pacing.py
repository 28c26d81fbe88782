"""When a leader takes the next step, and which requests come to the candidate."""

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


def test_a_stage_takes_its_time_and_evidence_on_one_leaders_clock_and_never_steps_without():
    pace, state = StagePacer(), start_rollout(None, b"one")
    enough = LeaderFindings(10)
    assert pace.next_state(0, 7, state, PLAN, enough) is None
    assert pace.next_state(99, 7, state, PLAN, enough) is None
    assert pace.next_state(100, 7, state, PLAN, LeaderFindings(9)) is None
    new = StagePacer()  # another leader: the time begins anew
    assert new.next_state(100, 7, state, PLAN, enough) is None
    assert new.next_state(199, 7, state, PLAN, enough) is None
    after = new.next_state(200, 7, state, PLAN, enough)
    assert after is not None and after.stage == 1
    # The same leader on the new decree: its time begins with it.
    assert new.next_state(201, 8, after, PLAN, enough) is None
    assert new.next_state(300, 8, after, PLAN, enough) is None
    assert new.next_state(301, 8, after, PLAN, enough).stage == 2
    halted = new.next_state(301, 8, after, PLAN, LeaderFindings(10, "worse"))
    assert (halted.status, halted.reason, halted.ended_digests) == ("halted", "worse", [state.digest[:12]])
    assert new.next_state(301, 8, after, PLAN, LeaderFindings(0, rollback_count=2)).status == "halted"
    assert new.next_state(201 + 3.6e6, 8, after, PLAN, LeaderFindings(0)).status == "expired"
    assert new.next_state(9e9, 9, halted, PLAN, enough) is None


def test_parts_grow_and_another_document_draws_anew():
    volumes = [f"v{n}" for n in range(2000)]
    one, two = document_digest(b"1"), document_digest(b"2")
    small = {x for x in volumes if selects_volume(one, x, 0.05)}
    assert small <= {x for x in volumes if selects_volume(one, x, 0.3)}
    assert 60 < len(small) < 140
    assert len(small & {x for x in volumes if selects_volume(two, x, 0.05)}) < 25
    state = start_rollout(None, b"1")
    inside = next(iter(small))
    assert eligible_stage(state, PLAN, inside, "z") == PLAN.stages[0]
    second = advance(state, PLAN, {})
    assert eligible_stage(second, PLAN, "any", "y") is None
    assert eligible_stage(second, PLAN, "any", "z") is not None
    assert eligible_stage(end_rollout(state, RolloutStatus.HALTED, "", {}), PLAN, inside, "z") is None
