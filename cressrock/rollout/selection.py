"""Selects the requests that are eligible for a candidate, by volume, zone and stage.  Pure."""

from __future__ import annotations

import hashlib

from cressrock.rollout.lifecycle import RolloutState
from cressrock.rollout.plan import RolloutPlan, Stage


def selects_volume(digest: str, volume: str, fraction: float) -> bool:
    """Whether a volume is in a fraction of all volumes.

    A larger fraction of the same document contains the smaller ones; another document selects independently.
    """
    if fraction >= 1:
        return True
    sample = hashlib.blake2b(volume.encode(), key=digest.encode(), digest_size=8).digest()
    return int.from_bytes(sample) < fraction * 2**64


def eligible_stage(
    state: RolloutState | None, plan: RolloutPlan | None, volume: str, zone: str
) -> Stage | None:
    """Return the stage that makes a volume's requests eligible for the candidate in this zone, or None."""
    if state is None or plan is None or not state.running or state.stage >= len(plan.stages):
        return None
    stage = plan.stages[state.stage]
    if stage.zones is not None and zone not in stage.zones:
        return None
    return stage if selects_volume(state.digest, volume, stage.volume_fraction) else None
