"""Asks the other gateways of this region to replicate a room, or to look up a member.

A join `near` makes a majority of the region's gateways replicate this gateway's members of the room, so that
the session can continue at another gateway if this one fails.
"""

from __future__ import annotations

from typing import NamedTuple

import anyio
import msgspec

from cressrock.errors.presence import MajorityNotReachedError
from cressrock.presence.environment import ServiceContext
from cressrock.presence.liveness import Gateway, majority_of_region, replica_order
from cressrock.presence.messages import FindMember, Origin, ReplicateRoom
from cressrock.presence.peer_streams import PeerStreams
from cressrock.presence.view import KnownMember

# The first gateways suffice unless one has failed; the others are asked after this fraction of the timeout.
HEDGE_DELAY_FRACTION = 0.25


class NearReplicas(msgspec.Struct, frozen=True):
    """The gateways that have a join, how many are needed, and the number in the region.

    The field names are those of the admin port's JSON.
    """

    have: list[str]
    need: int
    of: int


class ReplicaGoal(NamedTuple):
    """How many other gateways must replicate a room up to a version."""

    room: str
    version: int
    needed: int


class RegionalReplicas:
    """Sends replication and lookup requests to the other gateways of this gateway's region."""

    def __init__(self, context: ServiceContext, streams: PeerStreams) -> None:
        """`streams` sends the requests and returns the replies."""
        self._environment, self._streams = context.environment, streams

    async def replicate(self, room: str, version: int, timeout_ms: float) -> NearReplicas:
        """Wait until a majority of the region's live gateways have this gateway's members up to a version.

        This gateway counts towards the majority. Raises MajorityNotReachedError after `timeout_ms`.
        """
        environment = self._environment
        others = environment.other_gateways()
        needed, total = majority_of_region(environment.region, others)
        have = [environment.name]
        if needed > 1:
            have += await self._collect_replicas(ReplicaGoal(room, version, needed - 1), others, timeout_ms)
        if len(have) < needed:
            raise MajorityNotReachedError(
                f"room {room!r}: {len(have)} of {total} gateways of region {environment.region!r} have it,"
                f" {needed} are needed; heard: {', '.join(have)}"
            )
        return NearReplicas(have, needed, total)

    async def _collect_replicas(
        self, goal: ReplicaGoal, others: list[Gateway], timeout_ms: float
    ) -> list[str]:
        """Return the gateways that have the room, once there are enough or at the timeout."""
        incarnations = {gateway.name: gateway.incarnation for gateway in others}
        have: list[str] = []
        enough = anyio.Event()

        async def request_replica(name: str, delay_ms: float) -> None:
            """Ask a gateway after a delay, and add it to `have` once it confirms."""
            if delay_ms:
                await anyio.sleep(delay_ms / 1000)
            reply = await self._streams.request(
                Origin(name, incarnations[name]),
                lambda number: ReplicateRoom(number, goal.room, goal.version),
                timeout_ms,
            )
            if reply is not None and reply.done:
                have.append(name)
                if len(have) >= goal.needed:
                    enough.set()

        with anyio.move_on_after(timeout_ms / 1000):
            async with anyio.create_task_group() as tasks:
                for index, name in enumerate(replica_order(goal.room, self._environment.region, others)):
                    delay_ms = timeout_ms * HEDGE_DELAY_FRACTION if index > goal.needed else 0.0
                    tasks.start_soon(request_replica, name, delay_ms)
                await enough.wait()
                tasks.cancel_scope.cancel()
        return have

    async def find(self, room: str, member_id: str, timeout_ms: float) -> KnownMember | None:
        """Return a member's newest entry (highest hop) from the room's replicas; None if they have none."""
        environment = self._environment
        others = environment.other_gateways()
        incarnations = {gateway.name: gateway.incarnation for gateway in others}
        needed, _ = majority_of_region(environment.region, others)
        known: list[KnownMember] = []

        async def request_entry(name: str) -> None:
            """Ask a gateway for the member, and add its entry to `known`."""
            reply = await self._streams.request(
                Origin(name, incarnations[name]),
                lambda number: FindMember(number, room, member_id),
                timeout_ms,
            )
            if reply is not None and reply.done and reply.entry is not None:
                known.append(KnownMember(reply.entry, Origin(reply.gateway, reply.incarnation)))

        async with anyio.create_task_group() as tasks:
            for name in replica_order(room, environment.region, others)[: needed + 1]:
                tasks.start_soon(request_entry, name)
        return max(known, key=lambda one: one.entry.hop, default=None)
