"""The outcomes of a claim on an agreed name."""

from cressrock.presence.agreed_names import (
    AlreadyOwner,
    NameHold,
    NameHolder,
    OwnedByOther,
    ProposeHolder,
    decide_claim,
)


def test_claim_outcome_depends_on_holder_and_preemption():
    holder = NameHolder(1, "docs", "n", "b.1.1", "b", 1)
    hold = NameHold(holder, 5)
    assert decide_claim(None, "a.1.1", holder_dead=False, preempt=False) == ProposeHolder(0)
    assert decide_claim(hold, "b.1.1", holder_dead=False, preempt=False) == AlreadyOwner(5)
    assert decide_claim(hold, "a.1.1", holder_dead=False, preempt=False) == OwnedByOther(holder, 5)
    assert decide_claim(hold, "a.1.1", holder_dead=True, preempt=False) == ProposeHolder(5)
    assert decide_claim(hold, "a.1.1", holder_dead=False, preempt=True) == ProposeHolder(5)
