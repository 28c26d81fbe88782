"""Example messages of presence, and random inputs for its I/O-free logic, for the recorder and the test."""

from __future__ import annotations

import itertools
import random
from typing import Any

from cressrock.errors import known
from cressrock.errors.presence import PresenceError
from cressrock.presence import agreed_names, directory, liveness, messages, rooms
from cressrock.presence.feed import EventKind, Reason, RoomEvent
from cressrock.presence.messages import Origin, VersionStamp
from cressrock.presence.sessions import Session
from cressrock.presence.settings import RoomSettings
from cressrock.presence.view import RoomView
from tests.compatibility.canonical import Digest

# --- wire format

ENTRY = messages.MemberEntry("b.1.1", 1, b"x", ["lock"], b"c" * 8, VersionStamp("a", 2, 3))
BARE_ENTRY = messages.MemberEntry("b.1.2")
ENDED_ENTRY = messages.MemberEntry("b.1.3", 2, b"", [], b"d" * 8, VersionStamp("", 0, 1))
CHANGE = messages.Change(3, "b.1.1", ENTRY, "moved", [VersionStamp("a", 2, 3), VersionStamp("c", 1, 9)])


def example_messages() -> list[tuple[str, messages.Message]]:
    """Return labelled examples of every message that is sent between gateways."""
    return [
        ("hello", messages.Hello(1, "cluster", "edge-0001", 1_790_000_000_000)),
        ("hello, smallest", messages.Hello(0, "", "", 0)),
        ("watch", messages.Subscribe("docs/handbook", 7)),
        ("watch from nothing", messages.Subscribe("", 0)),
        ("unwatch", messages.Unsubscribe("docs/handbook")),
        ("page", messages.SnapshotPage("docs", 4, True, False, [ENTRY, BARE_ENTRY, ENDED_ENTRY])),
        ("last page", messages.SnapshotPage("docs", 4, False, True, [], [VersionStamp("a", 2, 3)])),
        ("no changes", messages.ChangeBatch("docs", [])),
        (
            "changes",
            messages.ChangeBatch(
                "docs", [CHANGE, messages.Change(4, "b.1.2", BARE_ENTRY), messages.Change(5, "b.1.2", None)]
            ),
        ),
        ("change with a reason", messages.ChangeBatch("docs", [messages.Change(6, "b.1.1", None, "silent")])),
        ("beat", messages.Heartbeat()),
        ("keep", messages.ReplicateRoom(9, "docs", (1 << 62) - 1)),
        ("move", messages.HandOverRequest(10, "docs", "b.1.1", b"s" * 16)),
        ("taken", messages.HandOverDone("docs", "b.1.1", 1, 12)),
        ("find", messages.FindMember(11, "docs", "b.1.1")),
        ("answer: no", messages.Reply(1, False)),
        ("answer: yes", messages.Reply(2, True)),
        ("answer with an entry", messages.Reply(3, True, ENTRY)),
        ("answer with an entry and its gateway", messages.Reply(4, True, ENTRY, "a", 2)),
    ]


# Frames that a reader accepts although this version does not write them, with fields omitted or with
# additional fields of a newer version: label, hexadecimal MessagePack, decoded message.
READ_ONLY = [
    (
        "page without causes",
        "96" "03" "a4646f6373" "04c3c390",
        messages.SnapshotPage("docs", 4, True, True, []),
    ),
    ("answer of two fields", "93" "0a" "01" "c2", messages.Reply(1, False)),
    ("watch with a newer field", "94" "01" "a4646f6373" "07" "01", messages.Subscribe("docs", 7)),
    (
        "change of three fields",
        "93" "04" "a4646f6373" "91" "93" "05" "a5622e312e32" "c0",
        messages.ChangeBatch("docs", [messages.Change(5, "b.1.2", None)]),
    ),
    (
        "entry of its id alone",
        "95" "0a" "01" "c3" "91" "a5622e312e32" "a161",
        messages.Reply(1, True, BARE_ENTRY, "a"),
    ),
]  # fmt: skip


def refused_frames() -> list[str]:
    """Return invalid frames in hexadecimal; decoding them raises PresenceFrameError."""
    size = messages.MAX_FRAME_BYTES + 1
    return ["0000000193", "00000003c10000", "7fffffff", size.to_bytes(4, "big").hex(), "00000002930b"]


