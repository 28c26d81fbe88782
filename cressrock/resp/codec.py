"""RESP2 on a byte stream, for client and server.  Pure: bytes in, commands or replies out.

The format is the Redis serialization protocol specification, version 2.  Input is untrusted.  Every announced
length is checked against its limit as soon as its digits are read, before any of the payload is kept, so a
parser never buffers more than one command or reply and one read of the socket.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_VALUE_BYTES = 65536  # bytes of a value; the platform's limit
MAX_WORD_BYTES = 512  # of any other word of a command
MAX_WORDS = 8  # in a command
MAX_LINE_BYTES = 512  # of a line: error and status texts, announced lengths
MAX_ARRAY_ITEMS = 8  # in an array of a reply
MAX_LENGTH_DIGITS = 8  # in an announced length
MIN_VIEW_BYTES = 1024  # of a string for which a view costs less than a copy

CRLF = b"\r\n"


class ProtocolError(Exception):
    """Input that is not RESP2 or exceeds a limit; the rest of the stream cannot be parsed."""


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """An error reply, without its leading `-`."""

    text: str


@dataclass(frozen=True, slots=True)
class StatusReply:
    """A status reply, without its leading `+`."""

    text: str


Reply = bytes | None | int | ErrorReply | StatusReply | list["Reply"]


class _IncompleteMessageError(Exception):
    """The buffer must hold `needed_bytes` in all, as far as is known, before parsing can go on."""

    def __init__(self, needed_bytes: int) -> None:
        self.needed_bytes = needed_bytes


class _Parser:
    """The shared buffer.  An incomplete message is parsed again from its start once enough bytes arrive."""

    def __init__(self, max_value_bytes: int = MAX_VALUE_BYTES) -> None:
        """Start at the beginning of a stream.  `max_value_bytes` limits the length of one string."""
        self.max_value_bytes = max_value_bytes
        self._buffer = bytearray()
        self._position = 0
        self._needed_bytes = 1

    @property
    def is_partial(self) -> bool:
        """Whether the buffer holds an incomplete message."""
        return bool(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """How many bytes the buffer holds."""
        return len(self._buffer)

    @property
    def needed_bytes(self) -> int:
        """How many bytes the message at the start of the buffer has, as far as is known."""
        return self._needed_bytes

    def _consume(self, size: int) -> None:
        """Remove bytes from the start of the buffer.

        An emptied bytearray keeps a small part of its allocation, so the heap could not reuse the place of a
        long value for the next one, and would grow with each.
        """
        if size == len(self._buffer):
            self._buffer = bytearray()
        else:
            del self._buffer[:size]

    def _line(self) -> bytes:
        """Consume a line and return it without its CRLF."""
        end = self._buffer.find(CRLF, self._position, self._position + MAX_LINE_BYTES + 2)
        if end < 0:
            if len(self._buffer) - self._position >= MAX_LINE_BYTES + 2:
                raise ProtocolError(f"a line of over {MAX_LINE_BYTES} bytes")
            raise _IncompleteMessageError(len(self._buffer) + 1)
        line = bytes(self._buffer[self._position : end])
        self._position = end + 2
        return line

    def _length(self, line: bytes, max_length: int, kind: str) -> int:
        """Parse an announced length; -1 means null."""
        digits = line[1:]
        if digits == b"-1":
            return -1
        if not digits.isdigit() or len(digits) > MAX_LENGTH_DIGITS or int(digits) > max_length:
            raise ProtocolError(
                f"{kind} of {digits[:24].decode('ascii', 'replace')!r}; at most {max_length} is taken"
            )
        return int(digits)

    def _bulk(self, length: int) -> bytes:
        """Consume a bulk string of a checked length and its CRLF."""
        end = self._position + length
        if len(self._buffer) < end + 2:
            # Detect a wrong length early: the one byte after the value is enough.
            if len(self._buffer) > end and self._buffer[end] != 13:
                raise ProtocolError("a bulk string longer than announced")
            raise _IncompleteMessageError(end + 2)
        if self._buffer[end : end + 2] != CRLF:
            raise ProtocolError("a bulk string longer than announced")
        start, self._position = self._position, end + 2
        if length < MIN_VIEW_BYTES:
            return bytes(self._buffer[start:end])
        with memoryview(self._buffer) as view:  # a slice of the buffer would be a second copy
            return bytes(view[start:end])


class CommandParser(_Parser):
    """Parses what a client sends: commands as arrays of bulk strings."""

    has_more = False  # the last call reached `max_commands`; call `feed(b"")` to go on
    _words: list[bytes] | None = None  # of an incomplete command, if only its value has not arrived
    _discarded_words: list[bytes] | None = None  # of a command whose value is being discarded
    _discard_bytes = 0  # that are still to be discarded

    @property
    def is_partial(self) -> bool:
        """Whether an incomplete command has arrived."""
        return bool(self._buffer) or self._discard_bytes > 0

    @property
    def is_discarding(self) -> bool:
        """Whether the value that is arriving is discarded."""
        return self._discard_bytes > 0

    @property
    def missing_bytes(self) -> int:
        """How many more bytes the command that is arriving has, as far as is known."""
        return self._discard_bytes or self._needed_bytes - len(self._buffer)

    @property
    def words_before_value(self) -> list[bytes]:
        """The words of the incomplete command if only its last one has not arrived, else none."""
        return self._words or []

    def discard_value(self) -> bool:
        """Discard the value that is arriving instead of buffering it; return False if none is arriving.

        Once all of it has arrived, `take_discarded` returns the command without its value.
        """
        missing_bytes = self._needed_bytes - len(self._buffer)
        if self._words is None or missing_bytes <= 0:
            return False
        self._discarded_words, self._words = self._words, None
        self._discard_bytes = missing_bytes
        self._consume(len(self._buffer))
        self._needed_bytes = 1
        return True

    def take_discarded(self) -> list[bytes] | None:
        """Return the words of a command whose value was discarded, once; None until all has arrived.

        It came ahead of all commands that the last call of `feed` returned.
        """
        if self._discard_bytes:
            return None
        words, self._discarded_words = self._discarded_words, None
        return words

    def feed(
        self, data: bytes, max_commands: int = 1 << 30
    ) -> tuple[list[list[bytes]], ProtocolError | None]:
        """Add bytes; return up to `max_commands` complete commands, and the error in the rest, if any.

        After a ProtocolError `feed` must not be called again.
        """
        if self._discard_bytes:
            discarded = min(self._discard_bytes, len(data))
            self._discard_bytes -= discarded
            data = data[discarded:]
        self._buffer += data
        self.has_more = False
        commands: list[list[bytes]] = []
        if len(self._buffer) < self._needed_bytes:
            return commands, None
        start = 0
        try:
            while start < len(self._buffer):
                if len(commands) >= max_commands:
                    self.has_more = True
                    break
                self._position = start
                commands.append(self._command())
                self._words = None
                start = self._position
            self._needed_bytes = 1
        except _IncompleteMessageError as exc:
            self._needed_bytes = exc.needed_bytes - start
        except ProtocolError as exc:
            self._consume(len(self._buffer))
            return commands, exc
        self._consume(start)
        return commands, None

    def _command(self) -> list[bytes]:
        if self._buffer[self._position] != 42:  # "*"
            raise ProtocolError("expected an array of bulk strings")
        count = self._length(self._line(), MAX_WORDS, "a command")
        if count < 1:
            raise ProtocolError("an empty command")
        words: list[bytes] = []
        for _ in range(count):
            if self._position >= len(self._buffer):
                raise _IncompleteMessageError(len(self._buffer) + 1)
            if self._buffer[self._position] != 36:  # "$"
                raise ProtocolError("expected a bulk string")
            # Only the last word of a command may be a value.
            limit = self.max_value_bytes if len(words) == count - 1 and count > 1 else MAX_WORD_BYTES
            length = self._length(self._line(), limit, "a bulk string")
            if length < 0:
                raise ProtocolError("a null word")
            if len(words) == count - 1:
                self._words = words
            words.append(self._bulk(length))
        return words


class ReplyParser(_Parser):
    """Parses what a server sends: one reply for each command."""

    def feed(self, data: bytes) -> None:
        """Add bytes to the buffer."""
        self._buffer += data

    def next(self) -> tuple[Reply] | None:
        """Return the next reply in a 1-tuple, or None while it is incomplete.  Raises ProtocolError."""
        if len(self._buffer) < self._needed_bytes or not self._buffer:
            return None
        self._position = 0
        try:
            reply = self._reply(0)
        except _IncompleteMessageError as exc:
            self._needed_bytes = exc.needed_bytes
            return None
        self._needed_bytes = 1
        self._consume(self._position)
        return (reply,)

    def _reply(self, depth: int) -> Reply:
        if self._position >= len(self._buffer):
            raise _IncompleteMessageError(len(self._buffer) + 1)
        type_byte = self._buffer[self._position]
        if type_byte not in b"$*+-:":
            raise ProtocolError(f"a reply cannot begin with {chr(type_byte)!r}")
        line = self._line()
        if type_byte == 36:  # "$"
            length = self._length(line, self.max_value_bytes, "a bulk string")
            return None if length < 0 else self._bulk(length)
        if type_byte == 42:  # "*"
            count = self._length(line, MAX_ARRAY_ITEMS, "an array")
            if count > 0 and depth:
                raise ProtocolError("an array in an array")
            return None if count < 0 else [self._reply(depth + 1) for _ in range(count)]
        text = line[1:].decode("ascii", "replace")
        if type_byte == 43:  # "+"
            return StatusReply(text)
        if type_byte == 45:  # "-"
            return ErrorReply(text)
        digits = line[1:].removeprefix(b"-")
        if not digits.isdigit() or len(digits) > 18:
            raise ProtocolError("an integer that is none")
        return int(line[1:])


def command(*words: bytes) -> bytes:
    """Encode a command."""
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        parts.append(b"$%d\r\n%b\r\n" % (len(word), word))
    return b"".join(parts)


def bulk(value: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def error(text: str) -> bytes:
    """Encode an error reply; CR and LF in the text become spaces, since they would end the line early."""
    return b"-%b\r\n" % text.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ")


def status(text: str) -> bytes:
    """Encode a status reply."""
    return b"+%b\r\n" % text.encode("ascii", "replace")
