"""How a storage node performs: cores, queue, speed, deferred writes, repeats, cold start.  Pure.

The model answers one question: a request that comes in now, is it turned away, or when is it done?
Works are milliseconds of one core at speed 1.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Machine:
    """A node's figures."""

    cores: int = 2
    speed: float = 1.0
    queue: int = 64
    unit_ms: float = 4.0  # work of one unit
    base_ms: float = 0.5  # work of any request
    repeat_saves: float = 0.5  # of the work, for a key among the last ones taken
    remembers: int = 2
    deferred: float = 0.3  # of a write's work, put off
    flush_ms: float = 2000.0  # and done together this often
    cold_from: float = 0.2
    warm_up_ms: float = 10000.0
    noise: float = 0.3  # a request's work is drawn this far around its mean
    fall_multiple: float = 2.5
    tip_after_ms: float = 1000.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """When a request is done; None: it is turned away unseen."""

    done_ms: float | None
    began_ms: float = 0.0


class Performance:
    """One node process from its start.  `fallen` once it was pushed over while cold."""

    def __init__(self, machine: Machine, started_ms: float, *, cold: bool, seed: int) -> None:
        """`cold`: its capacity grows from `cold_from` to the full over `warm_up_ms`."""
        self.machine = machine
        self.started = started_ms
        self.cold = cold
        self.random = random.Random(seed)
        self.free = [started_ms] * machine.cores
        self.ends: deque[float] = deque()
        self.last_keys: deque[str] = deque(maxlen=machine.remembers)
        self.put_off = 0.0
        self.flush_at = started_ms + machine.flush_ms
        self.slow = 1.0
        self.fallen = False
        self.sent: deque[tuple[float, float]] = deque()
        self.worst = 0.0  # highest part of the bound of a cold start that was used

    def share(self, now: float) -> float:
        """Return the present part of the full capacity."""
        if not self.cold:
            return 1.0
        age = (now - self.started) / self.machine.warm_up_ms
        return min(1.0, self.machine.cold_from + (1 - self.machine.cold_from) * max(0.0, age))

    def capacity(self, now: float) -> float:
        """Return what it can do at present, in milliseconds of work for each second."""
        return self.machine.cores * 1000 * self.machine.speed * self.share(now)

    def held(self, now: float) -> int:
        """Count the requests in work and in the queue."""
        while self.ends and self.ends[0] <= now:
            self.ends.popleft()
        return len(self.ends)

    def offer(self, now: float, units: float, key: str, *, writes: bool) -> Verdict:
        """Take a request in, or turn it away; either way it counts against a cold start."""
        machine = self.machine
        work = machine.base_ms + units * machine.unit_ms
        self._count_cold(now, work)
        held = self.held(now)
        if self.fallen or held >= machine.cores + machine.queue:
            return Verdict(None)
        if key in self.last_keys:
            work *= 1 - machine.repeat_saves
        self.last_keys.append(key)
        if writes:
            self.put_off += work * machine.deferred
            work *= 1 - machine.deferred
        if now >= self.flush_at:
            work += self.put_off
            self.put_off, self.flush_at = 0.0, now + machine.flush_ms
        work *= self.random.uniform(1 - machine.noise, 1 + machine.noise)
        core = min(range(machine.cores), key=lambda c: self.free[c])
        began = max(now, self.free[core])
        done = began + work * self.slow / (machine.speed * self.share(now))
        self.free[core] = done
        # Kept in order of ending: `held` takes them from the front.
        self.ends.append(done)
        if len(self.ends) > 1 and self.ends[-2] > done:
            self.ends = deque(sorted(self.ends))
        return Verdict(done, began)

    def pause(self, now: float, length_ms: float) -> None:
        """Stand still: all cores are busy for that long."""
        self.free = [max(now, at) + length_ms for at in self.free]

    def _count_cold(self, now: float, work: float) -> None:
        machine = self.machine
        if not self.cold or now - self.started > machine.warm_up_ms + machine.tip_after_ms:
            return
        self.sent.append((now, work))
        while self.sent and self.sent[0][0] <= now - machine.tip_after_ms:
            self.sent.popleft()
        bound = machine.fall_multiple * self.capacity(now) * machine.tip_after_ms / 1000
        used = sum(w for _, w in self.sent) / bound
        self.worst = max(self.worst, used)
        if used > 1:
            self.fallen = True


class Meter:
    """What each volume was served over all nodes, by finished periods, told late."""

    def __init__(self, period_ms: float, late_ms: float) -> None:
        """`late_ms` after a period's end its figures are told."""
        self.period_ms = period_ms
        self.late_ms = late_ms
        self.more_late_ms = 0.0
        self.periods: dict[int, dict[str, float]] = {}

    def served(self, now: float, volume: str, units: float) -> None:
        """Enter units that were served."""
        index = int(now // self.period_ms)
        period = self.periods.setdefault(index, {})
        period[volume] = period.get(volume, 0.0) + units
        for old in [i for i in self.periods if i < index - 64]:
            del self.periods[old]

    def used(self, now: float, volume: str, rate: float) -> int:
        """Return 1 + percent of the rate in the newest period that is told; 0: nothing to tell."""
        if not rate:
            return 0
        index = int((now - self.late_ms - self.more_late_ms) // self.period_ms) - 1
        units = self.periods.get(index, {}).get(volume, 0.0)
        return 1 + round(100 * units / (rate * self.period_ms / 1000))
