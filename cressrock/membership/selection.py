"""Random selection of members: uniform sampling in constant time, and SWIM's shuffled probe order."""

from __future__ import annotations

import random
from collections.abc import Iterable


class RandomPool:
    """A set of names with constant-time add, remove and sample.

    Its order depends only on the sequence of calls, so that seeded simulations are reproducible.
    """

    def __init__(self, names: Iterable[str] = ()) -> None:
        """Start with `names`, which must be distinct, in their order."""
        self.names: list[str] = list(names)
        self._index: dict[str, int] = {name: index for index, name in enumerate(self.names)}

    def __len__(self) -> int:
        """Return the number of names."""
        return len(self.names)

    def __contains__(self, name: str) -> bool:
        """Whether the set contains a name."""
        return name in self._index

    def add(self, name: str) -> None:
        """Add a name, if it is not present."""
        if name not in self._index:
            self._index[name] = len(self.names)
            self.names.append(name)

    def remove(self, name: str) -> None:
        """Remove a name, if present; the last name is moved into its slot."""
        index = self._index.pop(name, None)
        if index is not None:
            last = self.names.pop()
            if last != name:
                self.names[index] = last
                self._index[last] = index

    def sample(self, rng: random.Random, count: int, excluding: tuple[str, ...] = ()) -> list[str]:
        """Return up to `count` distinct random names, none of them in `excluding`."""
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
    """SWIM section 4.3: each round probes every member once in shuffled order."""

    def __init__(self, rng: random.Random) -> None:
        """Start with an empty round."""
        self._rng = rng
        self._remaining: list[str] = []

    def insert(self, name: str) -> None:
        """Insert a new member at a random position of the current round, which keeps probing uniform."""
        self._remaining.insert(self._rng.randrange(len(self._remaining) + 1), name)

    def restart(self, names: Iterable[str]) -> None:
        """Start a new round over `names`."""
        self._remaining = list(names)
        self._rng.shuffle(self._remaining)

    def next_name(self, live: RandomPool) -> str | None:
        """Return the next live member to probe, or None if there is none."""
        for _ in range(len(self._remaining) + len(live) + 1):
            if not self._remaining:
                self.restart(live.names)
                if not self._remaining:
                    return None
            name = self._remaining.pop()
            if name in live:
                return name
        return None
