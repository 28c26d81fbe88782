"""The admin port's /v1/rollout: tells what stands, starts a document, withdraws what runs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal, Protocol

import msgspec

from cressrock.consensus.client import ConsensusClient
from cressrock.errors.consensus import ConsensusError
from cressrock.errors.rollout import InvalidRulesError, RolloutError, RolloutNotFoundError
from cressrock.http.channel import Headers
from cressrock.rollout.interfaces import ClusterRuntime, Exchange
from cressrock.rollout.lifecycle import (
    DOCUMENT_TOPICS,
    ROLLOUT_TOPIC,
    RolloutStatus,
    decode,
    encode,
    end_rollout,
    start_rollout,
)
from cressrock.rollout.plan import MAX_DOCUMENT_BYTES, RolloutPlan
from cressrock.rollout.status import StatusReport

MAX_BODY_BYTES = 4 * MAX_DOCUMENT_BYTES  # of a POST: a document may be written with blanks


class DocumentCheck(Protocol):
    """Whether a document may be started (`settings.rules.Tables.check`)."""

    def __call__(self, data: bytes, good: str) -> tuple[bytes, RolloutPlan]:
        """Return canonical bytes and plan of a new document.  Raises RolloutError."""


class _Order(msgspec.Struct, forbid_unknown_fields=True):
    action: Literal["start", "withdraw"]
    document: msgspec.Raw = msgspec.Raw(b"{}")
    digest: str = ""


class AdminEndpoint:
    """Serves operators; each order is a compare-and-set on the decisions."""

    def __init__(
        self,
        runtime: ClusterRuntime,
        lease_ms: float,
        check: DocumentCheck,
        *,
        follow: Callable[[], None],
        status: Callable[[], StatusReport],
        statistics: Callable[[], dict[str, float]],
    ) -> None:
        """`follow` applies what was decided; `status` and `statistics` tell what stands and was counted."""
        self._runtime, self._lease_ms, self._check = runtime, lease_ms, check
        self._follow, self._status, self._statistics = follow, status, statistics

    async def serve(self, exchange: Exchange) -> None:
        """Serve GET and POST of /v1/rollout."""
        try:
            if exchange.head.method == b"POST":
                await self._execute(await _read_order(exchange))
                self._follow()
            elif exchange.head.method not in (b"GET", b"HEAD"):
                await _respond(exchange, 405, {"error": "method", "text": "only GET and POST"})
                return
            await _respond(exchange, 200, self._status())
        except RolloutError as error:
            await _respond(exchange, 409, error.fields())
        except ConsensusError as error:
            await _respond(exchange, 503, error.fields())

    async def _execute(self, order: _Order) -> None:
        if order.action == "start":
            await self._start(bytes(order.document))
        else:
            await self._withdraw(order.digest)

    def _consensus(self) -> ConsensusClient:
        if self._runtime.consensus is None:
            raise RolloutNotFoundError("this process has no way to the council")
        return self._runtime.consensus

    async def _start(self, data: bytes) -> None:
        """Start a document.  Raises RolloutError, ConsensusError."""
        consensus = self._consensus()
        current = await consensus.read(ROLLOUT_TOPIC)
        self._follow()
        old = decode(current.value) if current is not None else None
        document, _ = self._check(data, old.good_digest if old is not None else "")
        new = start_rollout(old, document)
        topic = DOCUMENT_TOPICS[new.document_slot]
        former = await consensus.read(topic)
        former_version = former.version if former is not None else 0
        await consensus.decide(topic, document, self._lease_ms, if_version=former_version)
        # Only now: a decision that names a document which nobody has would start nothing.
        version = current.version if current is not None else 0
        await consensus.decide(ROLLOUT_TOPIC, encode(new), self._lease_ms, if_version=version)

    async def _withdraw(self, digest: str) -> None:
        """End what runs; `digest` names it.  Raises RolloutError, ConsensusError."""
        consensus = self._consensus()
        current = await consensus.read(ROLLOUT_TOPIC)
        old = decode(current.value) if current is not None else None
        if current is None or old is None or not old.running or old.digest != digest:
            raise RolloutNotFoundError(f"{digest or 'no digest'} does not run")
        new = end_rollout(old, RolloutStatus.WITHDRAWN, "by an operator", self._statistics())
        await consensus.decide(ROLLOUT_TOPIC, encode(new), self._lease_ms, if_version=current.version)


async def _read_order(exchange: Exchange) -> _Order:
    """Read an order.  Raises InvalidRulesError."""
    body = b""
    while data := await exchange.read():
        body += data
        if len(body) > MAX_BODY_BYTES:
            raise InvalidRulesError(f"a body above {MAX_BODY_BYTES} bytes")
    try:
        return msgspec.json.decode(body, type=_Order)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise InvalidRulesError(f"order: {str(error)[:300]}") from None


async def _respond(exchange: Exchange, status: int, value: StatusReport | dict[str, str]) -> None:
    headers: Headers = [(b"content-type", b"application/json")]
    await exchange.respond(status, headers, msgspec.json.encode(value))
