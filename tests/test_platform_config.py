"""The platform's configuration: all of it from the file, no unsafe default, nothing of another customer's."""

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
from cressrock.platform.serverlist import ServerList
from cressrock.resp import codec
from cressrock.resp.request import InvalidCommandError, Reader
from tests.test_platform import Client, on_sockets, stage

ABSENT = object()


def made():
    return config(Discovery(address="127.0.0.1:8500"), listen="127.0.0.1:6379")


def put(value, path, what):
    """Put something at a place such as settings.profiles[1].give_up_ms; ABSENT takes it away."""
    steps = path.replace("[", ".").replace("]", "").split(".")
    *way, last = [int(step) if step.isdigit() else step for step in steps]
    for step in way:
        value = value[step]
    if what is ABSENT:
        del value[last]
    else:
        value[last] = what


def with_(*changes):
    value = made()
    for path, what in changes:
        put(value, path, what)
    return value


def read(*changes):
    return parse(json.dumps(with_(*changes)))


FIGURES = [
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
OVER_ZERO = [
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
NO_FIGURES = [-1, float("nan"), float("inf"), -float("inf"), True, False, "480", [], {}, 10**400]
BAD = [
    *((path, what) for path in FIGURES for what in NO_FIGURES if what not in ([], {})),
    *((path, {"a": 1}) for path in FIGURES),
    *((path, 0) for path in OVER_ZERO),
    *((f"limits.{name}", what) for name in ("memory_mb", "sockets") for what in (1e300, None)),
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
def main(tmp_path, monkeypatch, capsys):
    """Return what starts the program with a file, its exit code and its lines.  It never comes to serve."""

    def start(text):
        file = tmp_path / "config.json"
        file.write_text(text)
        monkeypatch.setenv("LB_CONFIG", str(file))
        monkeypatch.setattr(program.anyio, "run", lambda *args, **kwargs: None)
        code = program.main()
        return code, capsys.readouterr().err.splitlines()

    return start


def test_main_takes_the_example(main):
    assert main(json.dumps(made())) == (0, [])


@pytest.mark.parametrize("path, what", BAD)
def test_main_names_the_place_of_what_cannot_be_used_in_one_line(path, what, main):
    code, (line,) = main(json.dumps(with_((path, what))))
    assert code == 1
    assert f"{path}: " in line and "Traceback" not in line and len(line) < 400


@pytest.mark.parametrize("text", ["", "[]", "7", "{", '{"a":1}', "[" * 100_000, "9" * 5000, "\ufeff{}"])
def test_main_says_in_one_line_that_a_file_is_no_configuration(text, main):
    code, (line,) = main(text)
    assert code == 1 and "Traceback" not in line


def test_the_process_ends_in_one_line_that_names_the_place(tmp_path):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(with_(("settings.profiles[1].give_up_ms", "4 s"))))
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


def test_bytes_that_are_no_text_are_refused():
    with pytest.raises(ConfigError, match="not JSON"):
        parse(json.dumps(made()).encode().replace(b"gold", b"g\xffld"))
    assert parse(json.dumps(made()).encode()) == parse(json.dumps(made()))


def places(value, path=()):
    """Name every place of an object, inner ones too."""
    found = [path] if path else []
    for step, inner in value.items() if isinstance(value, dict) else enumerate(value):
        found += places(inner, (*path, step)) if isinstance(inner, (dict, list)) else [(*path, step)]
    return found


JUNK = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=6)
    | st.sampled_from([0, -1, 1e308, 5e-324, 10**400, "", "\ud800", "a\nb", "1", "free", ":", "h:1", "²:²"]),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=5,
)
CHANGE = st.tuples(st.sampled_from(places(made())), st.sampled_from(["put", "drop", "twice"]), JUNK)


@settings(derandomize=True, max_examples=1500, deadline=None)
@given(st.lists(CHANGE, min_size=1, max_size=3))
def test_a_configuration_changed_anywhere_is_taken_or_refused_in_one_line(changes):
    value = made()
    for (*way, last), how, what in changes:
        try:
            inner = value
            for step in way:
                inner = inner[step]
            if how == "drop":
                del inner[last]
            elif how == "twice" and isinstance(inner, list):
                inner.append(inner[last])
            else:
                inner[last] = what
        except (KeyError, IndexError, TypeError):
            continue  # an earlier change took the place away
    try:
        found = parse(json.dumps(value))
    except ConfigError as wrong:
        assert len(str(wrong).splitlines()) == 1 and len(str(wrong)) < 300
    else:
        Program(found, "")  # what is taken can be started with


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 3000), st.integers(0, 40), st.binary(max_size=6))
def test_a_configuration_changed_in_its_bytes_is_taken_or_refused(at, taken, put_in):
    text = json.dumps(made()).encode()
    try:
        parse(text[:at] + put_in + text[at + taken :])
    except ConfigError as wrong:
        assert len(str(wrong).splitlines()) == 1


