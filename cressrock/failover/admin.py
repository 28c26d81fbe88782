"""Admin port endpoints: the status of zones, and an operator's move of writes to another region."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

import msgspec

from cressrock.errors import CressrockError
from cressrock.errors.failover import WriteMoveRejectedError
from cressrock.failover import decision
from cressrock.failover.decision import WriteMove
from cressrock.failover.runtime import Runtime
from cressrock.failover.settings import FailoverSettings
from cressrock.http.channel import Headers
from cressrock.http.server import Exchange

MAX_BODY_BYTES = 4096
MAX_LOSS_MS = 1e12
MAX_AUTHOR_CHARS = 128
MAX_QUOTED_CHARS = 40  # characters of a too long author name that are quoted in the error
_JSON: Headers = [(b"content-type", b"application/json")]


class _MoveRequest(msgspec.Struct, forbid_unknown_fields=True, rename={"source": "from", "target": "to"}):
    """The JSON body of a request to move writes."""

    source: str
    target: str
    may_lose_ms: float = 0.0
    by: str = "operator"


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    content: Mapping[str, object]


class FailoverAdmin:
    """Handles POST /v1/zones/move ({"from", "to", "may_lose_ms", "by"}) and GET /v1/zones/status."""

    def __init__(
        self,
        settings: FailoverSettings,
        runtime: Runtime,
        lease_ms: float,
        status: Callable[[], Mapping[str, object]],
        replica_lag_ms: Callable[[str, str], float | None] = lambda source, target: None,
    ) -> None:
        """`replica_lag_ms(source, target)`: how far the target's replicas lag; None if unknown."""
        self.settings, self.runtime, self.lease_ms = settings, runtime, lease_ms
        self.status, self.replica_lag_ms = status, replica_lag_ms

    async def handle(self, exchange: Exchange) -> None:
        """Answer a request under /v1/zones/."""
        path, method = exchange.head.target.split(b"?")[0], exchange.head.method
        if path == b"/v1/zones/status" and method == b"GET":
            await exchange.respond(200, _JSON, msgspec.json.encode(self.status()))
        elif path != b"/v1/zones/move":
            await exchange.respond(404, _JSON, b'{"error":"not-found"}')
        elif method != b"POST":
            await exchange.respond(405, [*_JSON, (b"allow", b"POST")], b'{"error":"only-post"}')
        else:
            response = await self._move(await _read_body(exchange.read))
            await exchange.respond(response.status, _JSON, msgspec.json.encode(response.content))

    async def _move(self, body: bytes | None) -> _Response:
        if body is None:
            return _Response(413, {"error": "too-large"})
        try:
            request = msgspec.json.decode(body, type=_MoveRequest)
        except msgspec.DecodeError as error:
            return _Response(400, {"error": "bad-request", "text": str(error)})
        move = WriteMove(request.source, request.target, request.may_lose_ms, request.by)
        try:
            self._check(move)
        except WriteMoveRejectedError as error:
            return _Response(409, dict(error.fields()))
        if self.runtime.consensus is None:
            text = "consensus is not configured in this process; send the request to one that has it"
            return _Response(503, {"error": "no-council", "text": text})
        value = decision.encode(move)
        try:
            decided = await self.runtime.consensus.decide(decision.WRITE_MOVE_TOPIC, value, self.lease_ms)
        except CressrockError as error:
            return _Response(503, dict(error.fields()))
        content = {"number": decided.version, "from": move.source, "to": move.target}
        return _Response(200, {**content, "may_lose_ms": move.max_loss_ms})

    def _check(self, move: WriteMove) -> None:
        """Raise WriteMoveRejectedError unless the move may be decided."""
        if not 0 <= move.max_loss_ms <= MAX_LOSS_MS or len(move.requested_by) > MAX_AUTHOR_CHARS:
            author = move.requested_by[:MAX_QUOTED_CHARS]
            raise WriteMoveRejectedError(
                f"may_lose_ms {move.max_loss_ms!r} is out of range, or by {author!r} is too long"
            )
        decision.check_write_move(
            self.settings.regions(), move, self.replica_lag_ms(move.source, move.target)
        )


async def _read_body(read: Callable[[], Awaitable[bytes]]) -> bytes | None:
    """Return the request body, or None if it is larger than MAX_BODY_BYTES."""
    body = b""
    while data := await read():
        body += data
        if len(body) > MAX_BODY_BYTES:
            return None
    return body
