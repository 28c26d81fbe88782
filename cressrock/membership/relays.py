"""Indirect pings on behalf of other members (SWIM's ping-req), whose answers are forwarded."""

from __future__ import annotations

from typing import NamedTuple

from cressrock.membership.outbox import Outbox
from cressrock.membership.packets import PingRequest
from cressrock.membership.state import MembershipState
from cressrock.membership.timers import TimerKind


class _Relay(NamedTuple):
    """The member that requested a ping, and the ping number that it expects in the answer."""

    requester: str
    number: int


class PingRelay:
    """Pings targets that other members could not reach directly."""

    def __init__(self, state: MembershipState, outbox: Outbox) -> None:
        """Start without pending relays."""
        self._state = state
        self._settings = state.settings
        self._outbox = outbox
        self._relays: dict[int, _Relay] = {}

    def __len__(self) -> int:
        """Return the number of pending relays."""
        return len(self._relays)

    def relay(self, now_ms: float, requester: str, request: PingRequest) -> None:
        """Ping the request's target; the address in the member table takes precedence over the requested one.

        Requests of unknown members, about this process or beyond `max_members` pending relays are ignored.
        """
        table = self._state.table
        if len(self._relays) >= self._settings.max_members or requester not in table.records:
            return
        target = request.target
        if target == self._state.local.name:
            return
        number = self._outbox.next_number()
        self._relays[number] = _Relay(requester, request.number)
        known_address = table.address_of(target) if target in table.records else ""
        self._outbox.send_ping(target, known_address or request.address, number)
        timeout_ms = self._settings.protocol_period_ms * self._settings.ping_timeout_fraction
        self._state.timers.schedule(now_ms + timeout_ms, TimerKind.RELAY_DEADLINE, number=number)

    def receive_ack(self, number: int) -> None:
        """Forward an answer to the requester."""
        relay = self._relays.pop(number, None)
        if relay is not None and relay.requester in self._state.table.records:
            address = self._state.table.address_of(relay.requester)
            self._outbox.send_ack(relay.requester, address, relay.number)

    def send_nack(self, now_ms: float, number: int) -> None:
        """Send the requester a Nack; a late answer is still forwarded for one protocol period."""
        relay = self._relays.get(number)
        if relay is None:
            return
        if relay.requester in self._state.table.records:
            self._outbox.send_nack(relay.requester, relay.number)
        expires_at_ms = now_ms + self._settings.protocol_period_ms
        self._state.timers.schedule(expires_at_ms, TimerKind.RELAY_EXPIRY, number=number)

    def expire(self, number: int) -> None:
        """Drop a relay whose answer did not arrive."""
        self._relays.pop(number, None)

    def abandon_all(self) -> None:
        """Drop all relays after a pause of this process, as their requesters no longer wait."""
        self._relays.clear()
