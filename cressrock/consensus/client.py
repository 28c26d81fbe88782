"""The council as any process asks it, and what a process keeps of its decrees."""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup

from cressrock.consensus import decisions as d
from cressrock.consensus import wire as w
from cressrock.consensus.store import flush_directory
from cressrock.consensus.transport import Environment, PeerConnection, ReconnectBackoff
from cressrock.errors.consensus import (
    DecisionConflictError,
    DecisionTooLargeError,
    InvalidDecisionError,
    InvalidReplicaSetError,
    NoQuorumError,
    RequestForgottenError,
    StoreTooNewError,
)


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """How a client asks; times in milliseconds."""

    timeout_ms: float = 10_000.0  # several elections: a leader's death is ridden out
    attempt_timeout_ms: float = 1000.0  # without an answer the next seat is asked
    retry_delay_ms: float = 40.0  # before the next try, drawn from its half up
    bounds: w.Bounds = w.Bounds()
    reconnect: ReconnectBackoff = ReconnectBackoff()


class ConsensusClient:
    """Asks the council's seats; any process may, by whichever seat answers.

    `seats` names the seats with their addresses as this process reaches them.  Lines are opened when first
    used and live in `tasks`.  One question is repeated under one request id while its outcome is unknown, so
    it is applied once however often it arrived.
    """

    def __init__(
        self,
        environment: Environment,
        tasks: TaskGroup,
        cluster: str,
        name: str,
        replicas: Mapping[str, str],
        settings: ClientSettings | None = None,
        *,
        cache: DecisionCache | None = None,
    ) -> None:
        """`name` tells who asked, in decrees and request ids; `reader` takes what is answered as well.

        Raises SeatsWrong without any seat.
        """
        if not replicas:
            raise InvalidReplicaSetError("no seat to ask")
        self.environment, self.tasks, self.cluster, self.name = environment, tasks, cluster, name
        self.settings = settings or ClientSettings()
        self.replicas = dict(replicas)
        self.cache = cache or DecisionCache(None, environment.clock)
        self.leader = ""  # where the last answer came from
        self._applied = 0  # the newest index that any seat said it has applied
        self._lines: dict[str, PeerConnection] = {}
        # Ids must not come a second time in a later life of this name.
        self._life = f"{name[:64]}-{environment.random_source.getrandbits(64):016x}"
        self._asked = 0

    def _line(self, name: str) -> PeerConnection:
        line = self._lines.get(name)
        if line is None:
            me = w.Me(self.cluster, self.name[:64], False)
            line = PeerConnection(
                self.environment,
                name,
                self.replicas[name],
                lambda: me,
                bounds=self.settings.bounds,
                redial=self.settings.reconnect,
            )
            self._lines[name] = line
            self.tasks.start_soon(line.run)
        return line

    def new_request_id(self) -> str:
        """Return a new request id."""
        self._asked += 1
        return f"{self._life}-{self._asked}"

    # --- what is asked

    async def decide(
        self,
        topic: str,
        value: bytes,
        lease_ms: float,
        if_version: int | None = None,
        *,
        author: str | None = None,
        request_id: str | None = None,
        timeout_ms: float | None = None,
    ) -> d.Decision:
        """Let `value` stand for `topic` and return the decree; with `if_number` only after it (0: none).

        Raises Conflict with the number that stands; TooLarge; Forgotten; BadDecree for a topic or hold that
        cannot be; NoQuorum, whose `unknown` says whether it may still come to stand.
        """
        if len(value) > d.MAX_VALUE_BYTES:
            raise DecisionTooLargeError(f"topic {topic!r}: a value of {len(value)} bytes")
        fresh = request_id is None
        request_id = request_id or self.new_request_id()
        author = self.name if author is None else author

        def ask(asked_at: int) -> w.Question:
            return d.Decide(topic, value, lease_ms, author, request_id, asked_at, if_version)

        d.decode_command(d.encode(d.Decide(topic, value, lease_ms, author, request_id, 0, if_version)))
        reply = await self._ask(ask, timeout_ms, f"topic {topic!r}", fresh=fresh)
        if not isinstance(reply, w.Stands) or reply.decree is None:
            raise InvalidDecisionError(f"a seat answered {type(reply).__name__} to a decision")
        self.cache.receive(reply.decree)
        return reply.decree

    async def drop(
        self, topic: str, if_version: int | None = None, *, timeout_ms: float | None = None
    ) -> int:
        """Let nothing stand for `topic`; returns the drop's number.  Raises as `decide` does."""
        request = self.new_request_id()
        reply = await self._ask(
            lambda asked_at: d.Drop(topic, request, asked_at, if_version), timeout_ms, f"topic {topic!r}"
        )
        if not isinstance(reply, d.Done):
            raise InvalidDecisionError(f"a seat answered {type(reply).__name__} to a drop")
        return reply.version

    async def read(self, topic: str, *, timeout_ms: float | None = None) -> d.Decision | None:
        """Return what stands for `topic` at some moment during this call (linearizable), or None.

        Raises NoQuorum.
        """
        reply = await self._ask(lambda _: w.Read(topic), timeout_ms, f"topic {topic!r}")
        if not isinstance(reply, w.Stands):
            raise InvalidDecisionError(f"a seat answered {type(reply).__name__} to a read")
        if reply.decree is not None:
            self.cache.receive(reply.decree)
        return reply.decree

    async def join(self, identity: str, *, timeout_ms: float | None = None) -> None:
        """Have the seat `identity` (name#id) taken in.  Raises NoQuorum."""
        await self._ask(lambda _: w.Join(identity), timeout_ms, f"seat {identity}")

    async def remove(self, who: str, *, timeout_ms: float | None = None) -> None:
        """Have a seat put out, by name or identity.  Raises NoQuorum."""
        await self._ask(lambda _: w.Remove(who), timeout_ms, f"seat {who}")

    async def transfer(self, to: str, *, timeout_ms: float | None = None) -> None:
        """Ask the leader to hand the lead to the seat `to`.  Raises NoQuorum."""
        await self._ask(lambda _: w.Transfer(to), timeout_ms, f"seat {to}")

    async def status(self, name: str, *, timeout_ms: float | None = None) -> dict[str, Any] | None:
        """Return one seat's own status; None where it does not answer in time."""
        until = self.environment.clock() + (timeout_ms or self.settings.attempt_timeout_ms)
        line = self._line(name)
        if await line.stands(until) is None:
            return None
        reply = await line.ask(w.Status(), forward=False, until_ms=until)
        return json.loads(reply.text) if isinstance(reply, w.Told) else None

    # --- how

    async def _ask(
        self,
        question: Callable[[int], w.Question],
        timeout_ms: float | None,
        what: str,
        *,
        fresh: bool = True,
    ) -> w.Stands | d.Done:
        clock, settings = self.environment.clock, self.settings
        began = clock()
        end = began + (settings.timeout_ms if timeout_ms is None else timeout_ms)
        asked_at: int | None = None
        sent = 0
        why = "no seat could be reached"
        names = sorted(self.replicas)
        turn = (
            names.index(self.leader)
            if self.leader in names
            else self.environment.random_source.randrange(len(names))
        )
        unreachable: set[str] = set()
        forward = False
        while clock() < end:
            name = names[turn % len(names)]
            until = min(end, clock() + settings.attempt_timeout_ms)
            line = self._line(name)
            if (peer := line.peer or await line.stands(until)) is None:
                unreachable.add(name)
                forward = True
                turn += 1
                continue
            if asked_at is None:
                asked_at = self._applied = max(self._applied, peer.applied, line.applied)
            sent += 1
            reply = await line.ask(question(asked_at), forward=forward, until_ms=until)
            self._applied = max(self._applied, line.applied)
            match reply:
                case w.Stands() | d.Done():
                    self.leader = name
                    return reply
                case d.VersionConflict(number):
                    raise DecisionConflictError(f"{what}: another decision stands, number {number}", number)
                case d.Rejected("forgotten") if fresh and sent == 1:
                    # Sent this once and never before: surely not applied, the index was only too old.
                    asked_at, sent = None, 0
                case d.Rejected("forgotten"):
                    raise RequestForgottenError(f"{what}: asked too late to know whether it was applied")
                case d.Rejected(reason):
                    raise DecisionTooLargeError(f"{what}: {reason}")
                case w.Elsewhere(hint):
                    why = f"{name} does not lead"
                    if hint in self.replicas and hint != name and hint not in unreachable:
                        turn = names.index(hint)
                    else:
                        # Where the leader cannot be reached from here, a seat that does passes it on.
                        forward = forward or bool(hint)
                        turn += 1
                case w.Later(text):
                    why = f"{name}: {text}"
                case _:
                    why = f"{name} did not answer"
                    unreachable.add(name)
                    forward = True
                    turn += 1
            pause = settings.retry_delay_ms * self.environment.random_source.uniform(0.5, 1)
            await anyio.sleep(max(0.0, min(pause, end - clock())) / 1000)
        waited = clock() - began
        raise NoQuorumError(f"{what}: not decided within {waited:.0f} ms ({why})", waited, sent > 0)


