"""Discovery responses: late, stale, doubled, malformed."""

import json

import pytest

from cressrock.dispatch.node_list import NodeListError, NodeListState
from cressrock.interface import ListKind, NodeState


def endpoint(port, shard=0, status="HEALTHY", since=0.0):
    return {
        "endpoint": {"address": {"socket_address": {"address": "n", "port_value": port}}},
        "health_status": status,
        "metadata": {"filter_metadata": {"cressrock": {"shard": shard, "up_since": since}}},
    }


def response(version, *endpoints, zone="z", **changes):
    groups = [{"locality": {"zone": zone}, "lb_endpoints": list(endpoints)}]
    resources = [{"cluster_name": "storage", "endpoints": groups}]
    return json.dumps({"version_info": version, "nonce": "n", "resources": resources} | changes).encode()


def state():
    return NodeListState("storage", max_nodes=5)


def test_a_version_is_news_once_and_never_goes_back():
    found = state()
    news = found.receive(response("2", endpoint(1)), 0, 0)
    assert news.report.kind is ListKind.COMPLETE and news.report.nodes[0].name == "n:1"
    assert found.receive(response("2", endpoint(1)), 0, 0) is None
    with pytest.raises(NodeListError, match="older"):
        found.receive(response("1", endpoint(2)), 0, 0)
    assert json.loads(found.request("me"))["version_info"] == "2"


def test_a_cached_list_is_confirmed_by_the_first_answer_of_this_life():
    found = state()
    assert found.receive(response("2", endpoint(1)), 0, 0, cached=True).report.kind is ListKind.CACHED
    assert found.receive(response("2", endpoint(1)), 0, 0).report.kind is ListKind.COMPLETE
    assert found.receive(response("2", endpoint(1)), 0, 0) is None


def test_a_start_keeps_its_place_on_our_clock_though_the_wall_clock_is_stepped():
    found = state()
    first = found.receive(response("1", endpoint(1, since=900.0)), 5000, 1000).report.nodes[0]
    later = found.receive(response("2", endpoint(1, since=900.0)), 9000, 99999).report.nodes[0]
    assert first.started_at_ms == later.started_at_ms == 4900
    again = found.receive(response("3", endpoint(1, since=99000.0)), 9500, 99500).report.nodes[0]
    assert again.started_at_ms == 9000


def test_a_node_named_twice_is_as_bad_as_its_worse_line():
    for lines in (
        (endpoint(1), endpoint(1, status="DRAINING")),
        (endpoint(1, status="DRAINING"), endpoint(1)),
    ):
        news = state().receive(response("1", *lines), 0, 0)
        assert [n.state for n in news.report.nodes] == [NodeState.DRAINING] and len(news.warnings) == 1


@pytest.mark.parametrize(
    ("body", "place"),
    [
        (b"{", "not JSON"),
        (b"[]", "version_info"),
        (b'{"version_info": "1"}', "resources"),
        (response("1", {"endpoint": {}}), r"resources\[0\].endpoints\[0\].lb_endpoints\[0\]"),
        (response("1", endpoint(1, shard=-1)), "shard"),
        (response("1", endpoint(1, status="FINE")), "health_status"),
        (response("1", *(endpoint(p) for p in range(9))), "at most 5"),
        (response("1", endpoint(1, since="now")), "up_since"),
    ],
)
def test_a_malformed_response_changes_nothing_and_names_its_place(body, place):
    found = state()
    found.receive(response("1", endpoint(1)), 0, 0)
    found.version = "0"
    with pytest.raises(NodeListError, match=place):
        found.receive(body, 0, 0)
    assert found.version == "0"
