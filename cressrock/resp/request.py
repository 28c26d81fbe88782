"""A client's command as a request for the scheduler, and as the command that a storage server gets.  Pure.

    IO.IN PIECE ID NAMES          reads
    IO.OUT PIECE ID NAMES BODY    writes

NAMES is a list of name=value pairs set apart by commas.  A storage server takes only what a client may send,
so whatever is odd in a command is found here, before it is taken.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from cressrock.interface import Idempotency, Settings
from cressrock.resp import codec

READ, WRITE = b"IO.IN", b"IO.OUT"
_HEX = re.compile(rb"[0-9a-f]{16}")
_NUMBER = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,6})?")
_WHOLE = re.compile(rb"-?[0-9]{1,9}")
_NEEDED = (b"c", b"t", b"d", b"volume", b"units", b"shard", b"hosts")
_KNOWN = frozenset((*_NEEDED, b"k", b"r"))


class InvalidCommandError(Exception):
    """A command that is none; the text says what is wrong with it, for its client."""


@dataclass(frozen=True, slots=True)
class Request:
    """One request.  `patience_ms` is what its client has left, counted from its sending."""

    volume: str
    key: str
    shard: int
    request_class: int
    units: float
    plan: int
    writers: int
    idempotency_key: str
    name: str  # the id that its client gave
    patience_ms: float
    words: tuple[bytes, ...]  # as they came
    before: bytes  # the names up to the value of `d`, and from there on
    after: bytes

    def command(self, wait_ms: float) -> bytes:
        """Write it for a storage server, with the time in milliseconds that the dispatcher will wait."""
        names = b"%bd=%d%b" % (self.before, max(1, round(wait_ms)), self.after)
        return codec.command(*self.words[:3], names, *self.words[4:])


class Reader:
    """Reads commands by the settings' names and bounds."""

    def __init__(self, settings: Settings, classes: list[str], plans: list[str], shards: int) -> None:
        """`classes` and `plans` are names in the settings' order; `shards` 0: their number is not told."""
        self.settings = settings
        self.classes = {name.encode(): index for index, name in enumerate(classes)}
        self.plans = {name.encode(): index for index, name in enumerate(plans)}
        self.shards = shards

    def read(self, words: list[bytes]) -> Request:
        """Read an IO command.  Raises Refused."""
        writes = words[0] == WRITE
        if len(words) != (5 if writes else 4):
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
        for name in _NEEDED:
            if name not in value:
                raise InvalidCommandError(f"{name.decode()} is missing")
        index = self.classes.get(value[b"c"])
        if index is None:
            raise InvalidCommandError("unknown class")
        plan = self.plans.get(value[b"t"])
        if plan is None:
            raise InvalidCommandError("unknown plan")
        cls = self.settings.classes[index]
        if cls.is_write != writes:
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
        patience = _number(value[b"d"], "d")
        units = _number(value[b"units"], "units")
        if not 0 < units <= self.settings.most_units:
            raise InvalidCommandError("units out of bounds")
        shard = _whole(value[b"shard"], "shard")
        if shard < -1 or (self.shards and shard >= self.shards):
            raise InvalidCommandError("shard out of bounds")
        writers = _whole(value[b"hosts"], "hosts")
        if not 1 <= writers <= self.settings.hosts:
            raise InvalidCommandError("hosts out of bounds")
        if patience <= 0:
            raise InvalidCommandError("d out of bounds")
        before, _, rest = (b"," + words[3]).partition(b",d=")
        # Danger: the scheduler learns a class's whole patience from its clients; one that names hours would
        # make every other client look like one that has waited for hours.
        patience = min(patience, cls.deadline_ms)
        return Request(
            volume=value[b"volume"].decode(),
            key=words[1].decode(),
            shard=shard,
            request_class=index,
            units=units,
            plan=plan,
            writers=writers,
            idempotency_key=key.decode(),
            name=words[2].decode(),
            patience_ms=patience,
            words=tuple(words),
            before=before[1:] + b"," if before else b"",
            after=rest[len(value[b"d"]) :],
        )


def _number(text: bytes, name: str) -> float:
    if not _NUMBER.fullmatch(text):
        raise InvalidCommandError(f"{name} is not a number")
    return float(text)


def _whole(text: bytes, name: str) -> int:
    if not _WHOLE.fullmatch(text):
        raise InvalidCommandError(f"{name} is not a whole number")
    return int(text)
