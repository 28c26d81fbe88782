"""How long suspicion lasts, by Lifeguard's formula (LHA-Suspicion): the more accusers, the shorter."""

from __future__ import annotations

import math

from cressrock.membership.settings import MembershipSettings


def min_suspicion_ms(settings: MembershipSettings, cluster_size: int) -> float:
    """Return the shortest time of suspicion for a cluster size.

    Lifeguard's alpha * log10(n) periods, but never so short that a process which was stopped for
    `tolerated_pause_ms` (suspected at the earliest one period after it stopped) could not be heard by all.
    """
    period_ms = settings.protocol_period_ms
    gossip_rounds = math.ceil(math.log(max(cluster_size, 2), settings.gossip_fanout + 1)) + 2
    dissemination_ms = settings.gossip_interval_ms * gossip_rounds
    by_size_ms = settings.suspicion_factor * math.log10(max(cluster_size, 10)) * period_ms
    return max(by_size_ms, settings.tolerated_pause_ms + dissemination_ms - period_ms)


def suspicion_ms(
    settings: MembershipSettings, cluster_size: int, accusers: int, *, accused_by_name: bool
) -> float:
    """Return how long suspicion lasts for this many accusers, before this process's own health is counted.

    `accused_by_name`: somebody named accuses, and the suspicion does not come from two lists that disagree.
    """
    min_ms = min_suspicion_ms(settings, cluster_size)
    confirmations = min(settings.confirmations, max(cluster_size - 3, 0))
    if confirmations == 0 and accused_by_name:
        return min_ms
    max_ms = min_ms * settings.max_suspicion_factor
    confirmed = max(accusers - 1, 0)
    fraction = math.log(confirmed + 1) / math.log(confirmations + 1) if confirmations else 0.0
    return max(min_ms, max_ms - (max_ms - min_ms) * fraction)
