"""Drawn answers of discovery, and drawn load reports: none ends a process, and the last good list stays."""

import copy
import json
import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.dispatch.node_list import TYPE_URL, NodeListError, NodeListState
from cressrock.dispatch.node_response import LOAD_HEADER, MAX_METRIC_VALUE, reported_load
from cressrock.interface import NodeState
from cressrock.platform.server_list import ListError, ServerList

EXAMPLES = int(os.environ.get("CRESSROCK_FUZZ_EXAMPLES", "300"))  # of each test; 10,000 by hand
NOW_MS, WALL_MS = 5_000.0, 1.7e12

HUGE = 10**400  # as a float it is out of range
NUMBERS = st.one_of(
    st.sampled_from([HUGE, -HUGE, 2**64, -(2**64), 1e308, -1e308, -1, 0, 0.5, float("nan"), float("inf")]),
    st.integers(),
    st.floats(),
)
WORDS = st.one_of(
    st.text(max_size=8),
    st.sampled_from(["", "²", "9" * 5000, "active", "HEALTHY", "DRAINING", "\ud800", "127.0.0.1:99999"]),
)
LEAVES = st.one_of(st.none(), st.booleans(), NUMBERS, WORDS)
VALUES = st.recursive(
    LEAVES,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(WORDS, inner, max_size=3),
    max_leaves=6,
)

PLATFORM_ANSWER = {
    "seq": 7,
    "whole": True,
    "hosts": [
        {"host": f"s{n}", "dial": f"127.0.0.1:{9000 + n}", "block": n, "health": "active", "born_ms": 1.6e12}
        for n in range(2)
    ],
}
GATEWAY_ANSWER = {
    "version_info": "7",
    "nonce": "n",
    "resources": [
        {
            "@type": TYPE_URL,
            "cluster_name": "nodes",
            "endpoints": [
                {
                    "locality": {"zone": "a"},
                    "lb_endpoints": [
                        {
                            "endpoint": {
                                "address": {"socket_address": {"address": "10.0.0.1", "port_value": 80 + n}}
                            },
                            "health_status": "HEALTHY",
                            "metadata": {"filter_metadata": {"cressrock": {"shard": n, "up_since": 1.6e12}}},
                        }
                        for n in range(2)
                    ],
                }
            ],
        }
    ],
}


def places(value, path=()):
    """Return the paths of all values inside a JSON value."""
    inner = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    return [path, *(found for key, child in inner for found in places(child, (*path, key)))]


def with_changes(value, changes):
    """Return a copy in which the value at each path is another one, as far as the path is there still."""
    changed = {"": copy.deepcopy(value)}
    for path, new in changes:
        *parents, last = ("", *path)
        inner = changed
        try:
            for key in parents:
                inner = inner[key]
            inner[last] = new
        except (KeyError, IndexError, TypeError):
            continue
    return changed[""]


def drawn(answer):
    """Return a strategy of answers with one to three values changed."""
    change = st.tuples(st.sampled_from(places(answer)), VALUES)
    return st.lists(change, min_size=1, max_size=3).map(lambda changes: with_changes(answer, changes))


def test_an_unusable_second_entry_of_a_server_does_not_revoke_its_drain():
    """Regression: the last usable entry was taken over behind the drain that the same list reports."""
    servers = ServerList(("a",))
    servers.receive(PLATFORM_ANSWER, NOW_MS, WALL_MS)
    changes = [(("seq",), 8), (("hosts", 0, "health"), "leaving"), (("hosts", 1, "host"), "s0")]
    twice = with_changes(PLATFORM_ANSWER, [*changes, (("hosts", 1, "born_ms"), HUGE)])
    report = servers.receive(twice, NOW_MS, WALL_MS)
    assert [(node.name, node.state) for node in report.nodes] == [("s0", NodeState.DRAINING)]


@pytest.mark.parametrize("field", ["born_ms", "block", "host", "dial", "health", "site"])
def test_a_number_of_401_digits_in_an_entry_leaves_the_rest_of_the_list(field):
    """Regression: a start time of 401 digits ended the process with OverflowError."""
    servers = ServerList(("a",))
    answer = with_changes(PLATFORM_ANSWER, [(("hosts", 0, field), HUGE)])
    report = servers.receive(answer, NOW_MS, WALL_MS)
    assert "s1" in {node.name for node in report.nodes}


