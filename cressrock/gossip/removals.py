"""Causal removal of map items (an observed-remove map; Shapiro et al. 2011).

An added item is an entry of its origin; its dot is the origin and the entry's version.  A removal is an entry
of the remover and covers the dots that the remover had received; an add it had not received is kept.
"""

from __future__ import annotations

from typing import NamedTuple

from cressrock.gossip.messages import Origin


class ItemRef(NamedTuple):
    """Identifies a map item of one origin: the origin, the map's key and the item's name."""

    origin: Origin
    key: str
    item: str


class ItemRemovals:
    """Tracks which dots are removed, also after the removal's own entry is gone."""

    def __init__(self) -> None:
        """Start without removals."""
        self.recorded: dict[ItemRef, dict[Origin, int]] = {}  # highest removed version by remover
        # Highest removed version of items whose removal entry is gone (deleted or dropped with its remover)
        # while the item's entry is still stored here.  Without it, the removed item would reappear.
        self.hidden: dict[ItemRef, int] = {}

    def is_removed(self, ref: ItemRef, version: int) -> bool:
        """Return whether any removal covers this version of the item."""
        if self.hidden.get(ref, 0) >= version:
            return True
        return any(upto >= version for upto in self.recorded.get(ref, {}).values())

    def record(self, ref: ItemRef, remover: Origin, upto: int) -> None:
        """Store that `remover` removed the item up to version `upto`."""
        self.recorded.setdefault(ref, {})[remover] = upto

    def withdraw(self, ref: ItemRef, remover: Origin) -> None:
        """Delete a removal whose entry was deleted by its remover or dropped together with it."""
        removers = self.recorded.get(ref)
        if removers is not None:
            removers.pop(remover, None)
            if not removers:
                del self.recorded[ref]

    def hide(self, ref: ItemRef, upto: int) -> None:
        """Keep versions up to `upto` removed although no recorded removal covers them any more."""
        self.hidden[ref] = max(upto, self.hidden.get(ref, 0))

    def clear_hidden(self, ref: ItemRef, version: int | None) -> None:
        """Delete the hidden mark if the item's entry is gone (None) or newer than the mark."""
        hidden = self.hidden.get(ref)
        if hidden is not None and (version is None or version > hidden):
            del self.hidden[ref]
