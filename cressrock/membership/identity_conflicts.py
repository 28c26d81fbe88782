"""Resolves conflicts between two processes of one name: the newer stays, the older is fenced."""

from __future__ import annotations

from cressrock.membership.events import DuplicateIdentity, Fenced
from cressrock.membership.exchanges import ExchangeScheduler
from cressrock.membership.outbox import Outbox
from cressrock.membership.packets import Updates
from cressrock.membership.state import MembershipState

MAX_REPORTED_DUPLICATES = 64  # limits the memory for reported duplicates, each of which is reported once


class IdentityConflicts:
    """Decides which of two processes with this process's name must stop."""

    def __init__(self, state: MembershipState, outbox: Outbox, exchanges: ExchangeScheduler) -> None:
        """Start without known conflicts."""
        self._state = state
        self._outbox = outbox
        self._exchanges = exchanges
        self._reported_incarnations: set[int] = set()

    def handle_name_conflict(self, process_incarnation: int, address: str) -> None:
        """Handle a packet of another process with this process's name; fence this one if it is older."""
        local = self._state.local
        if process_incarnation > local.identity.process_incarnation:
            self.fence(process_incarnation)
            return
        if (
            process_incarnation not in self._reported_incarnations
            and len(self._reported_incarnations) < MAX_REPORTED_DUPLICATES
        ):
            self._reported_incarnations.add(process_incarnation)
            self._state.events.append(DuplicateIdentity(local.name, process_incarnation, address))
        if self._outbox.try_consume_reply():
            self._outbox.send(None, address, Updates([local.as_update(full=True)]))

    def fence(self, newer_incarnation: int) -> None:
        """Fence this process permanently: discard pending messages and exchange requests, and report it."""
        local = self._state.local
        local.fenced_by = newer_incarnation
        self._outbox.messages.clear()
        self._exchanges.requests.clear()
        self._state.events.append(Fenced(local.name, newer_incarnation))
