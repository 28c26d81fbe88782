"""One edge's evidence about the zones, from its clients' attempts.  Pure.

There are no active health checks: an edge judges a zone only by clients' requests.  It counts attempts in
intervals of its own clock and keeps the window that ends with the last attempt.  A zone's health therefore
stays until newer attempts change it, and a report contains its age.  Health has hysteresis: mostly failures
in the window, or many in a row, make a zone unreachable; three answers in a row make it healthy again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum

from cressrock.failover.reports import (
    MAX_CHUNKS,
    MAX_COUNT,
    REPORT_KEY_PREFIX,
    ZoneHealth,
    ZoneReport,
    encode_reports,
)
from cressrock.failover.settings import FailoverSettings
from cressrock.interface import Outcome

# Consecutive answers that make an unreachable zone healthy.  RECOVERY_STREAK x `least` consecutive failures
# make a zone unreachable whatever the window contains.
RECOVERY_STREAK = 3
RATE_HALF_LIFE_MS = 4000.0  # half-life of smoothed rates: longer than a window, to average out short bursts
MIN_DEMAND_UNITS_PER_S = 1e-3  # with less demand, a zone that was never tried is not reported
NEVER_MS = -1e18


class AttemptEvidence(IntEnum):
    """What an attempt's outcome shows about its zone."""

    INCONCLUSIVE = 0
    REACHED = 1
    SLOW = 2
    FAILED = 3


def classify_attempt(outcome: Outcome, latency_ms: float, slow_ms: float) -> AttemptEvidence:
    """Classify an outcome.  A node's error or rejection is an answer and shows that the zone was reached."""
    if outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.NO_CONNECTION):
        return AttemptEvidence.FAILED
    if outcome is Outcome.ABANDONED:
        return AttemptEvidence.INCONCLUSIVE
    if outcome is Outcome.CANCELLED:  # cancelled by the edge, so only a long wait is evidence
        return AttemptEvidence.SLOW if latency_ms >= slow_ms else AttemptEvidence.INCONCLUSIVE
    return AttemptEvidence.SLOW if latency_ms >= slow_ms else AttemptEvidence.REACHED


@dataclass(slots=True)
class _Counts:
    """Counts of the attempts that ended in one interval; `slow` ones are included in `reached`."""

    interval: int
    reached: int = 0
    failed: int = 0
    slow: int = 0


@dataclass(slots=True)
class _Observation:
    """This edge's evidence about one zone: counts of the window, and rates in units per second."""

    health: ZoneHealth = ZoneHealth.UNKNOWN
    window: deque[_Counts] = field(default_factory=deque)
    reached: int = 0
    failed: int = 0
    slow: int = 0
    streak: int = 0
    last_interval: int = 0  # of the last attempt
    load_units: float = 0.0  # in the current interval
    demand_units: float = 0.0
    load_rate: float = 0.0  # units per second, smoothed
    demand_rate: float = 0.0

    def count(self, interval: int, result: AttemptEvidence, units: float) -> None:
        """Count a conclusive attempt that ended in this interval."""
        if not self.window or self.window[-1].interval != interval:
            self.window.append(_Counts(interval))
        counts = self.window[-1]
        self.last_interval = interval
        if result is AttemptEvidence.FAILED:
            counts.failed += 1
            self.failed += 1
            self.streak = min(0, self.streak) - 1
            return
        counts.reached += 1
        self.reached += 1
        self.streak = max(0, self.streak) + 1
        self.load_units += units
        if result is AttemptEvidence.SLOW:
            counts.slow += 1
            self.slow += 1

    def drop_before(self, interval: int) -> None:
        """Drop the counts of intervals before `interval`."""
        while self.window[0].interval < interval:
            counts = self.window.popleft()
            self.reached -= counts.reached
            self.failed -= counts.failed
            self.slow -= counts.slow

    def restart_window(self, interval: int) -> None:
        """Reset the window to the answers of the current streak."""
        self.window.clear()
        self.window.append(_Counts(interval, self.streak))
        self.reached, self.failed, self.slow = self.streak, 0, 0


