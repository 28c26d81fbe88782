"""Example messages of presence and the streams that drive its pure decisions, for recorder and test alike."""

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

# --- wire

ENTRY = messages.MemberEntry("b.1.1", 1, b"x", ["lock"], b"c" * 8, VersionStamp("a", 2, 3))
BARE_ENTRY = messages.MemberEntry("b.1.2")
ENDED_ENTRY = messages.MemberEntry("b.1.3", 2, b"", [], b"d" * 8, VersionStamp("", 0, 1))
CHANGE = messages.Change(3, "b.1.1", ENTRY, "moved", [VersionStamp("a", 2, 3), VersionStamp("c", 1, 9)])


def example_messages() -> list[tuple[str, messages.Message]]:
    """Return example values of every message of a stream between gateways, by a label."""
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


# Frames that a reader takes in though this version does not write them: fields left out, fields of a newer
# version added.
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
    """Return frames that no reader takes in, as hex."""
    size = messages.MAX_FRAME_BYTES + 1
    return ["0000000193", "00000003c10000", "7fffffff", size.to_bytes(4, "big").hex(), "00000002930b"]


def holders() -> list[agreed_names.NameHolder]:
    """Return example values of a decree on an agreed name."""
    return [
        agreed_names.NameHolder(1, "docs", "n", "b.1.1", "b", 1),
        agreed_names.NameHolder(
            1, "docs/handbook/ü", "editor", "edge-0001.1a0c5ee4400.7", "edge-0001", 1_790_000_000_000
        ),
    ]


