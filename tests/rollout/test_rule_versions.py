"""Several live rule versions: in the scheduler, on the link, in edge and planner, and in the settings."""

import random
from dataclasses import replace

import msgspec
import pytest

from cressrock.edge.operations import Decider
from cressrock.interface import (
    Arrival,
    AttemptEnded,
    Idempotency,
    ListKind,
    Node,
    NodeList,
    Outcome,
    Plan,
    Reject,
    RequestClass,
    Send,
    Settings,
)
from cressrock.link import messages
from cressrock.link.protocol import RULE_VERSIONS, Link, Role
from cressrock.planner.planner import Planner, PlannerLimits
from cressrock.scheduler.scheduler import Scheduler
from cressrock.settings.load import convert
from tests.edge.support import CLASSES, PLANS, EdgeHarness
from tests.rollout.support import SETTINGS

READ = RequestClass(latency_objective_ms=100, deadline_ms=1000, idempotency=Idempotency.ALWAYS)


NODES = NodeList(ListKind.COMPLETE, (Node("n", 0),))


def arrival(name, cls=0, plan=0, volume="v", left=1000.0):
    return Arrival(name, volume, "", 1.0, left, plan, cls, 0, waited_ms=0.0)


def test_extending_the_schedulers_tables_does_not_change_its_actions():
    """The same events with and without an extension halfway through give the same actions."""
    settings = Settings(classes=(READ,), plans=(Plan(reserve=5),), max_attempts=2, must_ask=False)
    results = []
    for extended in (False, True):
        scheduler, rng, actions, in_flight_attempts = Scheduler(settings, 3, 0.0), random.Random(4), [], {}
        for now in range(0, 3000, 10):
            if extended and now == 1000:
                extended_classes = (READ, replace(READ, latency_objective_ms=7))
                scheduler.extend_tables(replace(settings, classes=extended_classes, plans=settings.plans * 2))
            events = [NODES] if now == 0 else []
            events += [arrival(f"r{now}.{n}") for n in range(rng.choice((0, 0, 1, 2)))]
            for name in [n for n in in_flight_attempts if rng.random() < 0.2]:
                ended = AttemptEnded(
                    name,
                    in_flight_attempts.pop(name),
                    rng.choice((Outcome.OK, Outcome.FULL)),
                    False,
                    20.0,
                )
                events.append(ended)
            for action in scheduler.act(float(now), events):
                actions.append(repr(action))
                if isinstance(action, Send):
                    in_flight_attempts[action.request] = scheduler.requests[action.request].attempts - 1
        results.append(actions)
    assert results[0] == results[1] and len(results[0]) > 200


def test_requests_of_two_versions_wait_as_long_as_their_own_latency_objective_allows():
    slow_class = replace(READ, latency_objective_ms=400.0)
    settings = Settings(classes=(slow_class,), must_ask=False)
    scheduler = Scheduler(settings, 1, 0.0)
    scheduler.extend_tables(
        replace(
            settings,
            classes=(slow_class, replace(READ, latency_objective_ms=1.0)),
            plans=(Plan(), Plan()),
        )
    )
    # No node is available: each request waits as long as its own version allows.
    scheduler.act(0.0, [arrival("good"), arrival("tried", cls=1, plan=1)])
    ends = {}
    for now in range(0, 1000, 10):
        for action in scheduler.act(float(now), []):
            if isinstance(action, Reject):
                ends[action.request] = now
    assert ends == {"tried": 250, "good": 400}


def test_a_volumes_limit_and_reserve_are_shared_by_both_versions():
    """Both versions' requests use one token bucket; otherwise the limit would be doubled."""
    plan = Plan(limit_rate=10.0, limit_burst=10.0, reserve=4.0)
    settings = Settings(classes=(READ,), plans=(plan,), must_ask=False)
    scheduler = Scheduler(settings, 1, 0.0)
    scheduler.extend_tables(replace(settings, classes=(READ, READ), plans=(plan, plan)))
    scheduler.act(0.0, [NODES])
    sent_count = 0
    for now in range(0, 10000, 10):
        events = [arrival(f"a{now}"), arrival(f"b{now}", cls=1, plan=1)]
        events += [
            AttemptEnded(n, 0, Outcome.OK, True, 5.0, charged=True)
            for n in list(scheduler.endpoints.by_name["n"].in_flight)
        ]
        sent_count += sum(isinstance(a, Send) for a in scheduler.act(float(now), events))
    assert 80 <= sent_count <= 111  # 10 a second and the burst