def holders() -> list[agreed_names.NameHolder]:
    """Return example values of a decision on an agreed name."""
    return [
        agreed_names.NameHolder(1, "docs", "n", "b.1.1", "b", 1),
        agreed_names.NameHolder(
            1, "docs/handbook/ü", "editor", "edge-0001.1a0c5ee4400.7", "edge-0001", 1_790_000_000_000
        ),
    ]


def hashes() -> list[Any]:
    """Return hashes of rooms, secrets and names, and constants, that are sent, stored or compared."""
    gateway = rooms.Rooms(Origin("edge-0001", 77), RoomSettings(), b"key of this life")
    return [
        [directory.room_hash(room).hex() for room in ("", "docs", "docs/handbook/ü")],
        [messages.digest_of_secret(secret).hex() for secret in (b"", b"s" * 16)],
        [gateway.secret(member, hop).hex() for member, hop in (("edge-0001.4d.1", 0), ("edge-0001.4d.1", 3))],
        [agreed_names.topic_of(room, name) for room, name in (("docs", "n"), ("docs/handbook/ü", "editor"))],
        [
            messages.FORMAT,
            directory.BUCKETS,
            directory.KEY_PREFIX,
            directory.HASH_BYTES,
            messages.MAX_FRAME_BYTES,
            agreed_names.FORMAT,
            agreed_names.TOPIC_PREFIX,
        ],
    ]


def errors() -> dict[str, list[Any]]:
    """Return the HTTP status and remedy of presence's errors, by error code."""
    return {kind.code: [kind.status, kind.remedy] for kind in known() if issubclass(kind, PresenceError)}


# --- decisions: functions without state (verdicts on gateways, replica choice, name claims)

GATEWAY_STATES = tuple(liveness.GatewayState(word) for word in ("alive", "unsure", "left", "gone"))


def _gateways(source: random.Random) -> list[liveness.Gateway]:
    return [
        liveness.Gateway(
            f"g{number}",
            source.randrange(1, 4),
            source.choice(("north", "south")),
            source.choice(GATEWAY_STATES),
            source.uniform(0, 1e5),
        )
        for number in range(source.randrange(7))
    ]


def verdicts(seed: int) -> str:
    """Return the digest of the results of the functions without state for random inputs."""
    source = random.Random(f"presence verdicts {seed}")
    digest = Digest()
    for _ in range(200):
        known_until_ms, now_ms = source.uniform(0, 1e5), source.uniform(0, 2e5)
        synced = source.random() < 0.5
        digest.add(
            liveness.assess(
                known_until_ms, now_ms, synced=synced, suspect_after_ms=3000.0, dead_after_ms=60_000.0
            )
        )
        others = _gateways(source)
        digest.add(liveness.majority_of_region("north", others))
        digest.add(liveness.replica_order(f"docs/{source.randrange(9)}", "north", others))
        listed = [f"g{number}" for number in range(7) if source.random() < 0.7]
        suspect_since_ms = {
            f"g{number}": source.uniform(0, 1e5) for number in range(8) if source.random() < 0.2
        }
        pending = [f"g{number}" for number in range(7) if source.random() < 0.2]
        digest.add(liveness.unreported_gateways(others, listed, suspect_since_ms, pending))
        name, incarnation = f"g{source.randrange(7)}", source.randrange(1, 4)
        digest.add(liveness.is_incarnation_over(name, incarnation, others, now_ms, 60_000.0))
        holder = agreed_names.NameHolder(1, "docs", "n", f"a.1.{source.randrange(2)}", "a", 1)
        current = agreed_names.NameHold(holder, source.randrange(1, 99)) if source.random() < 0.8 else None
        holder_dead, preempt = source.random() < 0.5, source.random() < 0.5
        outcome = agreed_names.decide_claim(current, "a.1.1", holder_dead=holder_dead, preempt=preempt)
        digest.add([CLAIM_LABELS[type(outcome)], outcome])
    clock, clock_ms = liveness.AwakeClock(1000.0, 500.0), 1000.0
    for _ in range(100):
        clock_ms += source.choice((0.0, 10.0, 499.0, 500.0, 501.0, 70_000.0, -5.0))
        digest.add([clock.now_ms(clock_ms), clock.paused_ms])
    return digest.hex()


CLAIM_LABELS: dict[type, str] = {
    agreed_names.ProposeHolder: "ask",
    agreed_names.AlreadyOwner: "has",
    agreed_names.OwnedByOther: "held",
}

# --- decisions: a simulation of several gateways' rooms in one process

