"""Tells open requests that are stuck at a server from those that are only slow.  Pure.

Rejecting a request that would be served soon loses it, so the evidence has to be about its server: later
requests were served meanwhile, and this process was not held up itself.  Times are milliseconds on the
caller's clock.
"""

from __future__ import annotations

CHECK_INTERVAL_MS = 50.0  # between two checks of what waits
MAX_CHECK_DELAY_MS = 100.0  # a later check shows that this process was held up
RECENT_ANSWER_MS = 200.0
SILENT_SHARD_FACTOR = 2.0  # of the time after which a request is stuck, until its shard counts as stuck
SLOW_SHARD_FACTOR = 2.0  # of the time after which a request is stuck, at a shard that serves others
STUCK_SHARD_MS = 1000.0  # after a rejection at a shard, until its servers are tried again
ANY_SHARD = -1  # of a request for a new object

_NEVER = -float("inf")


class StuckRequests:
    """What has been served lately, by shard, and the shards that count as stuck."""

    def __init__(self) -> None:
        """Start without any evidence."""
        self._served_at = _NEVER  # when a request was last served
        self._shard_served_at: dict[int, float] = {}  # the same for each shard
        self._newest_served_at = _NEVER  # when the newest request that has been served was admitted
        self._held_up_at = _NEVER  # when this process last went on after it was held up
        self._rejected_at: dict[int, float] = {}  # by stuck shard, when a request there was last rejected

    def record_admission(self, shard: int, now: float) -> None:
        """Record that a request is open; a shard that is new has had no time to answer yet."""
        self._shard_served_at.setdefault(shard, now)

    def record_served(self, shard: int, admitted_at: float, now: float) -> None:
        """Record that a request was served."""
        self._served_at = self._shard_served_at[shard] = now
        self._newest_served_at = max(self._newest_served_at, admitted_at)
        self._rejected_at.pop(shard, None)

    def record_check(self, interval_ms: float, now: float) -> None:
        """Record that the process checks what waits, `interval_ms` after the last time."""
        if self.is_held_up(interval_ms):
            self._held_up_at = now

    @staticmethod
    def is_held_up(interval_ms: float) -> bool:
        """Return whether a check so long after the last one shows that this process was held up."""
        return interval_ms > CHECK_INTERVAL_MS + MAX_CHECK_DELAY_MS

    def may_reject(self, now: float, stuck_after_ms: float) -> bool:
        """Return whether waiting can be held against servers: this process has not been held up."""
        return now - self._held_up_at >= stuck_after_ms

    def latest_admission(self, now: float, stuck_after_ms: float) -> float:
        """Return when a stuck request was admitted at the latest: later ones were served since."""
        return min(now - stuck_after_ms, self._newest_served_at)

    def is_stuck(
        self, shard: int, admitted_at: float, now: float, stuck_after_ms: float, *, is_oldest: bool
    ) -> bool:
        """Return whether a request admitted before `latest_admission` is stuck.

        At a shard that serves others it is so later, and only if it is the oldest of its connection.
        """
        if self._is_silent(shard, now - stuck_after_ms):
            return True
        return is_oldest and now - admitted_at >= SLOW_SHARD_FACTOR * stuck_after_ms

    def record_rejection(self, shard: int, now: float, stuck_after_ms: float) -> None:
        """Record that a stuck request was rejected; its shard is stuck too once it has long been silent."""
        if shard != ANY_SHARD and self._is_silent(shard, now - SILENT_SHARD_FACTOR * stuck_after_ms):
            self._rejected_at[shard] = now

    def is_shard_stuck(self, shard: int, now: float) -> bool:
        """Return whether a further request to a shard would only be in the way of others.

        It is tried again after some time, or once it serves a request, or if no shard serves any.
        """
        rejected_at = self._rejected_at.get(shard)
        if rejected_at is None or now - self._served_at > RECENT_ANSWER_MS:
            return False
        if now - rejected_at < STUCK_SHARD_MS:
            return True
        del self._rejected_at[shard]
        return False

    def _is_silent(self, shard: int, since: float) -> bool:
        return self._shard_served_at.get(shard, _NEVER) < since
