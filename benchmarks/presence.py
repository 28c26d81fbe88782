"""Presence at size, simulated: bytes a second, time to see, memory, histories; 100,000 members at one.

    .venv-gateway/bin/python benchmarks/presence.py --seeds 1 2 3

The pure cores of all gateways run in one process (`cressrock/lab/presencesim.py`).  Every gateway follows
each room in which it has members.  Then a tenth of the members move while zones are cut off and come back and
gateways die and start again; a sample of watchers is checked against what the clients did.
"""

import argparse
import gc
import random
import time
import tracemalloc

from cressrock.lab.presence_check import Act, check, converged, state
from cressrock.lab.presencesim import PresenceNet
from cressrock.presence.messages import Origin
from cressrock.presence.rooms import Rooms
from cressrock.presence.settings import RoomSettings


def percentile(values, part):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def resident():
    """Return this process's resident memory in KiB."""
    with open("/proc/self/status") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))


class Run:
    def __init__(self, seed, gateways, members, rooms, sample):
        self.source = random.Random(seed)
        self.settings = RoomSettings()
        before = resident()
        self.net = PresenceNet(gateways, seed, self.settings)
        self.rooms = [f"v{n % 40}/room-{n}" for n in range(rooms)]
        self.acts, self.present = [], {}
        self.zones = [number % 3 for number in range(gateways)]
        for _ in range(members):
            self.join(self.source.randrange(gateways), self.source.choice(self.rooms), carried=False)
        for number in range(gateways):
            self.net.pump(number)
        self.net.run(20_000)
        self.watch(sample)
        self.memory = (resident() - before) / gateways

    def join(self, at, room, carried=True):
        core = self.net.cores[at]
        view = core.open_view(self.net.now, room)
        view.watchers += 1
        session = core.join(self.net.now, room, self.source.randbytes(16))
        if carried:
            self.net.begun[session.entry.id] = self.net.now
            self.net.pump(at)
        self.present[session.entry.id] = (at, self.net.lives[at], session)
        self.acts.append(Act("join", room, session.entry.id, self.net.now, self.net.now))
        return session

    def leave(self, id):
        at, life, session = self.present.pop(id)
        if self.net.alive[at] and self.net.lives[at] == life:
            self.acts.append(Act("leave", session.room, id, self.net.now, self.net.now))
            self.net.leave(at, session)

    def watch(self, sample):
        seen = set()
        while len(seen) < sample:
            at = self.source.randrange(len(self.net.cores))
            core = self.net.cores[at]
            room = self.source.choice(sorted(core.views))
            if (at, room) not in seen:
                seen.add((at, room))
                self.net.watch(at, room)

    def touch(self):
        """Every client is there."""
        for at, life, session in self.present.values():
            if self.net.alive[at] and self.net.lives[at] == life:
                session.last_contact_ms = self.net.now

    def phase(self, seconds, each=lambda second: None):
        """Run, and return bytes a second and gateway by kind."""
        before = dict(self.net.bytes)
        for second in range(seconds):
            if second % 8 == 0:
                self.touch()
            each(second)
            self.net.run(1000)
        count = len(self.net.cores) * seconds
        return {kind: (self.net.bytes[kind] - before[kind]) / count for kind in before}

    def move(self, count):
        for id in self.source.sample(sorted(self.present), count):
            _, _, session = self.present[id]
            room = session.room if self.source.random() < 0.5 else self.source.choice(self.rooms)
            self.leave(id)
            living = [n for n, alive in enumerate(self.net.alive) if alive]
            self.join(self.source.choice(living), room)

    def troubles(self, second, moved):
        self.move(moved)
        net = self.net
        if second % 20 == 4:
            lost = (second // 20) % 3
            net.cut([int(zone == lost) for zone in self.zones])
        if second % 20 == 14:
            net.cut([0] * len(net.cores))
        watched = {at for at, _, _ in net.watched}
        if second % 12 == 6:
            free = [n for n, alive in enumerate(net.alive) if alive and n not in watched]
            if free:
                dead = self.source.choice(free)
                net.kill(dead)
                # Its clients join again elsewhere; the former sessions are unsure until the stated time.
                for id, (at, _, session) in list(self.present.items()):
                    if at == dead:
                        del self.present[id]
                        living = [n for n, alive in enumerate(net.alive) if alive]
                        self.join(self.source.choice(living), session.room)
        if second % 12 == 11:
            for number, alive in enumerate(net.alive):
                if not alive:
                    net.start(number)

    def wrong(self):
        there = {}
        for id, (_, _, session) in self.present.items():
            there.setdefault(session.room, set()).add(id)
        histories = [w for _, w, _ in self.net.watched]
        found = check(self.acts, histories, grace_ms=self.settings.grace_ms)
        return found, converged(histories, there), sum(len(t.events) for w in histories for t in w.told)


def say(text):
    print(text, flush=True)


def simulate(seed, given):
    began = time.perf_counter()
    run = Run(seed, given.gateways, given.members, given.rooms, given.sample)
    print(f"### Seed {seed}\n", flush=True)
    say(f"- memory: {run.memory / 1024:.1f} MiB a gateway (its own members and all it follows)")
    calm = run.phase(10)
    say(f"- calm, bytes a second and gateway: {show(calm)}")
    run.net.delays.clear()
    seconds = given.seconds
    moving = run.phase(seconds, lambda second: run.move(given.members // 10 // seconds))
    delays = list(run.net.delays)
    say(f"- a tenth moves in {seconds} s, bytes a second and gateway: {show(moving)}")
    say(
        f"- time to see a join elsewhere: p50 {percentile(delays, 0.5):.0f} ms, p99 "
        f"{percentile(delays, 0.99):.0f} ms, max {max(delays):.0f} ms ({len(delays)} sightings)"
    )
    run.net.delays.clear()
    troubled = run.phase(seconds, lambda second: run.troubles(second, given.members // 10 // seconds))
    say(f"- the same with zones cut off and gateways dying: {show(troubled)}")
    forced = sum(core.forced_releases for core in run.net.cores)
    resyncs = sum(core.resyncs for core in run.net.cores)
    say(f"- shown before a cause that could not be had: {forced}; resyncs (all rooms): {resyncs}")
    run.net.cut([0] * given.gateways)
    healed = None
    for second in range(100):
        run.phase(1)
        if second % 5 == 4:
            run.touch()
        there = {}
        for id, (_, _, session) in run.present.items():
            there.setdefault(session.room, set()).add(id)
        if all(state(w.told) == there.get(w.room, set()) for _, w, _ in run.net.watched):
            healed = second + 1
            break
    histories, apart, events = run.wrong()
    say(f"- after the last heal one view in {healed} s (deaths wait for the stated time, 60 s)")
    say(f"- {given.sample} watchers, {events} events: {len(histories)} findings, {len(apart)} apart")
    for text in (histories + apart)[:5]:
        say(f"  - {text}")
    say(f"- took {time.perf_counter() - began:.0f} s")


def show(figures):
    return ", ".join(f"{kind} {value:.0f}" for kind, value in figures.items())


def one_gateway(members, rooms):
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    core = Rooms(Origin("edge-0001", 1_790_000_000_000), RoomSettings(), b"k" * 16)
    began = time.perf_counter()
    for n in range(members):
        core.join(float(n), f"volume/project-{n % rooms}", b"sixteen bytes...")
    took = time.perf_counter() - began
    core.publish_changes()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    told = sum(len(key) + len(value or b"") for key, value in core.drain_directory_updates())
    print(
        f"- {members} members in {rooms} rooms at one gateway: {held / 1e6:.1f} MB,"
        f" {held / members:.0f} bytes each; {1e6 * took / members:.0f} us a join (traced);"
        f" in the spread {told} bytes",
        flush=True,
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--gateways", type=int, default=230)
    parser.add_argument("--members", type=int, default=50_000)
    parser.add_argument("--rooms", type=int, default=2500)
    parser.add_argument("--sample", type=int, default=200)
    parser.add_argument("--seconds", type=int, default=60)
    parser.add_argument("--without-one", action="store_true")
    parser.add_argument("--seeds", type=int, nargs="*", default=[1])
    given = parser.parse_args()
    for rooms in () if given.without_one else (100, 5_000, 20_000):
        one_gateway(100_000, rooms)
    for seed in given.seeds:
        simulate(seed, given)
