"""Follows the platform's list of storage servers: a carrier that calls discovery and hands reports on."""

from __future__ import annotations

import json
from collections.abc import Callable

import anyio
import h11

from cressrock import net
from cressrock.http.channel import BROKEN, Channel, ConnectionLostError, MessageTooLargeError
from cressrock.interface import ListKind, NodeList
from cressrock.platform.serverlist import ListError, ServerList
from cressrock.platform.watchclock import Call, WatchClock

MAX_LIST = 4 << 20  # bytes of an answer


class Watch:
    """Watches from the first subscription on.  When a call is made, and when one is given up, `pace` says.

    A call whose answer is late is made anew on another connection beside it, and whichever answers first
    counts: discovery may only be busy, but a watch that has fallen silent never answers.  No failure ends the
    subscription, so none is reported.
    """

    def __init__(
        self,
        servers: ServerList,
        address: tuple[str, int],
        pace: WatchClock,
        *,
        listed: Callable[[NodeList], None],
        clock: Callable[[], float],
        wall_ms: Callable[[], float],
        log: Callable[[str], None],
        stands: bool = False,
    ) -> None:
        """`listed` takes each report; `clock` is the module's and `pace`'s, `wall_ms` gives Unix time.

        `stands`: nobody needs to subscribe, as lists are pushed.
        """
        self.servers = servers
        self.address = address
        self.pace = pace
        self.listed = listed
        self.clock = clock
        self.wall_ms = wall_ms
        self.log = log
        self.calls = 0
        self.failed = 0  # calls that left none out as they failed
        self.doubted = 0
        self.heard = anyio.Event()  # a call was answered in this life
        self._wanted = anyio.Event()
        self._news = anyio.Event()  # the next call may be due at another instant
        self._scopes: dict[int, anyio.CancelScope] = {}
        self._channel: Channel | None = None  # of the last answer, for the call that goes on
        if stands:
            self._wanted.set()

    def subscribe(self) -> None:
        """Ask what is new at once, and then again and again; a subscription that stands is left as it is."""
        self._wanted.set()

    def move(self, address: tuple[str, int]) -> None:
        """Ask at another address from now on; what the old one was asked is asked again there."""
        if address == self.address:
            return
        self.address = address
        self._end(self.pace.moved(self.clock()))
        self._wanted.set()

    async def run(self) -> None:
        """Serve until cancelled."""
        await self._wanted.wait()
        async with anyio.create_task_group() as tasks:
            while True:
                self._news = anyio.Event()
                order = self.pace.call(self.clock())
                if order is None:
                    with anyio.move_on_after((self.pace.due_ms - self.clock()) / 1000):
                        await self._news.wait()
                    continue
                self._end(order.given_up)
                self.calls += 1
                self.doubted += len(self.pace.out) > 1
                tasks.start_soon(self._call, order.call, self.address)

    def _end(self, numbers: tuple[int, ...]) -> None:
        for number in numbers:
            if (scope := self._scopes.get(number)) is not None:
                scope.cancel()
        self._news.set()

    async def _call(self, call: Call, address: tuple[str, int]) -> None:
        """Make one call, and hand on what it brings."""
        channel, self._channel = self._channel, None
        if channel is not None and not (call.wait_ms and channel.reusable()):
            await channel.close()
            channel = None
        try:
            with anyio.CancelScope() as self._scopes[call.number]:
                if call.number in self.pace.out:  # it may have been ended before it began
                    if channel is None:
                        channel = await self._connect(address)
                    self._answer(call, channel, await self._get(channel, call, address))
        except (ConnectionLostError, MessageTooLargeError, h11.RemoteProtocolError, *BROKEN) as failed:
            self._failed(call, address, str(failed) or type(failed).__name__)
        except (ValueError, ListError, RecursionError) as failed:
            self._failed(call, address, f"unusable answer: {failed}")
        finally:
            del self._scopes[call.number]
            if channel is not None and channel is not self._channel:
                await channel.close()

    def _answer(self, call: Call, channel: Channel, body: bytes) -> None:
        """Take an answer in.  Raises ValueError, ListError and RecursionError where it cannot be used."""
        value = json.loads(body)
        if call.number not in self.pace.out:
            return  # Danger: taken in behind another's answer or at a new address, it would undo news.
        # Danger: an answer that comes as the address is changed is news that nobody tells again.
        report = self.servers.receive(value, self.clock(), self.wall_ms())
        if self.servers.left_out:
            self.log(f"discovery: {len(self.servers.left_out)} left out; {self.servers.left_out[0]}")
        others = self.pace.answered(call.number, self.clock())
        if others is not None and channel.reusable():
            self._channel = channel
        self.heard.set()
        self._end(others or ())
        # A watch that brought nothing new is no news, but a subscription that stands is.
        if not call.wait_ms or report.nodes or report.kind is not ListKind.CHANGES:
            self.listed(report)

    def _failed(self, call: Call, address: tuple[str, int], problem: str) -> None:
        if call.number in self.pace.out:
            self.log(f"discovery at {address[0]}:{address[1]}: {problem}")
            self.failed += self.pace.failed(call.number, self.clock())
            self._news.set()

    async def _connect(self, address: tuple[str, int]) -> Channel:
        channel = Channel(await net.connect(*address), h11.CLIENT, max_head=16384, read_ahead=262144)
        await channel.run_reader()
        return channel

    async def _get(self, channel: Channel, call: Call, address: tuple[str, int]) -> bytes:
        if channel.conn.our_state is h11.DONE:
            channel.conn.start_next_cycle()
        target = f"/v1/servers?after={self.servers.after}&wait_ms={call.wait_ms:.0f}"
        host = f"{address[0]}:{address[1]}".encode()
        await channel.send(
            h11.Request(method=b"GET", target=target.encode(), headers=[(b"host", host)]), h11.EndOfMessage()
        )
        event = await channel.response()
        body = await channel.rest(MAX_LIST)
        if event.status_code != 200:
            raise ConnectionLostError(f"status {event.status_code}")
        return body
