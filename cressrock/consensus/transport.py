"""The council's connections: an open one, and a line that is dialled again for as long as it lives."""

from __future__ import annotations

import os
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio
import anyio.to_thread

from cressrock.consensus import wire as w
from cressrock.http.channel import BROKEN, Stream


async def run_in_thread(work: Callable[[], None]) -> None:
    """Do blocking work in a thread and wait for it, also when cancelled: a write is done or has failed."""
    await anyio.to_thread.run_sync(work)


async def run_inline(work: Callable[[], None]) -> None:
    """Do blocking work at once: for simulated time, in which a thread's real time must not pass."""
    work()


@dataclass(frozen=True, slots=True)
class Environment:
    """What a carrier takes from outside: clocks (ms), dialling, threads, chance; `draw` for a store."""

    clock: Callable[[], float]
    wall_ms: Callable[[], float]
    connect: Callable[[str, int], Awaitable[Stream]]
    random_source: random.Random
    log: Any = None
    run_blocking: Callable[[Callable[[], None]], Awaitable[None]] = run_in_thread
    random_bytes: Callable[[int], bytes] = os.urandom

    def log_event(self, event: str, **fields: object) -> None:
        """Log one line."""
        if self.log is not None:
            self.log.info(event, **fields)


@dataclass(frozen=True, slots=True)
class ReconnectBackoff:
    """Waits between attempts, in ms: doubled from `least` to `most`, each drawn from its half up."""

    min_ms: float = 50.0
    max_ms: float = 1000.0
    connect_ms: float = 1000.0  # an attempt that hangs longer is given up