ROOMS = ("docs", "docs/a", "data/b", "data/c")
SMALL_SETTINGS = RoomSettings(
    max_members=14, max_room=9, max_rooms=3, max_views=2, max_data=8, max_locks=2, log=5, feed=12, max_held=4,
    grace_ms=4000.0, silent_ms=1000.0, gone_ms=5000.0, hold_back_ms=400.0, linger_ms=1500.0, page_bytes=160,
)  # fmt: skip
LARGE_SETTINGS = RoomSettings(
    log=16, feed=64, grace_ms=6000.0, silent_ms=1200.0, gone_ms=7000.0, hold_back_ms=600.0, linger_ms=2500.0
)
MESSAGE_LABELS: dict[type, str] = {
    messages.Hello: "hello", messages.Subscribe: "watch", messages.Unsubscribe: "unwatch",
    messages.SnapshotPage: "page", messages.ChangeBatch: "changes", messages.Heartbeat: "beat",
    messages.ReplicateRoom: "keep", messages.HandOverRequest: "move", messages.HandOverDone: "taken",
    messages.FindMember: "find", messages.Reply: "answer", messages.MemberEntry: "entry",
    messages.Change: "change",
}  # fmt: skip

GATEWAY_COUNT = 4
STEP_MS = 100.0
TICK_MS = 300.0


def _by_room(out: tuple[Origin | int, messages.Message]) -> tuple[str, str]:
    destination = out[0] if isinstance(out[0], int) else tuple(out[0])
    return str(destination), getattr(out[1], "room", "")


