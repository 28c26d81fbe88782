"""Gossip entries beside the room directory: that a gateway runs presence, and the volumes it serves."""

from __future__ import annotations

import msgspec

from cressrock.errors.gossip import GossipError
from cressrock.presence.environment import ServiceContext
from cressrock.presence.liveness import GatewayState
from cressrock.presence.messages import FORMAT

PRESENT_KEY = "presence-on"
VOLUMES_KEY_PREFIX = "presence-carries/"
MAX_CHUNK_BYTES = 560  # limit for the volume names in one gossip entry
MAX_CHUNKS = 32


class VolumeCarrier(msgspec.Struct, frozen=True):
    """A gateway that served a volume recently; `sure` if it is alive with the same incarnation."""

    gateway: str
    sure: bool


class GossipEntries:
    """Publishes this gateway's entries, and reads the volumes from those of others."""

    def __init__(self, context: ServiceContext) -> None:
        """A volume counts as served for `carries_ms` after its last request."""
        self.rejected = 0  # own entries that the gossip rejected
        self._environment, self._carries_ms = context.environment, context.settings.carries_ms
        self._served_at_ms: dict[str, float] = {}
        self._published: tuple[bytes, ...] = ()

    def publish(self, key: str, value: bytes | None) -> None:
        """Set an own entry, or remove it (None).  Rejections are counted, and the first is logged."""
        try:
            if value is None:
                self._environment.gossip.remove(key)
            else:
                self._environment.gossip.put(key, value)
        except GossipError as error:
            self.rejected += 1
            if self.rejected == 1:
                self._environment.log.warning("presence.gossip_rejected", key=key, **error.fields())

    def announce(self) -> None:
        """Publish that this gateway runs presence."""
        self.publish(PRESENT_KEY, bytes((FORMAT,)))

    def announcing_gateways(self) -> set[str]:
        """Return the names of the gateways that have published that they run presence."""
        return {origin[0] for origin in self._environment.gossip.origins(PRESENT_KEY)}

    def record_served_volume(self, volume: str) -> None:
        """Record that this gateway has just served a request for a volume."""
        self._served_at_ms[volume] = self._environment.clock_ms()

    def publish_volumes(self) -> None:
        """Publish the entries whose lists of recently served volumes have changed."""
        clock_ms = self._environment.clock_ms()
        for volume, served_at_ms in list(self._served_at_ms.items()):
            if clock_ms - served_at_ms > self._carries_ms:
                del self._served_at_ms[volume]
        chunks = _chunks(sorted(self._served_at_ms))
        for index in range(max(len(chunks), len(self._published))):
            before = self._published[index] if index < len(self._published) else None
            value = chunks[index] if index < len(chunks) else None
            if value != before:
                self.publish(f"{VOLUMES_KEY_PREFIX}{index}", value)
        self._published = chunks

    def carriers(self, volume: str | None = None) -> dict[str, list[VolumeCarrier]]:
        """Return the gateways that served each volume recently; with `volume`, only those of this volume."""
        own_name = self._environment.name
        others = {gateway.name: gateway for gateway in self._environment.other_gateways()}
        carriers: dict[str, list[VolumeCarrier]] = {}
        for index in range(MAX_CHUNKS):
            entries = self._environment.gossip.values(f"{VOLUMES_KEY_PREFIX}{index}")
            for (name, incarnation), value in sorted(entries.items()):
                other = others.get(name)
                is_alive = other is not None and other.state is GatewayState.ALIVE
                same_incarnation = other is not None and other.incarnation == incarnation
                carrier = VolumeCarrier(name, name == own_name or (is_alive and same_incarnation))
                for served in value.decode(errors="replace").split("\n"):
                    if volume is None or served == volume:
                        carriers.setdefault(served, []).append(carrier)
        return carriers


def _chunks(volumes: list[str]) -> tuple[bytes, ...]:
    """Return volume names, one per line, in at most MAX_CHUNKS entries of up to MAX_CHUNK_BYTES.

    Names beyond that are left out; a single longer name has an entry of its own.
    """
    chunks: list[bytes] = []
    for volume in volumes:
        name = volume.encode()
        if chunks and len(chunks[-1]) + len(name) + 1 <= MAX_CHUNK_BYTES:
            chunks[-1] += b"\n" + name
        else:
            chunks.append(name)
    return tuple(chunks[:MAX_CHUNKS])
