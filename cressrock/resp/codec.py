"""RESP2 on a byte stream, for either role.  Pure: bytes in, commands or replies out.

Form: the Redis serialization protocol specification, version 2.  A peer may send anything.  Every length is
held against its bound when its digits are read, before a byte of what it announces is kept, so that what a
parser holds stays under one command or reply and one read of the socket.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_VALUE = 65536  # bytes of a value: the platform's bound
MAX_WORD = 512  # bytes of any other word of a command
MAX_WORDS = 8  # of a command
MAX_LINE = 512  # bytes of a line: error and status texts, announced lengths
MAX_PARTS = 8  # of an array in a reply
MAX_LENGTH_DIGITS = 8  # of an announced length

CRLF = b"\r\n"


class ProtocolError(Exception):
    """Bytes that are not RESP2 or pass a bound; nothing after them on the stream can be read."""


@dataclass(frozen=True, slots=True)
class ErrorLine:
    """An error reply, without its sign."""

    text: str


@dataclass(frozen=True, slots=True)
class Status:
    """A status reply, without its sign."""

    text: str


Reply = bytes | None | int | ErrorLine | Status | list["Reply"]


class _IncompleteMessageError(Exception):
    """More bytes are needed: so many in all, as far as is known."""

    def __init__(self, need: int) -> None:
        self.need = need


class _Parser:
    """The buffer both roles share.  A message that is not whole is parsed anew once enough has come."""

    def __init__(self, max_value: int = MAX_VALUE) -> None:
        """Start at the beginning of a stream.  `max_value` bounds its largest string, in bytes."""
        self.max_value = max_value
        self._buffer = bytearray()
        self._at = 0
        self._need = 1

    @property
    def partial(self) -> bool:
        """Whether bytes wait that do not make up a whole message yet."""
        return bool(self._buffer)

    def _line(self) -> bytes:
        """Take a line, without its end."""
        end = self._buffer.find(CRLF, self._at, self._at + MAX_LINE + 2)
        if end < 0:
            if len(self._buffer) - self._at >= MAX_LINE + 2:
                raise ProtocolError(f"a line of over {MAX_LINE} bytes")
            raise _IncompleteMessageError(len(self._buffer) + 1)
        line = bytes(self._buffer[self._at : end])
        self._at = end + 2
        return line

    def _length(self, line: bytes, most: int, what: str) -> int:
        """Read an announced length; -1 stands for null."""
        digits = line[1:]
        if digits == b"-1":
            return -1
        if not digits.isdigit() or len(digits) > MAX_LENGTH_DIGITS or int(digits) > most:
            raise ProtocolError(
                f"{what} of {digits[:24].decode('ascii', 'replace')!r}; at most {most} is taken"
            )
        return int(digits)

    def _bulk(self, length: int) -> bytes:
        """Take a bulk string of a length that was checked, and the end of its line."""
        end = self._at + length
        if len(self._buffer) < end + 2:
            # A mismatch shows as soon as the bytes are there; one byte behind the value is enough for it.
            if len(self._buffer) > end and self._buffer[end] != 13:
                raise ProtocolError("a bulk string longer than announced")
            raise _IncompleteMessageError(end + 2)
        if self._buffer[end : end + 2] != CRLF:
            raise ProtocolError("a bulk string longer than announced")
        value = bytes(self._buffer[self._at : end])
        self._at = end + 2
        return value


class Commands(_Parser):
    """What a server reads: commands as arrays of bulk strings."""

    more = False  # the last call stopped at its bound: `feed(b"")` goes on

    def feed(self, data: bytes, most: int = 1 << 30) -> tuple[list[list[bytes]], ProtocolError | None]:
        """Take bytes; return up to `most` commands that are whole now, and what made the rest unreadable.

        After a Malformed nothing more may be fed.
        """
        self._buffer += data
        self.more = False
        found: list[list[bytes]] = []
        if len(self._buffer) < self._need:
            return found, None
        start = 0
        try:
            while start < len(self._buffer):
                if len(found) >= most:
                    self.more = True
                    break
                self._at = start
                found.append(self._command())
                start = self._at
            self._need = 1
        except _IncompleteMessageError as short:
            self._need = short.need - start
        except ProtocolError as wrong:
            self._buffer.clear()
            return found, wrong
        del self._buffer[:start]
        return found, None

    def _command(self) -> list[bytes]:
        if self._buffer[self._at] != 42:  # "*"
            raise ProtocolError("expected an array of bulk strings")
        count = self._length(self._line(), MAX_WORDS, "a command")
        if count < 1:
            raise ProtocolError("an empty command")
        words: list[bytes] = []
        for _ in range(count):
            if self._at >= len(self._buffer):
                raise _IncompleteMessageError(len(self._buffer) + 1)
            if self._buffer[self._at] != 36:  # "$"
                raise ProtocolError("expected a bulk string")
            # Only the last of a command's words may be a value.
            most = self.max_value if len(words) == count - 1 and count > 1 else MAX_WORD
            length = self._length(self._line(), most, "a bulk string")
            if length < 0:
                raise ProtocolError("a null word")
            words.append(self._bulk(length))
        return words


class Replies(_Parser):
    """What a client reads: replies, one for each command."""

    def feed(self, data: bytes) -> None:
        """Take bytes."""
        self._buffer += data

    def next(self) -> tuple[Reply] | None:
        """Return the next whole reply in a tuple, None if it is not whole yet.  Raises Malformed."""
        if len(self._buffer) < self._need or not self._buffer:
            return None
        self._at = 0
        try:
            reply = self._reply(0)
        except _IncompleteMessageError as short:
            self._need = short.need
            return None
        self._need = 1
        del self._buffer[: self._at]
        return (reply,)

    def _reply(self, depth: int) -> Reply:
        if self._at >= len(self._buffer):
            raise _IncompleteMessageError(len(self._buffer) + 1)
        sign = self._buffer[self._at]
        if sign not in b"$*+-:":
            raise ProtocolError(f"a reply cannot begin with {chr(sign)!r}")
        line = self._line()
        if sign == 36:  # "$"
            length = self._length(line, self.max_value, "a bulk string")
            return None if length < 0 else self._bulk(length)
        if sign == 42:  # "*"
            count = self._length(line, MAX_PARTS, "an array")
            if count > 0 and depth:
                raise ProtocolError("an array in an array")
            return None if count < 0 else [self._reply(depth + 1) for _ in range(count)]
        text = line[1:].decode("ascii", "replace")
        if sign == 43:  # "+"
            return Status(text)
        if sign == 45:  # "-"
            return ErrorLine(text)
        digits = line[1:].removeprefix(b"-")
        if not digits.isdigit() or len(digits) > 18:
            raise ProtocolError("an integer that is none")
        return int(line[1:])


def command(*words: bytes) -> bytes:
    """Write a command."""
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        parts.append(b"$%d\r\n%b\r\n" % (len(word), word))
    return b"".join(parts)


def bulk(value: bytes) -> bytes:
    """Write a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def error(text: str) -> bytes:
    """Write an error reply; what could end its line early is taken out."""
    return b"-%b\r\n" % text.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ")


def status(text: str) -> bytes:
    """Write a status reply."""
    return b"+%b\r\n" % text.encode("ascii", "replace")
