"""One replica over TCP: raft's batches persisted, sent and applied in that order, requests answered.

The raft core is touched by one task alone (`_drive`): what comes in waits in a bounded queue until the batch
before it is persisted, sent and applied.  A batch is written in a thread and awaited; nothing of it is said
before it lasts.  When the store fails, the replica is over: its core is thrown away, every connection is
closed with the reason, and nothing is answered from memory.

How a replica comes to take part (`start`):

- "found": with no store, all replicas named in the settings greet one another, each with the id drawn for its
  new store; when all have met, each forms the group of those identities.  A replica that meets a group which
  stands without it has lost its store (StoreMissingError): it takes no part.
- "expect": as above, but a store must be there; without one the replica takes no part (StoreMissingError).
- "join": with no store, the replica joins as a new one: the leader removes the former one of its name,
catches
  it up, and adds it.  With a store, all three are the same: it goes on from there.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from pathlib import Path

import anyio
import anyio.lowlevel
import msgspec

from cressrock.consensus.connection_protocol import (
    FOREVER,
    LocalEndpoint,
)
from cressrock.consensus.decision_state import DecisionState
from cressrock.consensus.decisions import Command, Decision, Done, Outcome, SetVersionBase
from cressrock.consensus.environment import Environment
from cressrock.consensus.frames import (
    AddReplica,
    CloseNotice,
    GetStatus,
    NotLeader,
    Operation,
    RaftFrame,
    Reply,
    RetryLater,
    encode_status,
)
from cressrock.consensus.group_formation import find_initial_replicas
from cressrock.consensus.identity import consensus_group_id, replica_name
from cressrock.consensus.leader_requests import LeaderRequests
from cressrock.consensus.raft.messages import LogEntry, RaftMessage, decode, decode_voters, encode
from cressrock.consensus.raft.node import RaftNode
from cressrock.consensus.raft.persistent_state import StoredState, initial_state
from cressrock.consensus.raft.ready import Ready
from cressrock.consensus.raft.state import Role
from cressrock.consensus.replica_server import GROUP_FORMED, ReplicaServer
from cressrock.consensus.replica_status import replica_status
from cressrock.consensus.settings import ReplicaSettings, check_replica_set
from cressrock.consensus.store import ReplicaStore
from cressrock.consensus.store_records import StoreHeader
from cressrock.consensus.transport import WAKE_MARGIN_SECONDS, PeerConnection
from cressrock.errors import CressrockError
from cressrock.errors.consensus import InvalidMessageError, PeerRejectedError, ReplicaRemovedError
from cressrock.http.channel import Stream

SNAPSHOT_AT = 0.5  # of the log's bounds: a snapshot is taken here, and replaces the log at all of them


class ConsensusReplica:
    """One replica: `run` it in a task group, and hand accepted streams to `serve`."""

    def __init__(
        self,
        environment: Environment,
        settings: ReplicaSettings,
        *,
        publish: Callable[[tuple[Decision, ...]], None] = lambda decisions: None,
        on_status_change: Callable[[dict[str, object]], None] = lambda status: None,
        on_applied: Callable[[int, Command, Outcome], None] = lambda index, command, outcome: None,
        max_pages: int = 0,
    ) -> None:
        """`publish` takes decisions for all to read, from a leader with each renewal and from any replica
        when newly decided; `on_status_change` the status when role, leader or failure changed.

        Raises InvalidReplicaSetError.
        """
        if settings.start == "found":
            check_replica_set(settings.replicas, settings.name)
        self.environment, self.settings = environment, settings
        self.publish, self.on_status_change, self.on_applied = publish, on_status_change, on_applied
        self.max_pages = max_pages
        self.failed: CressrockError | None = None
        self.store: ReplicaStore | None = None
        self.header: StoreHeader | None = None
        self.raft: RaftNode | None = None
        self.decisions = DecisionState(settings.limits)
        self.requests = LeaderRequests(settings)
        self.counts: Counter[str] = Counter()
        self.connections: dict[str, PeerConnection] = {}
        self._server = ReplicaServer(environment, settings, self, self.counts)
        self._inbox: deque[tuple[str, RaftMessage]] = deque()
        self._wakeup = anyio.Event()
        self._snapshot: tuple[int, bytes] | None = None  # taken, and not yet in the log's place
        self._reported: tuple[object, ...] = ()
        self._stored = StoredState()
        self._was_voter = False
        self._replayed_index = 0  # the last index that the store held at the start

    # --- identity

    @property
    def identity(self) -> str:
        """The replica's name in the log: name#id; "" before the store is open."""
        return self.header.identity if self.header else ""

    @property
    def initial_replicas(self) -> tuple[str, ...]:
        """The identities that formed this replica's group; () before it has one."""
        return tuple(self.header.initial_replicas) if self.header else ()

    def local_endpoint(self) -> LocalEndpoint:
        """Return who this replica is on its connections."""
        initial_replicas, cluster = self.initial_replicas, self.settings.cluster
        group = consensus_group_id(cluster, initial_replicas) if initial_replicas else ""
        return LocalEndpoint(cluster, self.identity, True, group, initial_replicas, self.decisions.applied)

    def status(self) -> dict[str, object]:
        """Return the replica's status as plain values, for an admin port."""
        return replica_status(self)

    def _report(self) -> None:
        raft = self.raft
        now = (raft.role, raft.term, raft.leader) if raft else (None, 0, "")
        known = (*now, self.failed, self.initial_replicas)
        if known != self._reported:
            self._reported = known
            status = self.status()
            fields = {key: status[key] for key in ("role", "term", "leader")}
            self.environment.log_event("consensus.role_changed", **fields)
            self.on_status_change(status)

    # --- life

    async def run(self) -> None:
        """Take part until cancelled; a replica that fails stays, and tells everybody who asks why."""
        settings = self.settings
        try:
            async with anyio.create_task_group() as tasks:
                self._server.tasks = tasks
                try:
                    await self.environment.run_blocking(self._open)
                    self._begin()
                    for name in sorted(set(settings.replicas) - {settings.name}):
                        self.connections[name] = self._connect(name)
                        tasks.start_soon(self.connections[name].run)
                    self._report()
                    tasks.start_soon(self._join)
                    await self._drive()
                except CressrockError as error:
                    self._fail(error)
                    tasks.cancel_scope.cancel()
            await anyio.sleep_forever()
        finally:
            self._server.tasks = None
            if self.store is not None:
                self.store.close()

    def _open(self) -> None:
        settings = self.settings
        Path(settings.store).parent.mkdir(parents=True, exist_ok=True)
        self.store = ReplicaStore(
            settings.store,
            cluster=settings.cluster,
            replica=settings.name,
            must_exist=settings.start == "expect",
            random_bytes=self.environment.random_bytes,
            max_pages=self.max_pages,
        )
        self.header = self.store.header
        if self.header.removed:
            raise ReplicaRemovedError(f"seat {self.identity} was put out of the council")
        self._stored = self.store.load()

    def _begin(self) -> None:
        if not self.initial_replicas:
            return
        stored = self._stored
        self.decisions = DecisionState(self.settings.limits)
        if stored.snapshot is not None:
            self.decisions = DecisionState.restore(stored.snapshot.data, stored.snapshot.index)
            self._was_voter = self.identity in stored.snapshot.voters
        self._replayed_index = stored.entries[-1].index if stored.entries else self.decisions.applied
        environment = self.environment
        self.raft = RaftNode(
            self.identity, stored, self.settings.timing, environment.random_source, environment.clock()
        )

    def _fail(self, error: CressrockError) -> None:
        self.failed, self.raft, self._server.tasks = error, None, None
        self.environment.log_event("consensus.replica_stopped", **error.fields())
        self.requests.answer_all(NotLeader())
        self._server.close_all(error.code, error.text)
        if self.store is not None:
            self.store.close()
        self._report()

    def _wake(self) -> None:
        self._wakeup.set()

    # --- forming and joining a group

    def _connect(self, name: str) -> PeerConnection:
        return PeerConnection(
            self.environment,
            name,
            self.settings.replicas[name],
            self.local_endpoint,
            limits=self.settings.connection_limits,
            reconnect=self.settings.reconnect,
            on_open=self._wake,
        )

    async def _form_group(self) -> None:
        """Look whether this replica can have a group by now."""
        if self.raft is not None or self.header is None or self.store is None:
            return
        peers = {name: one.peer for name, one in self.connections.items() if one.peer is not None}
        initial_replicas = find_initial_replicas(self.identity, self.settings, peers, self.connections)
        if not initial_replicas:
            return
        stored = initial_state(initial_replicas) if self.identity in initial_replicas else StoredState()
        header = msgspec.structs.replace(self.header, initial_replicas=initial_replicas)
        await self.environment.run_blocking(partial(self.store.save_header, header, stored))
        self.header, self._stored = header, stored
        self._begin()
        self.environment.log_event(
            "consensus.group_formed",
            group=self.local_endpoint().group,
            initial_replicas=list(initial_replicas),
        )
        # Whoever greeted before learns of the group by greeting again.
        self._server.close_all(GROUP_FORMED, "founded: greet again", replicas_only=True)

    async def _join(self) -> None:
        """Ask to be added for as long as this replica is no voter."""
        if self.settings.start != "join":
            return
        while True:
            await anyio.sleep(self.settings.join_interval_ms / 1000)
            if self.failed is not None or (self.raft is not None and self.identity in self.raft.voters):
                return
            if self.raft is None:
                continue
            for connection in self.connections.values():
                deadline_ms = self.environment.clock() + self.settings.request_timeout_ms
                reply = await connection.ask(AddReplica(self.identity), forward=True, deadline_ms=deadline_ms)
                if isinstance(reply, Done):
                    break

    # --- what others ask

    async def serve(self, stream: Stream) -> None:
        """Serve one accepted stream to its end."""
        await self._server.serve(stream)

    def refusal(self) -> CloseNotice | None:
        """Return with what to close connections if this replica serves nobody now."""
        if self.failed is not None:
            return CloseNotice(self.failed.code, self.failed.text)
        if self.header is None:
            return CloseNotice("council-starting", "the store is being opened")
        return None

    def applied(self) -> int:
        """Return the newest index that was applied."""
        return self.decisions.applied

    def receive_raft(self, peer: str, data: bytes) -> None:
        """Queue a replica's message for the core."""
        try:
            sender, receiver, message = decode(data, self.settings.cluster)
        except InvalidMessageError as error:
            self.counts[f"refused {error.reason}"] += 1
            return
        # A connection speaks for the replica that greeted on it, and only to who we are in this life.
        if sender != peer or receiver != self.identity or self.raft is None:
            self.counts["not for us"] += 1
        elif len(self._inbox) >= self.settings.max_inbox:
            self.counts["inbox full"] += 1
        else:
            self._inbox.append((sender, message))
            self._wake()

    async def reply(self, operation: Operation, *, forward: bool) -> Reply:
        """Do an operation, or say who may; `forward`: ask the leader where this replica does not lead."""
        if isinstance(operation, GetStatus):
            return encode_status(self.status())
        if self.raft is None:
            return RetryLater("this seat has no council yet")
        deadline_ms = self.environment.clock() + self.settings.request_timeout_ms
        if self.raft.role is not Role.LEADER:
            leader = replica_name(self.raft.leader)
            connection = self.connections.get(leader)
            if forward and connection is not None and connection.peer is not None:
                reply = await connection.ask(operation, forward=False, deadline_ms=deadline_ms)
                return reply or NotLeader()
            return NotLeader(leader)
        request = self.requests.submit(operation)
        self._wake()
        with anyio.move_on_at(deadline_ms / 1000):
            await request.done.wait()
        return request.reply or NotLeader()

    # --- the one task that touches the core

    async def _drive(self) -> None:
        while True:
            self._wakeup = anyio.Event()
            await anyio.lowlevel.checkpoint()
            await self._form_group()
            deadline_ms = FOREVER
            if (raft := self.raft) is not None:
                self._step(raft)
                if raft.has_ready():
                    await self._process_batch(raft, raft.ready())
                    self._compact(raft)
                    self._report()
                    continue
                self._report()
                renewal_ms = self.requests.next_renewal_ms if raft.role is Role.LEADER else FOREVER
                deadline_ms = min(raft.next_deadline_ms(), renewal_ms)
            if self._inbox or self.requests.has_queued:
                continue
            with anyio.move_on_at(deadline_ms / 1000 + WAKE_MARGIN_SECONDS):
                await self._wakeup.wait()

    def _step(self, raft: RaftNode) -> None:
        """Give the core its messages, the time and the requests."""
        now_ms = self.environment.clock()
        while self._inbox:
            sender, message = self._inbox.popleft()
            raft.receive(now_ms, sender, message)
        raft.tick(now_ms)
        if raft.excluded_reason:
            raise PeerRejectedError(f"seat {self.identity}: {raft.excluded_reason}")
        self.requests.process(raft, self.decisions, now_ms, self.environment.wall_ms)

    async def _process_batch(self, raft: RaftNode, ready: Ready) -> None:
        if ready.must_persist and self.store is not None:
            await self.environment.run_blocking(
                partial(
                    self.store.write, ready.hard_state, ready.snapshot, ready.entries, ready.truncate_from
                )
            )
        self._send(ready)
        if ready.restore_snapshot and ready.snapshot is not None:
            self.decisions = DecisionState.restore(ready.snapshot.data, ready.snapshot.index)
            self._snapshot = None
            await self._check_still_voter(ready.snapshot.voters)
        for entry in ready.committed:
            await self._apply(entry)
        self.requests.on_reads_lost(ready.lost_reads, raft.leader)
        for read in ready.confirmed_reads:
            now_ms = self.environment.clock()
            renewed = self.requests.on_read_confirmed(raft, self.decisions, read.token, now_ms)
            if renewed is not None:
                self.publish(renewed)
        raft.advance(ready)

    def _send(self, ready: Ready) -> None:
        for receiver, message in ready.messages:
            connection = self.connections.get(replica_name(receiver))
            if connection is None:
                self.counts["no address"] += 1
                continue
            connection.send(RaftFrame(encode(self.settings.cluster, self.identity, receiver, message)))

    async def _apply(self, entry: LogEntry) -> None:
        if entry.kind == "seats":
            await self._check_still_voter(decode_voters(entry.data))
        applied = self.decisions.apply(entry.index, entry.data if entry.kind == "command" else b"")
        if applied is None:
            return
        command, outcome = applied
        self.on_applied(entry.index, command, outcome)
        if isinstance(command, SetVersionBase):
            return
        self.requests.on_applied(command, outcome)
        decision = self.decisions.get(command.topic)
        # Not what the store held at the start: nobody knows how long that has lain there.
        is_live = entry.index > self._replayed_index
        is_current = (
            isinstance(outcome, Done) and decision is not None and decision.version == outcome.version
        )
        if is_live and is_current and decision is not None:
            self.publish((decision,))

    async def _check_still_voter(self, voters: tuple[str, ...]) -> None:
        if self.identity in voters:
            self._was_voter = True
        if not self._was_voter or self.identity in voters or self.header is None or self.store is None:
            return  # a new replica reads of the times before it
        header = msgspec.structs.replace(self.header, removed=True)
        await self.environment.run_blocking(partial(self.store.save_header, header))
        raise ReplicaRemovedError(f"seat {self.identity} was put out of the council")

    def _compact(self, raft: RaftNode) -> None:
        """Keep the log bounded, and enough of it that a replica a little behind needs no snapshot."""
        settings = self.settings
        fill = max(
            len(raft.log.entries) / settings.max_log_entries, raft.log.data_bytes / settings.max_log_bytes
        )
        if fill >= SNAPSHOT_AT and self._snapshot is None:
            self._snapshot = (self.decisions.applied, self.decisions.snapshot())
        elif fill >= 1 and self._snapshot is not None:
            raft.compact(*self._snapshot)
            self._snapshot = None
