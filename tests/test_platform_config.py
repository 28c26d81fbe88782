"""The platform's configuration: complete, with safe defaults, and without any value of another customer."""

import asyncio
import json
import os
import subprocess
import sys
from dataclasses import fields, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.dispatch.ledger import Attempt, Ledger
from cressrock.interface import DeduplicationScope, Idempotency, Outcome
from cressrock.lab.platform import Discovery, StorageServer, config, echo
from cressrock.platform import program
from cressrock.platform.config import ConfigError, find_foreign_setting, parse
from cressrock.platform.program import Program
from cressrock.platform.server_list import ServerList
from cressrock.resp import codec
from cressrock.resp.request import CommandReader, InvalidCommandError
from tests.test_platform import Client, async_test, running_program

ABSENT = object()


def example_config():
    return config(Discovery(address="127.0.0.1:8500"), listen="127.0.0.1:6379")


def set_at(value, path, new_value):
    """Set the value at a path such as settings.profiles[1].give_up_ms; ABSENT deletes it."""
    steps = path.replace("[", ".").replace("]", "").split(".")
    *parents, last = [int(step) if step.isdigit() else step for step in steps]
    for step in parents:
        value = value[step]
    if new_value is ABSENT:
        del value[last]
    else:
        value[last] = new_value


def config_with(*changes):
    value = example_config()
    for path, new_value in changes:
        set_at(value, path, new_value)
    return value


def parse_with(*changes):
    return parse(json.dumps(config_with(*changes)))


NUMERIC_SETTINGS = [
    "settings.balancers",
    "settings.period_ms",
    "settings.profiles[1].give_up_ms",
    "settings.profiles[0].goal_time_ms",
    "settings.profiles[0].worth",
    "settings.profiles[1].repeat_window_ms",
    "settings.policies[1].weight",
    "settings.policies[0].reserve",
    "settings.caps.max_attempts",
    "settings.caps.connect_timeout_ms",
    "settings.caps.idle_close_ms",
    "settings.caps.max_retry_after_ms",
    "settings.safety.drain_grace_ms",
    "settings.safety.answer_slack_ms",
    "settings.safety.ask_every_ms",
    "settings.safety.cold_from",
    "settings.safety.tip_after_ms",
    "settings.safety.warm_up_ms",
    "settings.family_info.cold_bears",
    "settings.family_info.most_units",
    "settings.family_info.usual_units",
    "settings.family_info.n_shards",
    "limits.memory_mb",
    "limits.sockets",
]
POSITIVE_SETTINGS = [
    "settings.balancers",
    "settings.period_ms",
    "settings.profiles[1].give_up_ms",
    "settings.profiles[0].goal_time_ms",
    "settings.policies[1].weight",
    "settings.caps.max_attempts",
    "settings.safety.cold_from",
    "settings.family_info.most_units",
    "settings.family_info.usual_units",
]
INVALID_NUMBERS = [-1, float("nan"), float("inf"), -float("inf"), True, False, "480", [], {}, 10**400]
INVALID_SETTINGS = [
    *(
        (path, new_value)
        for path in NUMERIC_SETTINGS
        for new_value in INVALID_NUMBERS
        if new_value not in ([], {})
    ),
    *((path, {"a": 1}) for path in NUMERIC_SETTINGS),
    *((path, 0) for path in POSITIVE_SETTINGS),
    *((f"limits.{name}", new_value) for name in ("memory_mb", "sockets") for new_value in (1e300, None)),
    *((f"settings.{name}", 2.5) for name in ("balancers", "caps.max_attempts", "family_info.n_shards")),
    ("settings.balancers", ABSENT),
    ("settings.balancers", None),
    ("settings.profiles[1].give_up_ms", ABSENT),
    ("settings.profiles[0].goal_time_ms", None),
    ("settings.profiles", []),
    ("settings.profiles", ABSENT),
    ("settings.profiles", "read"),
    ("settings.profiles[1]", "write"),
    ("settings.profiles[0].name", ABSENT),
    ("settings.profiles[0].name", ""),
    ("settings.profiles[0].name", "\ud800"),
    ("settings.profiles[1].name", "read"),
    ("settings.profiles[1].semantics", "free of charge"),
    ("settings.profiles[1].semantics", ["free"]),
    ("settings.profiles[1].key_scope", 1),
    ("settings.profiles[1].in_turn", "false"),
    ("settings.policies", []),
    ("settings.policies", ABSENT),
    ("settings.policies[1].name", "silver"),
    ("settings.policies[1]", None),
    ("settings.zones", "abc"),
    ("settings.zones[0]", {"name": "a"}),
    ("settings.caps", [1]),
    ("settings.caps.cancel", "no"),
    ("settings.safety", 3),
    ("settings.family_info", "stores"),
    ("settings.family_info.counts_others", 2),
    ("settings.family_info.writes", [True]),
    ("settings.family_info.writes", [False, True, True]),
    ("settings.family_info.writes", {"read": False, "write": True}),
    ("settings.family_info.writes[1]", "yes"),
    ("settings", ABSENT),
    ("limits.sockets", ABSENT),
    ("limits.sockets", 8),
    ("limits", []),
    ("seed", "not hex"),
    ("seed", 7),
    ("name", 3),
    ("known", None),
    ("listen", "127.0.0.1"),
    ("listen", "127.0.0.1:²"),
    ("listen", "127.0.0.1:" + "9" * 5000),
    ("listen", "127.0.0.1:65536"),
    ("listen", "a" * 70 + ":6379"),
    ("listen", "127.0.0.1\0:6379"),
    ("discovery", "füge.example:8500"),
    ("discovery", "a..b:8500"),
]


