"""The concurrency limit D ("window") of one host at one endpoint, controlled by the queueing delay.

The paper fixes D; here it shrinks while the queueing delay is above a target and grows while the delay is
within the target and the window is fully used.  A window below one means a pause between two sends.
docs/design.md, 'Changed', gives the reasons.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from cressrock.interface import Settings
from cressrock.scheduler.request import Request
from cressrock.scheduler.unloaded_latency import MAX_SMOOTHING_WEIGHT, UnloadedLatency

FLEET_WINDOW_REQUESTS = 10.0  # the paper's D: initial window of all hosts together at an endpoint
MAX_WINDOW_REQUESTS = 64.0  # of one host: nodes with many cores or a long round trip need more than ten
MIN_WINDOW_REQUESTS = 1.0 / FLEET_WINDOW_REQUESTS  # a pause of ten times the latency between two sends
MIN_TARGET_FRACTION = 0.04  # of the objective: lower bound of the queueing delay target
TOLERATED_WAIT_FRACTION = 0.7  # of the unloaded latency: its normal variation; doubled for a single host
IDLE_WAIT_FRACTION = 0.5  # of the target: an endpoint with less queueing delay counts as idle
OVERLOAD_WAIT_FRACTION = 0.35  # of the objective: the window falls below one only above this queueing delay
WINDOW_GROWTH_REQUESTS = 0.25  # per window's worth of responses within the target, if fully used
WINDOW_SHRINK_FACTOR = 0.7  # applied to the window per window's worth of responses above the target
WINDOW_TEST_RESPONSES = 3  # responses at a window of one that make up a test of a wide window
WINDOW_TEST_INTERVAL_MS = 10000.0
IDLE_DECAY_FACTOR = 0.965  # applied to the smoothed values per period without attempts


class Evidence(Enum):
    """What the end of an attempt indicates about its endpoint's queue."""

    SERVED = "served"
    FAILED = "failed"  # an error response
    UNANSWERED = "unanswered"  # and no later attempt got a response first
    NONE = "none"


class LimitParameters(NamedTuple):
    """Parameters common to the windows of all endpoints of a host."""

    hosts: int
    tolerated_wait: float  # fraction of the unloaded latency
    min_objective_ms: float  # the shortest latency objective of any class


def limit_parameters(settings: Settings) -> LimitParameters:
    """Derive the common parameters from the settings that a host starts with.

    A single host tolerates twice the delay of many: it knows every outstanding request, whereas many hosts
    detect a growing queue independently of each other.
    """
    min_objective_ms = min(kind.latency_objective_ms for kind in settings.classes)
    return LimitParameters(
        settings.hosts, TOLERATED_WAIT_FRACTION * (1 + 1 / settings.hosts), min_objective_ms
    )


