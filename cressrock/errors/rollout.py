"""Errors of rollouts: invalid documents, and commands that are not possible in the current state."""

from __future__ import annotations

from typing import ClassVar

from cressrock.errors import CressrockError


class RolloutError(CressrockError):
    """A rollout operation failed; the state is unchanged."""

    code: ClassVar[str] = "rollout"
    remedy: ClassVar[str] = "see the text; `GET /v1/rollout` tells what stands"


class InvalidRulesError(RolloutError):
    """A rules document could not be decoded or contains an invalid value; the text names the place."""

    code: ClassVar[str] = "rollout-rules-wrong"
    remedy: ClassVar[str] = "mend the document at the place that is named and start it again"


class UnknownRulesVersionError(RolloutError):
    """A rules document or a rollout's decision has a version that this program cannot read."""

    code: ClassVar[str] = "rollout-newer"
    remedy: ClassVar[str] = "bring this process up to the release that wrote it; it serves as before"


class IncompatibleRulesError(RolloutError):
    """Two versions of the rules cannot be active together: they differ in something that safety relies on."""

    code: ClassVar[str] = "rollout-rules-differ"
    remedy: ClassVar[str] = "change that place by the settings of all processes, not by a rollout"


class RolloutInProgressError(RolloutError):
    """Another rollout is in progress; only one can run at a time."""

    code: ClassVar[str] = "rollout-runs"
    remedy: ClassVar[str] = "wait for its end, or withdraw it by its digest"


class RolloutAlreadyEndedError(RolloutError):
    """This document was halted, withdrawn or expired before; without a change it is not started again."""

    code: ClassVar[str] = "rollout-spent"
    remedy: ClassVar[str] = "change the rules; what was wrong with them stands in the decree's figures"


class RolloutNotFoundError(RolloutError):
    """The rollout that a request names is not in progress."""

    code: ClassVar[str] = "rollout-absent"
    remedy: ClassVar[str] = "look at `GET /v1/rollout` for the digest of the one that runs, if any"
