"""Which way reports go: few processes' by gossip, many processes' to collectors.  Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from cressrock.aggregation.messages import CAPABILITY

CONTROL_BYTES_PER_S = 2000.0  # budget of control traffic for each process, in all
MEMBERSHIP_BYTES_PER_S = 600.0  # of it for the members (benchmarks/results/members.md)
GOSSIP_ENTRY_BYTES = 130.0  # a report with its key and header in the gossip store
GOSSIP_COPIES = 2.0  # a change reaches each process about so often
# Writes a second that gossip carries: 41 of 230 members are carried, 83 of 460 no more
# (benchmarks/results/spread.md).
GOSSIP_WRITES_PER_S = 40.0
CHANGES_PER_RENEWAL = 0.8  # that a sender makes between two renewals
FIRST_CHANGE_HOLD_MS = 1000.0  # a process that joins a large fleet does not gossip for the whole hold first
MAX_NAMES = 3  # of incapable replicas in the reason


def derive_max_gossip_senders(renewal_interval_ms: float, changes: float = CHANGES_PER_RENEWAL) -> int:
    """Return of how many senders everybody can receive every report within a process's budget.

    Each of n reports 1 / `renewal_interval_ms` and `changes` more between; each process receives, and passes
    on, all of them.
    """
    reports_per_s = (1 + changes) * 1000 / renewal_interval_ms
    budget = CONTROL_BYTES_PER_S - MEMBERSHIP_BYTES_PER_S
    return int(budget / (reports_per_s * GOSSIP_ENTRY_BYTES * GOSSIP_COPIES))


def gossip_interval_ms(senders: int, writes_per_s: float, usual_ms: float) -> float:
    """Return the least time between two reports of one process by gossip, of so many.

    0 while all of them report every `usual_ms` and stay within `writes_per_s`, which gossip carries; beyond,
    as much as keeps them within it, however often evidence changes.
    """
    interval_ms = 1000.0 * senders / writes_per_s
    return interval_ms if interval_ms > usual_ms else 0.0


@dataclass(frozen=True, slots=True)
class _Choice:
    """A way, and the reason as the status gives it."""

    collecting: bool
    reason: str


@dataclass(slots=True)
class DeliveryMode:
    """Whether reports go to collectors, by what this process's members say; with hysteresis.

    Up above `max_gossip_senders`, down at half, and either only after it was so for `hold_ms`: members
    that come and go flap nothing.  A live replica that does not announce collecting would receive nothing of
    it and decide without evidence, so with one of these all goes by gossip; likewise without any collector.
    """

    max_gossip_senders: int
    hold_ms: float
    collecting: bool = False
    reason: str = "few tellers"
    _other_since_ms: float | None = None  # since when the other way is desired
    _changes: int = 0

    def update(self, now_ms: float, senders: int, collectors: int, incapable_replicas: Sequence[str]) -> bool:
        """Return whether to collect.  `incapable_replicas`: live ones that do not announce it."""
        choice = self._choose(senders, collectors, incapable_replicas)
        if choice.collecting == self.collecting:
            self._other_since_ms, self.reason = None, choice.reason
            return self.collecting
        if self._other_since_ms is None:
            self._other_since_ms = now_ms
        hold_ms = self.hold_ms if self._changes else min(self.hold_ms, FIRST_CHANGE_HOLD_MS)
        if now_ms - self._other_since_ms >= hold_ms:
            self.collecting, self.reason, self._other_since_ms = choice.collecting, choice.reason, None
            self._changes += 1
        return self.collecting

    def _choose(self, senders: int, collectors: int, incapable_replicas: Sequence[str]) -> _Choice:
        """Return the desired way, without hysteresis in time."""
        few = senders <= (self.max_gossip_senders // 2 if self.collecting else self.max_gossip_senders)
        if few:
            return _Choice(False, "few tellers")
        if not collectors:
            return _Choice(False, "no collector is alive")
        if incapable_replicas:
            names = ", ".join(sorted(incapable_replicas)[:MAX_NAMES])
            return _Choice(False, f"{names} announce no {CAPABILITY.decode()}")
        return _Choice(True, f"{senders} tellers are more than {self.max_gossip_senders}")
