"""Seeded input streams for the consensus core, its decisions and connections, and digests of the results."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Any, ClassVar

import msgspec

from cressrock.consensus import decision_gossip, decisions, frames
from cressrock.consensus.connection_protocol import (
    Closed,
    ConnectionLimits,
    ConnectionProtocol,
    ConnectionState,
    Event,
    LocalEndpoint,
    Opened,
)
from cressrock.consensus.decision_reader import DecisionReader
from cressrock.consensus.decision_state import DecisionState
from cressrock.consensus.frames import (
    CloseNotice,
    Hello,
    Ping,
    Pong,
    RaftFrame,
    ReadDecision,
    Request,
    Response,
    RetryLater,
    Welcome,
)
from cressrock.consensus.lease_renewals import LeaseRenewals
from cressrock.consensus.raft import messages
from cressrock.consensus.raft.messages import LogEntry
from cressrock.consensus.raft.node import RaftNode
from cressrock.consensus.raft.persistent_state import (
    HardState,
    Snapshot,
    StoredState,
    force_single_voter,
    initial_state,
)
from cressrock.consensus.raft.ready import Ready
from cressrock.consensus.raft.settings import RaftSettings
from cressrock.consensus.raft.state import Role
from cressrock.errors import CressrockError
from tests.compatibility.canonical import Digest

ROLES = {
    Role.LEARNER: "learner",
    Role.FOLLOWER: "follower",
    Role.PRE_CANDIDATE: "pre-candidate",
    Role.CANDIDATE: "candidate",
    Role.LEADER: "leader",
}


def attempt(call: Callable[[], Any]) -> Any:
    """Return the result of a call, or the code of the error that it raised."""
    try:
        return call()
    except CressrockError as error:
        return ["error", error.code]
    except ValueError:
        return ["error", "value"]


# --- the consensus core


class MemoryDisk:
    """The disk of one replica in memory; batches are written in the documented order."""

    def __init__(self, stored: StoredState) -> None:
        self.hard, self.snapshot = stored.hard_state, stored.snapshot
        self.entries = list(stored.entries)

    def load(self) -> StoredState:
        return StoredState(self.hard, self.snapshot, tuple(self.entries))

    def write(self, ready: Ready) -> None:
        if ready.truncate_from is not None:
            self.entries = [entry for entry in self.entries if entry.index < ready.truncate_from]
        if ready.snapshot is not None:
            index = ready.snapshot.index
            fits = any((entry.index, entry.term) == (index, ready.snapshot.term) for entry in self.entries)
            begins = self.snapshot is not None and self.snapshot.index == index
            self.entries = [entry for entry in self.entries if entry.index > index] if fits or begins else []
            self.snapshot = ready.snapshot
        for entry in ready.entries:
            self.entries = [held for held in self.entries if held.index < entry.index]
            self.entries.append(entry)
        if ready.hard_state is not None:
            self.hard = ready.hard_state


def plain_entry(entry: LogEntry) -> list[Any]:
    return [entry.term, entry.index, entry.kind, entry.data]


def plain_hard_state(hard: HardState | None) -> list[Any] | None:
    return hard and [hard.term, hard.voted_for, hard.commit, hard.generation]


def plain_snapshot(snapshot: Snapshot | None) -> list[Any] | None:
    return snapshot and [snapshot.index, snapshot.term, list(snapshot.voters), snapshot.data]


def plain_message(receiver: str, message: messages.RaftMessage) -> list[Any]:
    """Return a message as its bytes on the wire, without the text of a reason."""
    if isinstance(message, messages.StaleGeneration):
        message = msgspec.structs.replace(message, reason="")
    return [receiver, messages.encode("c", "s", receiver, message)]


def plain_batch(ready: Ready) -> list[Any]:
    return [
        plain_hard_state(ready.hard_state),
        plain_snapshot(ready.snapshot),
        ready.restore_snapshot,
        ready.truncate_from,
        [plain_entry(entry) for entry in ready.entries],
        [plain_message(to, message) for to, message in ready.messages],
        [plain_entry(entry) for entry in ready.committed],
        [[read.token, read.index] for read in ready.confirmed_reads],
        list(ready.lost_reads),
        ready.must_persist,
    ]


def draw_timing(source: random.Random) -> RaftSettings:
    """Return random settings; half of the streams have limits so low that they are reached constantly."""
    narrow = source.random() < 0.5
    if not narrow:
        return RaftSettings(election_ms=100.0, heartbeat_ms=source.choice([10.0, 30.0]), max_learner_lag=8)
    return RaftSettings(
        election_ms=100.0,
        heartbeat_ms=20.0,
        leader_stickiness_ms=source.choice([None, 60.0]),
        leader_lease_ms=source.choice([None, 150.0]),
        pre_vote=source.random() < 0.7,
        max_append_entries=source.choice([1, 3]),
        max_append_bytes=64,
        max_entry_bytes=40,
        max_inflight_appends=source.choice([1, 2, 3]),
        max_uncommitted_bytes=200,
        max_apply_entries=source.choice([1, 4]),
        snapshot_chunk_bytes=7,
        max_snapshot_bytes=300,
        max_outbox_messages=source.choice([3, 20]),
        max_pending_reads=2,
        max_learners=1,
        max_learner_lag=2,
        learner_timeout_elections=3.0,
    )


class ReplicaGroup:
    """Replicas, their disks and the messages in transit, driven by one seeded random source."""

    DISTURBANCES = 2.5
    WEIGHTS: ClassVar[dict[str, float]] = {
        "cut": 6, "heal": 10, "restart": 4, "stop": 2, "start": 6, "forge": 3, "force": 0.3, "lose": 0.3,
    }  # fmt: skip

    def __init__(self, seed: int) -> None:
        self.random_source = random.Random(seed)
        self.digest = Digest()
        self.timing = draw_timing(self.random_source)
        self.now = 0.0
        count = self.random_source.choice([1, 2, 3, 3, 3, 5])
        self.names = [f"n{number}" for number in range(count + 2)]
        self.initial_voters = tuple(self.names[:count])
        self.disks: dict[str, MemoryDisk] = {}
        self.replicas: dict[str, RaftNode] = {}
        self.applied: dict[str, bytes] = {}
        self.in_transit: list[tuple[str, str, messages.RaftMessage]] = []
        self.cut: set[str] = set()
        self.loss = self.random_source.choice([0.0, 0.02, 0.15])
        self.tokens = 0
        self.chaos = self.random_source.choice([0.2, 1.0])
        for name in self.names:
            stored = initial_state(self.initial_voters) if name in self.initial_voters else StoredState()
            self.disks[name] = MemoryDisk(stored)
            self.start(name)

    def start(self, name: str) -> None:
        stored = self.disks[name].load()
        source = random.Random(self.random_source.getrandbits(32))
        self.replicas[name] = RaftNode(name, stored, self.timing, source, self.now)
        self.applied[name] = stored.snapshot.data if stored.snapshot else b""

    def record(self, name: str) -> None:
        replica = self.replicas[name]
        self.digest.add(
            [
                name,
                ROLES[replica.role],
                replica.term,
                replica.voted_for,
                replica.leader,
                replica.commit,
                replica.generation,
                bool(replica.excluded_reason),
                list(replica.voters),
                replica.has_ready(),
                replica.next_deadline_ms(),
                sorted(replica.drop_counts.items()),
            ]
        )

    # --- steps

    def pass_time(self) -> None:
        due = min((replica.next_deadline_ms() for replica in self.replicas.values()), default=self.now + 10)
        if self.random_source.random() < 0.7 and due < self.now + 1000:
            self.now = max(self.now, due)
        else:
            self.now += self.random_source.choice([0.0, 1.0, 5.0, 30.0, 120.0])
        for name in sorted(self.replicas):
            if self.random_source.random() < 0.95:
                self.replicas[name].tick(self.now)

    def deliver(self) -> None:
        for _ in range(self.random_source.randint(1, 12)):
            if not self.in_transit:
                return
            late = self.random_source.random() < 0.1 * self.chaos
            position = self.random_source.randrange(len(self.in_transit)) if late else 0
            sender, receiver, message = self.in_transit[position]
            if self.random_source.random() >= 0.03 * self.chaos:
                del self.in_transit[position]
            lost = self.random_source.random() < self.loss or sender in self.cut or receiver in self.cut
            if not lost and receiver in self.replicas:
                self.receive(receiver, sender, message)

    def receive(self, receiver: str, sender: str, message: messages.RaftMessage) -> None:
        answer = attempt(lambda: self.replicas[receiver].receive(self.now, sender, message))
        if answer is not None:
            self.digest.add([receiver, answer])
            del self.replicas[receiver]  # a diverged replica stops

    def batch(self, name: str) -> None:
        replica = self.replicas[name]
        for _ in range(6):
            if not replica.has_ready():
                return
            ready = replica.ready()
            self.digest.add([name, plain_batch(ready)])
            if self.random_source.random() < 0.01 * self.chaos:
                self.start(name)  # the batch was not written: restart from the disk
                return
            self.disks[name].write(ready)
            if self.random_source.random() < 0.01 * self.chaos:
                self.start(name)  # the batch was written, but not sent
                return
            self.in_transit += [(name, to, message) for to, message in ready.messages]
            if ready.restore_snapshot and ready.snapshot is not None:
                self.applied[name] = ready.snapshot.data
            for entry in ready.committed:
                self.applied[name] = (self.applied[name] + entry.data)[-90:]
            assert attempt(replica.ready) == ["error", "value"]
            replica.advance(ready)
            last = ready.committed[-1].index if ready.committed else 0
            if last and self.random_source.random() < 0.1:
                self.digest.add(
                    ["compact", attempt(lambda last=last: replica.compact(last, self.state(name)))]
                )

    def state(self, name: str) -> bytes:
        return self.applied[name] * self.random_source.choice([1, 1, 1, 5])

    def ask(self, name: str) -> None:
        replica = self.replicas[name]
        kind = self.random_source.choices(
            ["propose", "read", "add", "remove", "both", "transfer", "campaign", "compact", "clone"],
            [30, 12, 6, 4, 1, 3, 1, 1, 2],
        )[0]
        other = self.random_source.choice(self.names)
        match kind:
            case "propose":
                data = self.random_source.randbytes(self.random_source.choice([0, 1, 8, 30, 45]))
                answer = attempt(lambda: replica.propose(self.now, data))
            case "read":
                self.tokens += 1
                answer = attempt(lambda: replica.read_index(self.now, self.tokens))
            case "add":
                answer = attempt(lambda: replica.change_voters(self.now, add=other))
            case "remove":
                answer = attempt(lambda: replica.change_voters(self.now, remove=other))
            case "both":
                answer = attempt(lambda: replica.change_voters(self.now, add=other, remove=name))
            case "transfer":
                answer = attempt(lambda: replica.transfer_leadership(self.now, other))
            case "campaign":
                answer = replica.campaign(self.now, transfer=self.random_source.random() < 0.3)
            case "compact":
                answer = attempt(lambda: replica.compact(self.random_source.randint(0, 30), b"data"))
            case _:
                self.replicas[name] = replica.clone()
                answer = None
        self.digest.add([name, kind, answer])

    def leaders_first(self) -> str:
        leaders = [name for name, replica in sorted(self.replicas.items()) if replica.role is Role.LEADER]
        if leaders and self.random_source.random() < 0.8:
            return self.random_source.choice(leaders)
        return self.random_source.choice(sorted(self.replicas))

    def disturb(self) -> None:
        kind = self.random_source.choices(list(self.WEIGHTS), list(self.WEIGHTS.values()))[0]
        name = self.random_source.choice(self.names)
        match kind:
            case "cut":
                self.cut.add(name)
            case "heal":
                self.cut.clear()
            case "restart" if name in self.replicas:
                self.start(name)
            case "stop":
                self.replicas.pop(name, None)
            case "start" if name not in self.replicas:
                self.start(name)
            case "forge" if name in self.replicas:
                self.forge(name)
            case "vote" if name in self.replicas:
                self.stand_against_a_leader(name)
            case "force":
                self.disks[name] = MemoryDisk(force_single_voter(self.disks[name].load(), name))
                self.start(name)
            case "lose":
                self.disks[name] = MemoryDisk(StoredState())
                self.start(name)

    def forge(self, name: str) -> None:
        self.receive(name, self.random_source.choice(self.names), self.forged(self.replicas[name]))

    def stand_against_a_leader(self, name: str) -> None:
        """Do nothing; ForgingReplicaGroup overrides this."""

    def forged(self, replica: RaftNode) -> messages.RaftMessage:
        """Return a message that a correct replica would not necessarily send."""
        random_source = self.random_source
        term = max(0, replica.term + random_source.randint(-1, 1))
        head = {"generation": replica.generation, "term": term}
        index = max(0, replica.commit + random_source.randint(-3, 3))
        make = random_source.choice(
            [
                lambda: messages.AppendEntries(
                    **head,
                    previous_index=index,
                    previous_term=term,
                    commit=index,
                    round=random_source.randint(0, 9),
                    entries=(
                        LogEntry(
                            term,
                            index + random_source.randint(0, 2),
                            random_source.choice(["command", "seats"]),
                            b"f",
                        ),
                    ),
                ),
                lambda: messages.AppendEntries(
                    **head, previous_index=index, previous_term=max(0, term - 1), commit=index
                ),
                lambda: messages.AppendEntriesReply(**head, accepted=True, match=index + 100, round=1),
                lambda: messages.AppendEntriesReply(
                    **head,
                    accepted=False,
                    previous_index=index,
                    conflict_term=random_source.randint(0, 3),
                    conflict_index=index,
                    round=random_source.randint(0, 300),
                ),
                lambda: messages.InstallSnapshot(
                    **head,
                    index=index + 5,
                    index_term=term + random_source.randint(0, 1),
                    voters=("n0", "n0"),
                    offset=0,
                    size=3,
                    data=b"abc",
                ),
                lambda: messages.InstallSnapshot(
                    **head,
                    index=index + 5,
                    index_term=max(0, term - 1),
                    voters=("n0", "n1"),
                    offset=0,
                    size=random_source.choice([2, 10**9]),
                    data=b"abc",
                ),
                lambda: messages.InstallSnapshotReply(
                    **head, index=index, offset=random_source.randint(0, 9), round=1
                ),
                lambda: messages.TimeoutNow(**head),
                lambda: messages.RequestVote(
                    **head, last_index=index, last_term=term, transfer=random_source.random() < 0.5
                ),
                lambda: messages.StaleGeneration(
                    generation=replica.generation + 1, term=term, reason="forged"
                ),
            ]
        )
        return make()

    def run(self, steps: int) -> str:
        for _ in range(steps):
            weights = [30, 50, 14, self.DISTURBANCES * self.chaos]
            step = self.random_source.choices(["time", "deliver", "ask", "disturb"], weights)[0]
            if step == "time" or not self.replicas:
                self.pass_time()
            elif step == "deliver":
                self.deliver()
            elif step == "ask":
                self.ask(self.leaders_first())
            if step == "disturb" or not self.replicas:
                self.disturb()
            for name in sorted(self.replicas):
                if self.random_source.random() < 0.9:
                    self.batch(name)
                self.record(name)
            del self.in_transit[:-400]
        for name, disk in sorted(self.disks.items()):
            self.digest.add(
                [
                    name,
                    plain_hard_state(disk.hard),
                    plain_snapshot(disk.snapshot),
                    [plain_entry(entry) for entry in disk.entries],
                ]
            )
        return self.digest.hex()


class ForgingReplicaGroup(ReplicaGroup):
    """A group with more forged messages: early commits, and votes around the end of leader stickiness."""

    DISTURBANCES = 4
    WEIGHTS: ClassVar[dict[str, float]] = {
        "cut": 6, "heal": 10, "restart": 4, "stop": 2, "start": 6, "forge": 8, "vote": 6, "force": 0.4,
        "lose": 0.4,
    }  # fmt: skip

    def forge(self, name: str) -> None:
        """Deliver a forged message, often with the leader as its sender."""
        replica = self.replicas[name]
        sender = self.random_source.choice([replica.leader or name, self.random_source.choice(self.names)])
        entries = self.disks[name].entries
        if entries and self.random_source.random() < 0.5:
            # A heartbeat that matches an early entry of this log and claims a later commit index.
            unsure = [entry for entry in entries[:-1] if entry.index >= replica.commit]
            entry = self.random_source.choice(unsure or entries)
            message: messages.RaftMessage = messages.AppendEntries(
                generation=replica.generation, term=replica.term, previous_index=entry.index,
                previous_term=entry.term, commit=entry.index + self.random_source.randint(0, 5), round=1,
            )  # fmt: skip
        else:
            message = self.forged(replica)
        self.receive(name, sender, message)

    def stand_against_a_leader(self, name: str) -> None:
        """Request a vote just before, at or after the end of the leader stickiness time."""
        replica = self.replicas[name]
        if not replica.leader or replica.leader == name:
            return
        head = {"generation": replica.generation, "term": replica.term}
        self.receive(name, replica.leader, messages.AppendEntries(**head, previous_index=0, previous_term=0))
        self.now = max(self.now, float(int(self.now) + 1))
        if name in self.replicas:
            heartbeat = messages.AppendEntries(**head, previous_index=0, previous_term=0)
            self.receive(name, replica.leader, heartbeat)
        self.now += self.timing.effective_stickiness_ms + self.random_source.choice([-1, 0, 0, 1])
        if name not in self.replicas:
            return
        last = {"last_index": 10**6, "last_term": replica.term + 1}
        if self.random_source.random() < 0.5:
            ask: messages.RaftMessage = messages.PreVote(**head, next_term=replica.term + 1, **last)
        else:
            ask = messages.RequestVote(generation=replica.generation, term=replica.term + 1, **last)
        self.receive(name, self.random_source.choice(self.names), ask)


def consensus_digest(seed: int) -> str:
    """Return the digest of a group under message loss, elections, membership changes and snapshots."""
    return ReplicaGroup(seed).run(420)


def forged_digest(seed: int) -> str:
    """Return the digest of a group with forged messages."""
    return ForgingReplicaGroup(seed).run(420)


# --- the state machine of decisions


def plain_outcome(outcome: decisions.Outcome | None) -> Any:
    if outcome is None:
        return None
    if isinstance(outcome, decisions.Done):
        return ["done", outcome.version]
    if isinstance(outcome, decisions.VersionConflict):
        return ["clash", outcome.version]
    return ["refused", outcome.reason]


def plain_decision(decision: decisions.Decision | None) -> bytes | None:
    return decision and decisions.encode(decision)


def draw_command(random_source: random.Random, state: DecisionState) -> decisions.Command | None:
    topic = f"topic/{random_source.randint(0, 8)}"
    request = f"r{max(0, state.applied + random_source.choice([0, 0, 0, 0, -1, -2, -9]))}"
    asked_at = max(0, state.applied - random_source.choice([0, 0, 1, 3, 12]))
    standing = state.get(topic)
    number = standing.version if standing else 0
    if_number = random_source.choice([None, None, None, number, 0, number + 1])
    match random_source.choices(["decide", "drop", "ground", "none"], [70, 15, 5, 8])[0]:
        case "decide":
            value = random_source.randbytes(random_source.choice([0, 3, 12, 30, 45]))
            return decisions.Decide(
                topic, value, random_source.choice([0.5, 300.0]), "p", request, asked_at, if_number
            )
        case "drop":
            return decisions.Drop(topic, request, asked_at, if_number)
        case "ground":
            limits = decisions.DecisionLimits(
                random_source.randint(1, 9),
                random_source.randint(10, 60),
                random_source.randint(50, 300),
                random_source.randint(1, 20),
            )
            committed_index = random_source.choice([None, max(0, state.applied - 4)])
            ground = state.version + random_source.randint(-50, 2000)
            return decisions.SetVersionBase(
                max(0, ground), random_source.choice([None, limits]), committed_index
            )
    return None


def decisions_digest(seed: int) -> str:
    """Return the digest of one log applied to the state machine, with snapshots taken and restored."""
    random_source = random.Random(seed)
    digest = Digest()
    state = DecisionState(random_source.choice([None, decisions.DecisionLimits(4, 40, 120, 6)]))
    for _ in range(250):
        command = draw_command(random_source, state)
        index = state.applied + (2 if random_source.random() < 0.01 else 1)
        data = decisions.encode(command) if command is not None else b""
        if data and random_source.random() < 0.02:
            data = random_source.choice(
                [bytes((9,)) + data[1:], bytes((0,)) + data[1:], data[:-1], data + b"x", b"\x01"]
            )
        answer = attempt(partial(state.apply, index, data))
        if isinstance(answer, tuple):
            applied, outcome = answer
            digest.add([decisions.encode(applied), plain_outcome(outcome)])
            if not isinstance(applied, decisions.SetVersionBase):
                digest.add(plain_outcome(state.outcome(applied.request_id)))
                digest.add(plain_decision(state.get(applied.topic)))
        else:
            digest.add(answer)
        digest.add([state.applied, state.version, state.version_offset])
        if random_source.random() < 0.1:
            kept = state.snapshot()
            digest.add([kept, [plain_decision(decision) for decision in state.all_decisions()]])
            state = DecisionState.restore(kept, state.applied)
    digest.add(attempt(lambda: DecisionState.restore(b"\x07bad")))
    digest.add([DecisionState.restore(b"", 7).applied, state.snapshot()])
    return digest.hex()


# --- distribution of decisions to readers


def plain_reading(answer: Any) -> Any:
    if isinstance(answer, decisions.Decision):
        return ["counts", plain_decision(answer)]
    if isinstance(answer, decisions.Expired):
        return ["expired", plain_decision(answer.decision), answer.expired_at_ms]
    return answer


def gossip_digest(seed: int) -> str:
    """Return the digest of published gossip entries and of a reader, with losses and repeats."""
    random_source = random.Random(seed)
    digest = Digest()
    limit = random_source.choice([1000, 60])
    publishers = [decision_gossip.DecisionPublisher(limit) for _ in range(3)]
    subscriber = decision_gossip.DecisionSubscriber(random_source.choice([1000, 5]))
    reader = DecisionReader(max_topics=random_source.choice([1000, 6]))
    renewals = LeaseRenewals(random_source.choice([2048, 2]))
    standing: dict[str, decisions.Decision] = {}
    entries: list[tuple[str, bytes]] = []
    number, now, term, tokens = 100, 0.0, 1, [0]
    topics = [f"t{at}" for at in range(random_source.choice([4, 130]))]
    for _ in range(220):
        now += random_source.choice([0.0, 5.0, 40.0])
        term += random_source.random() < 0.03
        for topic in random_source.sample(topics, random_source.choice([0, 1, 3])):
            number += 1
            value = random_source.randbytes(random_source.choice([1, 10, 80]))
            standing[topic] = decisions.Decision(
                topic, number, value, random_source.choice([50.0, 400.0]), "p"
            )
        if standing and random_source.random() < 0.1:
            del standing[random_source.choice(sorted(standing))]
        tokens.append(renewals.ask(term, now))
        renewal = renewals.confirm(
            random_source.choice(tokens[-3:]), term, now + random_source.choice([0.0, 30.0]), 25.0
        )
        digest.add(renewal)
        seen_by_publisher = [decision for decision in standing.values() if random_source.random() < 0.95]
        if renewal and random_source.random() < 0.3:
            seen_by_publisher = list(decisions.with_renewal(seen_by_publisher, renewal))
        for change in random_source.choice(publishers).publish(seen_by_publisher, renewal or 0):
            digest.add([change.key, change.value])
            if change.value is not None:
                entries.append((change.key, change.value))
        if random_source.random() < 0.1:
            bad = random_source.choice([b"", b"\x81bad", b"\x82", b"\x09old", b"\x01bad"])
            entries.append((random_source.choice(["beat/0", "decree/t0", "other/x"]), bad))
        del entries[:-60]
        for _ in range(random_source.choice([0, 3, 10])):
            if entries:
                key, value = random_source.choice(entries)
                answer = attempt(lambda key=key, value=value: subscriber.receive_entry(key, value))
                receive(digest, reader, answer, now)
        if standing and random_source.random() < 0.2:
            answered = random_source.choice(sorted(standing.values(), key=lambda decision: decision.topic))
            receive(digest, reader, (subscriber.receive_decision(answered), []), now)
        topic = random_source.choice(topics)
        digest.add(
            [plain_reading(reader.get(topic, now)), reader.next_expiry_ms(now), reader.last_version(topic)]
        )
        if random_source.random() < 0.03:
            seen = reader.to_bytes()
            digest.add([seen, list(reader.topics())])
            reader = DecisionReader(seen, max_topics=reader.max_topics)
    digest.add(attempt(lambda: DecisionReader(b"\x01bad").topics()))
    digest.add(attempt(lambda: DecisionReader(b"\x05").topics()))
    return digest.hex()


def receive(digest: Digest, reader: DecisionReader, answer: Any, now: float) -> None:
    """Pass decisions on to the reader; record what was returned at each step."""
    if isinstance(answer, tuple):
        found, wanted = answer
        digest.add([[plain_decision(decision) for decision in found], list(wanted)])
        digest.add([reader.receive(decision, now) for decision in found])
    else:
        digest.add(answer)


# --- connections


def plain_event(event: Event) -> list[Any]:
    """Return an event without the text of a reason."""
    match event:
        case Opened():
            return [
                "opened",
                event.version,
                event.peer,
                event.is_replica,
                event.group,
                list(event.initial_replicas),
                event.applied,
            ]
        case Closed():
            return ["closed", event.code, event.closed_locally]
        case _:
            return ["message", frames.encode(event)]


def plain_bytes(data: bytes) -> list[Any]:
    """Return the frames in `data`; close notices without the text of their reason."""
    found: list[Any] = []
    while data:
        size = int.from_bytes(data[:4], "big")
        body, data = data[4 : 4 + size], data[4 + size :]
        decoded = msgspec.msgpack.decode(body)
        found.append(decoded[:2] if decoded[0] == "parting" else body)
    return found


def connection_digest(seed: int) -> str:
    """Return the digest of one connection with split reads, timeouts and protocol violations."""
    random_source = random.Random(seed)
    digest = Digest()
    limits = ConnectionLimits(
        max_frame_bytes=random_source.choice([1 << 20, 60]),
        max_queued_bytes=random_source.choice([4 << 20, 40]),
    )
    ends: list[ConnectionProtocol] = []
    for dials in (True, False):
        me = LocalEndpoint(
            random_source.choice(["c", "c", "c", "c", "other"]),
            "a#1" if dials else "b#2",
            not dials or random_source.random() < 0.7,
            random_source.choice(["", "0f", "0f", "0e"]),
            ("a#1", "b#2"),
            5,
        )
        versions = random_source.choice([(1,), (1,), (1, 2), (2,)])
        ends.append(ConnectionProtocol(dials, me, 0.0, limits=limits, versions=versions))
    way = [bytearray(), bytearray()]  # bytes in transit from each end
    now = 0.0
    offered: list[Any] = [
        RaftFrame(b"data"),
        Request(1, ReadDecision("t"), True),
        Response(1, RetryLater("busy"), 9),
        RaftFrame(b"x" * 70),
    ]
    forged = [
        Ping(1),
        Pong(1, 4),
        Welcome(1, "x"),
        Hello((1,), "c", "x"),
        CloseNotice("c", "r"),
    ]
    for _ in range(60):
        side = random_source.randrange(2)
        end = ends[side]
        match random_source.choices(
            ["bytes", "send", "time", "forge", "close", "end"], [60, 20, 15, 2, 0.5, 0.5]
        )[0]:
            case "bytes":
                data = end.take_bytes()
                digest.add(plain_bytes(data))
                way[side] += data
                count = random_source.choice([1, 7, 1000, 1000])
                piece, way[side] = bytes(way[side][:count]), way[side][count:]
                events = ends[1 - side].receive_data(piece, now) if piece else []
            case "send":
                events = []
                digest.add(
                    end.send(
                        random_source.choice(
                            [message for message in offered if allowed(side, message, random_source)]
                        )
                    )
                )
            case "time":
                now += random_source.choice([1.0, 100.0, 300.0, 300.0, 1300.0])
                events = end.tick(now)
            case "forge":
                message = random_source.choice([*forged, *offered])
                garbage = random_source.choice(
                    [frames.encode(message), frames.encode(message), b"\0\0\0\x02\xc1\xc1", b"\x7f" * 4]
                )
                events = end.receive_data(garbage, now)
            case "close":
                events = end.close("council-founded", "founded: greet again")
            case _:
                events = end.receive_end()
        digest.add([plain_event(event) for event in events])
        digest.add(
            [
                end.state is ConnectionState.OPEN,
                end.peer,
                end.peer_is_replica,
                end.dropped_messages,
                end.peer_applied,
                end.next_deadline_ms(),
            ]
        )
    return digest.hex()


def allowed(side: int, message: Any, random_source: random.Random) -> bool:
    """Return whether this end may send such a message; rarely also a violation."""
    kind = Response if side == 0 else Request
    return not isinstance(message, kind) or random_source.random() < 0.02


STREAMS: dict[str, tuple[Callable[[int], str], range]] = {
    "consensus": (consensus_digest, range(60)),
    "decisions": (decisions_digest, range(40)),
    "news": (gossip_digest, range(40)),
    "connection": (connection_digest, range(150)),
}

FORGED_SEEDS = range(60)
