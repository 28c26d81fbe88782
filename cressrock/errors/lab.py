"""Errors of the laboratory."""

from __future__ import annotations

from typing import ClassVar

from cressrock.errors import CressrockError


class ProcessNotReadyError(CressrockError):
    """A process that a drill started ended, or said nothing of being ready, within the drill's bound."""

    code: ClassVar[str] = "drill-process-not-ready"
    remedy: ClassVar[str] = "read the end of its log in the text; on a very slow machine raise the bound"


class UnknownProcessError(CressrockError):
    """A drill's step names a process that does not run, or is not part of the drill."""

    code: ClassVar[str] = "drill-process-unknown"
    remedy: ClassVar[str] = "correct the script: a process has to be started before it is killed or stopped"


class StepNotReachedError(CressrockError):
    """A drill waited for a condition up to its bound, and it did not come."""

    code: ClassVar[str] = "drill-step-not-reached"
    remedy: ClassVar[str] = "look in the processes' logs for what they waited for; the drill ends there"


class MalformedMeasurementError(CressrockError):
    """A line of a raw file of capacity is no measurement, or gives its row another meaning."""

    code: ClassVar[str] = "capacity-malformed"
    remedy: ClassVar[str] = "correct or delete the line that the text names, then run its row with --only"


class MissingMeasurementError(CressrockError):
    """A row of capacity has no measurement that a figure could come from."""

    code: ClassVar[str] = "capacity-unfit"
    remedy: ClassVar[str] = "run the row with --only, or say on the page that it was not measured"
