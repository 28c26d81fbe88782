"""Follows the node list: a carrier that polls endpoint discovery and hands reports to the driver.

The last good response is kept in a file, so that a restarted dispatcher begins with the list it had.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import h11

from cressrock.dispatch.node_client import AttemptProgress, NoConnectionError, NodeClient
from cressrock.dispatch.node_list import NodeListError, NodeListState, NodeListUpdate
from cressrock.dispatch.operation import Operation
from cressrock.dispatch.spool import PayloadStore, complete_spool
from cressrock.http.channel import ConnectionLostError, MessageTooLargeError
from cressrock.interface import ListKind, NodeList


class NodeListWatch:
    """Polls the list while subscribed; a failed call ends the subscription and is reported as such."""

    def __init__(
        self,
        state: NodeListState,
        client: NodeClient,
        *,
        address: str,
        node_id: str,
        poll_ms: float,
        timeout_ms: float,
        cache: str | None,
        on_report: Callable[[NodeList], None],
        wall_ms: Callable[[], float],
        log: Any,
    ) -> None:
        """`listed` takes each report; `wall_ms` gives epoch milliseconds."""
        self.state = state
        self.client = client
        self.address = address
        self.node_id = node_id
        self.poll_ms = poll_ms
        self.timeout_ms = timeout_ms
        self.cache = Path(cache) if cache else None
        self.listed = on_report
        self.wall_ms = wall_ms
        self.log = log
        self.last_response_ms: float | None = (
            None  # when the list last answered, on anyio's clock in milliseconds
        )
        self._wanted = anyio.Event()
        self._store = PayloadStore(memory_bytes=1 << 20, spill_bytes=1 << 20)

    def subscribe(self) -> None:
        """Ask now, and then again and again until a call fails."""
        self._wanted.set()

    def load_cache(self) -> None:
        """Report the list that a former life kept; a file that cannot be read is as none."""
        report = NodeList(ListKind.CACHED)
        if self.cache is not None and self.cache.exists():
            try:
                body = self.cache.read_bytes()
                news = self.state.receive(body, anyio.current_time() * 1000, self.wall_ms(), cached=True)
                assert news is not None
                report = news.report
            except (OSError, NodeListError) as wrong:
                self.log.warning("node list cache unusable", file=str(self.cache), error=str(wrong))
        self.listed(report)

    async def run(self) -> None:
        """Serve until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted = anyio.Event()
            while await self._ask():
                with anyio.move_on_after(self.poll_ms / 1000):
                    await self._wanted.wait()
                self._wanted = anyio.Event()

    async def _ask(self) -> bool:
        op = Operation(
            b"POST",
            b"/v3/discovery:endpoints",
            "",
            "",
            0,
            0,
            0.0,
            headers=[(b"content-type", b"application/json")],
            body=complete_spool(self._store, self.state.request(self.node_id)),
        )
        problem = "no answer in time"
        news: NodeListUpdate | None = None
        good = False
        with anyio.move_on_after(self.timeout_ms / 1000):
            try:
                reply, _ = await self.client.exchange(
                    self.address, op, [], AttemptProgress(), may_stream=False
                )
                if reply.status == 304:
                    good = True
                elif reply.status != 200:
                    problem = f"status {reply.status}"
                else:
                    news = self.state.receive(reply.body, anyio.current_time() * 1000, self.wall_ms())
                    good = True
            except (
                NoConnectionError,
                ConnectionLostError,
                MessageTooLargeError,
                h11.RemoteProtocolError,
                NodeListError,
            ) as failed:
                problem = str(failed)
        if not good:
            self.log.info("node list call failed", address=self.address, error=problem)
            self.listed(NodeList(ListKind.FAILED))
            return False
        self.last_response_ms = anyio.current_time() * 1000
        if news is not None:
            for warning in news.warnings:
                self.log.warning("node list", version=news.version, warning=warning)
            self.listed(news.report)
            self._keep(reply.body)
        return True

    def _keep(self, body: bytes) -> None:
        """Write the cache whole or not at all."""
        if self.cache is None:
            return
        part = self.cache.with_name(self.cache.name + ".part")
        try:
            with open(part, "wb") as file:
                file.write(body)
                file.flush()
                os.fsync(file.fileno())
            os.replace(part, self.cache)
        except OSError as wrong:
            self.log.warning("node list cache not written", file=str(self.cache), error=str(wrong))
