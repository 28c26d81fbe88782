"""Causal removal of map items (an observed-remove map; Shapiro et al. 2011).

An added item is an entry of its origin; its dot is the origin and the entry's version.  A removal is an entry
of the remover that names the dots it saw: a dot that it did not see lives on.
"""

from __future__ import annotations

from typing import NamedTuple

from cressrock.gossip.messages import Origin


class ItemRef(NamedTuple):
    """An origin's item of a map."""

    origin: Origin
    key: str
    item: str


class ItemRemovals:
    """Which dots are removed: by recorded removals, or by notes of lost ones."""

    def __init__(self) -> None:
        """Begin with none."""
        self.recorded: dict[ItemRef, dict[Origin, int]] = {}  # by remover, up to which version
        # The remover is done, or lost, while the dot still stands here: it must not show again.
        self.hidden: dict[ItemRef, int] = {}

    def is_removed(self, ref: ItemRef, version: int) -> bool:
        """Whether an item's dot of this version was removed by anybody."""
        if self.hidden.get(ref, 0) >= version:
            return True
        return any(upto >= version for upto in self.recorded.get(ref, {}).values())

    def record(self, ref: ItemRef, remover: Origin, upto: int) -> None:
        """Take in a removal."""
        self.recorded.setdefault(ref, {})[remover] = upto

    def withdraw(self, ref: ItemRef, remover: Origin) -> None:
        """Forget a removal that its remover took back or that went with it."""
        removers = self.recorded.get(ref)
        if removers is not None:
            removers.pop(remover, None)
            if not removers:
                del self.recorded[ref]

    def hide(self, ref: ItemRef, upto: int) -> None:
        """Keep dots up to a version hidden although their removal is not recorded any more."""
        self.hidden[ref] = max(upto, self.hidden.get(ref, 0))

    def reveal(self, ref: ItemRef, version: int | None) -> None:
        """Drop the note of an item whose dot is gone (None) or newer than it."""
        hidden = self.hidden.get(ref)
        if hidden is not None and (version is None or version > hidden):
            del self.hidden[ref]