def test_an_unusable_entry_leaves_its_server_as_it_was_but_for_a_drain():
    servers = ServerList(("a",))
    servers.receive(PLATFORM_ANSWER, NOW_MS, WALL_MS)
    unusable = with_changes(PLATFORM_ANSWER, [(("seq",), 8), (("hosts", 0, "born_ms"), HUGE)])
    report = servers.receive(unusable, NOW_MS, WALL_MS)
    assert {node.name: node.state for node in report.nodes} == {"s0": NodeState.READY, "s1": NodeState.READY}
    assert set(servers.dial_addresses) == {"s0", "s1"}
    assert servers.replaced == []
    draining = with_changes(unusable, [(("seq",), 9), (("hosts", 0, "health"), "leaving")])
    report = servers.receive(draining, NOW_MS, WALL_MS)
    assert {node.name: node.state for node in report.nodes} == {
        "s0": NodeState.DRAINING,
        "s1": NodeState.READY,
    }


def outcome_of(call, error_type):
    """Return a call's result and None, or None and the text of its error."""
    try:
        return call(), None
    except error_type as error:
        return None, str(error)


@settings(max_examples=EXAMPLES, deadline=None)
@given(drawn(PLATFORM_ANSWER))
def test_an_answer_to_the_platforms_watch_is_applied_or_rejected_as_a_whole(answer):
    servers = ServerList(("a",))
    servers.receive(PLATFORM_ANSWER | {"seq": 5}, NOW_MS, WALL_MS)
    before = dict(servers.dial_addresses)
    received = json.loads(json.dumps(answer))
    report, error = outcome_of(lambda: servers.receive(received, NOW_MS, WALL_MS), ListError)
    if report is None:
        assert len(error.splitlines()) == 1
        assert servers.dial_addresses == before
    else:
        assert all(node.started_at_ms <= NOW_MS for node in report.nodes)
    servers.after = -1  # a whole list of any version
    assert len(servers.receive(PLATFORM_ANSWER, NOW_MS, WALL_MS).nodes) == 2


@settings(max_examples=EXAMPLES, deadline=None)
@given(drawn(GATEWAY_ANSWER))
def test_an_answer_to_the_gateways_poll_is_applied_or_rejected_as_a_whole(answer):
    state = NodeListState("nodes", max_nodes=10)
    state.receive(json.dumps(GATEWAY_ANSWER | {"version_info": "5"}).encode(), NOW_MS, WALL_MS)
    received = json.dumps(answer).encode()
    _, error = outcome_of(lambda: state.receive(received, NOW_MS, WALL_MS), NodeListError)
    if error is not None:
        assert len(error.splitlines()) == 1
        assert state.version == "5"
        update = state.receive(json.dumps(GATEWAY_ANSWER).encode(), NOW_MS, WALL_MS)
        assert len(update.report.nodes) == 2


@pytest.mark.parametrize(
    "text", [b"[" * 100_000, b'{"version_info":' * 50_000, b"\xff", b"", b"nul", b"1e999"]
)
def test_a_text_that_is_nested_deeply_or_is_no_json_is_rejected(text):
    with pytest.raises(NodeListError):
        NodeListState("nodes", max_nodes=10).receive(text, NOW_MS, WALL_MS)
    assert reported_load([(LOAD_HEADER, b"JSON " + text)]) == (0, 0.0)


@settings(max_examples=EXAMPLES, deadline=None)
@given(VALUES, VALUES)
def test_a_load_report_is_read_within_its_bounds_or_ignored(used, elsewhere):
    report = {"named_metrics": {"cressrock.used": used, "cressrock.elsewhere": elsewhere}}
    load = reported_load([(LOAD_HEADER, b"JSON " + json.dumps(report).encode())])
    assert 0 <= load.used < MAX_METRIC_VALUE
    assert 0 <= load.units_elsewhere < MAX_METRIC_VALUE
