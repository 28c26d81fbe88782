"""The admin port's part: the status of zones, and an operator's move of writes to another region."""

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
MAX_AUTHOR_LENGTH = 128
MAX_QUOTED = 40  # characters of an author that is too long
_JSON: Headers = [(b"content-type", b"application/json")]


class _MoveRequest(msgspec.Struct, forbid_unknown_fields=True, rename={"source": "from", "target": "to"}):
    """The body of a request to move writes."""

    source: str
    target: str
    may_lose_ms: float = 0.0
    by: str = "operator"


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    content: Mapping[str, object]


class FailoverAdmin:
    """POST /v1/zones/move on the admin port: {"from", "to", "may_lose_ms", "by"}; GET /v1/zones/status."""

    def __init__(
        self,
        settings: FailoverSettings,
        runtime: Runtime,
        lease_ms: float,
        status: Callable[[], Mapping[str, object]],
        behind: Callable[[str, str], float | None] = lambda source, target: None,
    ) -> None:
        """`behind(source, target)`: ms that the target's replicas are behind; None where nobody can tell."""
        self.settings, self.runtime, self.lease_ms = settings, runtime, lease_ms
        self.status, self.behind = status, behind

    async def handle(self, exchange: Exchange) -> None:
        """Answer /v1/zones/..."""
        path, method = exchange.head.target.split(b"?")[0], exchange.head.method
        if path == b"/v1/zones/status" and method == b"GET":
            await exchange.respond(200, _JSON, msgspec.json.encode(self.status()))
        elif path != b"/v1/zones/move":
            await exchange.respond(404, _JSON, b'{"error":"not-found"}')
        elif method != b"POST":
            await exchange.respond(405, [*_JSON, (b"allow", b"POST")], b'{"error":"only-post"}')
        else:
            answer = await self._move(await _read_body(exchange.read))
            await exchange.respond(answer.status, _JSON, msgspec.json.encode(answer.content))

    async def _move(self, body: bytes | None) -> _Answer:
        if body is None:
            return _Answer(413, {"error": "too-large"})
        try:
            request = msgspec.json.decode(body, type=_MoveRequest)
        except msgspec.DecodeError as error:
            return _Answer(400, {"error": "bad-request", "text": str(error)})
        move = WriteMove(request.source, request.target, request.may_lose_ms, request.by)
        try:
            self._check(move)
        except WriteMoveRejectedError as error:
            return _Answer(409, dict(error.fields()))
        if self.runtime.consensus is None:
            text = "this process has no way to the council"
            return _Answer(503, {"error": "no-council", "text": text})
        value = decision.encode(move)
        try:
            decided = await self.runtime.consensus.decide(decision.WRITE_MOVE_TOPIC, value, self.lease_ms)
        except CressrockError as error:
            return _Answer(503, dict(error.fields()))
        content = {"number": decided.version, "from": move.source, "to": move.target}
        return _Answer(200, {**content, "may_lose_ms": move.max_loss_ms})

    def _check(self, move: WriteMove) -> None:
        """Raise WriteMoveRejectedError unless the move may be decided."""
        if not 0 <= move.max_loss_ms <= MAX_LOSS_MS or len(move.requested_by) > MAX_AUTHOR_LENGTH:
            author = move.requested_by[:MAX_QUOTED]
            raise WriteMoveRejectedError(
                f"may_lose_ms {move.max_loss_ms!r} or by {author!r} is out of bounds"
            )
        decision.check_write_move(self.settings.regions(), move, self.behind(move.source, move.target))


async def _read_body(read: Callable[[], Awaitable[bytes]]) -> bytes | None:
    """Return a small body; None for a large one."""
    body = b""
    while data := await read():
        body += data
        if len(body) > MAX_BODY_BYTES:
            return None
    return body
