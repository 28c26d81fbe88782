"""What one edge observes of the zones through its clients' own attempts.  Pure.

There are no health checks: an edge judges a zone only after clients' requests.  It counts attempts in
intervals of its own clock and keeps the last ones in which there were any; so its health of a zone stands
until newer attempts say otherwise, and its report says how old it is.  The health is biased towards what it
was: mostly failures in the window, or many in a row, make a zone unreachable; three answers in a row make it
healthy again.
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

# Answers in a row that make an unreachable zone healthy.  So many times `least` failures in a row make it
# unreachable whatever the window says.
STREAK = 3
RATE_HALVING_MS = 4000.0  # of smoothed rates: longer than a window, so that a short burst is no load
MIN_REPORTED_DEMAND = 1e-3  # units a second; below it a zone that was never tried is not reported
NEVER_MS = -1e18


class AttemptEvidence(IntEnum):
    """What an attempt says of the zone it went to."""

    INCONCLUSIVE = 0
    REACHED = 1
    SLOW = 2
    FAILED = 3


def classify_attempt(outcome: Outcome, latency_ms: float, slow_ms: float) -> AttemptEvidence:
    """Return what an outcome says.  An error or a rejection by a node is an answer: the zone was reached."""
    if outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.NO_CONNECTION):
        return AttemptEvidence.FAILED
    if outcome is Outcome.ABANDONED:
        return AttemptEvidence.INCONCLUSIVE
    if outcome is Outcome.CANCELLED:  # given up from here; only a long wait says something
        return AttemptEvidence.SLOW if latency_ms >= slow_ms else AttemptEvidence.INCONCLUSIVE
    return AttemptEvidence.SLOW if latency_ms >= slow_ms else AttemptEvidence.REACHED


@dataclass(slots=True)
class _Counts:
    """Attempts of one interval."""

    interval: int
    reached: int = 0
    failed: int = 0
    slow: int = 0


@dataclass(slots=True)
class _Observation:
    """One zone as this edge sees it: counts of the window, and rates."""

    health: ZoneHealth = ZoneHealth.UNKNOWN
    window: deque[_Counts] = field(default_factory=deque)
    reached: int = 0
    failed: int = 0
    slow: int = 0
    streak: int = 0
    last_interval: int = 0  # of the last attempt
    load_units: float = 0.0  # in the present interval
    demand_units: float = 0.0
    load_rate: float = 0.0  # units a second, smoothed
    demand_rate: float = 0.0

    def count(self, interval: int, result: AttemptEvidence, units: float) -> None:
        """Count an attempt that ended in this interval."""
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
        """Forget counts of older intervals."""
        while self.window[0].interval < interval:
            counts = self.window.popleft()
            self.reached -= counts.reached
            self.failed -= counts.failed
            self.slow -= counts.slow

    def restart_window(self, interval: int) -> None:
        """Keep of the window the answers of the present streak alone."""
        self.window.clear()
        self.window.append(_Counts(interval, self.streak))
        self.reached, self.failed, self.slow = self.streak, 0, 0


def _next_health(settings: FailoverSettings, seen: _Observation) -> ZoneHealth:
    """Return a zone's health by its window and streak, biased towards what it was."""
    attempts = seen.reached + seen.failed
    # At a zone of which half is unreachable so many failures in a row are rare (1 in 2**9); at one that is
    # unreachable altogether they come within a window.
    long_streak = seen.streak <= -STREAK * settings.least
    if seen.failed >= settings.least and seen.failed >= settings.bad_share * attempts or long_streak:
        return ZoneHealth.UNREACHABLE
    if seen.health is ZoneHealth.UNREACHABLE:
        return ZoneHealth.UNREACHABLE
    if seen.failed >= settings.least and seen.failed >= settings.half_share * attempts:
        return ZoneHealth.DEGRADED
    if seen.reached >= settings.least and seen.slow >= settings.slow_share * seen.reached:
        return ZoneHealth.SLOW
    # Hysteresis: half of a share leads back, so that a zone at the limit does not flap.
    if seen.health is ZoneHealth.DEGRADED and seen.failed > settings.half_share / 2 * attempts:
        return ZoneHealth.DEGRADED
    if seen.health is ZoneHealth.SLOW and seen.slow > settings.slow_share / 2 * max(1, seen.reached):
        return ZoneHealth.SLOW
    if seen.health in (ZoneHealth.DEGRADED, ZoneHealth.SLOW) and attempts < settings.least:
        return seen.health
    return ZoneHealth.HEALTHY if seen.reached else seen.health


@dataclass(frozen=True, slots=True)
class EntryUpdate:
    """A key of the gossip store and its new value; None removes it."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class _ReportedHealth:
    """What of a zone's health makes its report news."""

    health: ZoneHealth
    last_reached: bool


