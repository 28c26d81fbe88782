"""Helpers of the failover tests: settings, a fleet of reporting edges, and one edge's reads."""

import random
from collections import Counter

from cressrock.consensus.decisions import Decision
from cressrock.failover import decision
from cressrock.failover.decision import FailoverDecision
from cressrock.failover.evaluation import EvaluationMemory, evaluate
from cressrock.failover.fleet_evidence import FleetEvidence
from cressrock.failover.reports import ZoneHealth, ZoneReport, encode_reports
from cressrock.failover.routing import Route, ZoneRouter
from cressrock.failover.settings import FailoverSettings, ZoneSettings
from cressrock.failover.witnesses import ReportView, ZoneMember
from cressrock.interface import Outcome

REGIONS = {"a1": "north", "a2": "north", "b1": "south"}
ZONES = sorted(REGIONS)
ALL_EDGES = range(30)
ALL_HEALTHY = dict.fromkeys(ZONES, ZoneHealth.HEALTHY)
A1_LOST = ALL_HEALTHY | {"a1": ZoneHealth.UNREACHABLE}
ALL_UNREACHABLE = dict.fromkeys(ZONES, ZoneHealth.UNREACHABLE)
EVALUATION_INTERVAL_MS = 250


def failover_settings(edges=30, capacity=300.0, **options):
    zones = {name: ZoneSettings(region=region, capacity=capacity) for name, region in REGIONS.items()}
    return FailoverSettings(zones=zones, edges=edges, **options)


def report(zone, health):
    """Return an edge's report after nine attempts of one kind."""
    health = ZoneHealth(health)
    reached = health in (ZoneHealth.HEALTHY, ZoneHealth.UNKNOWN)
    return ZoneReport(
        zone,
        int(health),
        reached=9 if reached else 0,
        failed=0 if reached else 9,
        load=10.0,
        demand=10.0,
        streak=9 if health == ZoneHealth.HEALTHY else -9,
    )


class Fleet:
    """Edges whose reports go directly to a leader without gossip, and the leader's decisions."""

    def __init__(self, edges=30, settings=None, **options):
        self.settings = settings or failover_settings(edges, **options)
        self.now_ms, self.interval = 0.0, 1
        self.members = [ZoneMember((f"e{n}", 1), ZONES[n % 3], True, True) for n in range(edges)]
        self.evidence, self.memory = FleetEvidence(self.settings), EvaluationMemory()
        self.current = None
        self.decisions = []

    def receive(self, edges, health_by_zone):
        """Deliver a report from each of these edges (numbers) to the leader."""
        reports = [report(zone, health) for zone, health in health_by_zone.items()]
        for edge in edges:
            for index, chunk in enumerate(encode_reports(self.interval, reports)):
                self.evidence.receive((f"e{edge}", 1), f"zones/{index}", chunk, self.now_ms)

    def run(self, duration_ms, *reports):
        """Evaluate for a duration; `reports` (edges, health by zone) are delivered before each evaluation."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += EVALUATION_INTERVAL_MS
            self.interval += 1
            for edges, health_by_zone in reports:
                self.receive(edges, health_by_zone)
            view = ReportView(self.settings, self.members, self.evidence, self.now_ms)
            result = evaluate(self.settings, self.members, view, self.current, self.now_ms, self.memory)
            if result is not None:
                self.current = result
                self.decisions.append(result)
                self.memory.record_decision(self.now_ms)
        return self.current or FailoverDecision()

    def state_of(self, zone):
        return (self.current or FailoverDecision()).for_zone(zone).state

    def edges_in(self, zone):
        return [number for number, member in enumerate(self.members) if member.zone == zone]

    def edges_outside(self, zone):
        return [number for number, member in enumerate(self.members) if member.zone != zone]


def as_stored(content, number=1):
    """Return a failover decision as stored by consensus."""
    return Decision(decision.TOPIC, number, decision.encode(content), 10000.0)


def router(seed=1, here="a1", **options):
    return ZoneRouter(here, REGIONS, failover_settings(**options), 0.0, random.Random(seed))


def read_for(
    edge, seconds, rate=50, begin_ms=0.0, zones=tuple(REGIONS), reserved=False, outcome_of=None
):  # fmt: skip
    """Route reads at a rate per second; each routed read ends with `outcome_of(zone)`, by default OK."""
    answers = []
    for number in range(int(seconds * rate)):
        now_ms = begin_ms + number * 1000 / rate
        answer = edge.route(zones, 1.0, reserved, now_ms)
        answers.append(answer)
        if isinstance(answer, Route):
            outcome = outcome_of(answer.zone) if outcome_of else Outcome.OK
            edge.record_attempt(answer.zone, 1.0, outcome, now_ms, 5.0)
    return answers


def unreachable(*zones):
    """Return an `outcome_of` by which attempts in these zones fail to connect."""
    return lambda zone: Outcome.NO_CONNECTION if zone in zones else Outcome.OK


def routed_by_tier(answers):
    """Return the number of routed reads by tier."""
    return Counter(answer.tier for answer in answers if isinstance(answer, Route))
