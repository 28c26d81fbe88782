"""Errors of gossip: local writes that exceed a limit, and messages from others that cannot be merged."""

from __future__ import annotations

from typing import ClassVar

from cressrock.errors import CressrockError


class GossipError(CressrockError):
    """An operation on the gossip state failed; the state is unchanged."""

    code: ClassVar[str] = "spread"
    remedy: ClassVar[str] = "see the text; the spread's state is as it was before"


class EntryTooLargeError(GossipError):
    """A local key, item or value is empty or exceeds the limit for one datagram."""

    code: ClassVar[str] = "spread-too-large"
    remedy: ClassVar[str] = "keep less in one entry, or raise max_key or max_value in all processes alike"


class OriginFullError(GossipError):
    """The entries of this process have reached the total size that the fleet keeps for one process."""

    code: ClassVar[str] = "spread-origin-full"
    remedy: ClassVar[str] = "find what writes so many keys; or raise max_origin_bytes in all processes alike"


class MalformedGossipError(GossipError):
    """A message from another process is not a valid gossip message; all of it was dropped."""

    code: ClassVar[str] = "spread-malformed"
    remedy: ClassVar[str] = "look which sender it is: another program, or a damaged path, uses this port"


class UnsupportedGossipFormatError(GossipError):
    """A gossip message has a format that this program cannot read; all of it was dropped."""

    code: ClassVar[str] = "spread-version-unknown"
    remedy: ClassVar[str] = "processes more than one release apart run together: bring the older ones up"
