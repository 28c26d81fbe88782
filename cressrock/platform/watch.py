"""Follows the platform's list of storage servers: a carrier that calls discovery and hands reports on."""

from __future__ import annotations

import json
from collections.abc import Callable

import anyio
import h11
from anyio.abc import TaskGroup

from cressrock import net
from cressrock.http.channel import BROKEN, Channel, Gone, TooLarge
from cressrock.interface import ListKind, NodeList
from cressrock.platform import silence
from cressrock.platform.serverlist import ListError, ServerList

MAX_LIST = 4 << 20  # bytes of an answer


class _Call:
    """One call under way: its connection, and what came of it."""

    def __init__(self, channel: Channel | None) -> None:
        self.channel = channel
        self.report: NodeList | None = None
        self.problem = ""


class Watch:
    """Watches while subscribed.  A call that fails ends the subscription and is reported as such.

    A call whose answer is late is made anew on another connection beside it, and whichever answers first
    counts: discovery may only be busy, but a watch that has fallen silent never answers.
    """

    def __init__(
        self,
        servers: ServerList,
        address: tuple[str, int],
        *,
        listed: Callable[[NodeList], None],
        clock: Callable[[], float],
        wall_ms: Callable[[], float],
        log: Callable[[str], None],
        pushed_grace_ms: float = 0.0,
    ) -> None:
        """`listed` takes each report; `clock` is the module's, `wall_ms` gives Unix time.

        `pushed_grace_ms` is the drain grace where lists are pushed: then the watch always stands.
        """
        self.servers = servers
        self.address = address
        self.listed = listed
        self.clock = clock
        self.wall_ms = wall_ms
        self.log = log
        self.pushed_grace_ms = pushed_grace_ms
        self.calls = 0
        self.failed = 0
        self.heard = anyio.Event()  # a call was answered in this life
        self.doubted = 0
        self._wanted = anyio.Event()
        self._scope: anyio.CancelScope | None = None
        self._channel: Channel | None = None
        self._moved = False
        self._moved_at = -float("inf")
        if pushed_grace_ms:
            self._wanted.set()

    def subscribe(self) -> None:
        """Ask what is new at once, and then again and again until a call fails."""
        self._wanted.set()

    def move(self, address: tuple[str, int]) -> None:
        """Ask at another address from now on; what the old one was asked is asked again there."""
        if address == self.address:
            return
        self.address = address
        self._moved = True
        self._moved_at = self.clock()
        if self._scope is not None:
            self._scope.cancel()
        self._wanted.set()

    async def run(self) -> None:
        """Serve until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted = anyio.Event()
            first, failures = True, 0
            while True:
                self._moved = False
                report = await self._ask(0 if first else silence.WAIT_MS)
                if report is None and self._moved:
                    first = True
                    continue
                if report is None:
                    first = True
                    failures += 1
                    self.failed += 1
                    since = self.clock() - self._moved_at
                    pause = silence.pause_after(failures, since, self.pushed_grace_ms)
                    if pause is None:
                        self.listed(NodeList(ListKind.FAILED))
                        break
                    with anyio.move_on_after(pause / 1000):
                        await self._wanted.wait()
                    self._wanted = anyio.Event()
                    continue
                self.heard.set()
                # A watch that brought nothing new is no news, but a subscription that stands is.
                if first or report.nodes or report.kind is not ListKind.CHANGES:
                    self.listed(report)
                # Danger: an answer that came as the address was changed is news that nobody tells again.
                first, failures = self._moved, 0

    async def _ask(self, wait_ms: int) -> NodeList | None:
        """Hear what is new; None where that failed."""
        kept, self._channel = self._channel, None
        if kept is not None and not kept.reusable():
            await kept.close()
            kept = None
        calls: list[_Call] = []
        with anyio.move_on_after(silence.lost_after(wait_ms) / 1000) as self._scope:
            async with anyio.create_task_group() as tasks:
                calls.append(_Call(kept))
                tasks.start_soon(self._call, calls, 0, wait_ms, tasks)
                await anyio.sleep(silence.doubtful_after(wait_ms) / 1000)
                self.doubted += 1
                calls.append(_Call(None))
                tasks.start_soon(self._call, calls, 1, 0, tasks)
        self._scope = None
        heard = [call for call in calls if call.report is not None]
        for call in calls:
            if call.channel is not None and (
                call not in heard or not call.channel.reusable() or self._moved
            ):
                await call.channel.close()
            elif call.channel is not None:
                self._channel = call.channel
        if heard:
            return heard[0].report
        if not self._moved:
            problem = "; ".join(call.problem or "no answer in time" for call in calls)
            self.log(f"discovery at {self.address[0]}:{self.address[1]}: {problem}")
        return None

    async def _call(self, calls: list[_Call], number: int, wait_ms: int, tasks: TaskGroup) -> None:
        """Make one call; the first that is answered ends the other, and so does the last that fails."""
        call = calls[number]
        self.calls += 1
        try:
            body = await self._get(call, f"/v1/servers?after={self.servers.after}&wait_ms={wait_ms}")
            if tasks.cancel_scope.cancel_called:
                return  # Danger: taken in behind the other's answer, its news would be reported to nobody.
            call.report = self.servers.receive(json.loads(body), self.clock(), self.wall_ms())
            if self.servers.left_out:
                self.log(f"discovery: {len(self.servers.left_out)} left out; {self.servers.left_out[0]}")
        except (Gone, TooLarge, h11.RemoteProtocolError, *BROKEN) as failed:
            call.problem = str(failed) or type(failed).__name__
        except (ValueError, ListError) as failed:
            call.problem = f"unusable answer: {failed}"
        if call.report is not None or all(call.problem for call in calls):
            tasks.cancel_scope.cancel()

    async def _get(self, call: _Call, target: str) -> bytes:
        address = self.address
        if call.channel is None:
            stream = await net.connect(*address)
            call.channel = Channel(stream, h11.CLIENT, max_head=16384, read_ahead=262144)
            await call.channel.run_reader()
        else:
            call.channel.conn.start_next_cycle()
        host = f"{address[0]}:{address[1]}".encode()
        await call.channel.send(
            h11.Request(method=b"GET", target=target.encode(), headers=[(b"host", host)]), h11.EndOfMessage()
        )
        event = await call.channel.response()
        body = await call.channel.rest(MAX_LIST)
        if event.status_code != 200:
            raise Gone(f"status {event.status_code}")
        return body