class Connection:
    """Carries one Talk over one stream until either ends."""

    def __init__(
        self, talk: w.Talk, stream: Stream, clock: Callable[[], float], told: Callable[[w.Event], None]
    ) -> None:
        """`told` takes each event, the Closed as the last one."""
        self.talk, self.stream, self.clock, self.on_event = talk, stream, clock, told
        self._news = anyio.Event()

    def wake(self) -> None:
        """Say that there is something to write."""
        self._news.set()

    def send(self, message: w.Raft | w.Ask | w.Answer) -> bool:
        """Queue a message and write it soon; False where it was lost."""
        sent = self.talk.send(message)
        self._news.set()
        return sent

    def close(self, code: str, reason: str) -> None:
        """End it from this side with a reason."""
        self._tell(self.talk.close(code, reason))
        self._news.set()

    def _tell(self, events: list[w.Event]) -> None:
        for event in events:
            self.on_event(event)

    async def run(self) -> None:
        """Serve to the end and close the stream."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read, tasks.cancel_scope)
                while True:
                    self._tell(self.talk.tick(self.clock()))
                    self._news = anyio.Event()
                    if data := self.talk.take_bytes():
                        # A peer that takes nothing must not keep its connection for ever.
                        with anyio.fail_after(self.talk.bounds.silent_ms / 1000):
                            await self.stream.send(data)
                    if self.talk.state is w.State.CLOSED:
                        break
                    with anyio.move_on_at(self.talk.next_due() / 1000 + 1e-6):
                        await self._news.wait()
                tasks.cancel_scope.cancel()
        except (*BROKEN, TimeoutError):
            pass
        except BaseExceptionGroup as group:
            rest = group.split(lambda error: isinstance(error, (*BROKEN, TimeoutError)))[1]
            if rest is not None:
                raise rest from None
        finally:
            self._tell(self.talk.receive_end())
            with anyio.CancelScope(shield=True), anyio.move_on_after(1):
                await self.stream.aclose()

    async def _read(self, scope: anyio.CancelScope) -> None:
        try:
            while self.talk.state is not w.State.CLOSED:
                self._tell(self.talk.receive_data(await self.stream.receive(65536), self.clock()))
                self._news.set()
        except BROKEN:
            self._tell(self.talk.receive_end())
            scope.cancel()


class PeerConnection:
    """A connection to one seat that is dialled again whenever it ends."""

    def __init__(
        self,
        world: Environment,
        name: str,
        address: str,
        me: Callable[[], w.Me],
        *,
        bounds: w.Bounds,
        redial: ReconnectBackoff,
        opened: Callable[[], None] = lambda: None,
    ) -> None:
        """`me` says who greets, `opened` is called when it stands."""
        self.world, self.name, self.address, self.me = world, name, address, me
        self.bounds, self.redial, self._opened = bounds, redial, opened
        self.peer: w.Opened | None = None  # who is at the other end, while it stands
        self.parted: w.Closed | None = None  # why it ended last
        self.lost = 0
        self._connection: Connection | None = None
        self._stands = anyio.Event()
        self._asked: dict[int, tuple[anyio.Event, list[w.Reply]]] = {}
        self._number = 0

    async def run(self) -> None:
        """Keep the line up until cancelled."""
        host, _, port = self.address.rpartition(":")
        wait = self.redial.min_ms
        while True:
            stream = None
            try:
                with anyio.move_on_after(self.redial.connect_ms / 1000):
                    stream = await self.world.connect(host, int(port))
            except BROKEN:
                pass
            if stream is not None:
                talk = w.Talk(True, self.me(), self.world.clock(), bounds=self.bounds)
                self._connection = Connection(talk, stream, self.world.clock, self._told)
                try:
                    await self._connection.run()
                finally:
                    self._end()
                if talk.peer:
                    wait = self.redial.min_ms
            await anyio.sleep(wait * self.world.random_source.uniform(0.5, 1) / 1000)
            wait = min(wait * 2, self.redial.max_ms)

    def heard_ms(self) -> float | None:
        """Return when the other end was heard last on our clock, None while the line does not stand."""
        return self._connection.talk.heard if self._connection and self.peer else None

    @property
    def applied(self) -> int:
        """The newest index that the other end said it has applied; 0 while the line does not stand."""
        return self._connection.talk.applied if self._connection else 0

    def _end(self) -> None:
        self._connection = None
        self._fell()
        asked, self._asked = self._asked, {}
        for event, _ in asked.values():
            event.set()

    def _fell(self) -> None:
        self.peer = None
        if self._stands.is_set():  # an event that tasks still wait for must stay the one that is set
            self._stands = anyio.Event()

    def _told(self, event: w.Event) -> None:
        match event:
            case w.Opened():
                self.peer = event
                self._stands.set()
                self._opened()
            case w.Closed(code, reason):
                if code != "ended" and (self.parted is None or self.parted.code != code):
                    self.world.log_event("council.line.parted", seat=self.name, code=code, reason=reason)
                self.parted = event
                self._fell()
            case w.Answer(number, reply):
                if (waiting := self._asked.pop(number, None)) is not None:
                    waiting[1].append(reply)
                    waiting[0].set()

    def send(self, message: w.Raft) -> None:
        """Send a seat's message, or lose it."""
        if self._connection is None or not self._connection.send(message):
            self.lost += 1

    def close(self, code: str, reason: str) -> None:
        """End the present connection; it is dialled anew."""
        if self._connection is not None:
            self._connection.close(code, reason)

    async def stands(self, until_ms: float) -> w.Opened | None:
        """Wait for the line to stand; None where it does not in time."""
        with anyio.move_on_at(until_ms / 1000):
            while self.peer is None:
                await self._stands.wait()
        return self.peer

    async def ask(self, question: w.Question, *, forward: bool, until_ms: float) -> w.Reply | None:
        """Ask and wait; None where no answer came: what was asked may or may not have been done."""
        if self._connection is None or self.peer is None:
            return None
        self._number += 1
        number, event, replies = self._number, anyio.Event(), list[w.Reply]()
        self._asked[number] = (event, replies)
        try:
            if self._connection.send(w.Ask(number, question, forward)):
                with anyio.move_on_at(until_ms / 1000):
                    await event.wait()
        finally:
            self._asked.pop(number, None)
        return replies[0] if replies else None
