"""The nodes that a dispatcher was told of, and whether the drain grace period of each is over.  No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from cressrock.interface import Node, NodeState

_SENDABLE_STATES = frozenset({NodeState.READY})


class KnownNodes:
    """The latest entry of each node, and when it was first reported as draining or gone.

    Times are milliseconds on the caller's monotonic clock.
    """

    def __init__(self, *, drain_grace_ms: float, max_nodes: int) -> None:
        """Start empty.  With more than `max_nodes` nodes, those that are gone are evicted, oldest first."""
        self.drain_grace_ms = drain_grace_ms
        self.max_nodes = max_nodes
        self.by_name: dict[str, Node] = {}
        # When this dispatcher first learned that a node is draining or gone.
        self.withdrawn_at_ms: dict[str, float] = {}

    def update(self, nodes: Iterable[Node], now_ms: float, *, complete: bool) -> None:
        """Apply a node list report; nodes that are missing from a complete report are marked GONE."""
        listed = {node.name: node for node in nodes}
        if complete:
            for name, node in self.by_name.items():
                if name not in listed:
                    listed[name] = Node(name, node.shard, node.zone, node.started_at_ms, NodeState.GONE)
        for name, node in listed.items():
            self.by_name[name] = node
            if node.state in _SENDABLE_STATES:
                self.withdrawn_at_ms.pop(name, None)
            else:
                self.withdrawn_at_ms.setdefault(name, now_ms)
        if len(self.by_name) > self.max_nodes:
            self._drop_oldest_removed()

    def is_drain_grace_over(self, name: str, now_ms: float) -> bool:
        """Whether a node's drain grace is over, counted from this dispatcher's first report of the drain."""
        withdrawn_at_ms = self.withdrawn_at_ms.get(name)
        return withdrawn_at_ms is not None and now_ms > withdrawn_at_ms + self.drain_grace_ms

    def _drop_oldest_removed(self) -> None:
        """Evict the longest-removed nodes, so that node replacements do not grow the table without bound."""
        removed = [name for name, node in self.by_name.items() if node.state is NodeState.GONE]
        removed.sort(key=lambda name: (self.withdrawn_at_ms[name], name))
        for name in removed[: len(self.by_name) - self.max_nodes]:
            del self.by_name[name], self.withdrawn_at_ms[name]
