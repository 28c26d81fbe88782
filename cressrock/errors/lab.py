"""Errors of the lab: drills and capacity measurements."""

from __future__ import annotations

from typing import ClassVar

from cressrock.errors import CressrockError


class ProcessNotReadyError(CressrockError):
    """A process started by a drill exited, or did not report ready within the drill's time limit."""

    code: ClassVar[str] = "drill-process-not-ready"
    remedy: ClassVar[str] = "read the end of its log in the text; on a very slow machine raise the bound"


class UnknownProcessError(CressrockError):
    """A drill's step names a process that is not running or not part of the drill."""

    code: ClassVar[str] = "drill-process-unknown"
    remedy: ClassVar[str] = "correct the script: a process has to be started before it is killed or stopped"


class StepNotReachedError(CressrockError):
    """A condition that a drill waited for was not met within its time limit."""

    code: ClassVar[str] = "drill-step-not-reached"
    remedy: ClassVar[str] = "look in the processes' logs for what they waited for; the drill ends there"


class MalformedMeasurementError(CressrockError):
    """A line of a raw capacity file is not a valid measurement, or contradicts the definition of its row."""

    code: ClassVar[str] = "capacity-malformed"
    remedy: ClassVar[str] = "correct or delete the line that the text names, then run its row with --only"


class MissingMeasurementError(CressrockError):
    """A row of the capacity page has no usable measurement."""

    code: ClassVar[str] = "capacity-unfit"
    remedy: ClassVar[str] = "run the row with --only, or say on the page that it was not measured"
