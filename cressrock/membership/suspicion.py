"""Suspicion timeouts by Lifeguard's formula (LHA-Suspicion): more accusers shorten the timeout."""

from __future__ import annotations

import math

from cressrock.membership.settings import MembershipSettings


def min_suspicion_ms(settings: MembershipSettings, cluster_size: int) -> float:
    """Return the minimum suspicion timeout for a cluster size.

    This is Lifeguard's alpha * log10(n) periods, but long enough that the refutation of a process paused for
    `tolerated_pause_ms` (suspected no earlier than one period after its pause began) reaches all members.
    """
    period_ms = settings.protocol_period_ms
    gossip_rounds = math.ceil(math.log(max(cluster_size, 2), settings.gossip_fanout + 1)) + 2
    dissemination_ms = settings.gossip_interval_ms * gossip_rounds
    by_size_ms = settings.suspicion_factor * math.log10(max(cluster_size, 10)) * period_ms
    return max(by_size_ms, settings.tolerated_pause_ms + dissemination_ms - period_ms)


def suspicion_ms(
    settings: MembershipSettings, cluster_size: int, accusers: int, *, has_named_accuser: bool
) -> float:
    """Return the suspicion timeout for a number of accusers, not scaled by the local health score.

    `has_named_accuser`: a named member raised the suspicion; it does not stem from two lists that disagree.
    """
    min_ms = min_suspicion_ms(settings, cluster_size)
    confirmations = min(settings.confirmations, max(cluster_size - 3, 0))
    if confirmations == 0 and has_named_accuser:
        return min_ms
    max_ms = min_ms * settings.max_suspicion_factor
    confirmed = max(accusers - 1, 0)
    fraction = math.log(confirmed + 1) / math.log(confirmations + 1) if confirmations else 0.0
    return max(min_ms, max_ms - (max_ms - min_ms) * fraction)
