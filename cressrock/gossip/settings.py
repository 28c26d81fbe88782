"""Limits of the replicated state.  All processes of a cluster must use the same values."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GossipStoreSettings:
    """Limits of one store; the defaults fit 4,806 members and datagrams of 1,200 bytes.

    An entry with the largest key, item and value still fits into one datagram together with the envelope.
    A larger entry could only be sent by a full exchange, and would delay every later write of its origin.
    """

    max_key_bytes: int = 128  # also the limit for an item name
    max_value_bytes: int = 640
    # Limit for this process's own entries.  Twice as much is accepted from another origin, because the copy
    # held here may lag behind.
    max_origin_bytes: int = 256 * 1024
    max_origins: int = 8192  # the planned 4,806 members, plus ended processes that are still retained
    max_total_bytes: int = 64 * 1024 * 1024  # max_origin_bytes of it are reserved for own entries
    max_message_bytes: int = 1024 * 1024  # longer messages are rejected without being decoded
    max_ranges_ahead: int = 64  # version ranges known beyond a gap, per origin; the highest are dropped first
    # Changes queued for broadcast.  When full, the change sent most often is dropped: load reduces repeats.
    max_pending_changes: int = 128
    max_change_notices: int = 8192  # changed keys kept for the local reader
    retained_tombstones: int = 128  # per origin; a replica that lags by fewer removals needs no sweep
    retransmit_factor: float = 2.0  # each process sends a change this many times log2(members + 1)
    idle_digest_bytes: int = 600  # digest size while nothing is missing; otherwise the caller's limit applies
    catch_up_digests: int = 8  # digests after a useful delta that may exceed idle_digest_bytes
    entry_overhead_bytes: int = 400  # estimated memory of an entry in addition to its texts and value

    def __post_init__(self) -> None:
        """Raise ValueError if a limit is below 1 or the limits contradict each other."""
        for name in (
            "max_key_bytes",
            "max_value_bytes",
            "max_origins",
            "max_ranges_ahead",
            "max_pending_changes",
            "retained_tombstones",
        ):
            if getattr(self, name) < 1:
                raise ValueError(f"{name} is {getattr(self, name)}; it must be at least 1")
        if self.max_total_bytes < 3 * self.max_origin_bytes:
            raise ValueError(
                f"max_total_bytes is {self.max_total_bytes}; it must be at least three times"
                f" max_origin_bytes ({self.max_origin_bytes})"
            )
