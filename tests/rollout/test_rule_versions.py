"""Versions of rules side by side: in the scheduler, on the link, in edge and planner, in the settings."""

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


def test_a_module_that_is_widened_goes_on_with_what_it_holds_as_if_nothing_happened():
    """The same day twice, one of them widened in its middle: the same actions to the end."""
    settings = Settings(classes=(READ,), plans=(Plan(reserve=5),), max_attempts=2, must_ask=False)
    found = []
    for wide in (False, True):
        scheduler, draw, seen, out = Scheduler(settings, 3, 0.0), random.Random(4), [], {}
        for now in range(0, 3000, 10):
            if wide and now == 1000:
                more = (READ, replace(READ, latency_objective_ms=7))
                scheduler.extend_tables(replace(settings, classes=more, plans=settings.plans * 2))
            events = [NODES] if now == 0 else []
            events += [arrival(f"r{now}.{n}") for n in range(draw.choice((0, 0, 1, 2)))]
            for name in [n for n in out if draw.random() < 0.2]:
                ended = AttemptEnded(
                    name,
                    out.pop(name),
                    draw.choice((Outcome.OK, Outcome.FULL)),
                    False,
                    20.0,
                )
                events.append(ended)
            for action in scheduler.act(float(now), events):
                seen.append(repr(action))
                if isinstance(action, Send):
                    out[action.request] = scheduler.requests[action.request].attempts - 1
        found.append(seen)
    assert found[0] == found[1] and len(found[0]) > 200


def test_requests_of_two_versions_are_decided_each_by_its_own_patience():
    patient = replace(READ, latency_objective_ms=400.0)
    settings = Settings(classes=(patient,), must_ask=False)
    scheduler = Scheduler(settings, 1, 0.0)
    scheduler.extend_tables(
        replace(
            settings,
            classes=(patient, replace(READ, latency_objective_ms=1.0)),
            plans=(Plan(), Plan()),
        )
    )
    # Nothing is ready: each waits as long as its own version gives it.
    scheduler.act(0.0, [arrival("good"), arrival("tried", cls=1, plan=1)])
    ends = {}
    for now in range(0, 1000, 10):
        for action in scheduler.act(float(now), []):
            if isinstance(action, Reject):
                ends[action.request] = now
    assert ends == {"tried": 250, "good": 400}


def test_a_volumes_limit_and_reserve_are_one_over_both_versions():
    """Requests of both draw from one store: not twice the limit."""
    plan = Plan(limit_rate=10.0, limit_burst=10.0, reserve=4.0)
    settings = Settings(classes=(READ,), plans=(plan,), must_ask=False)
    scheduler = Scheduler(settings, 1, 0.0)
    scheduler.extend_tables(replace(settings, classes=(READ, READ), plans=(plan, plan)))
    scheduler.act(0.0, [NODES])
    sent = 0
    for now in range(0, 10000, 10):
        events = [arrival(f"a{now}"), arrival(f"b{now}", cls=1, plan=1)]
        events += [
            AttemptEnded(n, 0, Outcome.OK, True, 5.0, charged=True)
            for n in list(scheduler.endpoints.by_name["n"].in_flight)
        ]
        sent += sum(isinstance(a, Send) for a in scheduler.act(float(now), events))
    assert 80 <= sent <= 111  # 10 a second and the burst


def test_messages_carry_the_version_and_older_peers_pass_it_over():
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


def joined(edge=(RULE_VERSIONS,), planner=(RULE_VERSIONS,)):
    one = Link(Role.EDGE, "e", 0, incarnation="l", capabilities=edge)
    other = Link(Role.PLANNER, "p", 0, epoch=7, capabilities=planner)
    other.receive_data(one.take_bytes(), 0)
    return one.receive_data(other.take_bytes(), 0)[0].capabilities


def test_versions_are_spoken_of_only_where_both_know_of_them():
    assert joined() == (RULE_VERSIONS,)
    assert joined(edge=()) == joined(planner=()) == ()


def edge():
    """An edge that holds a candidate: class and plan 2 on are its."""
    world = EdgeHarness(own=False)
    world.core.knows_versions, world.core.plans_per_version = True, 2
    world.core.ordering.classes = CLASSES * 2
    world.core.quota.plans = PLANS * 2
    world.core.version_of = lambda a: (
        "cand" if a.request_class >= 2 else "",
        a.request_class % 2,
        a.plan % 2,
    )
    return world


def test_an_edge_names_the_version_to_a_planner_that_holds_it():
    world = edge()
    assert not world.core.decides("cand")
    world.core.planner_joined("p", 7, 0.0, versioned=True)
    assert not world.core.decides("cand")  # not told yet
    world.arrive(1.0, "early", cls=2, plan=3)
    world.arrive(1.0, "own", cls=0)
    assert [r.operation for r in world.up()] == ["own"]  # the other waits for the planner's first word
    world.core.receive_order("p", messages.RuleVersions(["cand"]))
    world.turn(2.0)
    assert world.core.decides("cand")
    (request,) = world.up()
    assert (request.operation, request.rule_version, request.request_class, request.plan) == (
        "early",
        "cand",
        0,
        1,
    )


def test_an_edge_falls_back_where_a_planner_lacks_the_version_and_says_so():
    world = edge()
    world.core.planner_joined("p", 7, 0.0, versioned=True)
    world.core.receive_order("p", messages.RuleVersions(["cand"]))
    world.arrive(1.0, "r", cls=2)
    assert world.up()[0].rule_version == "cand"
    world.core.planner_lost(2.0)
    assert not world.core.decides("cand")
    world.core.planner_joined("q", 3, 3.0)  # an older program, which tells of no versions
    world.turn(3.0)
    (request,) = world.up()
    assert (request.rule_version, request.request_class, world.core.version_fallbacks) == ("", 0, 1)
    assert world.core.operations["r"].decider is Decider.PLANNER


def test_a_planner_decides_by_the_version_that_is_named():
    heard = []

    class Decisions:
        def act(self, now_ms, events):
            heard.extend(e for e in events if isinstance(e, Arrival))
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
    assert [(a.request_class, a.plan) for a in heard] == [(1, 1), (3, 3), (1, 1)]
    assert planner.dropped["unusable request"] == 1  # a number beyond one version's classes


def test_rollouts_need_a_council_and_are_off_by_default():
    assert convert("test", SETTINGS).rollout is None
    with pytest.raises(Exception, match="rollout: needs `council`"):
        convert("test", SETTINGS | {"rollout": {}})
