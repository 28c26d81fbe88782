"""Settings of the membership: timings and limits for probes, suspicion, gossip and full exchanges."""

from __future__ import annotations

from dataclasses import dataclass

from cressrock.membership import packets


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Timings and limits, equal in all processes.  Timings depend on each other: see docs/members.md."""

    cluster: str = "cressrock"
    protocol_period_ms: float = 1000.0
    probes_per_period: int = 4  # a failed member is first probed after 1/probes_per_period periods, not 1
    ping_timeout_fraction: float = 0.3  # of a period; after this, other members are asked to ping
    indirect_probes: int = 3  # helpers that are asked to ping a member that did not answer
    gossip_interval_ms: float = 200.0
    gossip_fanout: int = 3
    retransmit_factor: float = 4.0  # an update is sent retransmit_factor * log10(n + 1) times
    suspicion_factor: float = 1.4  # the minimum suspicion timeout is suspicion_factor * log10(n) periods
    max_suspicion_factor: float = 6.0  # maximum (single accuser) over minimum suspicion timeout
    confirmations: int = 2  # additional accusers that reduce the suspicion timeout to the minimum
    tolerated_pause_ms: float = 2000.0  # a process paused for up to this time is not declared dead
    max_health_score: int = 8
    max_datagram_bytes: int = packets.MAX_DATAGRAM_BYTES
    max_members: int = 8192  # 4,806 at the planned size plus retained dead members; 0.9 KB each
    dead_retention_ms: float = 3_600_000.0  # lets no delayed update revive a dead or left member
    dead_contacts_per_period: float = 2.0  # pings to each dead member per period, summed over all processes
    exchange_interval_ms: float = 120_000.0  # mean, up to `exchange_reference_size` members
    exchange_reference_size: int = 64  # above it exchanges get rarer; keeps bytes/s constant
    replies_per_period: int = 128  # replies to unknown, joining or replaced senders, and corrections
    max_join_retry_ms: float = 30_000.0  # upper bound of the join backoff, before jitter