def _next_health(settings: FailoverSettings, observation: _Observation) -> ZoneHealth:
    """Return a zone's health by its window and streak, with hysteresis."""
    attempts = observation.reached + observation.failed
    # At a zone of which half is unreachable, this many consecutive failures are rare (1 in 2**9); at an
    # unreachable zone they occur within a window.
    long_streak = observation.streak <= -RECOVERY_STREAK * settings.least
    if (
        observation.failed >= settings.least
        and observation.failed >= settings.bad_share * attempts
        or long_streak
    ):
        return ZoneHealth.UNREACHABLE
    if observation.health is ZoneHealth.UNREACHABLE:
        return ZoneHealth.UNREACHABLE
    if observation.failed >= settings.least and observation.failed >= settings.half_share * attempts:
        return ZoneHealth.DEGRADED
    if (
        observation.reached >= settings.least
        and observation.slow >= settings.slow_share * observation.reached
    ):
        return ZoneHealth.SLOW
    # Hysteresis: the zone improves only at half of the threshold, so that it does not flap around it.
    if observation.health is ZoneHealth.DEGRADED and observation.failed > settings.half_share / 2 * attempts:
        return ZoneHealth.DEGRADED
    if observation.health is ZoneHealth.SLOW and observation.slow > settings.slow_share / 2 * max(
        1, observation.reached
    ):
        return ZoneHealth.SLOW
    if observation.health in (ZoneHealth.DEGRADED, ZoneHealth.SLOW) and attempts < settings.least:
        return observation.health
    return ZoneHealth.HEALTHY if observation.reached else observation.health


@dataclass(frozen=True, slots=True)
class EntryUpdate:
    """A gossip store key and its new value; None removes the key."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class _ReportedHealth:
    """The part of a zone's evidence whose change makes a new report due."""

    health: ZoneHealth
    last_reached: bool