def test_messages_carry_the_rule_version_and_unknown_fields_are_ignored():
    request = messages.Request(1, 2.0, "o", "v", "", 1.0, 3.0, 0, 0, 0, 1, rule_version="ab")
    value = msgspec.msgpack.decode(messages.encode(request)[4:])
    assert value["rules"] == "ab"
    del value["rules"]
    assert messages.decode(msgspec.msgpack.encode(value)).rule_version == ""
    assert messages.decode(msgspec.msgpack.encode(value | {"newer": 1})).rule_version == ""
    assert (
        messages.encode(messages.RuleVersions(["ab"])).hex()
        == "0000001682a174a572756c6573a876657273696f6e7391a26162"
    )


def negotiated_capabilities(edge=(RULE_VERSIONS,), planner=(RULE_VERSIONS,)):
    edge_link = Link(Role.EDGE, "e", 0, incarnation="l", capabilities=edge)
    planner_link = Link(Role.PLANNER, "p", 0, epoch=7, capabilities=planner)
    planner_link.receive_data(edge_link.take_bytes(), 0)
    return edge_link.receive_data(planner_link.take_bytes(), 0)[0].capabilities


def test_rule_versions_are_used_only_if_both_peers_support_them():
    assert negotiated_capabilities() == (RULE_VERSIONS,)
    assert negotiated_capabilities(edge=()) == negotiated_capabilities(planner=()) == ()


def edge_with_candidate():
    """Return an edge that has loaded a candidate, whose classes and plans begin at index 2."""
    harness = EdgeHarness(own=False)
    harness.core.knows_versions, harness.core.plans_per_version = True, 2
    harness.core.ordering.classes = CLASSES * 2
    harness.core.quota.plans = PLANS * 2
    harness.core.version_of = lambda a: (
        "cand" if a.request_class >= 2 else "",
        a.request_class % 2,
        a.plan % 2,
    )
    return harness


def test_an_edge_sends_the_version_to_a_planner_that_has_loaded_it():
    harness = edge_with_candidate()
    assert not harness.core.decides("cand")
    harness.core.planner_joined("p", 7, 0.0, versioned=True)
    assert not harness.core.decides("cand")  # the planner has not announced its versions yet
    harness.arrive(1.0, "early", cls=2, plan=3)
    harness.arrive(1.0, "own", cls=0)
    assert [r.operation for r in harness.up()] == ["own"]  # the other waits for the planner's announcement
    harness.core.receive_order("p", messages.RuleVersions(["cand"]))
    harness.turn(2.0)
    assert harness.core.decides("cand")
    (request,) = harness.up()
    assert (request.operation, request.rule_version, request.request_class, request.plan) == (
        "early",
        "cand",
        0,
        1,
    )


def test_an_edge_falls_back_and_counts_it_if_a_planner_lacks_the_version():
    harness = edge_with_candidate()
    harness.core.planner_joined("p", 7, 0.0, versioned=True)
    harness.core.receive_order("p", messages.RuleVersions(["cand"]))
    harness.arrive(1.0, "r", cls=2)
    assert harness.up()[0].rule_version == "cand"
    harness.core.planner_lost(2.0)
    assert not harness.core.decides("cand")
    harness.core.planner_joined("q", 3, 3.0)  # an older release, which does not announce versions
    harness.turn(3.0)
    (request,) = harness.up()
    assert (request.rule_version, request.request_class, harness.core.version_fallbacks) == ("", 0, 1)
    assert harness.core.operations["r"].decider is Decider.PLANNER


def test_a_planner_applies_the_version_named_in_the_request():
    arrivals = []

    class Decisions:
        def act(self, now_ms, events):
            arrivals.extend(e for e in events if isinstance(e, Arrival))
            return []

    planner = Planner(Decisions(), CLASSES, 1, PlannerLimits(), PLANS)
    planner.set_rule_versions(CLASSES * 2, PLANS * 2, {"": (0, 0), "cand": (2, 2)})
    session = planner.join("e", "l")
    for number, (rules, cls) in enumerate((("", 1), ("cand", 1), ("gone", 1), ("cand", 2))):
        event = messages.Request(
            number, 1.0, f"o{number}", "v", "", 1.0, 99.0, 1, cls, 0, 1, rule_version=rules
        )
        planner.receive_event("e", session, event)
    planner.step(1.0)
    assert [(a.request_class, a.plan) for a in arrivals] == [(1, 1), (3, 3), (1, 1)]
    assert planner.dropped["unusable request"] == 1  # a class index beyond that version's classes


def test_rollouts_require_a_council_and_are_disabled_by_default():
    assert convert("test", SETTINGS).rollout is None
    with pytest.raises(Exception, match="rollout: needs `council`"):
        convert("test", SETTINGS | {"rollout": {}})