class LocalEvidence:
    """One edge's evidence of all zones."""

    def __init__(self, settings: FailoverSettings, now_ms: float) -> None:
        """Begin with nothing observed."""
        self.settings = settings
        self.interval = 1
        self.unknown_zone_attempts = 0  # attempts in zones that the settings do not name
        self.observations: dict[str, _Observation] = {zone: _Observation() for zone in sorted(settings.zones)}
        self._next_interval_ms = now_ms + settings.beat_ms
        self._intervals_passed = 0
        self._reported_at_ms = NEVER_MS
        self._reported: dict[str, _ReportedHealth] = {}
        self._reported_demand: dict[str, float] = {}
        self._reported_chunks = 0
        self._smoothing = 1 - 0.5 ** (settings.beat_ms / RATE_HALVING_MS)

    # --- what happens

    def record_attempt(self, zone: str, result: AttemptEvidence, units: float) -> None:
        """Count an attempt's end in this interval; `units` are of the zone's own work there."""
        seen = self.observations.get(zone)
        if seen is None:
            self.unknown_zone_attempts += 1
            return
        if result is AttemptEvidence.INCONCLUSIVE:
            return
        seen.count(self.interval, result, units)
        seen.drop_before(self.interval - self.settings.window + 1)
        if seen.health is ZoneHealth.UNREACHABLE and seen.streak >= STREAK:
            # What failed before is over; to be unreachable again takes failures of its own.
            seen.restart_window(self.interval)
            seen.health = ZoneHealth.HEALTHY
        else:
            seen.health = _next_health(self.settings, seen)

    def record_demand(self, zone: str, units: float) -> None:
        """Count what clients ask of a zone first, in this interval."""
        seen = self.observations.get(zone)
        if seen is not None:
            seen.demand_units += units

    def advance(self, now_ms: float) -> None:
        """Let intervals pass, all of a pause at once; to be called before what happens is counted."""
        if now_ms < self._next_interval_ms:
            return
        passed = 1 + int((now_ms - self._next_interval_ms) / self.settings.beat_ms)
        self._next_interval_ms += passed * self.settings.beat_ms
        self.interval += passed
        span_s = passed * self.settings.beat_ms / 1000
        # A young edge's rates are the mean of what it has seen, not a slow rise from nothing.
        self._intervals_passed += passed
        weight = max(1 - (1 - self._smoothing) ** passed, passed / self._intervals_passed)
        for seen in self.observations.values():
            seen.load_rate += weight * (seen.load_units / span_s - seen.load_rate)
            seen.demand_rate += weight * (seen.demand_units / span_s - seen.demand_rate)
            seen.load_units = seen.demand_units = 0.0

    def reset_zone(self, zone: str) -> None:
        """Forget failures of a zone that was taken back by decision: they say nothing of it now."""
        if zone in self.observations:
            old = self.observations[zone]
            self.observations[zone] = _Observation(
                last_interval=old.last_interval,
                load_units=old.load_units,
                demand_units=old.demand_units,
                load_rate=old.load_rate,
                demand_rate=old.demand_rate,
            )

    # --- what is read and reported

    def health(self, zone: str) -> ZoneHealth:
        """Return a zone's health by this edge's own attempts."""
        seen = self.observations.get(zone)
        return seen.health if seen is not None else ZoneHealth.UNKNOWN

    def idle_ms(self, zone: str) -> float:
        """Return how long no attempt there has ended."""
        return (self.interval - self.observations[zone].last_interval) * self.settings.beat_ms

    def reported_demand(self, zone: str) -> float:
        """Return what this edge last reported that its clients ask of a zone first, units a second."""
        return self._reported_demand.get(zone, 0.0)

    def reports(self) -> list[ZoneReport]:
        """Return the reports as they would go out now, of zones that were tried or asked for."""
        reports = []
        for zone, seen in self.observations.items():
            if seen.health is ZoneHealth.UNKNOWN and seen.demand_rate < MIN_REPORTED_DEMAND:
                continue
            scale = min(1.0, MAX_COUNT / max(seen.reached, seen.failed, 1))
            reports.append(
                ZoneReport(
                    zone,
                    health=int(seen.health),
                    reached=int(seen.reached * scale),
                    failed=int(seen.failed * scale),
                    slow=int(seen.slow * scale),
                    age_intervals=min(MAX_COUNT, self.interval - seen.last_interval),
                    load=round(seen.load_rate, 3),
                    demand=round(seen.demand_rate, 3),
                    streak=max(-MAX_COUNT, min(MAX_COUNT, seen.streak)),
                )
            )
        return reports

    def due_updates(
        self,
        now_ms: float,
        any_accused: bool,
        accused_interval_ms: float | None = None,
        min_interval_ms: float = 0.0,
    ) -> list[EntryUpdate]:
        """Return the entries that are to be published now; mostly none.

        A changed health is reported at once (once an interval at most); the rest every `calm_ms`, or while a
        zone is accused (`any_accused`: by decision or by others; or here) so often that all edges together
        stay within `tells` of the gossip.  `accused_interval_ms`: what a collector takes in that case.  Never
        more often than `min_interval_ms`.
        """
        self.advance(now_ms)
        current = {
            zone: _ReportedHealth(seen.health, seen.streak > 0)
            for zone, seen in self.observations.items()
            if seen.health is not ZoneHealth.UNKNOWN
        }
        if accused_interval_ms is None:
            accused_interval_ms = 1000 * self.settings.edges / self.settings.tells
        interval_ms = max(
            min_interval_ms, self._report_interval_ms(current, any_accused, accused_interval_ms)
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
        self, current: dict[str, _ReportedHealth], any_accused: bool, accused_interval_ms: float
    ) -> float:
        settings, interval_ms = self.settings, self.settings.calm_ms
        if any_accused or any(zone.health > ZoneHealth.HEALTHY for zone in current.values()):
            interval_ms = min(settings.calm_ms, max(settings.beat_ms, accused_interval_ms))
        if current != self._reported:
            interval_ms = min(interval_ms, settings.beat_ms)
        return interval_ms
