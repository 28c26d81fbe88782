"""The planner's admin port, /v1/copies: tells the sets, and lets an operator accept a loss."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any

import msgspec

from cressrock.errors import CressrockError
from cressrock.errors.replication import TransitionNotAllowedError
from cressrock.http.channel import Headers
from cressrock.http.server import Exchange
from cressrock.replication import transitions
from cressrock.replication.in_sync_set import decode_set
from cressrock.replication.known_set import (
    KnownSet,
    ReplicaPlacement,
    ReplicatedShard,
    SetReport,
    report_set,
    report_sets,
)
from cressrock.replication.operations import OperationKind, operation_at
from cressrock.replication.paced_client import PacedNodeClient
from cressrock.replication.runtime import SetDecisions

MAX_BODY_BYTES = 4096  # of a POST


class ForcePrimaryOrder(msgspec.Struct, forbid_unknown_fields=True):
    """What an operator asks for on /v1/copies."""

    volume: str
    shard: Annotated[int, msgspec.Meta(ge=0)]
    zone: str
    accept_loss: bool = False


class AdminEndpoint:
    """Serves operators; see docs/copies.md for what an order may lose."""

    def __init__(
        self,
        placements: Mapping[str, ReplicaPlacement],
        decisions: SetDecisions,
        client: PacedNodeClient,
        log: Any,
    ) -> None:
        """`client` asks the replica that is to be the primary for its store."""
        self._placements, self._decisions, self._client, self._log = placements, decisions, client, log

    async def handle(self, exchange: Exchange) -> None:
        """Serve GET: the sets; and POST: let an evicted replica be the primary and only one."""
        headers: Headers = [(b"content-type", b"application/json")]
        if exchange.head.method == b"GET":
            sets = report_sets(self._decisions.cache, dict(sorted(self._placements.items())))
            await exchange.respond(200, headers, msgspec.json.encode(sets))
            return
        body = b""
        while data := await exchange.read():
            body += data
            if len(body) > MAX_BODY_BYTES:
                break
        answer: SetReport | dict[str, str] | None
        try:
            order = msgspec.json.decode(body, type=ForcePrimaryOrder)
            status, answer = 200, await self._force_primary(order)
        except msgspec.DecodeError as error:
            status, answer = 400, {"error": "bad-request", "text": str(error)}
        except CressrockError as error:
            status, answer = 409, error.fields()
        await exchange.respond(status, headers, msgspec.json.encode(answer or {}))

    async def _force_primary(self, order: ForcePrimaryOrder) -> SetReport | None:
        """Make an evicted replica the primary.  Raises TransitionNotAllowedError, ConsensusError."""
        placement = self._placements.get(order.volume)
        if placement is None or order.shard >= len(placement.shards) or order.zone not in placement.zones:
            raise TransitionNotAllowedError(
                f"there is no copy of {order.volume}/{order.shard} in {order.zone!r}"
            )
        if not order.accept_loss:
            raise TransitionNotAllowedError(
                "accept_loss is not true: what was acknowledged since may be lost"
            )
        shard = ReplicatedShard(order.volume, order.shard, placement)
        current = await self._decisions.read(shard.topic)
        if current is None:
            raise TransitionNotAllowedError(f"no set stands for {shard.topic}")
        old = decode_set(current.value)
        role = operation_at(old, order.zone, OperationKind.INSPECT).role
        store_id = await self._client.store_id(shard, order.zone, role)
        if store_id is None:
            raise TransitionNotAllowedError(f"the copy in {order.zone!r} cannot be reached")
        new = transitions.force_primary(old, order.zone, store_id)
        decision = await self._decisions.decide(shard.topic, new, current.version)
        self._log.warning(
            "replication.primary_forced", topic=shard.topic, zone=order.zone, former_zone=old.primary
        )
        return report_set(KnownSet(decode_set(decision.value), decision.version, True))