class RoomsSimulation:
    """Simulates gateways' rooms under random joins, moves, partitions, crashes and restarts.

    All outputs are added to a digest.  A stream delivers its messages in order after a random number of
    steps; the messages in flight are lost with their stream.
    """

    def __init__(self, seed: int, settings: RoomSettings) -> None:
        """Create the gateways, all alive and without partitions; `seed` determines all random choices."""
        self.source = random.Random(f"presence play {seed}")
        self.settings = settings
        self.digest = Digest(MESSAGE_LABELS)
        self.now_ms = 0.0
        self.incarnations = [1] * GATEWAY_COUNT
        self.alive = [True] * GATEWAY_COUNT
        self.partition = [0] * GATEWAY_COUNT
        self.gateways = [self._new_rooms(index) for index in range(GATEWAY_COUNT)]
        self.buckets: list[dict[str, bytes | None]] = [{} for _ in range(GATEWAY_COUNT)]
        self.streams: dict[int, tuple[int, int]] = {}  # number -> (opener, server), indexes
        self.in_flight: list[tuple[float, int, int, bool, messages.Message]] = []
        self.numbers = itertools.count(1)
        self.sessions: list[tuple[int, int, Session]] = []
        self.cursors: dict[tuple[int, str], tuple[int, int]] = {}
        self.outcomes: dict[str, int] = {}

    def _new_rooms(self, index: int) -> rooms.Rooms:
        return rooms.Rooms(
            Origin(f"g{index}", self.incarnations[index]), self.settings, self.source.randbytes(16)
        )

    def _origin(self, index: int) -> Origin:
        return Origin(f"g{index}", self.incarnations[index])

    def _index(self, origin: Origin) -> int | None:
        """Return an origin's gateway index; None if that incarnation is not alive."""
        index = int(origin[0][1:])
        return index if self.alive[index] and self.incarnations[index] == origin[1] else None

    def _record(self, label: str, *values: Any) -> None:
        self.outcomes[label] = self.outcomes.get(label, 0) + 1
        self.digest.add([label, *values])

    # --- actions

    def step(self) -> None:
        """Advance the time by STEP_MS, do a random action, and exchange the gateways' messages."""
        self.now_ms += STEP_MS
        index = self.source.randrange(GATEWAY_COUNT)
        if self.alive[index]:
            actions = (
                self._client_action,
                self._client_action,
                self._client_action,
                self._watch,
                self._gateway_action,
            )
            try:
                self.source.choice(actions)(index)
            except PresenceError as error:
                self._record("refused", error.code, error.text)
        if self.source.random() < 0.06:
            self._inject_fault(index)
        self._exchange_messages()

    def _client_action(self, index: int) -> None:
        gateway = self.gateways[index]
        own_sessions = [
            session
            for at, incarnation, session in self.sessions
            if at == index and incarnation == self.incarnations[index]
        ]
        action = self.source.choice(("join", "join", "join", "touch", "touch", "leave", "move", "resume"))
        if action == "join" or not own_sessions:
            data = self.source.randbytes(self.source.choice((0, 3, 8, 8, 9)))
            locks = [f"lock-{n}" for n in range(self.source.choice((0, 0, 0, 1, 2, 3)))]
            session = gateway.join(self.now_ms, self.source.choice(ROOMS), data, locks)
            self.sessions.append((index, self.incarnations[index], session))
            self._record("joined", session.entry)
            return
        session = self.source.choice(own_sessions)
        if action == "touch":
            data = self.source.choice((None, b"new", session.entry.data))
            gateway.touch(self.now_ms, session, data, self.source.choice((None, [], ["lock-9"])))
            self._record("touched", session.entry)
        elif action == "leave":
            if self.source.random() < 0.3:
                session.agreed_names = {"editor": 7}
            reason = self.source.choice((Reason.LEFT, Reason.LEFT, Reason.WITHDRAWN))
            gateway.leave(self.now_ms, session, reason)
            self._forget(session)
            self._record("left", session.entry.id, gateway.drain_released_names())
        else:
            self._move(index, session, by_hand_over=action == "move")

    def _forget(self, session: Session) -> None:
        self.sessions = [known for known in self.sessions if known[2] is not session]

    def _move(self, index: int, session: Session, *, by_hand_over: bool) -> None:
        """Resume a session at another gateway, by a hand-over or from the last known entry."""
        others = [other for other in range(GATEWAY_COUNT) if other != index and self.alive[other]]
        if not others:
            return
        previous_gateway, destination = self.gateways[index], self.source.choice(others)
        target = self.gateways[destination]
        known = target.last_known(session.room, session.entry.id)
        self._record("held", known, target.is_reachable(self._origin(index)))
        entry = known[0] if known is not None else None
        if by_hand_over and self.partition[index] == self.partition[destination]:
            secret = previous_gateway.secret(session.entry.id, session.entry.hop)
            if self.source.random() < 0.1:
                secret = b"wrong"
            request = messages.HandOverRequest(1, session.room, session.entry.id, secret)
            entry = previous_gateway.hand_over(self.now_ms, request)
            self._record("handed over", entry)
        if entry is None or entry.moved is not None:
            return
        moved = target.adopt(self.now_ms, session.room, entry)
        self.sessions.append((destination, self.incarnations[destination], moved))
        self._record("taken over", moved.entry)
        if by_hand_over and self.source.random() < 0.8:
            done = messages.HandOverDone(session.room, moved.entry.id, moved.entry.hop, target.version)
            previous_gateway.record_hand_over(self.now_ms, done, self._origin(destination))
            self._forget(session)
        elif self.source.random() < 0.5:
            self._record("frozen", session.frozen_until_ms > self.now_ms)

    def _watch(self, index: int) -> None:
        gateway, room = self.gateways[index], self.source.choice(ROOMS)
        view = gateway.open_view(self.now_ms, room)
        if self.source.random() < 0.2:
            view.watchers = self.source.randrange(2)
        self._record_view(index, room, view)

    def _record_view(self, index: int, room: str, view: RoomView) -> None:
        gateway = self.gateways[index]
        cursor = self.cursors.get((index, room), (0, 0))
        # The order in which rooms begin new epochs is not specified, so only whether a room began one is
        # recorded.
        self._record("epoch", view.feed.epoch == cursor[0], view.feed.last_seq)
        self._record("events", view.feed.events_after(*cursor))
        self.cursors[(index, room)] = view.feed.cursor
        self._record(
            "view",
            view.members(),
            gateway.unsure_gateways(view, self.now_ms),
            view.pending_gateways(),
            gateway.as_of_ms(view, self.now_ms),
        )

    def _gateway_action(self, index: int) -> None:
        gateway, room = self.gateways[index], self.source.choice(ROOMS)
        action = self.source.choice(("keep", "find", "find", "tell", "session", "forget"))
        opened = [number for number, (opener, _) in self.streams.items() if opener == index]
        if action == "tell":
            gateway.append_event(
                room, RoomEvent(event=EventKind.NAME_ACQUIRED, member="m", name="editor", number=5)
            )
        elif action == "session":
            for at, _, session in self.sessions[:3]:
                secret = self.gateways[at].secret(session.entry.id, session.entry.hop)
                self._record("session", gateway.session(session.entry.id, secret) is not None)
            if gateway.sessions:
                gateway.session(next(iter(gateway.sessions)), b"wrong")
        elif action == "forget":
            dead = [other for other in range(GATEWAY_COUNT) if not self.alive[other]]
            if dead:
                gateway.forget(self._origin(self.source.choice(dead)))
        elif opened:
            number = self.source.choice(opened)
            member = self.source.choice(self.sessions)[2].entry.id if self.sessions else "g0.1.1"
            request_number = next(self.numbers)
            request = (
                messages.ReplicateRoom(request_number, room, gateway.version)
                if action == "keep"
                else messages.FindMember(request_number, room, member)
            )
            self._send(number, request, to_opener=False)

    def _inject_fault(self, index: int) -> None:
        kind = self.source.choice(("cut", "cut", "heal", "heal", "heal", "die", "restart", "close", "break"))
        if kind == "cut":
            self.partition = [self.source.randrange(2) for _ in range(GATEWAY_COUNT)]
        elif kind == "heal":
            self.partition = [0] * GATEWAY_COUNT
        elif kind in ("die", "close") and self.alive[index]:
            if kind == "close":
                self.gateways[index].close(self.now_ms)
                self._exchange_messages()
            self.alive[index] = False
            self._close_streams([number for number, pair in self.streams.items() if index in pair])
        elif kind == "restart":
            for dead in range(GATEWAY_COUNT):
                if not self.alive[dead]:
                    self._restart(dead)
        elif kind == "break" and self.streams:
            self._close_streams([self.source.choice(sorted(self.streams))])

    def _restart(self, index: int) -> None:
        self.incarnations[index] += 1
        self.alive[index] = True
        self.buckets[index] = {}
        self.gateways[index] = self._new_rooms(index)
        for room in ROOMS:
            self.cursors.pop((index, room), None)
        for other in range(GATEWAY_COUNT):
            if other != index and self.alive[other]:
                for key, value in self.buckets[other].items():
                    self.gateways[index].receive_directory_entry(self.now_ms, self._origin(other), key, value)

    def _close_streams(self, numbers: list[int]) -> None:
        for number in numbers:
            opener, server = self.streams.pop(number)
            self.in_flight = [message for message in self.in_flight if message[2] != number]
            if self.alive[opener]:
                self.gateways[opener].source_disconnected(self._origin(server))
            if self.alive[server] and number in self.gateways[server].subscriber_streams():
                self.gateways[server].subscriber_disconnected(number)

    # --- message exchange

    def _send(self, number: int, payload: messages.Message, *, to_opener: bool) -> None:
        arrives_at_ms = self.now_ms + STEP_MS * self.source.choice((0, 0, 1, 2, 5))
        before = [
            earlier_at_ms
            for earlier_at_ms, _, stream, was_to_opener, _ in self.in_flight
            if (stream, was_to_opener) == (number, to_opener)
        ]
        message = (max([arrives_at_ms, *before]), next(self.numbers), number, to_opener, payload)
        self.in_flight.append(message)

    def _exchange_messages(self) -> None:
        is_tick = self.now_ms % TICK_MS < STEP_MS
        for index, gateway in enumerate(self.gateways):
            if not self.alive[index]:
                continue
            if is_tick:
                gateway.tick(self.now_ms)
                self._dial(index)
            elif self.source.random() < 0.7 and gateway.has_unpublished_changes:
                gateway.publish_changes()
            self._collect(index)
        self._deliver()
        for index, gateway in enumerate(self.gateways):
            if self.alive[index] and is_tick:
                # A connected stream delivers the other gateway's heartbeat.
                for opener, server in self.streams.values():
                    if opener == index and self.partition[opener] == self.partition[server]:
                        gateway.record_contact(self.now_ms, self._origin(server))
                self._record("figures", gateway.counters(), sorted(gateway.drain_changed_rooms()))

    def _dial(self, index: int) -> None:
        gateway = self.gateways[index]
        for origin in sorted(gateway.desired_sources()):
            other = self._index(origin)
            if (
                other is None
                or (index, other) in self.streams.values()
                or self.partition[index] != self.partition[other]
            ):
                continue
            number = next(self.numbers)
            self.streams[number] = (index, other)
            self.gateways[other].subscriber_connected(number, self._origin(index))
            gateway.source_connected(self.now_ms, origin)
            self._record("idle", gateway.is_idle(origin))

    def _collect(self, index: int) -> None:
        """Send a gateway's outgoing messages and distribute its directory updates."""
        gateway = self.gateways[index]
        # The order of messages of different rooms is not specified; those of one room are in order.
        for destination, payload in sorted(gateway.drain_outgoing(), key=_by_room):
            self._record("out", index, destination, payload)
            if isinstance(destination, int):
                if destination in self.streams:
                    self._send(destination, payload, to_opener=True)
            else:
                for number, (opener, server) in self.streams.items():
                    if opener == index and self._origin(server) == destination:
                        self._send(number, payload, to_opener=False)
        changed = gateway.drain_directory_updates(self.source.choice((8, 600)))
        if changed:
            self._record("buckets", index, changed)
            self.buckets[index].update(changed)
        for key, value in changed:
            for other in range(GATEWAY_COUNT):
                if other != index and self.alive[other] and self.source.random() < 0.95:
                    self.gateways[other].receive_directory_entry(self.now_ms, self._origin(index), key, value)

    def _deliver(self) -> None:
        ready = sorted(message for message in self.in_flight if message[0] <= self.now_ms)
        for message in ready:
            _, _, number, to_opener, payload = message
            if message not in self.in_flight or number not in self.streams:
                continue
            opener, server = self.streams[number]
            if self.partition[opener] != self.partition[server]:
                continue
            self.in_flight.remove(message)
            try:
                if to_opener:
                    self._receive_answer(opener, server, payload)
                else:
                    self.gateways[server].receive_request(self.now_ms, number, payload)
            except PresenceError as error:
                self._record("parted", error.code, error.text)
                self._close_streams([number])

    def _receive_answer(self, opener: int, server: int, payload: messages.Message) -> None:
        gateway = self.gateways[opener]
        if isinstance(payload, messages.Reply):
            gateway.record_contact(self.now_ms, self._origin(server))
            self._record("answered", payload)
        else:
            gateway.receive_update(self.now_ms, self._origin(server), payload)

    def end(self) -> str:
        """End all partitions, let the gateways converge, add every view to the digest, and return it."""
        self.partition = [0] * GATEWAY_COUNT
        for _ in range(12):
            self.now_ms += STEP_MS
            self._exchange_messages()
        for index, gateway in enumerate(self.gateways):
            if self.alive[index]:
                for room, view in sorted(gateway.views.items()):
                    self._record_view(index, room, view)
        return self.digest.hex()


