"""Full exchange with one member over a stream: all membership updates and, if requested, the gossip state.

This module only encodes, decodes and forwards the parts; the membership decides when to run an exchange.
"""

from __future__ import annotations

from collections.abc import Callable

from cressrock.errors.membership import MalformedPacketError, PacketTooLargeError, StateExchangeError
from cressrock.gossip.anti_entropy import AntiEntropy
from cressrock.gossip.reconciliation import Cursor
from cressrock.http.channel import Stream
from cressrock.membership.membership import Membership
from cressrock.membership.packets import (
    FRAME_LENGTH_BYTES,
    MAX_FRAME_BYTES,
    ExchangePart,
    decode,
    encode,
    encode_frame,
)

STATE_PART_BYTES = MAX_FRAME_BYTES // 2
MAX_READ_BYTES = 65536


class StateExchange:
    """Sends and receives the parts of exchanges for one process."""

    def __init__(
        self,
        membership: Membership,
        anti_entropy: AntiEntropy,
        clock: Callable[[], float],
        max_parts: int,
    ) -> None:
        """`max_parts` limits the parts accepted from a peer in one exchange; `clock` returns ms."""
        self._membership = membership
        self._anti_entropy = anti_entropy
        self._clock = clock
        self._max_parts = max_parts

    async def send(self, stream: Stream, *, with_gossip_state: bool) -> None:
        """Send all membership updates and, if requested, the gossip state."""
        cluster, local = self._membership.settings.cluster, self._membership.local
        for part in self._parts(with_gossip_state=with_gossip_state):
            packet = encode(cluster, local.name, local.process_incarnation, part)
            await stream.send(encode_frame(packet))

    def _parts(self, *, with_gossip_state: bool) -> list[ExchangePart]:
        """Return a snapshot of all parts; changes made while they are sent wait for the next exchange."""
        parts = [
            ExchangePart(updates, with_gossip_state=with_gossip_state)
            for updates in self._membership.state_batches()
        ]
        cursor: Cursor | None = None
        has_more = with_gossip_state
        while has_more:
            data, cursor = self._anti_entropy.store.full_state(cursor, STATE_PART_BYTES)
            parts.append(ExchangePart(gossip_state=data, with_gossip_state=True))
            has_more = cursor is not None
        parts.append(ExchangePart(last=True))
        return parts

    async def receive(self, stream: Stream) -> bool:
        """Read and merge the peer's parts up to the last; returns whether the peer requests the gossip state.

        Raises a DatagramError for data that cannot be decoded, or StateExchangeError if `max_parts` parts
        arrive without a last one.
        """
        frames = _FrameReader(stream)
        with_gossip_state = False
        for _ in range(self._max_parts):
            packet = decode(await frames.next(), self._membership.settings.cluster, MAX_FRAME_BYTES)
            part = packet.body
            if not isinstance(part, ExchangePart):
                raise MalformedPacketError(f"unexpected {type(part).__name__} among the parts of an exchange")
            self._membership.merge_remote_state(self._clock(), packet.sender, part.updates)
            if part.gossip_state:
                self._anti_entropy.merge_full_state(part.gossip_state)
            with_gossip_state = with_gossip_state or part.with_gossip_state
            if part.last:
                return with_gossip_state
        raise StateExchangeError(
            f"received {self._max_parts} parts of an exchange, and none is marked as last"
        )


class _FrameReader:
    """Splits a byte stream into length-prefixed frames."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def next(self) -> bytes:
        """Return the packet of the next frame.  Raises PacketTooLargeError if the frame is too long."""
        while True:
            if len(self._buffer) >= FRAME_LENGTH_BYTES:
                size = int.from_bytes(self._buffer[:FRAME_LENGTH_BYTES], "big")
                if size > MAX_FRAME_BYTES:
                    raise PacketTooLargeError(
                        f"frame of {size} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
                    )
                end = FRAME_LENGTH_BYTES + size
                if len(self._buffer) >= end:
                    packet = bytes(self._buffer[FRAME_LENGTH_BYTES:end])
                    del self._buffer[:end]
                    return packet
            self._buffer += await self._stream.receive(MAX_READ_BYTES)