class ConcurrencyLimit:
    """The window of one endpoint and the smoothed latencies that control it."""

    __slots__ = (
        "latency_ms",
        "next_test_at_ms",
        "parameters",
        "target_ratio",
        "test_latencies_ms",
        "unloaded",
        "wait_ratio",
        "window",
        "window_before_test",
    )

    def __init__(self, parameters: LimitParameters) -> None:
        """Start with this host's share of the fleet's initial window, at least one."""
        self.parameters = parameters
        self.window = max(1.0, FLEET_WINDOW_REQUESTS / parameters.hosts)
        self.latency_ms = 0.0  # smoothed
        self.wait_ratio = 0.0  # smoothed queueing delay, as a fraction of the class's objective
        self.target_ratio = MIN_TARGET_FRACTION  # target for `wait_ratio`
        self.unloaded = UnloadedLatency()
        self.window_before_test = 0.0  # to restore after the running test; 0: no test is running
        self.next_test_at_ms = 0.0  # start of the running test, or when the next one is due
        self.test_latencies_ms: list[float] = []

    @property
    def is_idle(self) -> bool:
        """Whether there is almost no queueing delay at the endpoint."""
        return self.wait_ratio <= IDLE_WAIT_FRACTION * self.target_ratio

    def expected_ms(self, request: Request) -> float:
        """Return the expected latency of a request in milliseconds."""
        wait_ms = (self.wait_ratio or MIN_TARGET_FRACTION) * request.request_class.latency_objective_ms
        unloaded = self.unloaded
        initial_estimate_ms = self.latency_ms if not unloaded.samples else 0.0
        return max(initial_estimate_ms, unloaded.estimate(request.units) + wait_ms)

    def would_be_late(self, request: Request, now_ms: float) -> bool:
        """Return whether a request sent now would probably miss its objective."""
        wait_ms = self.wait_ratio * request.request_class.latency_objective_ms
        return request.objective_at_ms < now_ms + self.unloaded.estimate(request.units) + wait_ms

    def record(
        self,
        evidence: Evidence,
        request: Request,
        latency_ms: float,
        in_flight: int,
        is_alone: bool,
        now_ms: float,
    ) -> None:
        """Adjust the window after an attempt ended; `in_flight` counts the other outstanding attempts.

        An attempt that ended without a response after an unusually long time counts as a missed objective.
        Without this, clients that disconnect early would hide the slow responses, and an overloaded endpoint
        would look healthy.  The queueing delay is capped at one objective: the excess carries no information
        but would delay the next attempt at the endpoint.
        """
        unloaded = self.unloaded
        objective_ms = request.request_class.latency_objective_ms
        unloaded_ms = unloaded.estimate(request.units)
        wait_ratio = max(0.0, latency_ms - unloaded_ms) / objective_ms if unloaded.samples else 0.0
        has_missed_objective = evidence is Evidence.UNANSWERED and (
            latency_ms - unloaded_ms > self._long_wait_ms(objective_ms, unloaded_ms)
        )
        if evidence is Evidence.SERVED:
            self._add_sample(request.units, latency_ms, is_alone, now_ms)
        if has_missed_objective or wait_ratio > 1:
            latency_ms, wait_ratio = objective_ms, 1.0
        if has_missed_objective or evidence is Evidence.SERVED or evidence is Evidence.FAILED:
            tolerated_ms = self.parameters.tolerated_wait * unloaded_ms
            self._update_averages(
                latency_ms, wait_ratio, max(MIN_TARGET_FRACTION, tolerated_ms / objective_ms)
            )
            self._adjust_window(wait_ratio, in_flight)

    def _long_wait_ms(self, objective_ms: float, unloaded_ms: float) -> float:
        if not self.unloaded.samples:
            return self.parameters.min_objective_ms / 4
        return max(MIN_TARGET_FRACTION * objective_ms, IDLE_WAIT_FRACTION * unloaded_ms)

    def _update_averages(self, latency_ms: float, wait_ratio: float, target_ratio: float) -> None:
        """Average over about a window's worth of responses; with a wide window a single one says little."""
        weight = min(MAX_SMOOTHING_WEIGHT, 1 / self.window) if self.latency_ms else 1.0
        self.latency_ms += weight * (latency_ms - self.latency_ms)
        self.wait_ratio += weight * (wait_ratio - self.wait_ratio)
        self.target_ratio += weight * (target_ratio - self.target_ratio)

    def _adjust_window(self, wait_ratio: float, in_flight: int) -> None:
        """Shrink or grow the window.

        Above the target it shrinks to one, and below one only if the endpoint is clearly overloaded.  It
        shrinks only after a response that was itself delayed, so that the smoothed value left by a past
        burst does not shrink it further.
        """
        if self.window_before_test:
            return
        floor = 1.0 if self.wait_ratio <= OVERLOAD_WAIT_FRACTION else MIN_WINDOW_REQUESTS
        window = self.window
        if min(wait_ratio, self.wait_ratio) > self.target_ratio and window > floor:
            self.window = max(floor, window * WINDOW_SHRINK_FACTOR ** (1 / max(1.0, window)))
        elif (window < floor or self.wait_ratio <= self.target_ratio) and in_flight + 1 >= int(window):
            self.window = min(MAX_WINDOW_REQUESTS, window + WINDOW_GROWTH_REQUESTS * min(window, 1 / window))

    def _add_sample(self, units: float, latency_ms: float, is_alone: bool, now_ms: float) -> None:
        unloaded = self.unloaded
        max_first_base_ms = self.parameters.min_objective_ms / 2
        adjusted_ms = unloaded.add_sample(units, latency_ms, self.window, is_alone, max_first_base_ms, now_ms)
        self._update_window_test(adjusted_ms, now_ms - latency_ms, now_ms)
        unloaded.update_slope()

    def _update_window_test(self, adjusted_ms: float, sent_at_ms: float, now_ms: float) -> None:
        """Periodically reduce a wide window to one for a few responses (similar to BBR's ProbeRTT).

        This corrects the base latency.  A base that is too low, due to deduplicated repeats or chance, would
        keep the window narrow; one that was raised by this host's own queue would let the window grow without
        bound.
        """
        if self.window_before_test and sent_at_ms >= self.next_test_at_ms:
            self.test_latencies_ms.append(adjusted_ms)
            if len(self.test_latencies_ms) >= WINDOW_TEST_RESPONSES:
                self.unloaded.base_ms = max(self.unloaded.base_ms, min(self.test_latencies_ms))
                self.window, self.window_before_test = self.window_before_test, 0.0
                self.next_test_at_ms = now_ms + WINDOW_TEST_INTERVAL_MS
        elif (
            self.window >= WINDOW_TEST_RESPONSES
            and now_ms >= self.next_test_at_ms
            and not self.window_before_test
        ):
            self.window_before_test, self.window = self.window, 1.0
            self.next_test_at_ms, self.test_latencies_ms = now_ms, []

    def halve(self) -> None:
        """Halve the window after the endpoint reported a full queue.

        Otherwise hundreds of hosts that each retry soon would keep the queue full.
        """
        self.window_before_test = 0.0
        self.window = max(min(1.0, self.window), self.window / 2)

    def reset_to_one(self) -> None:
        """Set the window of an ejected endpoint to one; only the ejection time limits it further.

        A lost response must not throttle a healthy endpoint by a window below one.
        """
        self.window_before_test = 0.0
        self.window = 1.0

    def restart(self) -> None:
        """Reset the window and the latency samples after the node's process restarted."""
        self.window = 1.0
        self.unloaded.samples = 0.0
        self.window_before_test = 0.0

    def decay(self) -> None:
        """Decay the smoothed values while no attempt is outstanding.

        High values keep requests away from the endpoint, so no response would ever correct them.
        """
        self.latency_ms *= IDLE_DECAY_FACTOR
        self.wait_ratio *= IDLE_DECAY_FACTOR
