"""Polls endpoint discovery for the node list and passes reports to the driver.

The last valid response is cached in a file, so that a restarted dispatcher starts with its previous list.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
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
from cressrock.state_file import StateFiles

DISCOVERY_PATH = b"/v3/discovery:endpoints"
MAX_REQUEST_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class NodeListSource:
    """Where the node list is fetched, and the cache file that keeps it across restarts."""

    address: str
    node_id: str  # identifies this process to the discovery service
    poll_ms: float
    timeout_ms: float
    cache: str | None = None


class NodeListPoller:
    """Polls the list while subscribed; a failed poll ends the subscription and is reported as FAILED."""

    def __init__(
        self,
        state: NodeListState,
        client: NodeClient,
        source: NodeListSource,
        *,
        on_report: Callable[[NodeList], None],
        wall_ms: Callable[[], float],
        log: Any,
        state_files: StateFiles | None = None,
    ) -> None:
        """`on_report` receives each report; `wall_ms` returns epoch milliseconds.

        The cache file is one of `state_files`, by default of some that are written at once.
        """
        self.state = state
        self.client = client
        self.source = source
        self.cache = Path(source.cache) if source.cache else None
        self._cache_file = (state_files or StateFiles()).open(self.cache, self._on_cache_written)
        self.on_report = on_report
        self.wall_ms = wall_ms
        self.log = log
        self.last_response_ms: float | None = None  # on anyio's clock
        self._poll_requested = anyio.Event()
        self._store = PayloadStore(memory_bytes=MAX_REQUEST_BYTES, spill_bytes=MAX_REQUEST_BYTES)

    def subscribe(self) -> None:
        """Poll now, and then every `poll_ms` until a poll fails."""
        self._poll_requested.set()

    def load_cache(self) -> None:
        """Report the list cached by an earlier process; an empty list if the file is missing or unusable."""
        report = NodeList(ListKind.CACHED)
        if self.cache is not None and self.cache.exists():
            try:
                body = self.cache.read_bytes()
                update = self.state.receive(body, anyio.current_time() * 1000, self.wall_ms(), cached=True)
                assert update is not None
                report = update.report
            except (OSError, NodeListError) as error:
                self.log.warning("node_list.cache_unusable", file=str(self.cache), error=str(error))
        self.on_report(report)

    async def run(self) -> None:
        """Poll while subscribed, until cancelled."""
        while True:
            await self._poll_requested.wait()
            self._poll_requested = anyio.Event()
            while await self._poll():
                with anyio.move_on_after(self.source.poll_ms / 1000):
                    await self._poll_requested.wait()
                self._poll_requested = anyio.Event()

    async def _poll(self) -> bool:
        op = Operation(
            b"POST",
            DISCOVERY_PATH,
            "",
            "",
            0,
            0,
            0.0,
            headers=[(b"content-type", b"application/json")],
            body=complete_spool(self._store, self.state.request(self.source.node_id)),
        )
        error_text = "no response within the timeout"
        update: NodeListUpdate | None = None
        is_successful = False
        with anyio.move_on_after(self.source.timeout_ms / 1000):
            try:
                reply, _ = await self.client.exchange(
                    self.source.address, op, [], AttemptProgress(), may_stream=False
                )
                if reply.status == 304:
                    is_successful = True
                elif reply.status != 200:
                    error_text = f"unexpected HTTP status {reply.status}"
                else:
                    update = self.state.receive(reply.body, anyio.current_time() * 1000, self.wall_ms())
                    is_successful = True
            except (
                NoConnectionError,
                ConnectionLostError,
                MessageTooLargeError,
                h11.RemoteProtocolError,
                NodeListError,
            ) as error:
                error_text = str(error)
        if not is_successful:
            self.log.info("node_list.poll_failed", address=self.source.address, error=error_text)
            self.on_report(NodeList(ListKind.FAILED))
            return False
        self.last_response_ms = anyio.current_time() * 1000
        if update is not None:
            for warning in update.warnings:
                self.log.warning("node_list.inconsistent", version=update.version, warning=warning)
            self.on_report(update.report)
            self._cache_file.write(reply.body)
        return True

    def _on_cache_written(self, error: str) -> None:
        """Log a failed write, which leaves the old file."""
        if error:
            self.log.warning("node_list.cache_not_written", file=str(self.cache), error=error)
