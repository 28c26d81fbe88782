"""Rule documents: digests, which differences between versions are allowed, and tables of several versions."""

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


def test_a_documents_digest_is_independent_of_its_formatting():
    own = rules.of_settings(gateway_settings(), PLAN, "x")
    value = msgspec.to_builtins(own)
    other = rules.read(msgspec.json.encode(dict(reversed(list(value.items())))))
    assert rules.canonical(other) == rules.canonical(own)
    assert (
        rules.digest(own)
        == rules.digest(other)
        != rules.digest(rules.of_settings(gateway_settings(), PLAN, "y"))
    )
    # Golden value: the input of the digest must not change between releases.
    fixed_document = rules.Document(
        rules=rules.Rules(
            classes=[rules.ClassRules(name="c", methods=["GET"], aim_ms=1.0, deadline_ms=2.0)], plans={}
        ),
        course=RolloutPlan(stages=[Stage()]),
    )
    assert rules.digest(fixed_document) == "e20b276750e81c92bd234cd5"


@pytest.mark.parametrize(
    ("path", "value", "error_class", "field"),
    [
        (("rules", "classes", 1, "aim_ms"), -1.0, InvalidRulesError, "rules.classes[1].aim_ms"),
        (("rules", "classes", 1, "effect"), "unsafe", InvalidRulesError, "rules.classes[1]"),
        (("rules", "plans", "a", "limit_rate"), 50.0, InvalidRulesError, "rules.plans"),
        (("rules", "shards"), [1], InvalidRulesError, "rules"),
        (("course", "stages", 2, "part"), 0.01, InvalidRulesError, "course"),
        (("version",), 2, UnknownRulesVersionError, "version 2"),
    ],
)
def test_an_invalid_document_is_rejected_and_the_error_names_the_field(path, value, error_class, field):
    with pytest.raises(error_class) as error:
        changed_document(path, value)
    assert field in error.value.text


@pytest.mark.parametrize(
    ("path", "value", "error_class", "field"),
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
def test_an_incompatible_version_is_rejected_and_the_error_names_the_field(path, value, error_class, field):
    document = changed_document(path, value)
    with pytest.raises(error_class) as error:
        rules.compare(gateway_settings(), document.rules, gateway_settings())
    assert field in error.value.text


def test_tables_hold_several_versions_and_use_the_stricter_reserve_while_both_are_live():
    own, tables = gateway_settings(), rules.Tables(gateway_settings(), slots=3)
    rows = interface_settings(own)
    first = changed_document(("rules", "plans", "a", "reserve"), 4.0)
    first_bytes = rules.canonical(first)
    assert tables.hold(0.0, {"d1": first_bytes}, "") == []
    extended = tables.rows(rows)
    assert len(extended.classes) == 6 and len(extended.plans) == 4
    assert [p.reserve for p in extended.plans] == [4.0, 0.0, 4.0, 0.0]
    assert [p.limit_rate for p in extended.plans] == [5.0, 0.0, 5.0, 0.0]
    version = tables.get("d1")
    assert (version.classes_at, version.plans_at) == (3, 2)
    assert tables.told(4, 2) == ("d1", 1, 0) and tables.told(2, 1) == ("", 2, 1)
    # d1 is the good version now and d2 the candidate: d1 keeps its slot, and there is no slot for d3 yet.
    second = changed_document(("rules", "classes", 1, "aim_ms"), 50.0)
    third = changed_document(("rules", "classes", 1, "aim_ms"), 60.0)
    second_bytes, third_bytes = rules.canonical(second), rules.canonical(third)
    assert tables.hold(1.0, {"d1": first_bytes, "d2": second_bytes}, "d1") == []
    assert tables.get("d2").classes_at == 6 and tables.told(4, 3) == ("d1", 1, 1)
    assert [p.reserve for p in tables.rows(rows).plans] == [10.0, 0.0, 4.0, 0.0, 4.0, 0.0]
    assert "places are in use" in tables.hold(2.0, {"d1": first_bytes, "d3": third_bytes}, "d1")[0]
    assert tables.get("d3") is None and tables.rows(rows).classes[7].latency_objective_ms == 50.0
    # A slot is reused only after every request under the removed version must have ended.
    later = 1.0 + tables.keep_ms
    assert tables.hold(later - 1, {"d1": first_bytes, "d3": third_bytes}, "d1") != []
    assert tables.hold(later, {"d1": first_bytes, "d3": third_bytes}, "d1") == []
    assert tables.get("d2") is None and tables.told(7, 4)[0] == "d3"
    assert tables.rows(rows).classes[7].latency_objective_ms == 60.0
