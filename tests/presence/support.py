"""Gateways' rooms joined by hand, and days of cuts and deaths, for the tests of presence."""

import random

from cressrock.lab.presence_check import Act, state
from cressrock.lab.presencesim import PresenceNet
from cressrock.presence.messages import Origin, decode_frame, encode_frame
from cressrock.presence.rooms import Rooms
from cressrock.presence.settings import RoomSettings

QUICK = RoomSettings(silent_ms=1500, gone_ms=8000, grace_ms=6000, linger_ms=4000, log=8)


def two_gateways(**changes):
    """Return the rooms of two gateways, `a` and `b`, with these settings changed."""
    settings = RoomSettings(**{"log": 8, **changes})
    return Rooms(Origin("a", 1), settings, b"a" * 16), Rooms(Origin("b", 1), settings, b"b" * 16)


def publish_directory(source, target):
    """Carry what a gateway puts into the gossip to another one."""
    for key, value in source.drain_directory_updates():
        target.receive_directory_entry(0.0, source.origin, key, value)


def connect(follower, source, now_ms=0.0, stream=7):
    """Let one gateway follow another by a stream; return a function that carries everything both ways."""
    source.subscriber_connected(stream, follower.origin)
    follower.source_connected(now_ms, source.origin)

    def carry(now_ms=0.0):
        source.publish_changes()
        for _ in range(10):
            for to, message in follower.drain_outgoing():
                if to == source.origin:
                    source.receive_request(now_ms, stream, message)
            for to, message in source.drain_outgoing():
                if to == stream:
                    received = decode_frame(bytearray(encode_frame(message)))
                    follower.receive_update(now_ms, source.origin, received)

    return carry


class Day:
    """Clients join, leave and watch while gateways are cut, killed and started."""

    def __init__(self, seed, gateways=5, rooms=3, settings=QUICK):
        self.source = random.Random(seed)
        self.net = PresenceNet(gateways, seed, settings)
        self.rooms = [f"docs/{number}" for number in range(rooms)]
        self.watched = [self.net.watch(gateway, room) for gateway in range(gateways) for room in self.rooms]
        self.acts = []
        self.sessions = {}  # (gateway, its life, member) -> (room, session)
        self.killable = (
            gateways - 1
        )  # the last one's life is never over, so that somebody remembers everything
        self.dead_watchers = set()

    @property
    def gateways(self):
        return len(self.net.cores)

    def run(self, steps=60):
        """Play so many steps, then heal everything and wait for longer than the stated time."""
        for _ in range(steps):
            self.net.run(self.source.uniform(20, 400))
            self._step()
        self.net.cut([0] * self.gateways)
        for _ in range(30):
            self.net.run(700)
            self._touch_all()
        return self

    def _step(self):
        gateway = self.source.randrange(self.gateways)
        act = self.source.choice(["join", "join", "join", "leave", "leave", "touch", "cut", "heal", "kill"])
        self._touch_all()
        if act == "join" and self.net.alive[gateway]:
            self._join(gateway)
        elif act == "leave" and self.sessions:
            self._leave()
        elif act == "cut":
            self.net.cut([self.source.randrange(2) for _ in range(self.gateways)])
        elif act == "heal":
            self.net.cut([0] * self.gateways)
        elif act == "kill" and gateway < self.killable and self.source.random() < 0.3:
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
        net, room = self.net, self.source.choice(self.rooms)
        watcher = next(w for at, w, _ in net.watched if at == gateway and w.room == room)
        shown = frozenset() if gateway in self.dead_watchers else frozenset(state(watcher.told))
        session = net.join(gateway, room)
        self.acts.append(Act("join", room, session.entry.id, net.now, net.now, seen=shown))
        self.sessions[(gateway, net.lives[gateway], session.entry.id)] = (room, session)

    def _leave(self):
        key = self.source.choice(sorted(self.sessions))
        room, session = self.sessions.pop(key)
        self.acts.append(Act("leave", room, key[2], self.net.now, self.net.now))
        self.net.leave(key[0], session)

    def _kill_or_start(self, gateway):
        if self.net.alive[gateway]:
            self.net.kill(gateway)
            self.dead_watchers.add(gateway)
        else:
            self.net.start(gateway)

    @property
    def members(self):
        """The members that are there, by room."""
        present = {}
        for (_, _, member), (room, _) in self.sessions.items():
            present.setdefault(room, set()).add(member)
        return present

    @property
    def living_watchers(self):
        """The watchers whose gateway was never killed."""
        return [watcher for at, watcher, _ in self.net.watched if at not in self.dead_watchers]
