"""The responses that clients get to rejected or failed operations: status, headers and body."""

from __future__ import annotations

import anyio

from cressrock.dispatch.ledger import Verdict
from cressrock.dispatch.reasons import Reason
from cressrock.dispatch.transport import Denial
from cressrock.lab.simnet import SimStream
from cressrock.webdav.compose import denied
from tests.rig import Rig, run

WAITS_MS = (0.0, 1.0, 999.0, 1000.0, 1000.5, 1001.0, 7999.9, 8000.0)
GET = b"GET /demo/a HTTP/1.1\r\nHost: gw\r\nX-Request-Id: t\r\n\r\n"
PUT = b"PUT /demo/a HTTP/1.1\r\nHost: gw\r\nContent-Length: 2\r\n\r\nhi"


def denials() -> list[list[object]]:
    """Return the response to every combination of verdict, reason, harmlessness and retry time."""
    rows: list[list[object]] = []
    for verdict in (Verdict.REJECTED, Verdict.FAILED):
        for reason in Reason:
            for harmless in (True, False):
                for wait_ms in WAITS_MS if reason is Reason.SCHEDULER else WAITS_MS[:1]:
                    answer = denied(Denial(verdict, reason, wait_ms), harmless=harmless)
                    headers = [[name.decode(), value.decode()] for name, value in answer.headers]
                    carried = answer.reason.value if answer.reason is not None else None
                    rows.append(
                        [verdict.value, reason.value, harmless, wait_ms, answer.status, headers, carried]
                    )
    return rows


def _head(data: bytes) -> list[str]:
    """Return the lines of a response, without headers that differ between runs."""
    varying_headers = ("date:", "x-request-id:")
    return [line for line in data.decode().split("\r\n") if not line.lower().startswith(varying_headers)]


def answers_of_a_gateway() -> dict[str, list[str]]:
    """Return complete responses to requests that a gateway in simulated time cannot serve."""
    answers: dict[str, list[str]] = {}

    async def unreachable_nodes(rig: Rig) -> None:
        for shard in range(rig.shards):
            rig.net.close(f"n{shard}:7000")
        answers["no node reached in time"] = _head(await rig.raw(GET, wait=60.0))
        answers["short patience"] = _head(
            await rig.raw(GET.replace(b"\r\n\r\n", b"\r\nPrefer: wait=1\r\n\r\n"), wait=60.0)
        )

    async def missing_names(rig: Rig) -> None:
        answers["unknown volume"] = _head(await rig.raw(GET.replace(b"demo", b"none"), wait=5.0))
        answers["missing"] = _head(await rig.raw(GET, wait=5.0))

    async def full_gateway(rig: Rig) -> None:
        rig.gateway.front.open = rig.settings.front.max_requests
        answers["gateway full"] = _head(await rig.raw(GET, wait=5.0))

    async def hanging_node(rig: Rig) -> None:
        async def hang(stream: SimStream) -> None:
            await anyio.sleep(120)

        await rig.raw(GET, wait=1.0)
        for shard in range(rig.shards):
            rig.net.close(f"n{shard}:7000")
            rig.net.listen(f"n{shard}:7000", hang)
        answers["write to a node that hangs"] = _head(await rig.raw(PUT, wait=60.0))

    async def breaking_node(rig: Rig) -> None:
        async def break_off(stream: SimStream) -> None:
            await stream.receive()
            stream.reset()

        for shard in range(rig.shards):
            rig.net.close(f"n{shard}:7000")
            rig.net.listen(f"n{shard}:7000", break_off)
        answers["write to a node that breaks off"] = _head(await rig.raw(PUT, wait=60.0))

    for scenario in (unreachable_nodes, missing_names, full_gateway, hanging_node, breaking_node):
        run(scenario)
    return answers
