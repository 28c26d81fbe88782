"""Errors of the replicated state: own writes past a bound, and bytes from others that cannot be merged."""

from __future__ import annotations

from typing import ClassVar

from cressrock.errors import CressrockError


class GossipError(CressrockError):
    """The replicated state could not do what it was asked; nothing was changed."""

    code: ClassVar[str] = "spread"
    remedy: ClassVar[str] = "see the text; the spread's state is as it was before"


class EntryTooLargeError(GossipError):
    """A key, an item or a value of one's own is empty or larger than one datagram may carry of it."""

    code: ClassVar[str] = "spread-too-large"
    remedy: ClassVar[str] = "keep less in one entry, or raise max_key or max_value in all processes alike"


class OriginFullError(GossipError):
    """This process holds as many bytes of its own entries as it may ask the fleet to keep for it."""

    code: ClassVar[str] = "spread-origin-full"
    remedy: ClassVar[str] = "find what writes so many keys; or raise max_origin_bytes in all processes alike"


class MalformedGossipError(GossipError):
    """Bytes from another process are no gossip message; they were dropped whole."""

    code: ClassVar[str] = "spread-malformed"
    remedy: ClassVar[str] = "look which sender it is: another program, or a damaged path, uses this port"


class UnsupportedGossipFormatError(GossipError):
    """Bytes from another process are of a format that this program does not read; they were dropped whole."""

    code: ClassVar[str] = "spread-version-unknown"
    remedy: ClassVar[str] = "processes more than one release apart run together: bring the older ones up"
