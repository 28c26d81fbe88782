"""Chooses how reports are delivered: by gossip in a small fleet, to collectors in a large one.  No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from cressrock.aggregation.messages import CAPABILITY

CONTROL_BUDGET_BYTES_PER_S = 2000.0  # control traffic allowed for each process
MEMBERSHIP_BYTES_PER_S = 600.0  # the membership's share of it (benchmarks/results/members.md)
GOSSIP_ENTRY_BYTES = 130.0  # one report in gossip, with key and header
GOSSIP_COPIES_PER_CHANGE = 2.0  # each process receives a change about twice
# Writes per second that gossip carries: it carries 41 with 230 members, but not 83 with 460
# (benchmarks/results/spread.md).
GOSSIP_WRITES_PER_S = 40.0
CHANGES_PER_RENEWAL = 0.8  # changes of one sender between two renewals
FIRST_CHANGE_HOLD_MS = 1000.0  # so that a process joining a large fleet soon leaves gossip
MAX_REASON_NAMES = 3  # replicas named in the reason


def derive_max_gossip_senders(
    renewal_interval_ms: float, changes_per_renewal: float = CHANGES_PER_RENEWAL
) -> int:
    """Return the largest number of senders whose gossip stays within the traffic budget of each process.

    Each sender reports once and makes `changes_per_renewal` changes per `renewal_interval_ms`; each process
    receives and forwards all of them.
    """
    reports_per_s = (1 + changes_per_renewal) * 1000 / renewal_interval_ms
    budget_bytes_per_s = CONTROL_BUDGET_BYTES_PER_S - MEMBERSHIP_BYTES_PER_S
    return int(budget_bytes_per_s / (reports_per_s * GOSSIP_ENTRY_BYTES * GOSSIP_COPIES_PER_CHANGE))


def gossip_interval_ms(senders: int, writes_per_s: float, usual_interval_ms: float) -> float:
    """Return the least time in ms between two reports of one process by gossip among `senders`.

    0 if all senders together, reporting every `usual_interval_ms`, stay within `writes_per_s`.  Otherwise the
    interval that keeps them within it, however often evidence changes.
    """
    interval_ms = 1000.0 * senders / writes_per_s
    return interval_ms if interval_ms > usual_interval_ms else 0.0


@dataclass(frozen=True, slots=True)
class _DesiredMode:
    """A mode and the reason for it, as shown in the status."""

    collecting: bool
    reason: str


@dataclass(slots=True)
class DeliveryMode:
    """Decides from this process's members whether reports go to collectors, with hysteresis.

    The mode changes to collectors above `max_gossip_senders` and back to gossip at half of it, once the
    condition has held for `hold_ms`, so that members that join and leave do not make it flap.  Gossip is also
    used without a collector, and while a live replica does not announce the capability: that replica would
    receive no reports from collectors and decide without evidence.
    """

    max_gossip_senders: int
    hold_ms: float
    collecting: bool = False
    reason: str = "few tellers"
    _change_pending_since_ms: float | None = None  # when the other mode became desired
    _change_count: int = 0

    def update(self, now_ms: float, senders: int, collectors: int, incapable_replicas: Sequence[str]) -> bool:
        """Return whether to use collectors.  `incapable_replicas`: live ones without the capability."""
        desired = self._desired_mode(senders, collectors, incapable_replicas)
        if desired.collecting == self.collecting:
            self._change_pending_since_ms, self.reason = None, desired.reason
            return self.collecting
        if self._change_pending_since_ms is None:
            self._change_pending_since_ms = now_ms
        hold_ms = self.hold_ms if self._change_count else min(self.hold_ms, FIRST_CHANGE_HOLD_MS)
        if now_ms - self._change_pending_since_ms >= hold_ms:
            self.collecting, self.reason, self._change_pending_since_ms = (
                desired.collecting,
                desired.reason,
                None,
            )
            self._change_count += 1
        return self.collecting

    def _desired_mode(self, senders: int, collectors: int, incapable_replicas: Sequence[str]) -> _DesiredMode:
        """Return the desired mode, before the hold time is applied."""
        gossip_suffices = senders <= (
            self.max_gossip_senders // 2 if self.collecting else self.max_gossip_senders
        )
        if gossip_suffices:
            return _DesiredMode(False, "few tellers")
        if not collectors:
            return _DesiredMode(False, "no collector is alive")
        if incapable_replicas:
            names = ", ".join(sorted(incapable_replicas)[:MAX_REASON_NAMES])
            return _DesiredMode(False, f"{names} announce no {CAPABILITY.decode()}")
        return _DesiredMode(True, f"{senders} tellers are more than {self.max_gossip_senders}")
