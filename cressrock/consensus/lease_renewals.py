"""The leader's side of leases: which renewal a confirmed read index earns.

A renewal is (term << 32) + count, drawn by a leader for each read index that a quorum confirmed *after* it
was asked, and only once everything up to that index is applied.  Terms grow, so renewals grow over leaders; a
leader that was cut off gets no read index confirmed, so it renews nothing, and copies of old renewals renew
nothing either.  A renewal costs a round of heartbeats and no disk write.
"""

from __future__ import annotations

RENEWAL_COUNT_BITS = 32  # bits of a renewal that count within a term


class LeaseRenewals:
    """Hands out tokens for read indexes and turns confirmed ones into renewals."""

    def __init__(self, max_pending: int = 2048) -> None:
        """Begin without a renewal; the bound is above what a replica lets wait for a read."""
        self.max_pending = max_pending
        self.last_renewal = 0
        self._pending: dict[int, tuple[int, float]] = {}  # token -> term in which it was asked, and when
        self._last_token = 0

    def ask(self, term: int, now_ms: float) -> int:
        """Return a token to ask a read index under, in this term."""
        self._last_token += 1
        while len(self._pending) >= self.max_pending:  # a leader without a quorum asks again and again
            self._pending.pop(next(iter(self._pending)))
        self._pending[self._last_token] = (term, now_ms)
        return self._last_token

    def confirm(self, token: int, term: int, now_ms: float, max_age_ms: float) -> int | None:
        """Return the renewal for a confirmed read; None where the term has changed or too long has passed.

        A process that was stopped between the quorum's answer and its own would else renew, on waking, what
        another leader may have replaced long ago.
        """
        request = self._pending.pop(token, None)
        if request is None:
            return None
        request_term, requested_at_ms = request
        if request_term != term or now_ms >= requested_at_ms + max_age_ms:
            return None
        # A read index is confirmed only by a quorum that still followed this term after it was asked.
        self.last_renewal = max(self.last_renewal + 1, (term << RENEWAL_COUNT_BITS) + 1)
        return self.last_renewal
