"""The window D of one host at one endpoint: how many requests may be out there, steered by how long answers
wait.

The paper fixes D; here it falls while answers wait longer than the target and grows while it is in use below
it. A window under one is a rest between two sends.  docs/design.md, 'Changed', has the reasons.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from cressrock.interface import Settings
from cressrock.scheduler.request import Request
from cressrock.scheduler.uncrowded_latency import SMOOTHING, UncrowdedLatency

FLEET_WINDOW = 10.0  # the paper's D: requests that all hosts together begin with at an endpoint
MAX_WINDOW = 64.0  # requests of one host: nodes of many cores, or a long way off, want more than ten
MIN_WINDOW = 1.0 / FLEET_WINDOW  # a rest of ten answer times between two sends
MIN_TARGET = 0.04  # of the objective: the least wait, beyond an uncrowded answer, that the window steers to
TOLERATED_WAIT = 0.7  # of an uncrowded answer: a wait that its spread explains; twice that of a host alone
IDLE_FRACTION = 0.5  # of the target: under such a wait an endpoint counts as idle
CROWDED_WAIT = 0.35  # of the objective: only where the wait is longer the window falls under one
GROWTH = 0.25  # requests added to the window by a round of answers within the target while it is in use
SHRINKAGE = 0.7  # what is left of the window after a round of answers over the target
TEST_ANSWERS = 3  # answers to requests that were out alone, by which a wide window is put to the test
TEST_INTERVAL_MS = 10000.0  # between two such tests
IDLE_DECAY = 0.965  # what a period with nothing out leaves of the smoothed times


class Evidence(Enum):
    """What the end of an attempt says of its endpoint's queue."""

    SERVED = "served"
    FAILED = "failed"  # answered, with an error
    UNANSWERED = "unanswered"  # and overtaken by no later attempt
    NONE = "none"


class LimitParameters(NamedTuple):
    """What the windows of all endpoints of a host share."""

    hosts: int
    tolerated_wait: float  # of an uncrowded answer
    min_objective_ms: float  # the shortest objective of a class


def limit_parameters(settings: Settings) -> LimitParameters:
    """Return what the windows share, by the settings that a host starts with.

    Many hosts find out apart from each other that a queue grows; one alone knows all that is out.
    """
    min_objective_ms = min(kind.latency_objective_ms for kind in settings.classes)
    return LimitParameters(settings.hosts, TOLERATED_WAIT * (1 + 1 / settings.hosts), min_objective_ms)


