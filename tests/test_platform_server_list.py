"""The platform's configuration and its list of storage servers: parsing, checks and start times."""

import json

import pytest

from cressrock.interface import ListKind, NodeState
from cressrock.lab.platform import Discovery, config
from cressrock.platform.config import ConfigError, parse
from cressrock.platform.server_list import ListError, ServerList
from cressrock.platform.watch import MAX_ANSWER_BYTES


def example_config(**changes):
    value = config(Discovery(address="127.0.0.1:8500"), listen="127.0.0.1:6379") | changes
    return value


def test_a_valid_configuration_is_parsed():
    found = parse(json.dumps(example_config()))
    assert found.listen == ("127.0.0.1", 6379) and found.seed == 0x8C1F30D27A5BE964
    assert found.classes == ("read", "write") and found.plans == ("silver", "gold")
    assert (found.sockets, found.memory_mb, found.shards, found.idle_close_ms) == (256, 192, 4, 15000)
    assert found.settings.must_ask and found.settings.classes[1].is_write


@pytest.mark.parametrize(
    "change, place",
    [
        ({"seed": "xyz"}, "seed"),
        ({"listen": "nowhere"}, "listen"),
        ({"discovery": None}, "discovery"),
        ({"known": []}, "known"),
        ({"limits": []}, "limits"),
        ({"limits": {"memory_mb": 64, "sockets": "many"}}, "limits.sockets"),
        ({"limits": {"memory_mb": 64, "sockets": 8}}, "limits.sockets"),
        ({"limits": {"memory_mb": None, "sockets": 256}}, "limits.memory_mb"),
        ({"settings": {"profiles": [{"name": "read"}]}}, "profiles[0].goal_time_ms"),
        ({"settings": {"profiles": [{"goal_time_ms": 1, "give_up_ms": 2}]}}, "profiles[0].name"),
    ],
)
def test_the_error_of_an_invalid_configuration_names_the_setting(change, place):
    with pytest.raises(ConfigError) as found:
        parse(json.dumps(example_config(**change)))
    assert place in str(found.value)


def test_a_truncated_configuration_is_rejected():
    with pytest.raises(ConfigError):
        parse(json.dumps(example_config())[:-40])


def entry(host, dial="127.0.0.1:7001", block=0, health="active", born_ms=0, site="a"):
    return {"host": host, "dial": dial, "site": site, "block": block, "health": health, "born_ms": born_ms}


def answer(*hosts, seq=1, whole=True):
    return {"seq": seq, "whole": whole, "hosts": list(hosts)}


def test_reports_identify_servers_by_host():
    servers = ServerList(("x", "a"))
    known = answer(entry("s1", block=2), entry("s2", health="leaving"))
    report = servers.receive(known, 5000, 1e12, cached=True)
    assert report.kind is ListKind.CACHED
    assert [(n.name, n.shard, n.zone, n.started_at_ms, n.state) for n in report.nodes] == [
        ("s1", 2, 1, 0.0, NodeState.READY),
        ("s2", 0, 1, 0.0, NodeState.DRAINING),
    ]
    assert servers.dial_addresses["s1"] == ("127.0.0.1", 7001)


def test_a_start_time_is_converted_to_the_schedulers_clock_once():
    servers = ServerList(("a",))
    servers.receive(answer(entry("s1", born_ms=1e12 - 400)), 5000, 1e12, cached=True)
    report = servers.receive(answer(entry("s1", born_ms=1e12 - 400), seq=2), 6000, 1e12 + 99000)
    assert report.nodes[0].started_at_ms == 4600  # the wall clock was stepped in between
    report = servers.receive(answer(entry("s1", born_ms=1e12 + 99500), seq=3), 7000, 1e12 + 100000)
    assert report.nodes[0].started_at_ms == 6500 and servers.replaced == ["s1"]


def test_partial_lists_are_reported_as_changes_and_removed_servers_are_forgotten():
    servers = ServerList(("a",))
    servers.receive(answer(entry("s1"), entry("s2")), 0, 1e12, cached=True)
    report = servers.receive(answer(entry("s1", dial="", health="left"), seq=3, whole=False), 0, 1e12)
    assert report.kind is ListKind.CHANGES and report.nodes[0].state is NodeState.GONE
    assert set(servers.dial_addresses) == {"s2"} and servers.replaced == ["s1"] and servers.version == 3
    report = servers.receive(answer(entry("s3"), seq=4), 0, 1e12)
    assert report.kind is ListKind.COMPLETE and set(servers.dial_addresses) == {"s3"}


@pytest.mark.parametrize(
    "unusable",
    [
        [],
        {},
        answer("x"),
        answer(entry(""), entry("s", block=-1)),
        {"seq": "1", "whole": True, "hosts": []},
        answer(entry("s"), seq=0, whole=False),
        answer(entry("s"), seq=0),
    ],
)
def test_an_unusable_answer_leaves_the_list_unchanged(unusable):
    servers = ServerList(("a",))
    servers.receive(answer(entry("s1")), 0, 1e12)
    with pytest.raises(ListError):
        servers.receive(unusable, 0, 1e12)
    assert set(servers.dial_addresses) == {"s1"} and servers.version == 1


@pytest.mark.parametrize(
    "unusable",
    [
        "x",
        entry(""),
        entry("s", block=-1),
        entry("s", block="1"),
        entry("s", health="fine"),
        entry("s", dial="here"),
        entry("s", born_ms="x"),
    ],
)
def test_an_unusable_entry_is_ignored_and_its_place_kept_for_the_log(unusable):
    """Otherwise one unusable entry in a list of hundreds would hide a drain reported beside it."""
    servers = ServerList(("a",))
    servers.receive(answer(entry("s1"), entry("s2")), 0, 1e12)
    changes = answer(
        entry("s1", health="leaving"), unusable, entry("s3") | {"colour": "red"}, seq=2, whole=False
    )
    report = servers.receive(changes, 0, 1e12)
    assert [(n.name, n.state) for n in report.nodes] == [
        ("s1", NodeState.DRAINING),
        ("s3", NodeState.READY),
    ]
    (problem,) = servers.rejected_entries
    assert problem.startswith("hosts[1]")
    assert servers.receive(answer(seq=3, whole=False), 0, 1e12).nodes == () and servers.rejected_entries == []


def test_a_list_of_1024_servers_and_an_empty_list_are_accepted():
    fleet = [entry(f"s{i}", dial=f"10.1.{i // 250}.{i % 250 + 1}:6379", block=i) for i in range(1024)]
    servers = ServerList(("a",))
    assert len(servers.receive(answer(*fleet), 0, 1e12).nodes) == len(servers.dial_addresses) == 1024
    assert len(json.dumps(answer(*fleet))) * 4 < MAX_ANSWER_BYTES
    assert servers.receive(answer(seq=2), 0, 1e12).nodes == () and not servers.dial_addresses
    assert len(servers.replaced) == 1024
