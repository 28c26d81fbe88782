"""Loads the versions of the rules that a rollout's decision names, if their documents are available."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Generic, NamedTuple

from cressrock.consensus.decision_cache import DecisionCache
from cressrock.consensus.decisions import Expired
from cressrock.rollout.interfaces import V, VersionTables
from cressrock.rollout.lifecycle import DOCUMENT_TOPICS
from cressrock.rollout.persisted_state import PersistedStateFile
from cressrock.rollout.plan import document_digest


class _KnownDigest(NamedTuple):
    """The digest of a document, and the version of the decision that holds it."""

    version: int
    digest: str


class LoadedVersions(Generic[V]):
    """Finds documents by digest and loads their versions into the rule tables."""

    def __init__(
        self,
        cache: DecisionCache,
        tables: VersionTables[V],
        persisted: PersistedStateFile,
        log: Any,
        on_changed: Callable[[tuple[str, ...]], None],
    ) -> None:
        """`on_changed` is called with the live digests after the set of documents changed."""
        self._cache, self._tables, self._persisted, self._log = cache, tables, persisted, log
        self._on_changed = on_changed
        self._requested: list[str] = []
        self._digests: dict[str, _KnownDigest] = {}  # by topic
        self.live: tuple[str, ...] = ()  # digests that are requested and loaded
        self.problems: list[str] = []  # why versions were not loaded or a document could not be read

    def document(self, slot: int, digest: str) -> bytes | None:
        """Return a document from its decision, or the good one from disk; None if it is not available."""
        cached = self._cache.get(DOCUMENT_TOPICS[slot])
        decision = cached.decision if isinstance(cached, Expired) else cached
        if decision is not None:
            known = self._digests.get(decision.topic)
            if known is None or known.version != decision.version:
                known = _KnownDigest(decision.version, document_digest(decision.value))
                self._digests[decision.topic] = known
            if known.digest == digest:
                return decision.value
        persisted = self._persisted.state
        return persisted.good_document if persisted.good_digest == digest else None

    def hold(self, documents: dict[str, bytes], good: str, now_ms: float) -> None:
        """Load these documents' versions, by digest, if the set differs from that of the last call."""
        if sorted(documents) == self._requested:
            return
        self._requested = sorted(documents)
        self.problems = self._tables.hold(now_ms, documents, good)
        self.live = tuple(sorted(digest for digest in documents if digest in self._tables.held()))
        for problem in self.problems:
            self._log.warning("rollout.version_not_held", problem=problem)
        self._on_changed(self.live)
