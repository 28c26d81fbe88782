"""Follows the platform's list of storage servers: calls discovery and passes reports on."""

from __future__ import annotations

import json
from collections.abc import Callable

import anyio
import h11

from cressrock import net
from cressrock.http.channel import BROKEN, Channel, ConnectionLostError, MessageTooLargeError
from cressrock.interface import ListKind, NodeList
from cressrock.platform.server_list import ListError, ServerList
from cressrock.platform.watch_schedule import Call, WatchSchedule

MAX_ANSWER_BYTES = 4 << 20  # of one answer's body


class Watch:
    """Watches the list from the first subscription on; `schedule` decides when calls are made and abandoned.

    When an answer is late, a second call is made in parallel on another connection, and the first answer
    counts: discovery may only be busy, but a watch that stopped responding never answers.  No failure ends
    the subscription, so none is reported.
    """

    def __init__(
        self,
        servers: ServerList,
        address: tuple[str, int],
        schedule: WatchSchedule,
        *,
        on_report: Callable[[NodeList], None],
        clock: Callable[[], float],
        wall_ms: Callable[[], float],
        log: Callable[[str], None],
        subscribed: bool = False,
    ) -> None:
        """`on_report` takes each report; `clock` is also the clock of `schedule`, `wall_ms` gives Unix time.

        `subscribed`: watch without a call of `subscribe`, as lists are pushed.
        """
        self.servers = servers
        self.address = address
        self.schedule = schedule
        self.on_report = on_report
        self.clock = clock
        self.wall_ms = wall_ms
        self.log = log
        self.calls = 0
        self.failed_rounds = 0  # failed calls after which no call was outstanding
        self.parallel_calls = 0  # calls made beside a late one
        self.answered = anyio.Event()  # a call was answered since the process started
        self._subscribed = anyio.Event()
        self._rescheduled = anyio.Event()  # the time of the next call may have changed
        self._scopes: dict[int, anyio.CancelScope] = {}
        self._logged_entries: list[str] = []
        self._channel: Channel | None = None  # of the last answer, for the call that continues the watch
        if subscribed:
            self._subscribed.set()

    def subscribe(self) -> None:
        """Call discovery at once and repeatedly; an active subscription is left as it is."""
        self._subscribed.set()

    def change_address(self, address: tuple[str, int]) -> None:
        """Call another address from now on; outstanding calls are cancelled and repeated there."""
        if address == self.address:
            return
        self.address = address
        self._cancel_calls(self.schedule.record_move(self.clock()))
        self._subscribed.set()

    async def run(self) -> None:
        """Call discovery until cancelled, from the subscription on."""
        await self._subscribed.wait()
        async with anyio.create_task_group() as tasks:
            while True:
                self._rescheduled = anyio.Event()
                order = self.schedule.next_call(self.clock())
                if order is None:
                    with anyio.move_on_after((self.schedule.due_ms - self.clock()) / 1000):
                        await self._rescheduled.wait()
                    continue
                self._cancel_calls(order.abandoned)
                self.calls += 1
                self.parallel_calls += len(self.schedule.outstanding) > 1
                tasks.start_soon(self._call, order.call, self.address)

    def _cancel_calls(self, numbers: tuple[int, ...]) -> None:
        for number in numbers:
            if (scope := self._scopes.get(number)) is not None:
                scope.cancel()
        self._rescheduled.set()

    async def _call(self, call: Call, address: tuple[str, int]) -> None:
        """Make one call and process its answer or failure."""
        channel, self._channel = self._channel, None
        if channel is not None and not (call.wait_ms and channel.reusable()):
            await channel.close()
            channel = None
        try:
            with anyio.CancelScope() as self._scopes[call.number]:
                if call.number in self.schedule.outstanding:  # else it was cancelled before it began
                    if channel is None:
                        channel = await self._connect(address)
                    self._accept_answer(call, channel, await self._fetch(channel, call, address))
        except (ConnectionLostError, MessageTooLargeError, h11.RemoteProtocolError, *BROKEN) as exc:
            self._record_failure(call, address, str(exc) or type(exc).__name__)
        except (ValueError, ListError, RecursionError) as exc:
            self._record_failure(call, address, f"unusable answer: {exc}")
        finally:
            del self._scopes[call.number]
            if channel is not None and channel is not self._channel:
                await channel.close()

    def _accept_answer(self, call: Call, channel: Channel, body: bytes) -> None:
        """Apply an answer to the list.  Raises ValueError, ListError and RecursionError if it is unusable."""
        value = json.loads(body)
        if call.number not in self.schedule.outstanding:
            return  # applied after another call's answer or after an address change, it would undo changes
        # An answer that arrives while the address changes is still applied: its changes are not sent again.
        report = self.servers.receive(value, self.clock(), self.wall_ms())
        self._log_rejected_entries(self.servers.rejected_entries)
        others = self.schedule.record_answer(call.number, self.clock())
        if others is not None and channel.reusable():
            self._channel = channel
        self.answered.set()
        self._cancel_calls(others or ())
        # A watch that ended without changes is not reported, an immediate answer is: it shows that the
        # subscription works.
        if not call.wait_ms or report.nodes or report.kind is not ListKind.CHANGES:
            self.on_report(report)

    def _log_rejected_entries(self, rejected: list[str]) -> None:
        """Log entries that were ignored, if they are not those that were logged last."""
        if not rejected or rejected == self._logged_entries:
            return
        self._logged_entries = rejected
        self.log(f"discovery: {len(rejected)} entries of the server list ignored; the first: {rejected[0]}")

    def _record_failure(self, call: Call, address: tuple[str, int], problem: str) -> None:
        if call.number in self.schedule.outstanding:
            self.log(f"call to discovery at {address[0]}:{address[1]} failed: {problem}")
            self.failed_rounds += self.schedule.record_failure(call.number, self.clock())
            self._rescheduled.set()

    async def _connect(self, address: tuple[str, int]) -> Channel:
        channel = Channel(await net.connect(*address), h11.CLIENT, max_head=16384, read_ahead=262144)
        await channel.run_reader()
        return channel

    async def _fetch(self, channel: Channel, call: Call, address: tuple[str, int]) -> bytes:
        if channel.conn.our_state is h11.DONE:
            channel.conn.start_next_cycle()
        target = f"/v1/servers?after={self.servers.after}&wait_ms={call.wait_ms:.0f}"
        host = f"{address[0]}:{address[1]}".encode()
        await channel.send(
            h11.Request(method=b"GET", target=target.encode(), headers=[(b"host", host)]), h11.EndOfMessage()
        )
        event = await channel.response()
        body = await channel.rest(MAX_ANSWER_BYTES)
        if event.status_code != 200:
            raise ConnectionLostError(f"status {event.status_code}")
        return body
