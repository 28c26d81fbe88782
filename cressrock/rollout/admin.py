"""The admin port's /v1/rollout: reports the status, starts a rollout, withdraws the running one."""

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

MAX_BODY_BYTES = (
    4 * MAX_DOCUMENT_BYTES
)  # of a POST; a document may contain whitespace that its canonical form does not


class DocumentCheck(Protocol):
    """Validates a new document (`settings.rules.Tables.check`)."""

    def __call__(self, data: bytes, good: str) -> tuple[bytes, RolloutPlan]:
        """Return the canonical bytes and the plan of a new document.

        `good` is the digest of the last good version.  Raises RolloutError.
        """


class _Command(msgspec.Struct, forbid_unknown_fields=True):
    action: Literal["start", "withdraw"]
    document: msgspec.Raw = msgspec.Raw(b"{}")
    digest: str = ""


class AdminEndpoint:
    """Serves operators' requests; each command is a compare-and-set on the replicated decisions."""

    def __init__(
        self,
        runtime: ClusterRuntime,
        lease_ms: float,
        check: DocumentCheck,
        *,
        apply_decision: Callable[[], None],
        status: Callable[[], StatusReport],
        statistics: Callable[[], dict[str, float]],
    ) -> None:
        """`apply_decision` applies the latest decision to this process.

        `status` returns the report of GET; `statistics` returns the counts that a withdrawal records.
        """
        self._runtime, self._lease_ms, self._check = runtime, lease_ms, check
        self._apply_decision, self._status, self._statistics = apply_decision, status, statistics

    async def serve(self, exchange: Exchange) -> None:
        """Serve GET and POST of /v1/rollout.

        Answers 405 to another method, 409 to a command that is refused, 503 if no decision was reached.
        """
        try:
            if exchange.head.method == b"POST":
                await self._execute(await _read_command(exchange))
                self._apply_decision()
            elif exchange.head.method not in (b"GET", b"HEAD"):
                await _respond(exchange, 405, {"error": "method", "text": "only GET and POST are allowed"})
                return
            await _respond(exchange, 200, self._status())
        except RolloutError as error:
            await _respond(exchange, 409, error.fields())
        except ConsensusError as error:
            await _respond(exchange, 503, error.fields())

    async def _execute(self, command: _Command) -> None:
        if command.action == "start":
            await self._start(bytes(command.document))
        else:
            await self._withdraw(command.digest)

    def _consensus(self) -> ConsensusClient:
        if self._runtime.consensus is None:
            raise RolloutNotFoundError(
                "this process has no consensus client; send the request to a process that has one"
            )
        return self._runtime.consensus

    async def _start(self, data: bytes) -> None:
        """Start the rollout of a document.  Raises RolloutError, ConsensusError."""
        consensus = self._consensus()
        current = await consensus.read(ROLLOUT_TOPIC)
        self._apply_decision()
        old = decode(current.value) if current is not None else None
        document, _ = self._check(data, old.good_digest if old is not None else "")
        new = start_rollout(old, document)
        topic = DOCUMENT_TOPICS[new.document_slot]
        former = await consensus.read(topic)
        former_version = former.version if former is not None else 0
        await consensus.decide(topic, document, self._lease_ms, if_version=former_version)
        # The document is decided first: a rollout whose document no process has would not start.
        version = current.version if current is not None else 0
        await consensus.decide(ROLLOUT_TOPIC, encode(new), self._lease_ms, if_version=version)

    async def _withdraw(self, digest: str) -> None:
        """End the running rollout, which must have this digest.  Raises RolloutError, ConsensusError."""
        consensus = self._consensus()
        current = await consensus.read(ROLLOUT_TOPIC)
        old = decode(current.value) if current is not None else None
        if current is None or old is None or not old.running or old.digest != digest:
            raise RolloutNotFoundError(
                f"withdraw needs the running rollout's digest; got {digest or 'no digest'}"
            )
        new = end_rollout(old, RolloutStatus.WITHDRAWN, "by an operator", self._statistics())
        await consensus.decide(ROLLOUT_TOPIC, encode(new), self._lease_ms, if_version=current.version)


async def _read_command(exchange: Exchange) -> _Command:
    """Read and decode a request's body.  Raises InvalidRulesError."""
    body = b""
    while data := await exchange.read():
        body += data
        if len(body) > MAX_BODY_BYTES:
            raise InvalidRulesError(f"request body is longer than {MAX_BODY_BYTES} bytes")
    try:
        return msgspec.json.decode(body, type=_Command)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise InvalidRulesError(f"cannot decode the request body: {str(error)[:300]}") from None


async def _respond(exchange: Exchange, status: int, value: StatusReport | dict[str, str]) -> None:
    headers: Headers = [(b"content-type", b"application/json")]
    await exchange.respond(status, headers, msgspec.json.encode(value))