@pytest.fixture
def run_main(tmp_path, monkeypatch, capsys):
    """Return a function that runs main() on a configuration text without serving.

    It returns the exit code and the lines on standard error.
    """

    def start(text):
        file = tmp_path / "config.json"
        file.write_text(text)
        monkeypatch.setenv("LB_CONFIG", str(file))
        monkeypatch.setattr(program.anyio, "run", lambda *args, **kwargs: None)
        code = program.main()
        return code, capsys.readouterr().err.splitlines()

    return start


def test_main_accepts_the_example(run_main):
    assert run_main(json.dumps(example_config())) == (0, [])


@pytest.mark.parametrize("path, new_value", INVALID_SETTINGS)
def test_main_reports_an_invalid_setting_with_its_place_in_one_line(path, new_value, run_main):
    code, (line,) = run_main(json.dumps(config_with((path, new_value))))
    assert code == 1
    assert f"{path}: " in line and "Traceback" not in line and len(line) < 400


@pytest.mark.parametrize("text", ["", "[]", "7", "{", '{"a":1}', "[" * 100_000, "9" * 5000, "\ufeff{}"])
def test_main_reports_a_file_that_is_no_configuration_in_one_line(text, run_main):
    code, (line,) = run_main(text)
    assert code == 1 and "Traceback" not in line


def test_the_process_reports_an_invalid_setting_with_its_place_in_one_line_and_exits(tmp_path):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(config_with(("settings.profiles[1].give_up_ms", "4 s"))))
    done = subprocess.run(
        [sys.executable, "-m", "cressrock", "platform"],
        env=os.environ | {"LB_CONFIG": str(file)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    (line,) = done.stderr.splitlines()
    assert done.returncode == 1 and done.stdout == ""
    assert "settings.profiles[1].give_up_ms: a number was expected, not '4 s'" in line


def test_bytes_that_are_not_utf_8_are_rejected():
    with pytest.raises(ConfigError, match="not JSON"):
        parse(json.dumps(example_config()).encode().replace(b"gold", b"g\xffld"))
    assert parse(json.dumps(example_config()).encode()) == parse(json.dumps(example_config()))


def all_places(value, path=()):
    """Return the path of every value in a nested object, those of inner objects and lists included."""
    found = [path] if path else []
    for step, inner in value.items() if isinstance(value, dict) else enumerate(value):
        found += all_places(inner, (*path, step)) if isinstance(inner, (dict, list)) else [(*path, step)]
    return found


ARBITRARY_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=6)
    | st.sampled_from([0, -1, 1e308, 5e-324, 10**400, "", "\ud800", "a\nb", "1", "free", ":", "h:1", "²:²"]),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=5,
)
CHANGES = st.tuples(
    st.sampled_from(all_places(example_config())), st.sampled_from(["put", "drop", "twice"]), ARBITRARY_VALUES
)