# --- what may be absent


def test_what_is_absent_is_safe_for_the_rules():
    group = read(("settings.profiles[1].key_scope", ABSENT)).settings.classes[1]
    assert group.idempotency is Idempotency.KEYED and group.deduplication_window_ms == 0  # never repeated
    assert read(("settings.profiles[1].key_scope", None)).settings.classes[1] == group
    assert (
        read(("settings.profiles[1].repeat_window_ms", ABSENT)).settings.classes[1].deduplication_window_ms
        == 0
    )
    assert read(("settings.profiles[1].semantics", None)).settings.classes[1].idempotency is Idempotency.NEVER
    assert read(("settings.safety.drain_grace_ms", ABSENT)).settings.drain_grace_ms == 0
    assert read(("settings.caps.max_attempts", ABSENT)).settings.max_attempts == 1
    assert read(("settings.family_info.most_units", ABSENT)).settings.most_units == 999_999_999
    unused = read().settings.classes[0]  # a class without keys names no group
    assert unused.idempotency is Idempotency.ALWAYS and unused.deduplication_scope is DeduplicationScope.SHARD


def test_a_cold_servers_bound_without_a_warm_up_neither_grows_nor_ends():
    found = read(("settings.safety.warm_up_ms", ABSENT)).settings
    assert found.cold_from == 1 and found.warm_up_ms > 1e300
    told = read(("settings.safety.warm_up_ms", 0)).settings  # warm at once, as the file says
    assert told.warm_up_ms == 0 and told.cold_from == 0.2
    no_rule = read(("settings.safety.warm_up_ms", ABSENT), ("settings.safety.tip_after_ms", ABSENT)).settings
    assert no_rule.warm_up_ms == 0


def test_a_budget_without_its_window_allows_no_further_attempt():
    assert read(("settings.safety.extra_free", 3)).settings.max_attempts == 1
    found = read(("settings.safety.extra_free", 3), ("settings.safety.look_back_ms", 2000)).settings
    assert (found.max_attempts, found.budget_free, found.budget_window_ms) == (3, 3, 2000)


def test_absent_times_of_connections_come_from_the_aims():
    found = read(
        ("settings.caps", {}),
        ("settings.profiles[0].goal_time_ms", 730.0),
        ("settings.profiles[1].goal_time_ms", 910.0),
    )
    assert found.idle_close_ms == found.settings.connect_timeout_ms == 730.0
    assert read().idle_close_ms == 15000 and read().settings.connect_timeout_ms == 250


def test_an_aim_above_its_deadline_stands():
    cls = read(("settings.profiles[0].goal_time_ms", 9000)).settings.classes[0]
    assert (cls.latency_objective_ms, cls.deadline_ms) == (9000, 5000)


def test_a_zone_that_is_named_twice_is_one():
    assert read(("settings.zones", ["a", "b", "a"])).zones == ("a", "b")


@pytest.mark.parametrize("mode", ["push", "ask", None, ABSENT])
def test_a_watch_is_opened_however_the_settings_say_that_lists_come(mode):
    """Danger: pushed lists count as told; a dispatcher that waits for them without a call hears no drain."""

    @on_sockets
    async def test():
        async with stage(settings=with_(("settings.membership_mode", mode))["settings"]) as s:
            await s.until(lambda: s.discovery.calls >= 2)
            s.discovery.put("s9", s.servers[0].address, 2, health="leaving")
            await s.until(lambda: "s9" in s.program.driver.ledger.withdrawn_at_ms)

    test()


# --- names


def reader(*changes):
    found = read(*changes)
    return Reader(found.settings, list(found.classes), list(found.plans), found.shards)


def words(command="IO.IN", body=(), **changes):
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


def test_names_of_any_letters_are_the_bytes_that_clients_send():
    made_of = reader(("settings.profiles[0].name", "lecture à 100 %"), ("settings.policies[1].name", "金"))
    found = made_of.read(words(c="lecture à 100 %", t="金"))
    assert (found.request_class, found.plan) == (0, 1)
    with pytest.raises(InvalidCommandError, match="unknown class"):
        made_of.read(words(c="lecture a 100 %", t="金"))