class DecisionCache:
    """A process's Reader with its memory on disk: what was seen is kept before anybody is told of it.

    One small write and flush for each new number, on the caller's own task: decrees are few.
    """

    def __init__(
        self, path: str | Path | None, clock: Callable[[], float], *, max_topics: int = d.MAX_TOPICS
    ) -> None:
        """Without a path nothing is kept.  A file that cannot be read is put aside: `torn` says why.

        Raises StoreNewer for a newer program's file.
        """
        self.path = Path(path) if path else None
        self.clock = clock
        self.corrupt_reason = ""
        self.unsaved_reason = ""  # why the last write failed; "" while all is kept
        self.listeners: list[Callable[[d.Decision], None]] = []
        seen = b""
        if self.path is not None:
            try:
                seen = self.path.read_bytes()
            except FileNotFoundError:
                pass
        try:
            self.reader = d.DecisionReader(seen, max_topics=max_topics)
        except StoreTooNewError:
            raise
        except InvalidDecisionError as wrong:
            # Only the guard against older decrees is lost, and the council's next beat sets it again.
            self.corrupt_reason = str(wrong)
            self.reader = d.DecisionReader(max_topics=max_topics)

    def receive(self, decree: d.Decision) -> bool:
        """Take a decree from wherever it came; returns whether it is news.

        A new number is on disk before anybody is told; beats are kept with the next number, since a life
        that begins with an older beat only counts a decree for one more hold.  Where the disk takes nothing
        the decree counts all the same (no rule leans on it) and `unkept` says so until a write succeeds.
        """
        number = self.reader.last_version(decree.topic)
        news = self.reader.receive(decree, self.clock())
        if news and (decree.version > number or self.unsaved_reason):
            try:
                self.save()
                self.unsaved_reason = ""
            except OSError as wrong:
                self.unsaved_reason = str(wrong)
        if news:
            for tell in self.listeners:
                tell(decree)
        return news

    def receive_bytes(self, data: bytes) -> bool:
        """Take a decree's bytes, as seats put them into the spread.  Raises BadDecree, StoreNewer."""
        return self.receive(d.decode_decision(data))

    def get(self, topic: str) -> d.Decision | d.Expired | None:
        """Return what counts now; see Reader.get."""
        return self.reader.get(topic, self.clock())

    def save(self) -> None:
        """Put what was seen on disk, whole or not at all.  Raises OSError."""
        if self.path is None:
            return
        part = self.path.with_name(self.path.name + ".part")
        with open(part, "wb") as file:
            file.write(self.reader.to_bytes())
            file.flush()
            os.fsync(file.fileno())
        os.replace(part, self.path)
        flush_directory(self.path.parent)