@settings(derandomize=True, max_examples=1500, deadline=None)
@given(st.lists(CHANGES, min_size=1, max_size=3))
def test_a_configuration_changed_anywhere_is_accepted_or_rejected_in_one_line(changes):
    value = example_config()
    for (*parents, last), how, new_value in changes:
        try:
            inner = value
            for step in parents:
                inner = inner[step]
            if how == "drop":
                del inner[last]
            elif how == "twice" and isinstance(inner, list):
                inner.append(inner[last])
            else:
                inner[last] = new_value
        except (KeyError, IndexError, TypeError):
            continue  # an earlier change removed the path
    try:
        found = parse(json.dumps(value))
    except ConfigError as exc:
        assert len(str(exc).splitlines()) == 1 and len(str(exc)) < 300
    else:
        Program(found, "")  # an accepted configuration can be used


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 3000), st.integers(0, 40), st.binary(max_size=6))
def test_a_configuration_with_changed_bytes_is_accepted_or_rejected(at, removed, inserted):
    text = json.dumps(example_config()).encode()
    try:
        parse(text[:at] + inserted + text[at + removed :])
    except ConfigError as exc:
        assert len(str(exc).splitlines()) == 1


# --- optional settings


def test_the_defaults_of_absent_settings_are_safe():
    keyed = parse_with(("settings.profiles[1].key_scope", ABSENT)).settings.classes[1]
    assert keyed.idempotency is Idempotency.KEYED and keyed.deduplication_window_ms == 0  # never repeated
    assert parse_with(("settings.profiles[1].key_scope", None)).settings.classes[1] == keyed
    assert (
        parse_with(("settings.profiles[1].repeat_window_ms", ABSENT))
        .settings.classes[1]
        .deduplication_window_ms
        == 0
    )
    assert (
        parse_with(("settings.profiles[1].semantics", None)).settings.classes[1].idempotency
        is Idempotency.NEVER
    )
    assert parse_with(("settings.safety.drain_grace_ms", ABSENT)).settings.drain_grace_ms == 0
    assert parse_with(("settings.caps.max_attempts", ABSENT)).settings.max_attempts == 1
    assert parse_with(("settings.family_info.most_units", ABSENT)).settings.most_units == 999_999_999
    unused = parse_with().settings.classes[0]  # a class without keys needs no scope
    assert unused.idempotency is Idempotency.ALWAYS and unused.deduplication_scope is DeduplicationScope.SHARD


def test_a_cold_servers_limit_without_a_warm_up_time_neither_grows_nor_ends():
    found = parse_with(("settings.safety.warm_up_ms", ABSENT)).settings
    assert found.cold_from == 1 and found.warm_up_ms > 1e300
    zero = parse_with(("settings.safety.warm_up_ms", 0)).settings  # warm at once, as configured
    assert zero.warm_up_ms == 0 and zero.cold_from == 0.2
    no_limit = parse_with(
        ("settings.safety.warm_up_ms", ABSENT), ("settings.safety.tip_after_ms", ABSENT)
    ).settings
    assert no_limit.warm_up_ms == 0


def test_a_retry_budget_without_a_window_allows_no_second_attempt():
    assert parse_with(("settings.safety.extra_free", 3)).settings.max_attempts == 1
    found = parse_with(("settings.safety.extra_free", 3), ("settings.safety.look_back_ms", 2000)).settings
    assert (found.max_attempts, found.budget_free, found.budget_window_ms) == (3, 3, 2000)