def play(seed: int, steps: int = 500) -> tuple[str, dict[str, int]]:
    """Return the digest of a simulation of `steps` steps, and the number of outputs of each kind."""
    simulation = RoomsSimulation(seed, SMALL_SETTINGS if seed % 2 else LARGE_SETTINGS)
    for _ in range(steps):
        simulation.step()
    return simulation.end(), simulation.outcomes


def crowd(seed: int) -> str:
    """Return the digest of one gateway's directory updates for many rooms, and of another's use of them."""
    source = random.Random(f"presence crowd {seed}")
    digest = Digest(MESSAGE_LABELS)
    settings = RoomSettings(max_rooms=4000, linger_ms=100.0)
    one, other = (
        rooms.Rooms(Origin("a", 1), settings, b"a" * 16),
        rooms.Rooms(Origin("b", 1), settings, b"b" * 16),
    )
    sessions = [one.join(0.0, f"docs/{source.randrange(3000)}") for _ in range(2500)]
    for now_ms in (0.0, 50.0, 5000.0):
        updates = one.drain_directory_updates(source.choice((200, 600)))
        digest.add(updates)
        for key, value in updates:
            other.receive_directory_entry(now_ms, one.origin, key, value)
        for _ in range(40):
            view = other.open_view(now_ms, f"docs/{source.randrange(4000)}")
            digest.add([view.room, view.pending_gateways()])
        for session in source.sample(sessions, 800):
            one.leave(now_ms, session)
        one.tick(now_ms + 1000.0)
        digest.add([sorted(other.desired_sources()), one.counters()])
    for key, value in (
        ("presence/zz", b"x"),
        ("presence/7f", b"x"),
        ("presence/00", b"\x02new"),
        ("presence/01", b""),
    ):
        other.receive_directory_entry(6000.0, Origin("c", 1), key, value)
    other.receive_directory_entry(6000.0, Origin("c", 1), "presence/00", None)
    for _ in range(40):
        view = other.open_view(6000.0, f"data/{source.randrange(4000)}")
        digest.add([view.room, view.pending_gateways()])
    return digest.hex()
