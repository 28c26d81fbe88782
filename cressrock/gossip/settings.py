"""Bounds of the replicated state; the same in all processes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GossipStoreSettings:
    """Defaults fit 4,806 members and datagrams of 1,200 bytes.

    An entry of the largest key, item and value still fits one datagram beside the envelope: what does not fit
    moves by the full exchange alone, and holds up what its origin writes after it.
    """

    max_key_bytes: int = 128  # of a key or an item
    max_value_bytes: int = 640
    max_origin_bytes: int = 256 * 1024  # own entries; twice that is taken of another, which may lag behind
    max_origins: int = 8192  # as many as members: 4,806 at the coming size, and ended processes still kept
    max_total_bytes: int = 64 * 1024 * 1024  # of which max_origin_bytes are kept free for own entries
    max_message_bytes: int = 1024 * 1024  # that are looked at
    max_ranges_ahead: int = (
        64  # versions known beyond a gap, for each origin; the farthest are forgotten first
    )
    max_pending_changes: int = 128  # to broadcast; past it the most sent go: under load repeats fall away
    max_change_notices: int = 8192  # for the local reader
    retained_tombstones: int = 128  # of one origin, so that a process that lags by less needs no sweep
    retransmit_factor: float = 2.0  # each process passes a change on this often times log2 of the members
    idle_digest_bytes: int = 600  # of a digest while nothing is missing; else what the caller allows
    catch_up_digests: int = 8  # so many digests after a delta brought something may be larger
    entry_overhead_bytes: int = 400  # what an entry is reckoned to cost beside its texts and value

    def __post_init__(self) -> None:
        """Raise ValueError where the bounds contradict each other."""
        for name in (
            "max_key_bytes",
            "max_value_bytes",
            "max_origins",
            "max_ranges_ahead",
            "max_pending_changes",
            "retained_tombstones",
        ):
            if getattr(self, name) < 1:
                raise ValueError(f"{name} is {getattr(self, name)}: at least 1")
        if self.max_total_bytes < 3 * self.max_origin_bytes:
            raise ValueError(
                f"max_total_bytes is {self.max_total_bytes}: at least three times"
                f" max_origin_bytes ({self.max_origin_bytes})"
            )