def test_absent_connection_times_default_to_the_shortest_latency_objective():
    found = parse_with(
        ("settings.caps", {}),
        ("settings.profiles[0].goal_time_ms", 730.0),
        ("settings.profiles[1].goal_time_ms", 910.0),
    )
    assert found.idle_close_ms == found.settings.connect_timeout_ms == 730.0
    assert parse_with().idle_close_ms == 15000 and parse_with().settings.connect_timeout_ms == 250


def test_a_latency_objective_above_the_deadline_is_kept():
    cls = parse_with(("settings.profiles[0].goal_time_ms", 9000)).settings.classes[0]
    assert (cls.latency_objective_ms, cls.deadline_ms) == (9000, 5000)


def test_a_zone_that_is_listed_twice_counts_once():
    assert parse_with(("settings.zones", ["a", "b", "a"])).zones == ("a", "b")


@pytest.mark.parametrize("mode", ["push", "ask", None, ABSENT])
def test_discovery_is_watched_in_every_membership_mode(mode):
    """Where lists are pushed too: a dispatcher that only waits for them would miss a drain."""

    @async_test
    async def test():
        async with running_program(settings=config_with(("settings.membership_mode", mode))["settings"]) as s:
            await s.until(lambda: s.discovery.calls >= 2)
            s.discovery.put("s9", s.servers[0].address, 2, health="leaving")
            await s.until(lambda: "s9" in s.program.driver.ledger.withdrawn_at_ms)

    test()


# --- names


def make_reader(*changes):
    found = parse_with(*changes)
    return CommandReader(found.settings, list(found.classes), list(found.plans), found.shards)


def request_words(command="IO.IN", body=(), **changes):
    names = {
        "c": "read",
        "t": "gold",
        "d": 480,
        "volume": "00000003b4d60021",
        "units": 2,
        "shard": 3,
        "hosts": 2,
    }
    text = ",".join(f"{k}={v}" for k, v in (names | changes).items())
    return [command.encode(), b"7f3a9c21e0b4d655", b"9b1f03aa5c7e2d41", text.encode(), *body]


def test_names_may_contain_any_unicode_letters():
    reader = make_reader(
        ("settings.profiles[0].name", "lecture à 100 %"), ("settings.policies[1].name", "金")
    )
    found = reader.read(request_words(c="lecture à 100 %", t="金"))
    assert (found.request_class, found.plan) == (0, 1)
    with pytest.raises(InvalidCommandError, match="unknown class"):
        reader.read(request_words(c="lecture a 100 %", t="金"))


def test_the_list_of_writes_follows_the_order_of_the_classes():
    default, swapped = make_reader(), make_reader(("settings.family_info.writes", [True, False]))
    assert default.read(request_words()).request_class == 0
    with pytest.raises(InvalidCommandError, match="command"):
        swapped.read(request_words())
    assert swapped.read(request_words("IO.OUT", [b"x"])).request_class == 0


@pytest.mark.parametrize(
    "changes",
    [
        {"c": "lesen"},
        {"c": ""},
        {"c": "READ"},
        {"t": "platinum"},
        {"t": ""},
        {"hosts": 3},
        {"hosts": 0},
        {"hosts": -1},
        {"units": 9},
        {"units": 0},
        {"units": "nan"},
        {"shard": 4},
        {"shard": -2},
        {"d": 0},
        {"d": "inf"},
    ],
)
def test_a_request_outside_the_settings_is_rejected(changes):
    assert make_reader().read(request_words())
    with pytest.raises(InvalidCommandError):
        make_reader().read(request_words(**changes))


# --- zones


def receive_hosts(servers, *hosts, seq=1, whole=True, cached=False):
    """Apply a list of (name, zone[, health]) to a ServerList; return the zone numbers by name."""
    entries = []
    for name, site, *health in hosts:
        entry = {"host": name, "dial": "127.0.0.1:7001", "block": 0, "health": (*health, "active")[0]}
        entries.append(entry if site is ABSENT else entry | {"site": site})
    value = {"seq": seq, "whole": whole, "hosts": entries}
    return {node.name: node.zone for node in servers.receive(value, 0, 1e12, cached=cached).nodes}