class ConcurrencyLimit:
    """The window of one endpoint, with the smoothed times that it hangs on."""

    __slots__ = (
        "latency_ms",
        "next_test_at_ms",
        "parameters",
        "target_ratio",
        "test_levels_ms",
        "uncrowded",
        "untested_window",
        "wait_ratio",
        "window",
    )

    def __init__(self, parameters: LimitParameters) -> None:
        """Begin with this host's part of the fleet's window."""
        self.parameters = parameters
        self.window = max(1.0, FLEET_WINDOW / parameters.hosts)
        self.latency_ms = 0.0  # smoothed
        self.wait_ratio = 0.0  # of the class's objective: smoothed latency beyond the uncrowded one
        self.target_ratio = MIN_TARGET  # of the objective: the wait that the window steers to
        self.uncrowded = UncrowdedLatency()
        self.untested_window = 0.0  # to return to after the test that goes on; 0: none does
        self.next_test_at_ms = 0.0  # when the test that goes on began, or the next one is due
        self.test_levels_ms: list[float] = []

    @property
    def is_uncrowded(self) -> bool:
        """Whether next to nothing waits at the endpoint."""
        return self.wait_ratio <= IDLE_FRACTION * self.target_ratio

    def expected_ms(self, request: Request) -> float:
        """Return the latency to expect of a request."""
        wait_ms = (self.wait_ratio or MIN_TARGET) * request.request_class.latency_objective_ms
        uncrowded = self.uncrowded
        unlearnt_ms = self.latency_ms if not uncrowded.samples else 0.0
        return max(unlearnt_ms, uncrowded.estimate(request.units) + wait_ms)

    def would_be_late(self, request: Request, now_ms: float) -> bool:
        """Whether a request sent now would miss its objective."""
        wait_ms = self.wait_ratio * request.request_class.latency_objective_ms
        return request.objective_at_ms < now_ms + self.uncrowded.estimate(request.units) + wait_ms

    def record(
        self,
        evidence: Evidence,
        request: Request,
        latency_ms: float,
        in_flight: int,
        is_alone: bool,
        now_ms: float,
    ) -> None:
        """Steer the window by the end of an attempt; `in_flight` are the others that are still out.

        Danger: clients that leave early take the slow answers with them, so a jam looks like a healthy
        endpoint. An attempt that ended unanswered after what would be long for an answer missed its
        objective.  By how much it was missed says nothing, but would keep the endpoint from being tried again
        for longer.
        """
        uncrowded = self.uncrowded
        objective_ms = request.request_class.latency_objective_ms
        easy_ms = uncrowded.estimate(request.units)
        wait_ratio = max(0.0, latency_ms - easy_ms) / objective_ms if uncrowded.samples else 0.0
        is_missed = evidence is Evidence.UNANSWERED and (
            latency_ms - easy_ms > self._long_wait_ms(objective_ms, easy_ms)
        )
        if evidence is Evidence.SERVED:
            self._learn(request.units, latency_ms, is_alone, now_ms)
        if is_missed or wait_ratio > 1:
            latency_ms, wait_ratio = objective_ms, 1.0
        if is_missed or evidence is Evidence.SERVED or evidence is Evidence.FAILED:
            tolerated_ms = self.parameters.tolerated_wait * easy_ms
            self._smooth(latency_ms, wait_ratio, max(MIN_TARGET, tolerated_ms / objective_ms))
            self._steer(wait_ratio, in_flight)

    def _long_wait_ms(self, objective_ms: float, easy_ms: float) -> float:
        if not self.uncrowded.samples:
            return self.parameters.min_objective_ms / 4
        return max(MIN_TARGET * objective_ms, IDLE_FRACTION * easy_ms)

    def _smooth(self, latency_ms: float, wait_ratio: float, target_ratio: float) -> None:
        """Smooth over a round of answers: with many out single ones say little."""
        weight = min(SMOOTHING, 1 / self.window) if self.latency_ms else 1.0
        self.latency_ms += weight * (latency_ms - self.latency_ms)
        self.wait_ratio += weight * (wait_ratio - self.wait_ratio)
        self.target_ratio += weight * (target_ratio - self.target_ratio)

    def _steer(self, wait_ratio: float, in_flight: int) -> None:
        """Narrow or widen the window.

        Over the target it falls to one, and under one only where the endpoint is clearly crowded.  Only an
        answer that itself waited narrows it: what a passed burst left in the smoothed figure does not.
        """
        if self.untested_window:
            return
        floor = 1.0 if self.wait_ratio <= CROWDED_WAIT else MIN_WINDOW
        window = self.window
        if min(wait_ratio, self.wait_ratio) > self.target_ratio and window > floor:
            self.window = max(floor, window * SHRINKAGE ** (1 / max(1.0, window)))
        elif (window < floor or self.wait_ratio <= self.target_ratio) and in_flight + 1 >= int(window):
            self.window = min(MAX_WINDOW, window + GROWTH * min(window, 1 / window))

    def _learn(self, units: float, latency_ms: float, is_alone: bool, now_ms: float) -> None:
        uncrowded = self.uncrowded
        max_first_ms = self.parameters.min_objective_ms / 2
        level_ms = uncrowded.learn_level(units, latency_ms, self.window, is_alone, max_first_ms, now_ms)
        self._test_window(level_ms, now_ms - latency_ms, now_ms)
        uncrowded.learn_slope()

    def _test_window(self, level_ms: float, sent_at_ms: float, now_ms: float) -> None:
        """Put a wide window back to one for a few answers, now and then (the idea is BBR's ProbeRTT).

        Danger: a base too low, of repeats or chance, would keep the window narrow; risen under the own queue
        it would widen the window for ever.
        """
        if self.untested_window and sent_at_ms >= self.next_test_at_ms:
            self.test_levels_ms.append(level_ms)
            if len(self.test_levels_ms) >= TEST_ANSWERS:
                self.uncrowded.base_ms = max(self.uncrowded.base_ms, min(self.test_levels_ms))
                self.window, self.untested_window = self.untested_window, 0.0
                self.next_test_at_ms = now_ms + TEST_INTERVAL_MS
        elif self.window >= TEST_ANSWERS and now_ms >= self.next_test_at_ms and not self.untested_window:
            self.untested_window, self.window = self.window, 1.0
            self.next_test_at_ms, self.test_levels_ms = now_ms, []

    def halve(self) -> None:
        """Give way to a full queue.

        Danger: hundreds of hosts that each knock again after a moment keep a full queue full.
        """
        self.untested_window = 0.0
        self.window = max(min(1.0, self.window), self.window / 2)

    def fall_to_one(self) -> None:
        """Leave one slot at an endpoint that is ejected: its rests alone hold back.

        A lost answer must not throttle a sound endpoint.
        """
        self.untested_window = 0.0
        self.window = 1.0

    def restart(self) -> None:
        """Forget the jam of a process that was restarted; the window starts low."""
        self.window = 1.0
        self.uncrowded.samples = 0.0
        self.untested_window = 0.0

    def decay(self) -> None:
        """Let the smoothed times fade while nothing is out.

        A bad figure keeps work away and so is never put right by an answer.
        """
        self.latency_ms *= IDLE_DECAY
        self.wait_ratio *= IDLE_DECAY
