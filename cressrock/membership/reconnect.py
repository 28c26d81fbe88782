"""Contacts dead members, so that the sides of a partition reconnect, and finally removes them.

Serf calls these operations reconnect and reap.
"""

from __future__ import annotations

from cressrock.membership.outbox import Outbox
from cressrock.membership.state import MembershipState


def ping_random_dead(state: MembershipState, outbox: Outbox) -> None:
    """Ping a random dead member, with a probability that depends on the cluster size.

    On average all processes together ping each dead member `dead_contacts_per_period` times per period.
    """
    table = state.table
    if not table.dead:
        return
    if state.rng.random() < state.settings.dead_contacts_per_period * len(table.dead) / table.cluster_size:
        name = table.dead.sample(state.rng, 1)[0]
        if address := table.address_of(name):
            outbox.send_ping(name, address, outbox.next_number())


def reap_inactive(state: MembershipState, now_ms: float) -> None:
    """Remove members that have been dead or left for so long that no delayed update about them can arrive."""
    table = state.table
    if len(table.records) > len(table.live):
        for name in table.inactive_longer_than(state.settings.dead_retention_ms, now_ms):
            table.remove_member(name)
            state.queue.discard(name)