def test_no_two_zones_share_a_number():
    servers = ServerList(("a", "b"))
    first = receive_hosts(
        servers, ("s1", "a"), ("s2", "x"), ("s3", "y"), ("s4", "x"), ("s5", "b"), cached=True
    )
    assert first["s1"] == 0 and first["s5"] == 1 and first["s2"] == first["s4"]
    assert len({first[name] for name in ("s1", "s2", "s3", "s5")}) == 4
    # A zone keeps its number from list to list, and no other zone gets it.
    later = receive_hosts(servers, ("s4", "x"), ("s6", "z"), ("s3", "y"), seq=2, whole=False)
    assert later["s4"] == first["s2"] and later["s3"] == first["s3"]
    assert later["s6"] not in first.values()


def test_a_server_without_a_zone_shares_no_zone_number():
    servers = ServerList(("a", "b"))
    found = receive_hosts(servers, ("s1", ABSENT), ("s2", None), ("s3", ""), ("s4", "a"), ("s5", "host s1"))
    assert len(set(found.values())) == 5
    assert receive_hosts(servers, ("s1", ABSENT), seq=2, whole=False)["s1"] == found["s1"]
    # Without configured zones all servers share one number, until one of them names a zone.
    assert receive_hosts(ServerList(()), ("s1", ABSENT), ("s2", "")) == {"s1": 0, "s2": 0}
    assert len(set(receive_hosts(ServerList(()), ("s1", ABSENT), ("s2", "x"), ("s3", "y")).values())) == 3


def test_a_zone_number_is_never_reused_and_unused_zones_are_forgotten():
    """An attempt in flight may remember the number of a zone whose last server is gone."""
    servers, seen = ServerList(("a", "b")), set()
    for day in range(300):
        numbers = receive_hosts(
            servers, (f"s{day}", f"z{day}"), (f"t{day}", ABSENT), seq=2 * day, whole=day % 2 == 0
        )
        assert not seen & set(numbers.values())
        seen |= set(numbers.values())
        receive_hosts(servers, (f"s{day}", f"z{day}", "left"), seq=2 * day + 1, whole=False)
        assert len(servers._extra_zones) <= 2 and len(servers._zone_keys) <= 2
    assert (
        receive_hosts(servers, ("s0", "z0"), seq=999)["s0"] not in seen
    )  # back after its number was forgotten


def test_a_keyed_request_is_not_repeated_across_zones_that_the_settings_do_not_name():
    """Rule 2: the key scope is the zone, so a request that failed in one must not be sent to another."""
    value = config_with(("settings.profiles[1].key_scope", "zone"), ("settings.zones", ["a", "b"]))[
        "settings"
    ]
    ledger = Ledger(drain_grace_ms=0, answer_slack_ms=0, max_open=8)
    servers = ServerList(("a", "b"))
    entries = [
        {"host": f"s{i}", "dial": "127.0.0.1:7001", "block": 0, "health": "active", "site": site}
        for i, site in enumerate(("a", "x", "y", "x"))
    ]
    report = servers.receive({"seq": 1, "whole": True, "hosts": entries}, 0, 1e12)
    ledger.update_nodes(report.nodes, 0, complete=True)
    cls = parse(json.dumps(example_config() | {"settings": value})).settings.classes[1]
    for number, (first, other, allowed) in enumerate([(0, 1, False), (1, 2, False), (1, 3, True)]):
        ledger.accept(f"r{number}", "e", cls, 5000, 0)
        assert isinstance(ledger.send(f"r{number}", f"s{first}", 0), Attempt)
        ledger.record_outcome(f"r{number}", 0, Outcome.RESET)
        assert isinstance(ledger.send(f"r{number}", f"s{other}", 1), Attempt) is allowed


# --- reload


@pytest.mark.parametrize(
    "path, new_value",
    [
        ("discovery", "127.0.0.1:8501"),
        ("seed", "00"),
        ("known", {}),
        ("limits.memory_mb", 64),
        ("limits.sockets", 512),
        ("limits.cores", 0.5),
        ("settings.unheard_of", 1),
        ("name", "d0"),
    ],
)
def test_settings_that_may_change_in_a_reload_are_accepted(path, new_value):
    assert find_foreign_setting(parse_with(), parse_with((path, new_value))) is None


