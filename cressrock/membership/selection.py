"""Random choice of members: uniform samples in constant time, and SWIM's shuffled order of probes."""

from __future__ import annotations

import random
from collections.abc import Iterable


class RandomPool:
    """A set of names with add, remove and sample in constant time; its order depends on the calls alone."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        """Hold `names` in their order."""
        self.names: list[str] = list(names)
        self._index: dict[str, int] = {name: index for index, name in enumerate(self.names)}

    def __len__(self) -> int:
        """Return how many names are held."""
        return len(self.names)

    def __contains__(self, name: str) -> bool:
        """Whether a name is held."""
        return name in self._index

    def add(self, name: str) -> None:
        """Add a name, if it is not held."""
        if name not in self._index:
            self._index[name] = len(self.names)
            self.names.append(name)

    def remove(self, name: str) -> None:
        """Remove a name, if it is held; the last one takes its place."""
        index = self._index.pop(name, None)
        if index is not None:
            last = self.names.pop()
            if last != name:
                self.names[index] = last
                self._index[last] = index

    def sample(self, rng: random.Random, count: int, excluding: tuple[str, ...] = ()) -> list[str]:
        """Draw up to `count` different names, none of them in `excluding`."""
        size = len(self.names)
        if size <= count + len(excluding):
            candidates = [name for name in self.names if name not in excluding]
            rng.shuffle(candidates)
            return candidates[:count]
        sampled: list[str] = []
        while len(sampled) < count:
            name = self.names[int(rng.random() * size)]
            if name not in excluding and name not in sampled:
                sampled.append(name)
        return sampled


class ProbeOrder:
    """SWIM section 4.3: probe every member once in a shuffled round, then shuffle again."""

    def __init__(self, rng: random.Random) -> None:
        """Begin with an empty round."""
        self._rng = rng
        self._remaining: list[str] = []

    def insert(self, name: str) -> None:
        """Put a new member at a random place of the current round, so that probing stays even."""
        self._remaining.insert(self._rng.randrange(len(self._remaining) + 1), name)

    def restart(self, names: Iterable[str]) -> None:
        """Begin a new round over `names`."""
        self._remaining = list(names)
        self._rng.shuffle(self._remaining)

    def next_name(self, live: RandomPool) -> str | None:
        """Return the next live member to probe, None where there is none."""
        for _ in range(len(self._remaining) + len(live) + 1):
            if not self._remaining:
                self.restart(live.names)
                if not self._remaining:
                    return None
            name = self._remaining.pop()
            if name in live:
                return name
        return None
