"""Conversion between request targets and paths (RFC 3986, RFC 9110 section 4), without I/O.

A path is stored decoded, as text: "/volume/a/b".  Comparison, hashing and locking use only this form.
"""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import quote, unquote_to_bytes, urlsplit

SAFE_PATH_CHARACTERS = "/!$&'()*+,;=:@-._~"


class InvalidPathError(ValueError):
    """A target that is not a valid resource path; the text gives the reason."""


@dataclass(frozen=True, slots=True)
class Path:
    """A resource: its volume and the decoded segments below it.  `slash`: the target ended in a slash."""

    volume: str
    segments: tuple[str, ...]
    slash: bool = False

    @property
    def key(self) -> str:
        """The canonical text form, without a trailing slash."""
        return "/" + "/".join((self.volume, *self.segments))

    @property
    def href(self) -> str:
        """The percent-encoded form, as used in a request line or a DAV:href."""
        return quote(self.key, safe=SAFE_PATH_CHARACTERS)

    @property
    def parent(self) -> Path:
        """The parent collection; raises InvalidPathError for a volume's root."""
        if not self.segments:
            raise InvalidPathError("a volume's root has no parent")
        return Path(self.volume, self.segments[:-1], True)

    def under(self, other: Path) -> bool:
        """Whether this path equals `other` or is below it."""
        return self.volume == other.volume and self.segments[: len(other.segments)] == other.segments

    def moved(self, source: Path, target: Path) -> Path:
        """Return this path, which equals or is below `source`, with that prefix replaced by `target`."""
        return Path(target.volume, target.segments + self.segments[len(source.segments) :], self.slash)


def parse(target: str, *, max_bytes: int = 4096, max_depth: int = 128) -> Path:
    """Parse an absolute, percent-encoded path.

    Raises InvalidPathError for targets that two servers could interpret differently: dot segments in any
    spelling, encoded slashes, NUL and other control characters, bytes that are not UTF-8, and paths over the
    limits.
    """
    if not target.startswith("/"):
        raise InvalidPathError("the path is not absolute")
    if len(target) > max_bytes:
        raise InvalidPathError(f"the path is longer than {max_bytes} bytes")
    if "#" in target:
        raise InvalidPathError("a fragment does not belong in a request")
    target = target.split("?", 1)[0]
    slash = target.endswith("/")
    segments: list[str] = []
    for raw in target.split("/"):
        if not raw:
            continue  # repeated slashes count as one
        data = unquote_to_bytes(raw) if "%" in raw else raw.encode("latin-1", "replace")
        if "%" in raw and raw.count("%") != _count_escapes(raw):
            raise InvalidPathError("a percent sign does not begin an escape")
        try:
            text = data.decode("utf-8")
        except UnicodeDecodeError:
            raise InvalidPathError("the path is not UTF-8") from None
        if "/" in text or "\\" in text:
            raise InvalidPathError("an encoded slash names no resource")
        if text in (".", ".."):
            raise InvalidPathError("dot segments are not followed")
        if any(ord(c) < 32 or ord(c) == 127 for c in text):
            raise InvalidPathError("control characters are not allowed")
        segments.append(text)
    if len(segments) > max_depth:
        raise InvalidPathError(f"the path is deeper than {max_depth} segments")
    if not segments:
        raise InvalidPathError("the path names no volume")
    return Path(segments[0], tuple(segments[1:]), slash)


def _count_escapes(raw: str) -> int:
    parts = raw.split("%")[1:]
    return sum(len(p) >= 2 and all(c in "0123456789abcdefABCDEF" for c in p[:2]) for p in parts)


def parse_url(url: str, host: str) -> Path | None:
    """Parse a Destination or a resource tag: an absolute URL or an absolute path.

    None if it names another host; raises InvalidPathError if it is invalid.
    """
    if url.startswith("/") and not url.startswith("//"):
        return parse(url)
    try:
        parts = urlsplit(url)
    except ValueError:
        raise InvalidPathError("the URL cannot be read") from None
    if parts.scheme not in ("http", "https") or not parts.netloc:
        raise InvalidPathError("the URL is not absolute")
    if parts.username is not None or parts.netloc.lower() != host.lower():
        return None
    return parse(parts.path or "/")
