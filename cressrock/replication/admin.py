"""The planner's admin port, /v1/copies: reports the in-sync sets and lets an operator force a primary."""

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

MAX_BODY_BYTES = 4096  # of a POST request


class ForcePrimaryOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a POST to /v1/copies: which replica to make the primary, and that data loss is accepted."""

    volume: str
    shard: Annotated[int, msgspec.Meta(ge=0)]
    zone: str
    accept_loss: bool = False


class AdminEndpoint:
    """Serves /v1/copies; docs/copies.md describes which writes a forced primary may lose."""

    def __init__(
        self,
        placements: Mapping[str, ReplicaPlacement],
        decisions: SetDecisions,
        client: PacedNodeClient,
        log: Any,
    ) -> None:
        """`client` asks the replica that is to become the primary for its store id."""
        self._placements, self._decisions, self._client, self._log = placements, decisions, client, log

    async def handle(self, exchange: Exchange) -> None:
        """Serve GET (report the sets) and POST (make a replica that is not in sync the primary).

        After a POST the new primary is the set's only in-sync replica.  Answers 400 to a body that cannot be
        decoded, and 409 with the error's fields to an order that is not allowed or could not be decided.
        """
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
        """Make an out-of-sync replica the primary.  Raises TransitionNotAllowedError, ConsensusError."""
        placement = self._placements.get(order.volume)
        if placement is None or order.shard >= len(placement.shards) or order.zone not in placement.zones:
            raise TransitionNotAllowedError(
                f"volume and shard {order.volume}/{order.shard} have no replica in zone {order.zone!r}"
            )
        if not order.accept_loss:
            raise TransitionNotAllowedError(
                "accept_loss must be true: writes acknowledged since the replica was last in sync may be lost"
            )
        shard = ReplicatedShard(order.volume, order.shard, placement)
        current = await self._decisions.read(shard.topic)
        if current is None:
            raise TransitionNotAllowedError(f"no in-sync set has been decided for {shard.topic}")
        old = decode_set(current.value)
        role = operation_at(old, order.zone, OperationKind.INSPECT).role
        store_id = await self._client.store_id(shard, order.zone, role)
        if store_id is None:
            raise TransitionNotAllowedError(f"the replica in zone {order.zone!r} did not report its store id")
        new = transitions.force_primary(old, order.zone, store_id)
        decision = await self._decisions.decide(shard.topic, new, current.version)
        self._log.warning(
            "replication.primary_forced", topic=shard.topic, zone=order.zone, former_zone=old.primary
        )
        return report_set(KnownSet(decode_set(decision.value), decision.version, True))
