"""The membership's settings: times and bounds of probing, suspicion, gossip and full exchanges."""

from __future__ import annotations

from dataclasses import dataclass

from cressrock.membership import packets


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Times and bounds, the same in all processes.  Times are chosen together: see docs/members.md."""

    cluster: str = "cressrock"
    protocol_period_ms: float = 1000.0
    probes_per_period: int = 4  # a death is first met after 1/probes_per_period periods, not after one
    ping_timeout_fraction: float = 0.3  # of a period, until other members are asked to ping
    indirect_probes: int = 3  # members asked to ping one that did not answer
    gossip_interval_ms: float = 200.0
    gossip_fanout: int = 3
    retransmit_factor: float = 4.0  # an update is sent retransmit_factor * log10(n + 1) times
    suspicion_factor: float = 1.4  # periods for each log10(n): the shortest suspicion
    max_suspicion_factor: float = 6.0  # times the shortest: the longest suspicion, with a single accuser
    confirmations: int = 2  # further accusers that bring suspicion down to the shortest
    tolerated_pause_ms: float = 2000.0  # a process stopped for so long is not declared dead
    max_health_score: int = 8
    max_datagram_bytes: int = packets.MAX_DATAGRAM_BYTES
    max_members: int = 8192  # 4,806 at the coming size, and dead names that are retained; 0.9 KB each
    dead_retention_ms: float = (
        3_600_000.0  # dead and left members are kept, so that no late update revives them
    )
    dead_contacts_per_period: float = 2.0  # how often all processes together contact one dead member
    exchange_interval_ms: float = (
        120_000.0  # between full exchanges, with up to `exchange_reference_size` members
    )
    exchange_reference_size: int = (
        64  # with more members exchanges get rarer, so that the bytes a second stay
    )
    replies_per_period: int = 128  # answers to unknown senders
    max_join_retry_ms: float = 30_000.0  # between attempts to join