@pytest.mark.parametrize(
    "path, new_value",
    [
        ("name", "d1"),
        ("listen", "127.0.0.1:6380"),
        ("settings.balancers", 3),
        ("settings.period_ms", 5),
        ("settings.profiles[1].name", "scrive"),
        ("settings.profiles[1].give_up_ms", 4999),
        ("settings.profiles[0].goal_time_ms", 999),
        ("settings.profiles[1].semantics", "single_shot"),
        ("settings.profiles[1].key_scope", "all"),
        ("settings.profiles[0].in_turn", True),
        ("settings.profiles[1].repeat_window_ms", 1),
        ("settings.policies[0].name", "oro"),
        ("settings.policies[1].ceiling_rate", 8),
        ("settings.policies[1].value_factor", 3),
        ("settings.family_info.writes[0]", True),
        ("settings.zones[0]", "b"),
        ("settings.safety.drain_grace_ms", 0),
        ("settings.safety.cold_from", 1),
        ("settings.caps.cancel", False),
        ("settings.caps.idle_close_ms", 1),
        ("settings.caps.connect_timeout_ms", 1),
        ("settings.caps.max_attempts", 1),
        ("settings.family_info.n_shards", 5),
        ("settings.family_info.most_units", 7),
        ("settings.family_info.counts_others", False),
    ],
)
def test_the_setting_that_shows_a_file_to_be_another_dispatchers_is_named(path, new_value):
    present, found = parse_with(), parse_with((path, new_value))
    assert find_foreign_setting(present, found).startswith(f"{path}: ")
    assert find_foreign_setting(found, present).startswith(f"{path}: ")
    assert len(find_foreign_setting(present, found).splitlines()) == 1


def test_more_fewer_or_swapped_classes_plans_and_zones_are_another_dispatchers():
    value = example_config()
    value["settings"]["profiles"].append(value["settings"]["profiles"][1] | {"name": "third"})
    value["settings"]["family_info"]["writes"].append(True)
    more = parse(json.dumps(value))
    for pair in ((parse_with(), more), (more, parse_with())):
        assert find_foreign_setting(*pair).startswith("settings.profiles[2].name: ")
    swapped = parse_with(("settings.policies", example_config()["settings"]["policies"][::-1]))
    assert find_foreign_setting(parse_with(), swapped).startswith("settings.policies[0].name: ")
    for changed in ([], ["a", "b"]):
        assert find_foreign_setting(parse_with(), parse_with(("settings.zones", changed))).startswith(
            "settings.zones["
        )


def test_a_difference_in_any_other_setting_is_detected():
    present = parse_with()
    for field in fields(present):
        if field.name not in ("discovery", "seed", "known", "memory_mb", "sockets", "settings"):
            assert find_foreign_setting(
                present, replace(present, **{field.name: different_value(getattr(present, field.name))})
            )
    for field in fields(present.settings):
        if field.name not in ("classes", "plans"):
            changed = {field.name: different_value(getattr(present.settings, field.name))}
            assert find_foreign_setting(
                present, replace(present, settings=replace(present.settings, **changed))
            )
    for part in ("classes", "plans"):
        first, *rest = getattr(present.settings, part)
        for field in fields(first):
            if field.name not in ("idempotency", "deduplication_scope"):
                new = replace(first, **{field.name: different_value(getattr(first, field.name))})
                assert find_foreign_setting(
                    present, replace(present, settings=replace(present.settings, **{part: (new, *rest)}))
                )


def different_value(value):
    """Return another value of the same type."""
    if isinstance(value, bool):
        return not value
    if isinstance(value, tuple):
        return (*value[:-1], value[-1] + (1 if isinstance(value[-1], int) else "x"))
    return value + ("x" if isinstance(value, str) else 1)


# --- two customers


