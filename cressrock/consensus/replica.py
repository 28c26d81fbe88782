"""One replica over TCP: persists, sends and applies raft's batches in that order, and answers requests.

Only one task (`_run_loop`) uses the raft core.  Incoming messages wait in a bounded queue until the previous
batch is persisted, sent and applied.  A batch is written in a thread and awaited; none of its messages is
sent before the write is durable.  If the store fails, the replica stops: it discards the core, closes every
connection with the reason, and answers nothing from memory.

Start modes (`start`) of a replica:

- "found": without a store, all replicas in the settings connect to one another, each with the id of its new
  store.  Once all are connected, each forms the group of those identities.  A replica that finds an existing
  group without itself has lost its store (StoreMissingError) and does not participate.
- "expect": as above, but a store must exist; otherwise the replica does not participate (StoreMissingError).
- "join": without a store, the replica joins as a new one: the leader removes the earlier replica of the same
  name, lets the new one catch up, and adds it.

With a store, all three modes continue from its content.
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

# A snapshot is taken at this fraction of the log's limits; it replaces the log at the full limits.
SNAPSHOT_FRACTION = 0.5
SLOW_WRITE_MS = 100.0  # a longer write of the store is logged


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
        """Create a replica that `run` starts; nothing is opened yet.

        `publish` receives decisions to distribute: all of them from a leader with each renewal, and each new
        one from any replica that applies it.  `on_status_change` receives the status when role, term, leader,
        failure or group changed.  `on_applied` receives the index, command and outcome of each applied
        command.  `max_pages` bounds the store in SQLite pages (0: no bound).

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
        self._snapshot: tuple[int, bytes] | None = (
            None  # index and state; taken, but has not replaced the log yet
        )
        self._last_reported: tuple[object, ...] = ()
        self._stored = StoredState()
        self._was_voter = False
        self._replayed_index = 0  # the last index in the store at startup

    # --- identity

    @property
    def identity(self) -> str:
        """The replica's identity in the log (name#id); "" before the store is open."""
        return self.header.identity if self.header else ""

    @property
    def initial_replicas(self) -> tuple[str, ...]:
        """The identities that formed this replica's group; () before it has one."""
        return tuple(self.header.initial_replicas) if self.header else ()

    def local_endpoint(self) -> LocalEndpoint:
        """Return the identity that this replica presents on its connections."""
        initial_replicas, cluster = self.initial_replicas, self.settings.cluster
        group = consensus_group_id(cluster, initial_replicas) if initial_replicas else ""
        return LocalEndpoint(cluster, self.identity, True, group, initial_replicas, self.decisions.applied)

    def status(self) -> dict[str, object]:
        """Return the replica's status as JSON-compatible values, for the admin port."""
        return replica_status(self)

    def _report_status_change(self) -> None:
        raft = self.raft
        now = (raft.role, raft.term, raft.leader) if raft else (None, 0, "")
        known = (*now, self.failed, self.initial_replicas)
        if known != self._last_reported:
            self._last_reported = known
            status = self.status()
            fields = {key: status[key] for key in ("role", "term", "leader")}
            self.environment.log_event("consensus.role_changed", **fields)
            self.on_status_change(status)

    # --- lifecycle

    async def run(self) -> None:
        """Run the replica until cancelled; after a failure it keeps rejecting connections with the reason."""
        settings = self.settings
        try:
            async with anyio.create_task_group() as tasks:
                self._server.tasks = tasks
                try:
                    await self.environment.run_blocking(self._open)
                    self._start_raft()
                    for name in sorted(set(settings.replicas) - {settings.name}):
                        self.connections[name] = self._connect(name)
                        tasks.start_soon(self.connections[name].run)
                    self._report_status_change()
                    tasks.start_soon(self._join)
                    await self._run_loop()
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
            raise ReplicaRemovedError(f"seat {self.identity} was removed from the council")
        self._stored = self.store.load()

    def _start_raft(self) -> None:
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
        self._report_status_change()

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
        """Form or join the group if its initial replicas are known by now."""
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
        self._start_raft()
        self.environment.log_event(
            "consensus.group_formed",
            group=self.local_endpoint().group,
            initial_replicas=list(initial_replicas),
        )
        # Peers connected before this point learn the group when they reconnect.
        self._server.close_all(GROUP_FORMED, "the council was formed: connect again", replicas_only=True)

    async def _join(self) -> None:
        """Ask repeatedly to be added until this replica is a voter."""
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

    # --- requests from peers and clients

    async def serve(self, stream: Stream) -> None:
        """Serve one accepted stream until it ends."""
        await self._server.serve(stream)

    def refusal(self) -> CloseNotice | None:
        """Return the notice with which to close new connections; None if the replica accepts them."""
        if self.failed is not None:
            return CloseNotice(self.failed.code, self.failed.text)
        if self.header is None:
            return CloseNotice("council-starting", "the seat is starting: its store is being opened")
        return None

    def applied(self) -> int:
        """Return the last applied index."""
        return self.decisions.applied

    def receive_raft(self, peer: str, data: bytes) -> None:
        """Queue a message from another replica for the raft core; invalid ones are counted and dropped."""
        try:
            sender, receiver, message = decode(data, self.settings.cluster)
        except InvalidMessageError as error:
            self.counts[f"refused {error.reason}"] += 1
            return
        # A connection carries only messages from the identity in its handshake to our current identity.
        if sender != peer or receiver != self.identity or self.raft is None:
            self.counts["not for us"] += 1
        elif len(self._inbox) >= self.settings.max_inbox:
            self.counts["inbox full"] += 1
        else:
            self._inbox.append((sender, message))
            self._wake()

    async def reply(self, operation: Operation, *, forward: bool) -> Reply:
        """Execute an operation and return its reply; with `forward` a follower passes it to the leader."""
        if isinstance(operation, GetStatus):
            return encode_status(self.status())
        if self.raft is None:
            return RetryLater("this seat is not part of a council yet")
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

    # --- main loop: the only task that uses the raft core

    async def _run_loop(self) -> None:
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
                    self._report_status_change()
                    continue
                self._report_status_change()
                renewal_ms = self.requests.next_renewal_ms if raft.role is Role.LEADER else FOREVER
                deadline_ms = min(raft.next_deadline_ms(), renewal_ms)
            if self._inbox or self.requests.has_queued:
                continue
            with anyio.move_on_at(deadline_ms / 1000 + WAKE_MARGIN_SECONDS):
                await self._wakeup.wait()

    def _step(self, raft: RaftNode) -> None:
        """Pass the queued messages, the time and the requests to the raft core."""
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
            await self._persist(self.store, raft, ready)
        self._send(ready)
        if ready.restore_snapshot and ready.snapshot is not None:
            self.decisions = DecisionState.restore(ready.snapshot.data, ready.snapshot.index)
            self._snapshot = None
            await self._stop_if_removed(ready.snapshot.voters)
        for entry in ready.committed:
            await self._apply(entry)
        self.requests.on_reads_lost(ready.lost_reads, raft.leader)
        for read in ready.confirmed_reads:
            now_ms = self.environment.clock()
            renewed = self.requests.on_read_confirmed(raft, self.decisions, read.token, now_ms)
            if renewed is not None:
                self.publish(renewed)
        raft.advance(ready)

    async def _persist(self, store: ReplicaStore, raft: RaftNode, ready: Ready) -> None:
        began_ms = self.environment.clock()
        await self.environment.run_blocking(
            partial(store.write, ready.hard_state, ready.snapshot, ready.entries, ready.truncate_from)
        )
        now_ms = self.environment.clock()
        duration_ms = now_ms - began_ms
        raft.record_write(duration_ms, now_ms)
        if duration_ms > SLOW_WRITE_MS:
            self.environment.log_event("consensus.slow_write", ms=round(duration_ms, 1))

    def _send(self, ready: Ready) -> None:
        for receiver, message in ready.messages:
            connection = self.connections.get(replica_name(receiver))
            if connection is None:
                self.counts["no address"] += 1
                continue
            connection.send(RaftFrame(encode(self.settings.cluster, self.identity, receiver, message)))

    async def _apply(self, entry: LogEntry) -> None:
        if entry.kind == "seats":
            await self._stop_if_removed(decode_voters(entry.data))
        applied = self.decisions.apply(entry.index, entry.data if entry.kind == "command" else b"")
        if applied is None:
            return
        command, outcome = applied
        self.on_applied(entry.index, command, outcome)
        if isinstance(command, SetVersionBase):
            return
        self.requests.on_applied(command, outcome)
        decision = self.decisions.get(command.topic)
        # Entries replayed from the store are not published: they may be arbitrarily old.
        is_live = entry.index > self._replayed_index
        is_current = (
            isinstance(outcome, Done) and decision is not None and decision.version == outcome.version
        )
        if is_live and is_current and decision is not None:
            self.publish((decision,))

    async def _stop_if_removed(self, voters: tuple[str, ...]) -> None:
        if self.identity in voters:
            self._was_voter = True
        if not self._was_voter or self.identity in voters or self.header is None or self.store is None:
            return  # a new replica also applies entries from before it was added
        header = msgspec.structs.replace(self.header, removed=True)
        await self.environment.run_blocking(partial(self.store.save_header, header))
        raise ReplicaRemovedError(f"seat {self.identity} was removed from the council")

    def _compact(self, raft: RaftNode) -> None:
        """Keep the log bounded, but long enough that a replica slightly behind needs no snapshot."""
        settings = self.settings
        fill = max(
            len(raft.log.entries) / settings.max_log_entries, raft.log.data_bytes / settings.max_log_bytes
        )
        if fill >= SNAPSHOT_FRACTION and self._snapshot is None:
            self._snapshot = (self.decisions.applied, self.decisions.snapshot())
        elif fill >= 1 and self._snapshot is not None:
            raft.compact(*self._snapshot)
            self._snapshot = None
