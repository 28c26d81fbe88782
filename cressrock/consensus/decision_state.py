"""The deterministic state machine that every replica applies the committed log to.

It never reads a clock, and its limits are part of the state: otherwise replicas with different settings would
diverge unnoticed.

Requests are applied once.  Each carries an id and `asked_at_index`, the index that a replica had applied
before the request was first sent.  The set of remembered ids is bounded.  A request that is not in it and is
older than the last id evicted is rejected as *forgotten*, because applying it could apply it twice (a bounded
form of the client sessions in Ongaro's dissertation, 6.3).
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from cressrock.consensus.decisions import (
    Command,
    Count,
    Decide,
    Decision,
    DecisionLimits,
    Done,
    Drop,
    Outcome,
    Rejected,
    SetVersionBase,
    VersionConflict,
    decode_command,
    decode_versioned,
    encode_versioned,
)
from cressrock.errors.consensus import InvalidDecisionError


class _StateSnapshot(msgspec.Struct, frozen=True, array_like=True):
    applied: Count
    version_offset: Count
    limits: DecisionLimits
    forgotten_until_index: Count
    decisions: list[Decision]
    requests: list[tuple[str, int, Outcome]]


_snapshot_decoder = msgspec.msgpack.Decoder(_StateSnapshot)


def _size_of(topic: str, value: bytes) -> int:
    return len(topic.encode()) + len(value)


class DecisionState:
    """The decisions and recent requests; identical at all replicas that applied the same index."""

    def __init__(self, limits: DecisionLimits | None = None) -> None:
        """Start empty; `limits` apply until a SetVersionBase command sets others."""
        self.limits = limits or DecisionLimits()
        self.applied = 0
        self.version_offset = 0
        self.forgotten_until_index = 0  # requests first sent at or before it may be evicted
        self.total_bytes = 0
        self._decisions: dict[str, Decision] = {}
        self._requests: OrderedDict[str, tuple[int, Outcome]] = OrderedDict()

    # --- reading

    def get(self, topic: str) -> Decision | None:
        """Return a topic's decision, or None."""
        return self._decisions.get(topic)

    def all_decisions(self) -> tuple[Decision, ...]:
        """Return all decisions, sorted by topic."""
        return tuple(self._decisions[topic] for topic in sorted(self._decisions))

    @property
    def version(self) -> int:
        """The highest version that can have been assigned."""
        return self.applied + self.version_offset

    def outcome(self, request_id: str) -> Outcome | None:
        """Return a request's outcome; None if it was not applied or is no longer remembered."""
        remembered = self._requests.get(request_id)
        return remembered[1] if remembered else None

    # --- writing

    def apply(self, index: int, data: bytes) -> tuple[Command, Outcome] | None:
        """Apply the entry at `index`; `data` is b"" for an entry without a command.

        Raises InvalidDecisionError or StoreTooNewError for a command that this program cannot decode.  The
        replica must then stop, since skipping a command that others apply would make it diverge unnoticed.
        """
        if index != self.applied + 1:
            raise InvalidDecisionError(
                f"cannot apply entry {index} after {self.applied}: entries are missing or repeated"
            )
        command = decode_command(data) if data else None
        self.applied = index
        if command is None:
            return None
        if isinstance(command, SetVersionBase):
            self._set_version_base(index, command)
            return command, Done(self.version)
        if (known := self._requests.get(command.request_id)) is not None:
            return command, known[1]
        if command.asked_at_index < self.forgotten_until_index:
            return command, Rejected("forgotten")
        outcome = self._decide(command) if isinstance(command, Decide) else self._drop(command)
        self._requests[command.request_id] = (index, outcome)
        self._forget_requests()
        return command, outcome

    def _set_version_base(self, index: int, command: SetVersionBase) -> None:
        uncertain: list[Decision] = []
        if command.committed_index is not None:
            uncertain = self._decided_after(command.committed_index)
        # Never lowered: a repeated command or a clock set back must not assign a version twice.
        self.version_offset = max(self.version_offset + len(uncertain), command.version_base - index)
        for distance, decision in enumerate(reversed(uncertain)):
            renumbered = msgspec.structs.replace(decision, version=self.version - distance)
            self._decisions[decision.topic] = renumbered
        if command.limits is not None:
            self.limits = command.limits
            self._forget_requests()

    def _decided_after(self, index: int) -> list[Decision]:
        """Return the decisions made after an index, sorted by version."""
        last_version = index + self.version_offset
        later = (decision for decision in self._decisions.values() if decision.version > last_version)
        return sorted(later, key=lambda decision: decision.version)

    def _forget_requests(self) -> None:
        while len(self._requests) > self.limits.max_requests:
            _, (index, _) = self._requests.popitem(last=False)
            self.forgotten_until_index = max(self.forgotten_until_index, index)

    def _current_version(self, topic: str) -> int:
        decision = self._decisions.get(topic)
        return decision.version if decision else 0

    def _decide(self, command: Decide) -> Outcome:
        current_version = self._current_version(command.topic)
        if command.if_version is not None and command.if_version != current_version:
            return VersionConflict(current_version)
        former = self._decisions.get(command.topic)
        former_bytes = _size_of(former.topic, former.value) if former else 0
        total_bytes = self.total_bytes + _size_of(command.topic, command.value) - former_bytes
        # A command that makes the state smaller is always accepted.
        is_over = total_bytes > max(self.limits.max_total_bytes, self.total_bytes)
        if is_over or len(command.value) > self.limits.max_value_bytes:
            return Rejected("too-large")
        if former is None and len(self._decisions) >= self.limits.max_topics:
            return Rejected("too-many")
        self.total_bytes = total_bytes
        self._decisions[command.topic] = Decision(
            command.topic, self.version, command.value, command.lease_ms, command.author
        )
        return Done(self.version)

    def _drop(self, command: Drop) -> Outcome:
        current_version = self._current_version(command.topic)
        if command.if_version is not None and command.if_version != current_version:
            return VersionConflict(current_version)
        if (former := self._decisions.pop(command.topic, None)) is not None:
            self.total_bytes -= _size_of(former.topic, former.value)
        return Done(self.version)

    # --- snapshots

    def snapshot(self) -> bytes:
        """Return the encoded state; equal states have equal encodings."""
        requests = [(name, index, outcome) for name, (index, outcome) in self._requests.items()]
        return encode_versioned(
            _StateSnapshot(
                self.applied,
                self.version_offset,
                self.limits,
                self.forgotten_until_index,
                list(self.all_decisions()),
                requests,
            )
        )

    @classmethod
    def restore(cls, data: bytes, applied: int = 0) -> DecisionState:
        """Return the state encoded in a snapshot; for b"" the empty state at index `applied`.

        Raises InvalidDecisionError, or StoreTooNewError for a newer program's format.
        """
        state = cls()
        if not data:
            state.applied = applied
            return state
        snapshot = decode_versioned(_snapshot_decoder, data, "a snapshot")
        state.limits, state.applied = snapshot.limits, snapshot.applied
        state.version_offset = snapshot.version_offset
        state.forgotten_until_index = snapshot.forgotten_until_index
        for decision in snapshot.decisions:
            state._decisions[decision.topic] = decision
            state.total_bytes += _size_of(decision.topic, decision.value)
        for name, index, outcome in snapshot.requests:
            state._requests[name] = (index, outcome)
        return state