def other_customer_config(discovery, **names):
    """Return a configuration in which all names and limits that clients see are different."""
    value = config(discovery, name="elsewhere")
    s = value["settings"]
    s["profiles"] = [
        {"name": "deposito", "goal_time_ms": 18000.0, "give_up_ms": 28000.0, "semantics": "single_shot"},
        {"name": "consulta", "goal_time_ms": 17000.0, "give_up_ms": 27000.0, "semantics": "free"},
    ]
    s["policies"] = [{"name": "ente", "weight": 1.0}, {"name": "ospite", "weight": 3.0}, {"name": "studio"}]
    s["zones"] = ["molo-a", "molo-b"]
    s["balancers"] = 5
    s["family_info"] |= {"writes": [True, False], "n_shards": 2, "most_units": 5}
    return value


def encode_request(ident, command="IO.IN", body=(), **changes):
    found = request_words(command, body, **{"shard": 0} | changes)
    return codec.command(found[0], found[1], f"{ident:016x}".encode(), *found[3:])


async def ask_once(address, command):
    """Send a request on a new connection, since idle ones are closed if the test is delayed."""
    client = Client(*await asyncio.open_connection(*address))
    try:
        return await client.ask(command)
    finally:
        client.writer.transport.abort()


def test_processes_of_two_customers_on_one_host_are_isolated(tmp_path):
    @async_test
    async def test():
        servers, processes, addresses = [], [], []
        try:
            for index, make in enumerate((config, other_customer_config)):
                server = await StorageServer(echo).start()
                servers.append(server)
                discovery = await Discovery().start()
                discovery.put("s0", server.address, 0)
                file = tmp_path / f"{index}.json"
                file.write_text(json.dumps(make(discovery)))
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "cressrock",
                    "platform",
                    env=os.environ | {"LB_CONFIG": str(file)},
                    stderr=asyncio.subprocess.PIPE,
                )
                processes.append(process)
                line = ""
                while "serving at" not in line:
                    line = (await process.stderr.readline()).decode()
                    assert line, "the process ended"
                host, _, port = line.split()[-1].rpartition(":")
                addresses.append((host, int(port)))
            first = [
                encode_request(1, c="read", t="gold", d=20000),
                encode_request(2, "IO.OUT", [b"x"], c="write", t="silver", d=20000, k="0" * 16),
                encode_request(3, c="read", t="gold", units=7, hosts=2, d=20000),
            ]
            second = [
                encode_request(1, "IO.OUT", [b"x"], c="deposito", t="ente", d=29000),
                encode_request(2, c="consulta", t="studio", units=5, hosts=5, d=29000),
            ]
            mixed = [  # a name of one customer with a name or a number of the other
                [
                    encode_request(4, c="read", t="ente"),
                    encode_request(5, c="consulta", t="gold"),
                    encode_request(6, hosts=5),
                ],
                [
                    encode_request(4, c="consulta", t="gold"),
                    encode_request(5, c="read", t="ente"),
                    encode_request(6, c="consulta", t="ente", units=7),
                    encode_request(7, c="consulta", t="ente", shard=3),
                ],
            ]
            for own, others, address in zip((first, second), (second, first), addresses, strict=True):
                for command in own:
                    assert (await ask_once(address, command)).startswith(b"value of ")
                for command in others:
                    assert (await ask_once(address, command)).text.startswith("ERR ")
            for commands, address in zip(mixed, addresses, strict=True):
                for command in commands:
                    assert (await ask_once(address, command)).text.startswith("ERR ")
            # Rejected requests never reached a server, and the others have their own customer's deadline.
            for server, names, count in zip(
                servers, (b"c=read c=write", b"c=deposito c=consulta"), (3, 2), strict=True
            ):
                assert len(server.seen) == count
                assert all(found[3].split(b",")[0] in names.split() for found in server.seen)
            waits = [[int(found[3].split(b",d=")[1].split(b",")[0]) for found in s.seen] for s in servers]
            assert max(waits[0]) <= 5000 < min(waits[1]) and max(waits[1]) <= 28000
        finally:
            for process in processes:
                if process.returncode is None:
                    process.kill()
                await process.communicate()
            for server in servers:
                await server.stop()

    test()