def test_writes_are_told_by_the_classes_order():
    one, other = reader(), reader(("settings.family_info.writes", [True, False]))
    assert one.read(words()).request_class == 0
    with pytest.raises(InvalidCommandError, match="command"):
        other.read(words())
    assert other.read(words("IO.OUT", [b"x"])).request_class == 0


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
def test_what_the_settings_do_not_name_or_bound_is_refused(changes):
    assert reader().read(words())
    with pytest.raises(InvalidCommandError):
        reader().read(words(**changes))


# --- zones


def listed(servers, *hosts, seq=1, whole=True, cached=False):
    """Hand a list of name, zone and perhaps health to a ServerList; return its numbers by name."""
    entries = []
    for name, site, *health in hosts:
        found = {"host": name, "dial": "127.0.0.1:7001", "block": 0, "health": (*health, "active")[0]}
        entries.append(found if site is ABSENT else found | {"site": site})
    value = {"seq": seq, "whole": whole, "hosts": entries}
    return {node.name: node.zone for node in servers.receive(value, 0, 1e12, cached=cached).nodes}


def test_no_two_zones_have_one_number():
    servers = ServerList(("a", "b"))
    first = listed(servers, ("s1", "a"), ("s2", "x"), ("s3", "y"), ("s4", "x"), ("s5", "b"), cached=True)
    assert first["s1"] == 0 and first["s5"] == 1 and first["s2"] == first["s4"]
    assert len({first[name] for name in ("s1", "s2", "s3", "s5")}) == 4
    # The same zone keeps its number from list to list, and no other has it.
    later = listed(servers, ("s4", "x"), ("s6", "z"), ("s3", "y"), seq=2, whole=False)
    assert later["s4"] == first["s2"] and later["s3"] == first["s3"]
    assert later["s6"] not in first.values()


def test_a_server_that_names_no_zone_is_in_none_of_the_others():
    servers = ServerList(("a", "b"))
    found = listed(servers, ("s1", ABSENT), ("s2", None), ("s3", ""), ("s4", "a"), ("s5", "host s1"))
    assert len(set(found.values())) == 5
    assert listed(servers, ("s1", ABSENT), seq=2, whole=False)["s1"] == found["s1"]
    # Without zones there is nothing to tell apart, until a server names one.
    assert listed(ServerList(()), ("s1", ABSENT), ("s2", "")) == {"s1": 0, "s2": 0}
    assert len(set(listed(ServerList(()), ("s1", ABSENT), ("s2", "x"), ("s3", "y")).values())) == 3


def test_a_zones_number_is_never_given_again_and_what_is_gone_is_forgotten():
    """Danger: an attempt that is out remembers the number of a zone whose last server is gone."""
    servers, seen = ServerList(("a", "b")), set()
    for day in range(300):
        here = listed(servers, (f"s{day}", f"z{day}"), (f"t{day}", ABSENT), seq=2 * day, whole=day % 2 == 0)
        assert not seen & set(here.values())
        seen |= set(here.values())
        listed(servers, (f"s{day}", f"z{day}", "left"), seq=2 * day + 1, whole=False)
        assert len(servers._extra_zones) <= 2 and len(servers._zone_keys) <= 2
    assert listed(servers, ("s0", "z0"), seq=999)["s0"] not in seen  # back after its number was forgotten


def test_a_keyed_request_is_not_repeated_in_a_zone_that_the_settings_do_not_name():
    """Rule 2: the group is the zone; one zone's server fails, and that of another must not be asked."""
    value = with_(("settings.profiles[1].key_scope", "zone"), ("settings.zones", ["a", "b"]))["settings"]
    ledger = Ledger(drain_grace_ms=0, answer_slack_ms=0, max_open=8)
    servers = ServerList(("a", "b"))
    entries = [
        {"host": f"s{i}", "dial": "127.0.0.1:7001", "block": 0, "health": "active", "site": site}
        for i, site in enumerate(("a", "x", "y", "x"))
    ]
    report = servers.receive({"seq": 1, "whole": True, "hosts": entries}, 0, 1e12)
    ledger.update_nodes(report.nodes, 0, complete=True)
    cls = parse(json.dumps(made() | {"settings": value})).settings.classes[1]
    for number, (first, other, allowed) in enumerate([(0, 1, False), (1, 2, False), (1, 3, True)]):
        ledger.accept(f"r{number}", "e", cls, 5000, 0)
        assert isinstance(ledger.send(f"r{number}", f"s{first}", 0), Attempt)
        ledger.record_outcome(f"r{number}", 0, Outcome.RESET)
        assert isinstance(ledger.send(f"r{number}", f"s{other}", 1), Attempt) is allowed


# --- a file that is read again


