"""The platform's configuration and its list of storage servers: read, checked, put on the module's clock."""

import json

import pytest

from cressrock.interface import ListKind, NodeState
from cressrock.lab.platform import Discovery, config
from cressrock.platform.config import ConfigError, parse
from cressrock.platform.serverlist import ListError, ServerList
from cressrock.platform.watch import MAX_ANSWER_BYTES


def made(**changes):
    value = config(Discovery(address="127.0.0.1:8500"), listen="127.0.0.1:6379") | changes
    return value


def test_a_configuration_is_read():
    found = parse(json.dumps(made()))
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
def test_an_unusable_configuration_names_the_place(change, place):
    with pytest.raises(ConfigError) as found:
        parse(json.dumps(made(**change)))
    assert place in str(found.value)


def test_a_configuration_that_is_cut_off_is_refused():
    with pytest.raises(ConfigError):
        parse(json.dumps(made())[:-40])


def entry(host, dial="127.0.0.1:7001", block=0, health="active", born_ms=0, site="a"):
    return {"host": host, "dial": dial, "site": site, "block": block, "health": health, "born_ms": born_ms}


def answer(*hosts, seq=1, whole=True):
    return {"seq": seq, "whole": whole, "hosts": list(hosts)}


def test_the_list_is_told_under_the_hosts_names():
    servers = ServerList(("x", "a"))
    known = answer(entry("s1", block=2), entry("s2", health="leaving"))
    report = servers.receive(known, 5000, 1e12, cached=True)
    assert report.kind is ListKind.CACHED
    assert [(n.name, n.shard, n.zone, n.started_at_ms, n.state) for n in report.nodes] == [
        ("s1", 2, 1, 0.0, NodeState.READY),
        ("s2", 0, 1, 0.0, NodeState.DRAINING),
    ]
    assert servers.dials["s1"] == ("127.0.0.1", 7001)


def test_a_start_is_put_on_the_modules_clock_once():
    servers = ServerList(("a",))
    servers.receive(answer(entry("s1", born_ms=1e12 - 400)), 5000, 1e12, cached=True)
    report = servers.receive(answer(entry("s1", born_ms=1e12 - 400), seq=2), 6000, 1e12 + 99000)
    assert report.nodes[0].started_at_ms == 4600  # the wall clock was stepped in between
    report = servers.receive(answer(entry("s1", born_ms=1e12 + 99500), seq=3), 7000, 1e12 + 100000)
    assert report.nodes[0].started_at_ms == 6500 and servers.replaced == ["s1"]


def test_changes_are_told_as_changes_and_what_left_is_forgotten():
    servers = ServerList(("a",))
    servers.receive(answer(entry("s1"), entry("s2")), 0, 1e12, cached=True)
    report = servers.receive(answer(entry("s1", dial="", health="left"), seq=3, whole=False), 0, 1e12)
    assert report.kind is ListKind.CHANGES and report.nodes[0].state is NodeState.GONE
    assert set(servers.dials) == {"s2"} and servers.replaced == ["s1"] and servers.version == 3
    report = servers.receive(answer(entry("s3"), seq=4), 0, 1e12)
    assert report.kind is ListKind.COMPLETE and set(servers.dials) == {"s3"}


@pytest.mark.parametrize(
    "bad",
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
def test_an_unusable_answer_changes_nothing(bad):
    servers = ServerList(("a",))
    servers.receive(answer(entry("s1")), 0, 1e12)
    with pytest.raises(ListError):
        servers.receive(bad, 0, 1e12)
    assert set(servers.dials) == {"s1"} and servers.version == 1


@pytest.mark.parametrize(
    "bad",
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
def test_an_entry_that_cannot_be_used_is_left_out_and_named(bad):
    """Danger: one bad line in a list of hundreds would hide the drain that is told beside it."""
    servers = ServerList(("a",))
    servers.receive(answer(entry("s1"), entry("s2")), 0, 1e12)
    told = answer(entry("s1", health="leaving"), bad, entry("s3") | {"colour": "red"}, seq=2, whole=False)
    report = servers.receive(told, 0, 1e12)
    assert [(n.name, n.state) for n in report.nodes] == [
        ("s1", NodeState.DRAINING),
        ("s3", NodeState.READY),
    ]
    (named,) = servers.rejected_entries
    assert named.startswith("hosts[1]")
    assert servers.receive(answer(seq=3, whole=False), 0, 1e12).nodes == () and servers.rejected_entries == []


def test_a_list_of_1024_servers_is_held_whole_and_a_list_of_none_too():
    fleet = [entry(f"s{i}", dial=f"10.1.{i // 250}.{i % 250 + 1}:6379", block=i) for i in range(1024)]
    servers = ServerList(("a",))
    assert len(servers.receive(answer(*fleet), 0, 1e12).nodes) == len(servers.dials) == 1024
    assert len(json.dumps(answer(*fleet))) * 4 < MAX_ANSWER_BYTES
    assert servers.receive(answer(seq=2), 0, 1e12).nodes == () and not servers.dials
    assert len(servers.replaced) == 1024
