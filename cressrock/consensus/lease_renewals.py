"""The leader's side of leases: renewals issued for confirmed read indexes.

A renewal is (term << 32) + count.  The leader issues one for each read index that a quorum confirmed *after*
it was requested, once all entries up to that index are applied.  Since terms increase, renewals increase
across leaders.  A partitioned leader gets no read index confirmed and so renews nothing, and copies of old
renewals renew nothing.  A renewal costs one round of heartbeats and no disk write.
"""

from __future__ import annotations

RENEWAL_COUNT_BITS = 32  # low bits of a renewal: the count within a term


class LeaseRenewals:
    """Issues tokens for read indexes, and renewals for the confirmed ones."""

    def __init__(self, max_pending: int = 2048) -> None:
        """Start without a renewal; `max_pending` exceeds the reads that a replica allows to be pending."""
        self.max_pending = max_pending
        self.last_renewal = 0
        self._pending: dict[int, tuple[int, float]] = {}  # token -> term and time of the request
        self._last_token = 0

    def ask(self, term: int, now_ms: float) -> int:
        """Return a token for a read index requested in this term."""
        self._last_token += 1
        while len(self._pending) >= self.max_pending:  # a leader without a quorum keeps requesting
            self._pending.pop(next(iter(self._pending)))
        self._pending[self._last_token] = (term, now_ms)
        return self._last_token

    def confirm(self, token: int, term: int, now_ms: float, max_age_ms: float) -> int | None:
        """Return the renewal for a confirmed read; None if the term changed or `max_age_ms` has passed.

        Without the age limit, a process that was suspended after the quorum's reply would on resuming renew
        decisions that another leader may have replaced.
        """
        request = self._pending.pop(token, None)
        if request is None:
            return None
        request_term, requested_at_ms = request
        if request_term != term or now_ms >= requested_at_ms + max_age_ms:
            return None
        # A read index is confirmed only by a quorum that still followed this term after the request.
        self.last_renewal = max(self.last_renewal + 1, (term << RENEWAL_COUNT_BITS) + 1)
        return self.last_renewal
