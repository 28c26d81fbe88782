"""A full exchange with one member over a stream: all updates, and the gossip's state where it is wanted.

One side sends its parts and reads the other's; neither decides anything.
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
READ_BYTES = 65536


class StateExchange:
    """Sends and receives the parts of exchanges for one process."""

    def __init__(
        self,
        membership: Membership,
        anti_entropy: AntiEntropy,
        clock: Callable[[], float],
        max_parts: int,
    ) -> None:
        """`max_parts` of one side bounds what a peer can make this process take in."""
        self._membership = membership
        self._anti_entropy = anti_entropy
        self._clock = clock
        self._max_parts = max_parts

    async def send(self, stream: Stream, *, with_gossip_state: bool) -> None:
        """Send everything this process knows."""
        cluster, local = self._membership.settings.cluster, self._membership.local
        for part in self._parts(with_gossip_state=with_gossip_state):
            packet = encode(cluster, local.name, local.process_incarnation, part)
            await stream.send(encode_frame(packet))

    def _parts(self, *, with_gossip_state: bool) -> list[ExchangePart]:
        """Return all parts as they are now: what changes while they are sent waits for the next exchange."""
        parts = [
            ExchangePart(updates, with_gossip_state=with_gossip_state)
            for updates in self._membership.state_batches()
        ]
        cursor: Cursor | None = None
        more = with_gossip_state
        while more:
            data, cursor = self._anti_entropy.store.full_state(cursor, STATE_PART_BYTES)
            parts.append(ExchangePart(gossip_state=data, with_gossip_state=True))
            more = cursor is not None
        parts.append(ExchangePart(last=True))
        return parts

    async def receive(self, stream: Stream) -> bool:
        """Read a side's parts to the last; returns whether that side wants the gossip's state.

        Raises a DatagramError for bytes that cannot be read, StateExchangeError where no part is the last.
        """
        frames = _FrameReader(stream)
        with_gossip_state = False
        for _ in range(self._max_parts):
            packet = decode(await frames.next(), self._membership.settings.cluster, MAX_FRAME_BYTES)
            part = packet.body
            if not isinstance(part, ExchangePart):
                raise MalformedPacketError(f"a {type(part).__name__} among an exchange's parts")
            self._membership.merge_remote_state(self._clock(), packet.sender, part.updates)
            if part.gossip_state:
                self._anti_entropy.merge_full_state(part.gossip_state)
            with_gossip_state = with_gossip_state or part.with_gossip_state
            if part.last:
                return with_gossip_state
        raise StateExchangeError(f"{self._max_parts} parts, and none of them the last")


class _FrameReader:
    """Cuts a stream into frames."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def next(self) -> bytes:
        """Return the next frame's packet."""
        while True:
            if len(self._buffer) >= FRAME_LENGTH_BYTES:
                size = int.from_bytes(self._buffer[:FRAME_LENGTH_BYTES], "big")
                if size > MAX_FRAME_BYTES:
                    raise PacketTooLargeError(f"a frame of {size} bytes; at most {MAX_FRAME_BYTES} are taken")
                end = FRAME_LENGTH_BYTES + size
                if len(self._buffer) >= end:
                    packet = bytes(self._buffer[FRAME_LENGTH_BYTES:end])
                    del self._buffer[:end]
                    return packet
            self._buffer += await self._stream.receive(READ_BYTES)
