"""One gateway's presence service: connects its rooms to streams, gossip, agreed names and the admin port.

The rooms and `liveness` decide what to send and which gateways are considered alive.
"""

from __future__ import annotations

import anyio
from anyio.abc import TaskGroup, TaskStatus

from cressrock.consensus.decisions import Decision
from cressrock.errors.presence import PresenceError
from cressrock.gossip.change_log import EVERYTHING_CHANGED
from cressrock.gossip.messages import Origin as GossipOrigin
from cressrock.http.channel import Stream
from cressrock.http.server import Exchange
from cressrock.presence.admin_port import AdminPort
from cressrock.presence.answers import Answer
from cressrock.presence.directory import BUCKETS, KEY_PREFIX
from cressrock.presence.environment import PresenceEnvironment, ServiceContext
from cressrock.presence.gossip_entries import GossipEntries
from cressrock.presence.liveness import AwakeClock
from cressrock.presence.messages import Origin
from cressrock.presence.name_claims import NameClaims
from cressrock.presence.peer_streams import PeerStreams
from cressrock.presence.recovery import SessionRecovery
from cressrock.presence.regional_replicas import RegionalReplicas
from cressrock.presence.rooms import Rooms
from cressrock.presence.settings import RoomSettings, ServiceSettings
from cressrock.presence.watches import Watches

SESSION_KEY_BYTES = 16
TICKS_PER_SILENT_TIME = 8  # the loop runs this often within `silent_ms`


class PresenceService:
    """One gateway's presence.  `serve` accepts other gateways' streams, `handle` admin requests."""

    def __init__(
        self, settings: ServiceSettings, room_settings: RoomSettings, environment: PresenceEnvironment
    ) -> None:
        """Create the service's parts; no task is started before `run`."""
        self.settings, self.environment = settings, environment
        origin = Origin(environment.name, environment.incarnation)
        self.rooms = Rooms(origin, room_settings, environment.rng.randbytes(SESSION_KEY_BYTES))
        context = ServiceContext(
            settings, environment, self.rooms, self.now_ms, self._flush_outputs, self._wake_loop
        )
        self.streams = PeerStreams(context)
        self.admin = self._admin_port(context)
        self._clock = AwakeClock(environment.clock_ms(), room_settings.silent_ms / 2)
        self._wake = anyio.Event()
        self._has_unpublished = anyio.Event()

    def _admin_port(self, context: ServiceContext) -> AdminPort:
        self._entries = GossipEntries(context)
        self._names = NameClaims(context)
        self._watches = Watches(context)
        replicas = RegionalReplicas(context, self.streams)
        recovery = SessionRecovery(context, self.streams, replicas, self._watches)
        return AdminPort(context, self._entries, self._names, replicas, recovery, self._watches)

    def now_ms(self) -> float:
        """Return the rooms' time in ms, which excludes pauses of this process."""
        return self._clock.now_ms(self.environment.clock_ms())

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Announce this gateway and run the service until cancelled."""
        self._entries.announce()
        async with anyio.create_task_group() as tasks:
            self._load_directory()
            tasks.start_soon(self._run_publishing)
            tasks.start_soon(self._names.run_dropping)
            task_status.started()
            await self._run_ticks(tasks)

    async def _run_ticks(self, tasks: TaskGroup) -> None:
        pause_s = self.rooms.settings.silent_ms / TICKS_PER_SILENT_TIME / 1000
        while True:
            now_ms = self.now_ms()
            self.rooms.tick(now_ms)
            self._names.drop_abandoned()
            self._entries.publish_volumes()
            self._flush_outputs()
            self.streams.connect_missing(tasks, now_ms)
            self._wake = anyio.Event()
            with anyio.move_on_after(pause_s * self.environment.rng.uniform(0.9, 1.1)):
                await self._wake.wait()

    async def _run_publishing(self) -> None:
        """Send changes to subscribers, delayed by `tell_ms` so that several changes share one message."""
        while True:
            await self._has_unpublished.wait()
            await anyio.sleep(self.settings.tell_ms / 1000)
            self._has_unpublished = anyio.Event()
            self.rooms.publish_changes()
            self._flush_outputs()

    def end_sessions(self) -> None:
        """End all sessions; called in an orderly shutdown, before leaving the fleet."""
        self.rooms.close(self.now_ms())
        self.rooms.publish_changes()
        self._flush_outputs()

    def _wake_loop(self) -> None:
        self._wake.set()

    def _flush_outputs(self) -> None:
        """Send the rooms' pending messages, publish their gossip entries, and wake watchers."""
        for to, message in self.rooms.drain_outgoing():
            self.streams.send(to, message)
        for key, value in self.rooms.drain_directory_updates():
            self._entries.publish(key, value)
        if self.rooms.has_unpublished_changes:
            self._has_unpublished.set()
        self._watches.notify(self.rooms.drain_changed_rooms())
        for released in self.rooms.drain_released_names():
            self._names.give_up(*released)

    # --- notifications from the process

    def on_gossip_change(self, origin: GossipOrigin, key: str) -> None:
        """Apply a changed gossip entry; keys that are not of presence's directory are ignored."""
        if (origin, key) == EVERYTHING_CHANGED:
            self._load_directory()
        elif key.startswith(KEY_PREFIX):
            value = self.environment.gossip.value_of(key, origin)
            self.rooms.receive_directory_entry(self.now_ms(), Origin(*origin), key, value)
            self._flush_outputs()

    def _load_directory(self) -> None:
        for bucket in range(BUCKETS):
            key = f"{KEY_PREFIX}{bucket:02x}"
            for origin, value in self.environment.gossip.values(key).items():
                self.rooms.receive_directory_entry(self.now_ms(), Origin(*origin), key, value)

    def on_decision(self, decision: Decision) -> None:
        """Apply a consensus decision; called for decisions on every topic."""
        self._names.on_decision(decision)

    def record_served_volume(self, volume: str) -> None:
        """Record that this gateway has just served a volume, to be listed as its carrier."""
        self._entries.record_served_volume(volume)

    def record_lock(self, token: str, lock: str, taken: bool) -> None:
        """Record that a session acquired or released a lock through this gateway."""
        try:
            session = self.admin.own_session(token)
            others = [other for other in session.entry.locks if other != lock]
            self.rooms.touch(self.now_ms(), session, locks=[*others, lock] if taken else others)
        except PresenceError as error:
            # The storage node manages the lock itself; only its entry in the room is missing.
            self.environment.log.info("presence.lock_not_recorded", lock=lock, **error.fields())
        self._flush_outputs()

    # --- requests

    async def serve(self, stream: Stream, received: bytes) -> None:
        """Serve another gateway's stream; `received` holds bytes already read after the magic bytes."""
        await self.streams.serve(stream, received)

    async def handle(self, exchange: Exchange) -> None:
        """Answer a request to the admin port under /v1/presence/."""
        await self.admin.handle(exchange)

    def status(self) -> Answer:
        """Return the JSON-compatible `presence` section of the admin port's status."""
        carriers = self._entries.carriers()
        return {
            **self.rooms.counters(),
            "watchers": self._watches.watchers,
            "refused": self.streams.rejected + self._names.rejected,
            "untold": self._entries.rejected,
            "names": self._names.count(),
            "carriers": {volume: [one.gateway for one in gateways] for volume, gateways in carriers.items()},
        }
