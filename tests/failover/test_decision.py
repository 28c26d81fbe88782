"""Encoding of decisions, validation of moves of writes, and rejection of contradictory settings."""

import pytest

from cressrock.errors.failover import (
    MalformedFailoverDataError,
    UnsupportedFailoverVersionError,
    WriteMoveRejectedError,
)
from cressrock.failover import decision
from cressrock.failover.decision import FailoverDecision, WriteMove, ZoneDecision
from cressrock.settings.load import SettingsError, convert, evaluate_text
from tests.failover.support import REGIONS, failover_settings


def small_gateway_settings():
    """Return a small gateway's settings as evaluated from a file."""
    text = """local c = import "cressrock.libsonnet";
    { node_list: { address: "127.0.0.1:1" }, classes: c.classes, plans: c.plans,
      volumes: { v: c.volume([0]) } }"""
    return evaluate_text("a file", text)


def test_encoded_decisions_match_golden_bytes():
    content = FailoverDecision([ZoneDecision("a1", 1, 0, 2, 77, ["b1"])], {"a2": 1.5}, 3.0)
    assert decision.encode(content).hex() == (
        "01939196a26131010002" + "4d91a2623181a26132cb3ff8000000000000cb4008000000000000"
    )
    assert decision.decode(decision.encode(content)) == content


def test_encoded_moves_of_writes_match_golden_bytes():
    move = WriteMove("north", "south", 500.0, "op")
    assert decision.encode(move).hex() == "0194a56e6f727468a5736f757468cb407f400000000000a26f70"
    assert decision.decode_write_move(decision.encode(move)) == move


def test_an_unsupported_version_is_rejected():
    with pytest.raises(UnsupportedFailoverVersionError):
        decision.decode(b"\x02\x90")


def test_malformed_bytes_are_rejected():
    with pytest.raises(MalformedFailoverDataError):
        decision.decode(b"\x01\xc1")


@pytest.mark.parametrize(
    ("move", "behind_ms"),
    [
        pytest.param(WriteMove("north", "north", 0.0), 0.0, id="to the same region"),
        pytest.param(WriteMove("north", "east", 0.0), 0.0, id="to an unknown region"),
        pytest.param(WriteMove("north", "south", 0.0), None, id="with an unknown lag"),
        pytest.param(WriteMove("north", "south", 100.0), 200.0, id="with a lag above the allowed loss"),
    ],
)
def test_a_move_of_writes_that_could_lose_more_than_allowed_is_rejected(move, behind_ms):
    with pytest.raises(WriteMoveRejectedError):
        decision.check_write_move(REGIONS, move, behind_ms)


def test_a_move_of_writes_within_the_allowed_loss_is_accepted():
    assert decision.check_write_move(REGIONS, WriteMove("north", "south", 0.0), 0.0)
    assert decision.check_write_move(REGIONS, WriteMove("north", "south", 60000.0, "op"), None)


@pytest.mark.parametrize(
    "contradiction", [{"usual": 0.99}, {"step_ms": 100.0}, {"fresh_ms": 100.0}, {"half_share": 0.9}]
)
def test_contradictory_settings_are_rejected_naming_the_field(contradiction):
    with pytest.raises(ValueError, match=next(iter(contradiction))):
        failover_settings(**contradiction)


@pytest.mark.parametrize(
    ("fleet", "message"),
    [
        (None, "zones: needs `fleet`"),
        ({"zone": "c9"}, "fleet.zone: 'c9'"),
        ({}, "fleet.zone: ''"),
        ({"zone": "a1", "region": "south"}, "fleet.region: 'south'"),
    ],
)
def test_settings_errors_name_the_field_where_zones_and_fleet_disagree(fleet, message):
    value = small_gateway_settings()
    value["fleet"] = fleet
    value["zones"] = {"zones": {z: {"region": r, "capacity": 9.0} for z, r in REGIONS.items()}, "edges": 4}
    with pytest.raises(SettingsError, match="zone|region") as caught:
        convert("a file", value)
    assert message in str(caught.value)
    if fleet is not None:
        value["fleet"] = {"zone": "b1", "region": "south"}
        assert convert("a file", value).zones.edges == 4
