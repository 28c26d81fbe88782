"""Errors of rollouts: documents that cannot be used, and orders that cannot be followed now."""

from __future__ import annotations

from typing import ClassVar

from cressrock.errors import CressrockError


class RolloutError(CressrockError):
    """A rollout could not do what was asked; what stood before stands."""

    code: ClassVar[str] = "rollout"
    remedy: ClassVar[str] = "see the text; `GET /v1/rollout` tells what stands"


class InvalidRulesError(RolloutError):
    """A rules document cannot be read, or a value in it makes no sense; the text names the place."""

    code: ClassVar[str] = "rollout-rules-wrong"
    remedy: ClassVar[str] = "mend the document at the place that is named and start it again"


class UnknownRulesVersionError(RolloutError):
    """A rules document, or a rollout's decision, is of a version that this program does not know."""

    code: ClassVar[str] = "rollout-newer"
    remedy: ClassVar[str] = "bring this process up to the release that wrote it; it serves as before"


class IncompatibleRulesError(RolloutError):
    """Two versions of the rules may not live side by side: something differs that safety counts on."""

    code: ClassVar[str] = "rollout-rules-differ"
    remedy: ClassVar[str] = "change that place by the settings of all processes, not by a rollout"


class RolloutInProgressError(RolloutError):
    """Another rollout is under way: there is one at a time."""

    code: ClassVar[str] = "rollout-runs"
    remedy: ClassVar[str] = "wait for its end, or withdraw it by its digest"


class RolloutAlreadyEndedError(RolloutError):
    """This very document was halted, withdrawn or expired before; unchanged it is not started again."""

    code: ClassVar[str] = "rollout-spent"
    remedy: ClassVar[str] = "change the rules; what was wrong with them stands in the decree's figures"


class RolloutNotFoundError(RolloutError):
    """There is no such rollout under way."""

    code: ClassVar[str] = "rollout-absent"
    remedy: ClassVar[str] = "look at `GET /v1/rollout` for the digest of the one that runs, if any"
