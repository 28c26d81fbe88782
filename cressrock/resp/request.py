"""Parses a client's command into a scheduler request, and encodes it for a storage server.  Pure.

    IO.IN PIECE ID NAMES          reads
    IO.OUT PIECE ID NAMES BODY    writes

NAMES is a comma-separated list of name=value pairs.  A storage server accepts only valid client commands, so
every command is validated here before the request is accepted.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from cressrock.interface import Idempotency, Settings
from cressrock.resp import codec

READ, WRITE = b"IO.IN", b"IO.OUT"
VALUE_INDEX = 4  # of the value among the words of a WRITE
_HEX = re.compile(rb"[0-9a-f]{16}")
_NUMBER = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,6})?")
_INTEGER = re.compile(rb"-?[0-9]{1,9}")
_REQUIRED = (b"c", b"t", b"d", b"volume", b"units", b"shard", b"hosts")
_KNOWN = frozenset((*_REQUIRED, b"k", b"r"))


class InvalidCommandError(Exception):
    """An invalid command; the text tells the client what is wrong."""


@dataclass(frozen=True, slots=True)
class Request:
    """One request.  `patience_ms` is how long its client will wait, counted from when it sent the request."""

    volume: str
    key: str
    shard: int
    request_class: int
    units: float
    plan: int
    dispatcher_count: int
    idempotency_key: str
    name: str  # the client's request id
    patience_ms: float
    words: tuple[bytes, ...]  # of the command, unchanged
    before: bytes  # the part of NAMES before `d`
    after: bytes  # the part of NAMES after the value of `d`

    def command(self, wait_ms: float) -> bytes:
        """Encode it for a storage server; `wait_ms` is how long the dispatcher will wait for the answer."""
        names = b"%bd=%d%b" % (self.before, max(1, round(wait_ms)), self.after)
        return codec.command(*self.words[:3], names, *self.words[4:])


class CommandReader:
    """Parses commands according to the names and limits in the settings."""

    def __init__(self, settings: Settings, classes: list[str], plans: list[str], shards: int) -> None:
        """`classes` and `plans` are names in the settings' order; `shards` is 0 if the number is unknown."""
        self.settings = settings
        self.classes = {name.encode(): index for index, name in enumerate(classes)}
        self.plans = {name.encode(): index for index, name in enumerate(plans)}
        self.shards = shards

    def read(self, words: list[bytes]) -> Request:
        """Parse an IO command.  Raises InvalidCommandError."""
        is_write = words[0] == WRITE
        if len(words) != (5 if is_write else 4):
            raise InvalidCommandError("wrong number of words")
        if not _HEX.fullmatch(words[1]):
            raise InvalidCommandError("the piece is not 16 hex digits")
        if not _HEX.fullmatch(words[2]):
            raise InvalidCommandError("the id is not 16 hex digits")
        value: dict[bytes, bytes] = {}
        for pair in words[3].split(b","):
            name, equals, text = pair.partition(b"=")
            if not equals or name not in _KNOWN or name in value:
                raise InvalidCommandError(f"unexpected {pair[:32].decode('ascii', 'replace')!r}")
            value[name] = text
        for name in _REQUIRED:
            if name not in value:
                raise InvalidCommandError(f"{name.decode()} is missing")
        index = self.classes.get(value[b"c"])
        if index is None:
            raise InvalidCommandError("unknown class")
        plan = self.plans.get(value[b"t"])
        if plan is None:
            raise InvalidCommandError("unknown plan")
        cls = self.settings.classes[index]
        if cls.is_write != is_write:
            raise InvalidCommandError("the class does not go with the command")
        key = value.get(b"k", b"")
        if cls.idempotency is Idempotency.KEYED and not _HEX.fullmatch(key):
            raise InvalidCommandError("k is not 16 hex digits")
        if cls.idempotency is not Idempotency.KEYED and b"k" in value:
            raise InvalidCommandError("k in a class without keys")
        if not _HEX.fullmatch(value[b"volume"]):
            raise InvalidCommandError("volume is not 16 hex digits")
        if value.get(b"r", b"1") not in (b"0", b"1"):
            raise InvalidCommandError("r is neither 0 nor 1")
        patience = _parse_number(value[b"d"], "d")
        units = _parse_number(value[b"units"], "units")
        if not 0 < units <= self.settings.most_units:
            raise InvalidCommandError("units out of bounds")
        shard = _parse_integer(value[b"shard"], "shard")
        if shard < -1 or (self.shards and shard >= self.shards):
            raise InvalidCommandError("shard out of bounds")
        dispatcher_count = _parse_integer(value[b"hosts"], "hosts")
        if not 1 <= dispatcher_count <= self.settings.hosts:
            raise InvalidCommandError("hosts out of bounds")
        if patience <= 0:
            raise InvalidCommandError("d out of bounds")
        before, _, rest = (b"," + words[3]).partition(b",d=")
        # The scheduler learns a class's full patience from its clients.  If one client sent hours, every
        # other client of the class would look as if it had already waited for hours.
        patience = min(patience, cls.deadline_ms)
        return Request(
            volume=value[b"volume"].decode(),
            key=words[1].decode(),
            shard=shard,
            request_class=index,
            units=units,
            plan=plan,
            dispatcher_count=dispatcher_count,
            idempotency_key=key.decode(),
            name=words[2].decode(),
            patience_ms=patience,
            words=tuple(words),
            before=before[1:] + b"," if before else b"",
            after=rest[len(value[b"d"]) :],
        )


def _parse_number(text: bytes, name: str) -> float:
    if not _NUMBER.fullmatch(text):
        raise InvalidCommandError(f"{name} is not a number")
    return float(text)


def _parse_integer(text: bytes, name: str) -> int:
    if not _INTEGER.fullmatch(text):
        raise InvalidCommandError(f"{name} is not a whole number")
    return int(text)