@pytest.mark.parametrize(
    "path, what",
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
def test_a_new_configuration_of_this_dispatcher_is_known_as_its_own(path, what):
    assert find_foreign_setting(read(), read((path, what))) is None


@pytest.mark.parametrize(
    "path, what",
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
def test_the_place_in_which_a_file_is_anothers_is_named(path, what):
    present, found = read(), read((path, what))
    assert find_foreign_setting(present, found).startswith(f"{path}: ")
    assert find_foreign_setting(found, present).startswith(f"{path}: ")
    assert len(find_foreign_setting(present, found).splitlines()) == 1


def test_more_or_fewer_classes_plans_and_zones_are_anothers():
    value = made()
    value["settings"]["profiles"].append(value["settings"]["profiles"][1] | {"name": "third"})
    value["settings"]["family_info"]["writes"].append(True)
    more = parse(json.dumps(value))
    for pair in ((read(), more), (more, read())):
        assert find_foreign_setting(*pair).startswith("settings.profiles[2].name: ")
    swapped = read(("settings.policies", made()["settings"]["policies"][::-1]))
    assert find_foreign_setting(read(), swapped).startswith("settings.policies[0].name: ")
    for changed in ([], ["a", "b"]):
        assert find_foreign_setting(read(), read(("settings.zones", changed))).startswith("settings.zones[")


def test_no_figure_of_the_settings_can_differ_unseen():
    present = read()
    for field in fields(present):
        if field.name not in ("discovery", "seed", "known", "memory_mb", "sockets", "settings"):
            assert find_foreign_setting(
                present, replace(present, **{field.name: other(getattr(present, field.name))})
            )
    for field in fields(present.settings):
        if field.name not in ("classes", "plans"):
            changed = {field.name: other(getattr(present.settings, field.name))}
            assert find_foreign_setting(
                present, replace(present, settings=replace(present.settings, **changed))
            )
    for part in ("classes", "plans"):
        first, *rest = getattr(present.settings, part)
        for field in fields(first):
            if field.name not in ("idempotency", "deduplication_scope"):
                new = replace(first, **{field.name: other(getattr(first, field.name))})
                assert find_foreign_setting(
                    present, replace(present, settings=replace(present.settings, **{part: (new, *rest)}))
                )


def other(value):
    """Return another value of the same kind."""
    if isinstance(value, bool):
        return not value
    if isinstance(value, tuple):
        return (*value[:-1], value[-1] + (1 if isinstance(value[-1], int) else "x"))
    return value + ("x" if isinstance(value, str) else 1)


# --- two customers


def customer(discovery, **names):
    """Return a configuration that differs in every word and figure which a client meets."""
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


def asked(ident, command="IO.IN", body=(), **changes):
    found = words(command, body, **{"shard": 0} | changes)
    return codec.command(found[0], found[1], f"{ident:016x}".encode(), *found[3:])


async def one_answer(address, command):
    """Ask on a connection of its own: one that rests is closed, however long the test was held up."""
    client = Client(*await asyncio.open_connection(*address))
    try:
        return await client.ask(command)
    finally:
        client.writer.transport.abort()


def test_two_customers_processes_side_by_side_know_nothing_of_each_other(tmp_path):
    @on_sockets
    async def test():
        servers, processes, addresses = [], [], []
        try:
            for index, make in enumerate((config, customer)):
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
            ours = [
                asked(1, c="read", t="gold", d=20000),
                asked(2, "IO.OUT", [b"x"], c="write", t="silver", d=20000, k="0" * 16),
                asked(3, c="read", t="gold", units=7, hosts=2, d=20000),
            ]
            theirs = [
                asked(1, "IO.OUT", [b"x"], c="deposito", t="ente", d=29000),
                asked(2, c="consulta", t="studio", units=5, hosts=5, d=29000),
            ]
            mixed = [  # a name of one, a name or figure of the other
                [asked(4, c="read", t="ente"), asked(5, c="consulta", t="gold"), asked(6, hosts=5)],
                [
                    asked(4, c="consulta", t="gold"),
                    asked(5, c="read", t="ente"),
                    asked(6, c="consulta", t="ente", units=7),
                    asked(7, c="consulta", t="ente", shard=3),
                ],
            ]
            for own, others, address in zip((ours, theirs), (theirs, ours), addresses, strict=True):
                for command in own:
                    assert (await one_answer(address, command)).startswith(b"value of ")
                for command in others:
                    assert (await one_answer(address, command)).text.startswith("ERR ")
            for commands, address in zip(mixed, addresses, strict=True):
                for command in commands:
                    assert (await one_answer(address, command)).text.startswith("ERR ")
            # What was refused never reached a server, and what did bears its own customer's deadline.
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
