"""Documents of rules: their names, what may differ between versions, tables that hold several."""

import msgspec
import pytest

from cressrock.errors.rollout import (
    IncompatibleRulesError,
    InvalidRulesError,
    UnknownRulesVersionError,
)
from cressrock.rollout.plan import RolloutPlan, Stage
from cressrock.settings import rules
from cressrock.settings.types import interface_settings
from tests.rollout.support import PLAN, READS, changed_document, gateway_settings


def test_a_document_has_one_name_however_it_is_written():
    own = rules.of_settings(gateway_settings(), PLAN, "x")
    value = msgspec.to_builtins(own)
    other = rules.read(msgspec.json.encode(dict(reversed(list(value.items())))))
    assert rules.canonical(other) == rules.canonical(own)
    assert (
        rules.digest(own)
        == rules.digest(other)
        != rules.digest(rules.of_settings(gateway_settings(), PLAN, "y"))
    )
    # The golden sample: what a name is made of must not change between releases.
    small = rules.Document(
        rules=rules.Rules(
            classes=[rules.ClassRules(name="c", methods=["GET"], aim_ms=1.0, deadline_ms=2.0)], plans={}
        ),
        course=RolloutPlan(stages=[Stage()]),
    )
    assert rules.digest(small) == "e20b276750e81c92bd234cd5"


@pytest.mark.parametrize(
    ("path", "value", "kind", "place"),
    [
        (("rules", "classes", 1, "aim_ms"), -1.0, InvalidRulesError, "rules.classes[1].aim_ms"),
        (("rules", "classes", 1, "effect"), "unsafe", InvalidRulesError, "rules.classes[1]"),
        (("rules", "plans", "a", "limit_rate"), 50.0, InvalidRulesError, "rules.plans"),
        (("rules", "shards"), [1], InvalidRulesError, "rules"),
        (("course", "stages", 2, "part"), 0.01, InvalidRulesError, "course"),
        (("version",), 2, UnknownRulesVersionError, "version 2"),
    ],
)
def test_a_document_that_cannot_be_read_is_refused_with_its_place(path, value, kind, place):
    with pytest.raises(kind) as found:
        changed_document(path, value)
    assert place in found.value.text


@pytest.mark.parametrize(
    ("path", "value", "kind", "place"),
    [
        (("rules", "classes", 2, "methods"), ["PUT"], InvalidRulesError, "classes"),
        (("rules", "classes", 1, "methods"), [*READS, "PUT"], IncompatibleRulesError, "PUT of any size"),
        (("rules", "classes", 0, "methods"), ["GET", "PUT"], IncompatibleRulesError, "PUT of 0 bytes"),
        (("rules", "classes", 0, "name"), "tiny", IncompatibleRulesError, "rules.classes"),
        (("rules", "plans"), {"a": {"weight": 1.0}}, IncompatibleRulesError, "rules.plans"),
        (("rules", "classes", 1, "deadline_ms"), 4e6, InvalidRulesError, "rules.classes[1].deadline_ms"),
        (("rules", "classes", 2, "deadline_ms"), 9e4, IncompatibleRulesError, "rules.classes[2].deadline_ms"),
        (("rules", "classes", 1, "aim_ms"), 9000.0, InvalidRulesError, "rules.classes[1].aim_ms"),
    ],
)
def test_what_may_not_differ_between_two_live_versions_is_refused_with_its_place(path, value, kind, place):
    document = changed_document(path, value)
    with pytest.raises(kind) as found:
        rules.compare(gateway_settings(), document.rules, gateway_settings())
    assert place in found.value.text


def test_tables_hold_versions_side_by_side_and_the_stricter_reserve_while_both_live():
    own, tables = gateway_settings(), rules.Tables(gateway_settings(), slots=3)
    rows = interface_settings(own)
    one = changed_document(("rules", "plans", "a", "reserve"), 4.0)
    d1 = rules.canonical(one)
    assert tables.hold(0.0, {"d1": d1}, "") == []
    found = tables.rows(rows)
    assert len(found.classes) == 6 and len(found.plans) == 4
    assert [p.reserve for p in found.plans] == [4.0, 0.0, 4.0, 0.0]
    assert [p.limit_rate for p in found.plans] == [5.0, 0.0, 5.0, 0.0]
    version = tables.get("d1")
    assert (version.classes_at, version.plans_at) == (3, 2)
    assert tables.told(4, 2) == ("d1", 1, 0) and tables.told(2, 1) == ("", 2, 1)
    # It is the good one now and another is tried: the first stays where it is, the third finds no place yet.
    two = changed_document(("rules", "classes", 1, "aim_ms"), 50.0)
    three = changed_document(("rules", "classes", 1, "aim_ms"), 60.0)
    d2, d3 = rules.canonical(two), rules.canonical(three)
    assert tables.hold(1.0, {"d1": d1, "d2": d2}, "d1") == []
    assert tables.get("d2").classes_at == 6 and tables.told(4, 3) == ("d1", 1, 1)
    assert [p.reserve for p in tables.rows(rows).plans] == [10.0, 0.0, 4.0, 0.0, 4.0, 0.0]
    assert "places are in use" in tables.hold(2.0, {"d1": d1, "d3": d3}, "d1")[0]
    assert tables.get("d3") is None and tables.rows(rows).classes[7].latency_objective_ms == 50.0
    # Only once no request can live any more by the one that left.
    later = 1.0 + tables.keep_ms
    assert tables.hold(later - 1, {"d1": d1, "d3": d3}, "d1") != []
    assert tables.hold(later, {"d1": d1, "d3": d3}, "d1") == []
    assert tables.get("d2") is None and tables.told(7, 4)[0] == "d3"
    assert tables.rows(rows).classes[7].latency_objective_ms == 60.0
