"""Outgoing messages, each with as many queued updates as fit into one datagram (SWIM's piggybacking)."""

from __future__ import annotations

import math
from collections.abc import Iterable

from cressrock.membership.packets import (
    Ack,
    MemberState,
    MemberUpdate,
    Message,
    Nack,
    Ping,
    PingRequest,
    Updates,
    encoded_size,
    updates_capacity,
)
from cressrock.membership.state import MembershipState
from cressrock.membership.types import OutgoingMessage
from cressrock.membership.view_checksum import ViewChecksum

SUSPECT_OR_DEAD = (MemberState.SUSPECT, MemberState.DEAD)
MIN_TRANSMISSIONS = 2


class Outbox:
    """Composes messages, allocates ping numbers, and rate limits replies."""

    def __init__(self, state: MembershipState, checksum: ViewChecksum) -> None:
        """Start at a random ping number, so that a restarted process ignores answers to earlier pings."""
        self.messages: list[OutgoingMessage] = []
        self._state = state
        self._checksum = checksum
        self._last_number = state.rng.randrange(1 << 30)
        self._replies_left = state.settings.replies_per_period
        self.updates_capacity = updates_capacity(
            state.settings.max_datagram_bytes, state.settings.cluster, state.local.name
        )

    def next_number(self) -> int:
        """Allocate the number of a new ping."""
        self._last_number += 1
        return self._last_number

    # --- rate limit of replies

    def try_consume_reply(self) -> bool:
        """Consume one of the period's replies, or return False; this bounds the cost of a request flood."""
        if self._replies_left <= 0:
            self._state.counters["no-reply-left"] += 1
            return False
        self._replies_left -= 1
        return True

    def reset_reply_budget(self) -> None:
        """Restore the reply budget at the start of a protocol period."""
        self._replies_left = self._state.settings.replies_per_period

    # --- messages

    def send(self, name: str | None, address: str, message: Message) -> None:
        """Queue a message for sending, without adding updates."""
        self.messages.append(OutgoingMessage(name, address, message))

    def send_ping(self, name: str, address: str, number: int) -> None:
        """Queue a ping with piggybacked updates."""
        updates = self._piggyback(name)
        self.send(name, address, Ping(number, name, updates, self._checksum.value()))

    def send_ack(
        self, name: str, address: str, number: int, corrections: Iterable[MemberUpdate] = ()
    ) -> None:
        """Queue an answer to a ping; `corrections` precede other updates."""
        updates = self._piggyback(name, corrections)
        self.send(name, address, Ack(number, updates, self._checksum.value()))

    def send_ping_request(self, helper: str, number: int, target: str, target_address: str) -> None:
        """Queue a request that `helper` ping `target`."""
        updates = self._piggyback(helper, reserved_bytes=len(target) + len(target_address))
        address = self._state.table.address_of(helper)
        self.send(helper, address, PingRequest(number, target, target_address, updates))

    def send_nack(self, name: str, number: int) -> None:
        """Queue a notice to the requester of an indirect ping that the target has not answered."""
        updates = self._piggyback(name)
        self.send(name, self._state.table.address_of(name), Nack(number, updates))

    def send_updates(self, name: str, address: str, corrections: Iterable[MemberUpdate] = ()) -> None:
        """Queue a message of `corrections` and pending updates, if there are any."""
        if updates := self._piggyback(name, corrections):
            self.send(name, address, Updates(updates))

    def gossip(self, count: int) -> None:
        """Send pending updates to `count` random live members."""
        table = self._state.table
        for name in table.live.sample(self._state.rng, count):
            self.send_updates(name, table.address_of(name))

    def _piggyback(
        self, name: str, corrections: Iterable[MemberUpdate] = (), reserved_bytes: int = 0
    ) -> list[MemberUpdate]:
        """Return updates for a message to `name`: corrections, then the least transmitted ones that fit."""
        updates = list(corrections)
        state = self._state
        record = state.table.records.get(name)
        if (
            record is not None
            and record.state in SUSPECT_OR_DEAD
            and not any(u.name == name for u in updates)
        ):
            # Lifeguard's buddy system: messages to a suspected member carry the suspicion, so it can refute.
            updates.insert(0, record.as_update())
        remaining = self.updates_capacity - sum(map(encoded_size, updates)) - reserved_bytes - len(name)
        while remaining < 0 and updates:
            remaining += encoded_size(updates.pop())
        transmissions = math.ceil(state.settings.retransmit_factor * math.log10(state.table.cluster_size + 1))
        return updates + state.queue.next_updates(remaining, max(transmissions, MIN_TRANSMISSIONS))
