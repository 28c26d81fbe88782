"""Helpers of the presence tests: directly connected gateways, and random workloads with faults."""

import random

from cressrock.lab.presence_check import Act, state
from cressrock.lab.presencesim import PresenceNet
from cressrock.presence.messages import Origin, decode_frame, encode_frame
from cressrock.presence.rooms import Rooms
from cressrock.presence.settings import RoomSettings

QUICK = RoomSettings(silent_ms=1500, gone_ms=8000, grace_ms=6000, linger_ms=4000, log=8)


def two_gateways(**changes):
    """Return the rooms of two gateways, `a` and `b`, with these settings overridden."""
    settings = RoomSettings(**{"log": 8, **changes})
    return Rooms(Origin("a", 1), settings, b"a" * 16), Rooms(Origin("b", 1), settings, b"b" * 16)


def publish_directory(source, target):
    """Deliver a gateway's pending gossip entries to another one."""
    for key, value in source.drain_directory_updates():
        target.receive_directory_entry(0.0, source.origin, key, value)


def connect(follower, source, now_ms=0.0, stream=7):
    """Connect `follower` to `source` by a stream; return a function that delivers messages both ways."""
    source.subscriber_connected(stream, follower.origin)
    follower.source_connected(now_ms, source.origin)

    def deliver(now_ms=0.0):
        source.publish_changes()
        for _ in range(10):
            for to, message in follower.drain_outgoing():
                if to == source.origin:
                    source.receive_request(now_ms, stream, message)
            for to, message in source.drain_outgoing():
                if to == stream:
                    received = decode_frame(bytearray(encode_frame(message)))
                    follower.receive_update(now_ms, source.origin, received)

    return deliver


class Day:
    """Clients join, leave and watch at random while gateways are partitioned, killed and restarted."""

    def __init__(self, seed, gateways=5, rooms=3, settings=QUICK):
        self.rng = random.Random(seed)
        self.net = PresenceNet(gateways, seed, settings)
        self.rooms = [f"docs/{number}" for number in range(rooms)]
        self.watched = [self.net.watch(gateway, room) for gateway in range(gateways) for room in self.rooms]
        self.acts = []
        self.sessions = {}  # (gateway, its incarnation count, member) -> (room, session)
        # The last gateway is never killed, so that at least one keeps the whole history.
        self.killable_count = gateways - 1
        self.killed_gateways = set()

    @property
    def gateways(self):
        return len(self.net.cores)

    def run(self, steps=60):
        """Run random steps, then heal all partitions and wait for longer than `gone_ms`."""
        for _ in range(steps):
            self.net.run(self.rng.uniform(20, 400))
            self._step()
        self.net.cut([0] * self.gateways)
        for _ in range(30):
            self.net.run(700)
            self._touch_all()
        return self

    def _step(self):
        gateway = self.rng.randrange(self.gateways)
        action = self.rng.choice(["join", "join", "join", "leave", "leave", "touch", "cut", "heal", "kill"])
        self._touch_all()
        if action == "join" and self.net.alive[gateway]:
            self._join(gateway)
        elif action == "leave" and self.sessions:
            self._leave()
        elif action == "cut":
            self.net.cut([self.rng.randrange(2) for _ in range(self.gateways)])
        elif action == "heal":
            self.net.cut([0] * self.gateways)
        elif action == "kill" and gateway < self.killable_count and self.rng.random() < 0.3:
            self._kill_or_start(gateway)

    def _touch_all(self):
        net = self.net
        for (gateway, life, member), (room, session) in list(self.sessions.items()):
            if net.alive[gateway] and net.lives[gateway] == life:
                net.cores[gateway].touch(net.now, session)
                self.acts.append(Act("touch", room, member, net.now, net.now))
            else:
                del self.sessions[(gateway, life, member)]

    def _join(self, gateway):
        net, room = self.net, self.rng.choice(self.rooms)
        watcher = next(w for at, w, _ in net.watched if at == gateway and w.room == room)
        shown_members = frozenset() if gateway in self.killed_gateways else frozenset(state(watcher.told))
        session = net.join(gateway, room)
        self.acts.append(Act("join", room, session.entry.id, net.now, net.now, seen=shown_members))
        self.sessions[(gateway, net.lives[gateway], session.entry.id)] = (room, session)

    def _leave(self):
        key = self.rng.choice(sorted(self.sessions))
        room, session = self.sessions.pop(key)
        self.acts.append(Act("leave", room, key[2], self.net.now, self.net.now))
        self.net.leave(key[0], session)

    def _kill_or_start(self, gateway):
        if self.net.alive[gateway]:
            self.net.kill(gateway)
            self.killed_gateways.add(gateway)
        else:
            self.net.start(gateway)

    @property
    def members(self):
        """The current members by room."""
        present = {}
        for (_, _, member), (room, _) in self.sessions.items():
            present.setdefault(room, set()).add(member)
        return present

    @property
    def living_watchers(self):
        """The watchers whose gateway was never killed."""
        return [watcher for at, watcher, _ in self.net.watched if at not in self.killed_gateways]
