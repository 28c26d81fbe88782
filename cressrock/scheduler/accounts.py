"""The accounts of all volumes that a host knows, and which of them it forgets.

A bounded number of accounts without open requests is kept, so that clients that name ever new volumes cannot
fill the memory.  A limit is not refreshed by being forgotten: see `VolumeAccount.empty_at_ms`, and
docs/design.md, 'How a limit is kept'.
"""

from __future__ import annotations

from cressrock.interface import Plan, Settings
from cressrock.scheduler.rate_limit import VolumeAccount

MAX_IDLE_ACCOUNTS = 4096  # without open requests; above it the longest idle ones are forgotten


class VolumeAccounts:
    """Accounts by volume."""

    def __init__(self, settings: Settings, started_at_ms: float, max_idle: int = MAX_IDLE_ACCOUNTS) -> None:
        """Start without accounts; `started_at_ms` is when the host's process began."""
        self.settings = settings
        self.started_at_ms = started_at_ms
        self.max_idle = max_idle
        self.by_volume: dict[str, VolumeAccount] = {}
        self._idle: dict[str, None] = {}  # volumes without open requests, longest idle first
        # By plan, the latest time at which the limit of a forgotten account would have been empty.
        self._empty_at_ms: dict[Plan, float] = {}

    def open(self, volume: str, plan: Plan, sharing_hosts: int) -> VolumeAccount:
        """Return a volume's account for a new request; `close` follows when the request has ended."""
        account = self.by_volume.get(volume)
        if account is None:
            started_at_ms = max(self.started_at_ms, self._empty_at_ms.get(plan, self.started_at_ms))
            account = self.by_volume[volume] = VolumeAccount(self.settings, started_at_ms)
            account.reserve = plan.reserve / max(1, sharing_hosts)
        account.plan = plan
        account.sharing_hosts = max(account.sharing_hosts, sharing_hosts)
        account.open_requests += 1
        self._idle.pop(volume, None)
        return account

    def close(self, volume: str, now_ms: float) -> None:
        """Record that a request of a volume has ended, without an attempt outstanding."""
        account = self.by_volume[volume]
        account.open_requests -= 1
        if not account.open_requests:
            self._keep_idle(volume, now_ms)

    def lease(self, volume: str, now_ms: float) -> VolumeAccount:
        """Return a volume's account to add leased units to it."""
        account = self.by_volume.get(volume)
        if account is None:
            account = self.by_volume[volume] = VolumeAccount(self.settings, self.started_at_ms)
            self._keep_idle(volume, now_ms)
        return account

    def _keep_idle(self, volume: str, now_ms: float) -> None:
        self._idle[volume] = None
        while len(self._idle) > self.max_idle:
            self._forget(next(iter(self._idle)), now_ms)

    def _forget(self, volume: str, now_ms: float) -> None:
        del self._idle[volume]
        account = self.by_volume.pop(volume)
        plan = account.plan
        if plan is None or not plan.limit_rate:
            return
        empty_at_ms = account.empty_at_ms(plan, now_ms)
        self._empty_at_ms[plan] = max(empty_at_ms, self._empty_at_ms.get(plan, empty_at_ms))
