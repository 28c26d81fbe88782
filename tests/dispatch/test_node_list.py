"""Discovery responses that are repeated, outdated, cached, inconsistent or malformed."""

import json

import pytest

from cressrock.dispatch.node_list import NodeListError, NodeListState
from cressrock.interface import ListKind, NodeState


def endpoint(port, shard=0, status="HEALTHY", up_since=0.0):
    return {
        "endpoint": {"address": {"socket_address": {"address": "n", "port_value": port}}},
        "health_status": status,
        "metadata": {"filter_metadata": {"cressrock": {"shard": shard, "up_since": up_since}}},
    }


def response(version, *endpoints, zone="z", **changes):
    groups = [{"locality": {"zone": zone}, "lb_endpoints": list(endpoints)}]
    resources = [{"cluster_name": "storage", "endpoints": groups}]
    return json.dumps({"version_info": version, "nonce": "n", "resources": resources} | changes).encode()


def new_state():
    return NodeListState("storage", max_nodes=5)


def test_version_is_applied_once_and_never_decreases():
    list_state = new_state()
    update = list_state.receive(response("2", endpoint(1)), 0, 0)
    assert update.report.kind is ListKind.COMPLETE and update.report.nodes[0].name == "n:1"
    assert list_state.receive(response("2", endpoint(1)), 0, 0) is None
    with pytest.raises(NodeListError, match="older"):
        list_state.receive(response("1", endpoint(2)), 0, 0)
    assert json.loads(list_state.request("me"))["version_info"] == "2"


def test_cached_list_is_confirmed_by_first_response_after_start():
    list_state = new_state()
    assert list_state.receive(response("2", endpoint(1)), 0, 0, cached=True).report.kind is ListKind.CACHED
    assert list_state.receive(response("2", endpoint(1)), 0, 0).report.kind is ListKind.COMPLETE
    assert list_state.receive(response("2", endpoint(1)), 0, 0) is None


def test_node_start_time_does_not_change_when_wall_clock_is_stepped():
    list_state = new_state()
    first = list_state.receive(response("1", endpoint(1, up_since=900.0)), 5000, 1000).report.nodes[0]
    later = list_state.receive(response("2", endpoint(1, up_since=900.0)), 9000, 99999).report.nodes[0]
    assert first.started_at_ms == later.started_at_ms == 4900
    restarted = list_state.receive(response("3", endpoint(1, up_since=99000.0)), 9500, 99500).report.nodes[0]
    assert restarted.started_at_ms == 9000


def test_duplicate_node_gets_the_worse_of_its_states():
    for node_endpoints in (
        (endpoint(1), endpoint(1, status="DRAINING")),
        (endpoint(1, status="DRAINING"), endpoint(1)),
    ):
        update = new_state().receive(response("1", *node_endpoints), 0, 0)
        assert [n.state for n in update.report.nodes] == [NodeState.DRAINING] and len(update.warnings) == 1


@pytest.mark.parametrize(
    ("body", "error_pattern"),
    [
        (b"{", "not JSON"),
        (b"[]", "version_info"),
        (b'{"version_info": "1"}', "resources"),
        (response("1", {"endpoint": {}}), r"resources\[0\].endpoints\[0\].lb_endpoints\[0\]"),
        (response("1", endpoint(1, shard=-1)), "shard"),
        (response("1", endpoint(1, status="FINE")), "health_status"),
        (response("1", *(endpoint(p) for p in range(9))), "at most 5"),
        (response("1", endpoint(1, up_since="now")), "up_since"),
    ],
)
def test_malformed_response_is_rejected_with_its_location(body, error_pattern):
    list_state = new_state()
    list_state.receive(response("1", endpoint(1)), 0, 0)
    list_state.version = "0"
    with pytest.raises(NodeListError, match=error_pattern):
        list_state.receive(body, 0, 0)
    assert list_state.version == "0"
