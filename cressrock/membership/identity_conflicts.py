"""Two processes under one name: the newer stays, the older is told to stop and fences itself."""

from __future__ import annotations

from cressrock.membership.events import DuplicateIdentity, Fenced
from cressrock.membership.exchanges import ExchangeScheduler
from cressrock.membership.outbox import Outbox
from cressrock.membership.packets import Updates
from cressrock.membership.state import MembershipState

MAX_REPORTED = 64  # duplicates of this process's name that are reported, each once


class IdentityConflicts:
    """Decides which of two processes with this process's name has to stop."""

    def __init__(self, state: MembershipState, outbox: Outbox, exchanges: ExchangeScheduler) -> None:
        """Know of no conflict."""
        self._state = state
        self._outbox = outbox
        self._exchanges = exchanges
        self._reported: set[int] = set()

    def receive_from_namesake(self, process_incarnation: int, address: str) -> None:
        """Handle a packet of another process with this process's name."""
        local = self._state.local
        if process_incarnation > local.identity.process_incarnation:
            self.fence(process_incarnation)
            return
        if process_incarnation not in self._reported and len(self._reported) < MAX_REPORTED:
            self._reported.add(process_incarnation)
            self._state.events.append(DuplicateIdentity(local.name, process_incarnation, address))
        if self._outbox.allow_reply():
            self._outbox.send(None, address, Updates([local.as_update(full=True)]))

    def fence(self, newer: int) -> None:
        """Stop for good: what waits is not sent any more."""
        local = self._state.local
        local.fenced_by = newer
        self._outbox.messages.clear()
        self._exchanges.requests.clear()
        self._state.events.append(Fenced(local.name, newer))