class LocalEvidence:
    """One edge's evidence about all zones."""

    def __init__(self, settings: FailoverSettings, now_ms: float) -> None:
        """Start without observations; the first interval begins at `now_ms`."""
        self.settings = settings
        self.interval = 1
        self.unknown_zone_attempts = 0  # attempts in zones that are not in the settings
        self.observations: dict[str, _Observation] = {zone: _Observation() for zone in sorted(settings.zones)}
        self._next_interval_ms = now_ms + settings.beat_ms
        self._intervals_passed = 0
        self._reported_at_ms = NEVER_MS
        self._reported: dict[str, _ReportedHealth] = {}
        self._reported_demand: dict[str, float] = {}
        self._reported_chunks = 0
        self._smoothing = 1 - 0.5 ** (settings.beat_ms / RATE_HALF_LIFE_MS)

    # --- recording

    def record_attempt(self, zone: str, result: AttemptEvidence, units: float) -> None:
        """Count an ended attempt in this interval; `units` excludes work spilled from other zones."""
        observation = self.observations.get(zone)
        if observation is None:
            self.unknown_zone_attempts += 1
            return
        if result is AttemptEvidence.INCONCLUSIVE:
            return
        observation.count(self.interval, result, units)
        observation.drop_before(self.interval - self.settings.window + 1)
        if observation.health is ZoneHealth.UNREACHABLE and observation.streak >= RECOVERY_STREAK:
            # Earlier failures are dropped: only new ones can make the zone unreachable again.
            observation.restart_window(self.interval)
            observation.health = ZoneHealth.HEALTHY
        else:
            observation.health = _next_health(self.settings, observation)

    def record_demand(self, zone: str, units: float) -> None:
        """Count units that clients request with this home zone, wherever they are served."""
        observation = self.observations.get(zone)
        if observation is not None:
            observation.demand_units += units

    def advance(self, now_ms: float) -> None:
        """Advance to the interval of `now_ms`, over any number of intervals; call it before recording."""
        if now_ms < self._next_interval_ms:
            return
        passed = 1 + int((now_ms - self._next_interval_ms) / self.settings.beat_ms)
        self._next_interval_ms += passed * self.settings.beat_ms
        self.interval += passed
        span_s = passed * self.settings.beat_ms / 1000
        # After a start, rates are the mean so far instead of rising slowly from zero.
        self._intervals_passed += passed
        weight = max(1 - (1 - self._smoothing) ** passed, passed / self._intervals_passed)
        for observation in self.observations.values():
            observation.load_rate += weight * (observation.load_units / span_s - observation.load_rate)
            observation.demand_rate += weight * (observation.demand_units / span_s - observation.demand_rate)
            observation.load_units = observation.demand_units = 0.0

    def reset_zone(self, zone: str) -> None:
        """Reset a zone's health and counts, obsolete after it is restored by decision; rates are kept."""
        if zone in self.observations:
            old = self.observations[zone]
            self.observations[zone] = _Observation(
                last_interval=old.last_interval,
                load_units=old.load_units,
                demand_units=old.demand_units,
                load_rate=old.load_rate,
                demand_rate=old.demand_rate,
            )

    # --- reading and reporting

    def health(self, zone: str) -> ZoneHealth:
        """Return a zone's health by this edge's own attempts; UNKNOWN for a zone not in the settings."""
        observation = self.observations.get(zone)
        return observation.health if observation is not None else ZoneHealth.UNKNOWN

    def idle_ms(self, zone: str) -> float:
        """Return the time since the last attempt in a zone ended, in whole intervals."""
        return (self.interval - self.observations[zone].last_interval) * self.settings.beat_ms

    def reported_demand(self, zone: str) -> float:
        """Return this edge's last reported demand with this home zone, in units per second."""
        return self._reported_demand.get(zone, 0.0)

    def reports(self) -> list[ZoneReport]:
        """Return the current reports of all zones that were tried or have demand."""
        reports = []
        for zone, observation in self.observations.items():
            if observation.health is ZoneHealth.UNKNOWN and observation.demand_rate < MIN_DEMAND_UNITS_PER_S:
                continue
            scale = min(1.0, MAX_COUNT / max(observation.reached, observation.failed, 1))
            reports.append(
                ZoneReport(
                    zone,
                    health=int(observation.health),
                    reached=int(observation.reached * scale),
                    failed=int(observation.failed * scale),
                    slow=int(observation.slow * scale),
                    age_intervals=min(MAX_COUNT, self.interval - observation.last_interval),
                    load=round(observation.load_rate, 3),
                    demand=round(observation.demand_rate, 3),
                    streak=max(-MAX_COUNT, min(MAX_COUNT, observation.streak)),
                )
            )
        return reports

    def due_updates(
        self,
        now_ms: float,
        is_any_accused: bool,
        accused_report_interval_ms: float | None = None,
        min_interval_ms: float = 0.0,
    ) -> list[EntryUpdate]:
        """Return the gossip entries to publish now; usually none.

        A changed health is reported at once, but at most once per interval.  Otherwise reports are due every
        `calm_ms`, or while a zone is accused (by this edge, or `is_any_accused`: by a decision or by others)
        every `accused_report_interval_ms`.  The latter is set by a collector; by default all edges together
        publish at most `tells` reports per second.  The interval is never below `min_interval_ms`.
        """
        self.advance(now_ms)
        current = {
            zone: _ReportedHealth(observation.health, observation.streak > 0)
            for zone, observation in self.observations.items()
            if observation.health is not ZoneHealth.UNKNOWN
        }
        if accused_report_interval_ms is None:
            accused_report_interval_ms = 1000 * self.settings.edges / self.settings.tells
        interval_ms = max(
            min_interval_ms, self._report_interval_ms(current, is_any_accused, accused_report_interval_ms)
        )
        if now_ms - self._reported_at_ms < interval_ms or (not current and not self._reported_chunks):
            return []
        self._reported_at_ms, self._reported = now_ms, current
        reports = self.reports()
        self._reported_demand = {report.zone: report.demand for report in reports}
        chunks = encode_reports(self.interval, reports)[:MAX_CHUNKS]
        updates = [EntryUpdate(f"{REPORT_KEY_PREFIX}{index}", chunk) for index, chunk in enumerate(chunks)]
        emptied = range(len(chunks), self._reported_chunks)
        updates += [EntryUpdate(f"{REPORT_KEY_PREFIX}{index}", None) for index in emptied]
        self._reported_chunks = len(chunks)
        return updates

    def _report_interval_ms(
        self, current: dict[str, _ReportedHealth], is_any_accused: bool, accused_report_interval_ms: float
    ) -> float:
        settings, interval_ms = self.settings, self.settings.calm_ms
        if is_any_accused or any(zone.health > ZoneHealth.HEALTHY for zone in current.values()):
            interval_ms = min(settings.calm_ms, max(settings.beat_ms, accused_report_interval_ms))
        if current != self._reported:
            interval_ms = min(interval_ms, settings.beat_ms)
        return interval_ms