def hashes() -> list[Any]:
    """Return what rooms, secrets and names come to where they are sent, stored or compared."""
    table = rooms.Rooms(Origin("edge-0001", 77), RoomSettings(), b"key of this life")
    return [
        [directory.room_hash(room).hex() for room in ("", "docs", "docs/handbook/ü")],
        [messages.digest_of_secret(secret).hex() for secret in (b"", b"s" * 16)],
        [table.secret(member, hop).hex() for member, hop in (("edge-0001.4d.1", 0), ("edge-0001.4d.1", 3))],
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
    """Return code, HTTP status and remedy of presence's errors."""
    return {kind.code: [kind.status, kind.remedy] for kind in known() if issubclass(kind, PresenceError)}


# --- decisions: what may be said, whom to ask, what a claim comes to

STATES = tuple(liveness.GatewayState(word) for word in ("alive", "unsure", "left", "gone"))


def _gateways(source: random.Random) -> list[liveness.Gateway]:
    return [
        liveness.Gateway(
            f"g{number}",
            source.randrange(1, 4),
            source.choice(("north", "south")),
            source.choice(STATES),
            source.uniform(0, 1e5),
        )
        for number in range(source.randrange(7))
    ]


def verdicts(seed: int) -> str:
    """Return the digest of what the functions without state give for drawn inputs."""
    source = random.Random(f"presence verdicts {seed}")
    digest = Digest()
    for _ in range(200):
        heard, now = source.uniform(0, 1e5), source.uniform(0, 2e5)
        synced = source.random() < 0.5
        digest.add(
            liveness.assess(heard, now, synced=synced, suspect_after_ms=3000.0, dead_after_ms=60_000.0)
        )
        others = _gateways(source)
        digest.add(liveness.majority_of_region("north", others))
        digest.add(liveness.replica_order(f"docs/{source.randrange(9)}", "north", others))
        telling = [f"g{number}" for number in range(7) if source.random() < 0.7]
        unsure = {f"g{number}": source.uniform(0, 1e5) for number in range(8) if source.random() < 0.2}
        waiting = [f"g{number}" for number in range(7) if source.random() < 0.2]
        digest.add(liveness.unreported_gateways(others, telling, unsure, waiting))
        name, life = f"g{source.randrange(7)}", source.randrange(1, 4)
        digest.add(liveness.is_incarnation_over(name, life, others, now, 60_000.0))
        holder = agreed_names.NameHolder(1, "docs", "n", f"a.1.{source.randrange(2)}", "a", 1)
        standing = agreed_names.NameHold(holder, source.randrange(1, 99)) if source.random() < 0.8 else None
        gone, take = source.random() < 0.5, source.random() < 0.5
        outcome = agreed_names.decide_claim(standing, "a.1.1", holder_dead=gone, preempt=take)
        digest.add([CLAIM_LABELS[type(outcome)], outcome])
    clock, time = liveness.AwakeClock(1000.0, 500.0), 1000.0
    for _ in range(100):
        time += source.choice((0.0, 10.0, 499.0, 500.0, 501.0, 70_000.0, -5.0))
        digest.add([clock.now_ms(time), clock.paused_ms])
    return digest.hex()


CLAIM_LABELS: dict[type, str] = {
    agreed_names.ProposeHolder: "ask",
    agreed_names.AlreadyOwner: "has",
    agreed_names.OwnedByOther: "held",
}

# --- decisions: the rooms of several gateways in one process

ROOMS = ("docs", "docs/a", "data/b", "data/c")
SMALL = RoomSettings(
    max_members=14, max_room=9, max_rooms=3, max_views=2, max_data=8, max_locks=2, log=5, feed=12, max_held=4,
    grace_ms=4000.0, silent_ms=1000.0, gone_ms=5000.0, hold_back_ms=400.0, linger_ms=1500.0, page_bytes=160,
)  # fmt: skip
WIDE = RoomSettings(
    log=16, feed=64, grace_ms=6000.0, silent_ms=1200.0, gone_ms=7000.0, hold_back_ms=600.0, linger_ms=2500.0
)
MESSAGE_LABELS: dict[type, str] = {
    messages.Hello: "hello", messages.Subscribe: "watch", messages.Unsubscribe: "unwatch",
    messages.SnapshotPage: "page", messages.ChangeBatch: "changes", messages.Heartbeat: "beat",
    messages.ReplicateRoom: "keep", messages.HandOverRequest: "move", messages.HandOverDone: "taken",
    messages.FindMember: "find", messages.Reply: "answer", messages.MemberEntry: "entry",
    messages.Change: "change",
}  # fmt: skip

GATEWAYS = 4
STEP_MS = 100.0
TICK_MS = 300.0


def _by_room(out: tuple[Origin | int, messages.Message]) -> tuple[str, str]:
    to = out[0] if isinstance(out[0], int) else tuple(out[0])
    return str(to), getattr(out[1], "room", "")


class Play:
    """Gateways' rooms under drawn acts: joins, moves, cuts, deaths, new lives; all outputs are digested.

    A stream carries its messages in order, after a drawn number of steps, or is lost with it.
    """

    def __init__(self, seed: int, settings: RoomSettings) -> None:
        """Begin with all gateways alive."""
        self.source = random.Random(f"presence play {seed}")
        self.settings = settings
        self.digest = Digest(MESSAGE_LABELS)
        self.now_ms = 0.0
        self.lives = [1] * GATEWAYS
        self.alive = [True] * GATEWAYS
        self.side = [0] * GATEWAYS
        self.gateways = [self._new_life(index) for index in range(GATEWAYS)]
        self.buckets: list[dict[str, bytes | None]] = [{} for _ in range(GATEWAYS)]
        self.streams: dict[int, tuple[int, int]] = {}  # number -> (who opened it, who serves it)
        self.in_flight: list[tuple[float, int, int, bool, messages.Message]] = []
        self.numbers = itertools.count(1)
        self.sessions: list[tuple[int, int, Session]] = []
        self.cursors: dict[tuple[int, str], tuple[int, int]] = {}
        self.outcomes: dict[str, int] = {}

    def _new_life(self, index: int) -> rooms.Rooms:
        return rooms.Rooms(Origin(f"g{index}", self.lives[index]), self.settings, self.source.randbytes(16))

    def _origin(self, index: int) -> Origin:
        return Origin(f"g{index}", self.lives[index])

    def _index(self, origin: Origin) -> int | None:
        """Return whose life an origin is; None for one that is over."""
        index = int(origin[0][1:])
        return index if self.alive[index] and self.lives[index] == origin[1] else None

    def _add(self, label: str, *values: Any) -> None:
        self.outcomes[label] = self.outcomes.get(label, 0) + 1
        self.digest.add([label, *values])

    # --- acts

    def step(self) -> None:
        """Let a step's time pass, do one drawn act, and carry what the gateways say."""
        self.now_ms += STEP_MS
        index = self.source.randrange(GATEWAYS)
        if self.alive[index]:
            acts = self._clients_act, self._clients_act, self._clients_act, self._watch, self._gateway_act
            try:
                self.source.choice(acts)(index)
            except PresenceError as error:
                self._add("refused", error.code, error.text)
        if self.source.random() < 0.06:
            self._fault(index)
        self._carry()

    def _clients_act(self, index: int) -> None:
        table = self.gateways[index]
        here = [s for at, life, s in self.sessions if at == index and life == self.lives[index]]
        act = self.source.choice(("join", "join", "join", "touch", "touch", "leave", "move", "resume"))
        if act == "join" or not here:
            data = self.source.randbytes(self.source.choice((0, 3, 8, 8, 9)))
            locks = [f"lock-{n}" for n in range(self.source.choice((0, 0, 0, 1, 2, 3)))]
            session = table.join(self.now_ms, self.source.choice(ROOMS), data, locks)
            self.sessions.append((index, self.lives[index], session))
            self._add("joined", session.entry)
            return
        session = self.source.choice(here)
        if act == "touch":
            data = self.source.choice((None, b"new", session.entry.data))
            table.touch(self.now_ms, session, data, self.source.choice((None, [], ["lock-9"])))
            self._add("touched", session.entry)
        elif act == "leave":
            if self.source.random() < 0.3:
                session.agreed_names = {"editor": 7}
            reason = self.source.choice((Reason.LEFT, Reason.LEFT, Reason.WITHDRAWN))
            table.leave(self.now_ms, session, reason)
            self._forget(session)
            self._add("left", session.entry.id, table.drain_released_names())
        else:
            self._move(index, session, by_its_gateway=act == "move")

    def _forget(self, session: Session) -> None:
        self.sessions = [known for known in self.sessions if known[2] is not session]

    def _move(self, index: int, session: Session, *, by_its_gateway: bool) -> None:
        """Resume a session at another gateway: handed over, or taken over from what was told."""
        others = [other for other in range(GATEWAYS) if other != index and self.alive[other]]
        if not others:
            return
        home, to = self.gateways[index], self.source.choice(others)
        target = self.gateways[to]
        held = target.last_known(session.room, session.entry.id)
        self._add("held", held, target.is_reachable(self._origin(index)))
        entry = held[0] if held is not None else None
        if by_its_gateway and self.side[index] == self.side[to]:
            secret = home.secret(session.entry.id, session.entry.hop)
            if self.source.random() < 0.1:
                secret = b"wrong"
            ask = messages.HandOverRequest(1, session.room, session.entry.id, secret)
            entry = home.hand_over(self.now_ms, ask)
            self._add("handed over", entry)
        if entry is None or entry.moved is not None:
            return
        moved = target.adopt(self.now_ms, session.room, entry)
        self.sessions.append((to, self.lives[to], moved))
        self._add("taken over", moved.entry)
        if by_its_gateway and self.source.random() < 0.8:
            told = messages.HandOverDone(session.room, moved.entry.id, moved.entry.hop, target.version)
            home.record_hand_over(self.now_ms, told, self._origin(to))
            self._forget(session)
        elif self.source.random() < 0.5:
            self._add("frozen", session.frozen_until_ms > self.now_ms)

    def _watch(self, index: int) -> None:
        table, room = self.gateways[index], self.source.choice(ROOMS)
        view = table.open_view(self.now_ms, room)
        if self.source.random() < 0.2:
            view.watchers = self.source.randrange(2)
        self._check(index, room, view)

    def _check(self, index: int, room: str, view: RoomView) -> None:
        table = self.gateways[index]
        cursor = self.cursors.get((index, room), (0, 0))
        # Which of several rooms begins its new epoch first is not decided; that it begins one is.
        self._add("epoch", view.feed.epoch == cursor[0], view.feed.last_seq)
        self._add("events", view.feed.events_after(*cursor))
        self.cursors[(index, room)] = view.feed.cursor
        self._add(
            "view",
            view.members(),
            table.unsure_gateways(view, self.now_ms),
            view.pending_gateways(),
            table.as_of_ms(view, self.now_ms),
        )

    def _gateway_act(self, index: int) -> None:
        table, room = self.gateways[index], self.source.choice(ROOMS)
        act = self.source.choice(("keep", "find", "find", "tell", "session", "forget"))
        opened = [number for number, (one, _) in self.streams.items() if one == index]
        if act == "tell":
            table.append_event(
                room, RoomEvent(event=EventKind.NAME_ACQUIRED, member="m", name="editor", number=5)
            )
        elif act == "session":
            for at, _, session in self.sessions[:3]:
                secret = self.gateways[at].secret(session.entry.id, session.entry.hop)
                self._add("session", table.session(session.entry.id, secret) is not None)
            if table.sessions:
                table.session(next(iter(table.sessions)), b"wrong")
        elif act == "forget":
            dead = [other for other in range(GATEWAYS) if not self.alive[other]]
            if dead:
                table.forget(self._origin(self.source.choice(dead)))
        elif opened:
            number = self.source.choice(opened)
            member = self.source.choice(self.sessions)[2].entry.id if self.sessions else "g0.1.1"
            seq = next(self.numbers)
            asked = (
                messages.ReplicateRoom(seq, room, table.version)
                if act == "keep"
                else messages.FindMember(seq, room, member)
            )
            self._send(number, asked, back=False)

    def _fault(self, index: int) -> None:
        kind = self.source.choice(("cut", "cut", "heal", "heal", "heal", "die", "restart", "close", "break"))
        if kind == "cut":
            self.side = [self.source.randrange(2) for _ in range(GATEWAYS)]
        elif kind == "heal":
            self.side = [0] * GATEWAYS
        elif kind in ("die", "close") and self.alive[index]:
            if kind == "close":
                self.gateways[index].close(self.now_ms)
                self._carry()
            self.alive[index] = False
            self._break([number for number, pair in self.streams.items() if index in pair])
        elif kind == "restart":
            for dead in range(GATEWAYS):
                if not self.alive[dead]:
                    self._restart(dead)
        elif kind == "break" and self.streams:
            self._break([self.source.choice(sorted(self.streams))])

    def _restart(self, index: int) -> None:
        self.lives[index] += 1
        self.alive[index] = True
        self.buckets[index] = {}
        self.gateways[index] = self._new_life(index)
        for room in ROOMS:
            self.cursors.pop((index, room), None)
        for other in range(GATEWAYS):
            if other != index and self.alive[other]:
                for key, value in self.buckets[other].items():
                    self.gateways[index].receive_directory_entry(self.now_ms, self._origin(other), key, value)

    def _break(self, numbers: list[int]) -> None:
        for number in numbers:
            one, other = self.streams.pop(number)
            self.in_flight = [message for message in self.in_flight if message[2] != number]
            if self.alive[one]:
                self.gateways[one].source_disconnected(self._origin(other))
            if self.alive[other] and number in self.gateways[other].subscriber_streams():
                self.gateways[other].subscriber_disconnected(number)

    # --- carrying

    def _send(self, number: int, body: messages.Message, *, back: bool) -> None:
        arrives = self.now_ms + STEP_MS * self.source.choice((0, 0, 1, 2, 5))
        before = [at for at, _, stream, way, _ in self.in_flight if (stream, way) == (number, back)]
        message = (max([arrives, *before]), next(self.numbers), number, back, body)
        self.in_flight.append(message)

    def _carry(self) -> None:
        ticking = self.now_ms % TICK_MS < STEP_MS
        for index, table in enumerate(self.gateways):
            if not self.alive[index]:
                continue
            if ticking:
                table.tick(self.now_ms)
                self._dial(index)
            elif self.source.random() < 0.7 and table.has_unpublished_changes:
                table.publish_changes()
            self._collect(index)
        self._deliver()
        for index, table in enumerate(self.gateways):
            if self.alive[index] and ticking:
                # A stream that still stands carries the other side's heartbeat.
                for one, other in self.streams.values():
                    if one == index and self.side[one] == self.side[other]:
                        table.record_contact(self.now_ms, self._origin(other))
                self._add("figures", table.counters(), sorted(table.drain_changed_rooms()))

    def _dial(self, index: int) -> None:
        table = self.gateways[index]
        for origin in sorted(table.desired_sources()):
            other = self._index(origin)
            if (
                other is None
                or (index, other) in self.streams.values()
                or self.side[index] != self.side[other]
            ):
                continue
            number = next(self.numbers)
            self.streams[number] = (index, other)
            self.gateways[other].subscriber_connected(number, self._origin(index))
            table.source_connected(self.now_ms, origin)
            self._add("idle", table.is_idle(origin))

    def _collect(self, index: int) -> None:
        """Take what a gateway wants sent and told, and put it on its way."""
        table = self.gateways[index]
        # In which order several rooms speak is not decided; each room's own messages are in order.
        for to, body in sorted(table.drain_outgoing(), key=_by_room):
            self._add("out", index, to, body)
            if isinstance(to, int):
                if to in self.streams:
                    self._send(to, body, back=True)
            else:
                for number, (one, other) in self.streams.items():
                    if one == index and self._origin(other) == to:
                        self._send(number, body, back=False)
        changed = table.drain_directory_updates(self.source.choice((8, 600)))
        if changed:
            self._add("buckets", index, changed)
            self.buckets[index].update(changed)
        for key, value in changed:
            for other in range(GATEWAYS):
                if other != index and self.alive[other] and self.source.random() < 0.95:
                    self.gateways[other].receive_directory_entry(self.now_ms, self._origin(index), key, value)

    def _deliver(self) -> None:
        ready = sorted(message for message in self.in_flight if message[0] <= self.now_ms)
        for message in ready:
            _, _, number, back, body = message
            if message not in self.in_flight or number not in self.streams:
                continue
            one, other = self.streams[number]
            if self.side[one] != self.side[other]:
                continue
            self.in_flight.remove(message)
            try:
                if back:
                    self._receive_answer(one, other, body)
                else:
                    self.gateways[other].receive_request(self.now_ms, number, body)
            except PresenceError as error:
                self._add("parted", error.code, error.text)
                self._break([number])

    def _receive_answer(self, one: int, other: int, body: messages.Message) -> None:
        table = self.gateways[one]
        if isinstance(body, messages.Reply):
            table.record_contact(self.now_ms, self._origin(other))
            self._add("answered", body)
        else:
            table.receive_update(self.now_ms, self._origin(other), body)

    def end(self) -> str:
        """Heal everything, let everybody converge, look at every view; return the digest."""
        self.side = [0] * GATEWAYS
        for _ in range(12):
            self.now_ms += STEP_MS
            self._carry()
        for index, table in enumerate(self.gateways):
            if self.alive[index]:
                for room, view in sorted(table.views.items()):
                    self._check(index, room, view)
        return self.digest.hex()


def play(seed: int, steps: int = 500) -> tuple[str, dict[str, int]]:
    """Return the digest of a play, and how often each kind of output came."""
    played = Play(seed, SMALL if seed % 2 else WIDE)
    for _ in range(steps):
        played.step()
    return played.end(), played.outcomes


def crowd(seed: int) -> str:
    """Return the digest of one gateway's many rooms in the spread, and how another one reads them."""
    source = random.Random(f"presence crowd {seed}")
    digest = Digest(MESSAGE_LABELS)
    settings = RoomSettings(max_rooms=4000, linger_ms=100.0)
    one, other = (
        rooms.Rooms(Origin("a", 1), settings, b"a" * 16),
        rooms.Rooms(Origin("b", 1), settings, b"b" * 16),
    )
    sessions = [one.join(0.0, f"docs/{source.randrange(3000)}") for _ in range(2500)]
    for time in (0.0, 50.0, 5000.0):
        told = one.drain_directory_updates(source.choice((200, 600)))
        digest.add(told)
        for key, value in told:
            other.receive_directory_entry(time, one.origin, key, value)
        for _ in range(40):
            view = other.open_view(time, f"docs/{source.randrange(4000)}")
            digest.add([view.room, view.pending_gateways()])
        for session in source.sample(sessions, 800):
            one.leave(time, session)
        one.tick(time + 1000.0)
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
