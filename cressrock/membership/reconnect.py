"""Dead members: contacted, so that the halves of a partition meet again, and forgotten at last.

Serf calls the two reconnect and reap.
"""

from __future__ import annotations

from cressrock.membership.outbox import Outbox
from cressrock.membership.state import MembershipState


def contact_dead(state: MembershipState, outbox: Outbox) -> None:
    """Ping a random dead member; all processes together reach each `dead_contacts_per_period` times."""
    table = state.table
    if not table.dead:
        return
    if state.rng.random() < state.settings.dead_contacts_per_period * len(table.dead) / table.cluster_size:
        name = table.dead.sample(state.rng, 1)[0]
        if address := table.address_of(name):
            outbox.send_ping(name, address, outbox.next_number())


def forget_ended(state: MembershipState, now_ms: float) -> None:
    """Forget members that have been dead or left for so long that no late update can be about them."""
    table = state.table
    if len(table.records) > len(table.live):
        for name in table.ended_for(state.settings.dead_retention_ms, now_ms):
            table.forget(name)
            state.queue.discard(name)
