"""Settings: defaults, validation errors, the reference page and reload."""

import json

import pytest

from cressrock.settings.load import SettingsError, convert, evaluate_text
from cressrock.settings.types import interface_settings

VALID_SETTINGS = """
local c = import 'cressrock.libsonnet';
{
  classes: c.classes, plans: c.plans, volumes: { demo: c.volume([0, 1]) },
  node_list: { address: '127.0.0.1:9900' },
}
"""


def convert_changed(changes="{}", text=VALID_SETTINGS):
    return convert("site.jsonnet", evaluate_text("site.jsonnet", f"({text}) + {changes}"))


def test_the_defaults_are_valid_and_convert_to_decision_module_settings():
    settings = convert_changed()
    converted = interface_settings(settings)
    assert len(converted.classes) == 4 and converted.must_ask and converted.max_attempts == 3
    assert (
        settings.class_of("PUT", 100) != settings.class_of("PUT", 1 << 30) == settings.class_of("PUT", None)
    )
    assert (settings.units_of(0), settings.units_of(65537), settings.units_of(None)) == (1, 2, 8)


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ("{ colour: 1 }", "colour"),
        ("{ front: { listen: 'nowhere' } }", r"front.listen.*found .nowhere"),
        ("{ front: { max_connections: 0 } }", r"front.max_connections.*found 0"),
        ("{ volumes: { demo: { shards: [], plan: 'standard' } } }", "shards"),
        ("{ volumes: { demo: { shards: [1, 1], plan: 'standard' } } }", "a shard is named twice"),
        ("{ volumes: { demo: { shards: [1], plan: 'gold' } } }", "demo.plan: 'gold' is no plan"),
        ("{ volumes: { 'a/b': { shards: [1], plan: 'standard' } } }", "volumes"),
        ("{ plans: {} }", "plans: at least one"),
        ("{ nodes: { max_idle: 0 } }", "nodes.max_idle"),
        ("{ front: { bounds: { max_heads: 5 } } }", "max_heads"),
        ("{ scheduler: { cold_from: 0 } }", "cold_from"),
        ("{ payloads: { memory_bytes: 12 } }", "memory_bytes"),
        ("{ observe: { level: 'loud' } }", "observe.level"),
        ("{ fleet: { seeds: ['127.0.0.1:7410'] } }", r"fleet.seeds\[0\]: '127.0.0.1:7410' is this process"),
        ("{ fleet: { seeds: ['nowhere'] } }", r"fleet.seeds"),
        ("{ fleet: { routes: { cressrock: 'a:1' } } }", "fleet.routes: 'cressrock' is this process itself"),
        ("{ fleet: { period_ms: 1 } }", r"fleet.period_ms.*found 1"),
        ("{ council: { seats: { a: 'a:1', b: 'b:1', c: 'c:1' } } }", "council: needs `fleet`"),
        ("{ fleet: {}, council: { seats: { a: 'a:1' } } }", "council.seats: 1 seats; 3 or 5"),
        ("{ fleet: {}, council: { seats: { a: 'a:1', b: 'b:1' } } }", "council.seats: 2 seats"),
        (
            "{ fleet: {}, council: { seats: { a: 'a:1', b: 'b:1', c: 'c:1', d: 'd:1' } } }",
            "council.seats: 4 seats",
        ),
        (
            "{ fleet: {}, council: { seats: { a: 'a:1', b: 'a:1', c: 'c:1' } } }",
            "council.seats: two seats have the same address",
        ),
        (
            "{ fleet: {}, council: { seats: { a: 'a:1', b: 'b:1', c: 'c:1' }, store: 's' } }",
            "council.store: 'cressrock' is not among the seats",
        ),
        (
            "{ fleet: {}, council: { seats: { a: 'a:1', b: 'b:1', c: 'c:1' }, hold_ms: 900 } }",
            "council.hold_ms: 900 is too short to replace a failed leader.*at least 5000",
        ),
        (
            "{ fleet: {}, council: { seats: { a: 'a:1', b: 'b:1', c: 'c:1' }, heartbeat_ms: 900 } }",
            "council.heartbeat_ms: above a third of election_ms",
        ),
        ("{ presence: {} }", "presence: needs `fleet`"),
        ("{ presence: {}, fleet: {} }", "presence: needs `observe.admin`"),
        ("{ presence: { silent_ms: 500 }, fleet: {}, observe: { admin: 'x:1' } }", "presence.silent_ms"),
        ("{ presence: { gone_ms: 1000 }, fleet: {}, observe: { admin: 'x:1' } }", "presence.gone_ms"),
        ("{ presence: { max_data: 5000 }, fleet: {}, observe: { admin: 'x:1' } }", "presence.max_data"),
    ],
)
def test_an_invalid_setting_is_named_in_the_error(changes, message):
    with pytest.raises(SettingsError, match=message):
        convert_changed(changes)


def test_classes_must_cover_every_method_and_keyed_ones_need_a_window():
    only_get = "{ classes: [{ name: 'r', methods: ['GET'], aim_ms: 1, deadline_ms: 2, effect: '%s' }] }"
    with pytest.raises(SettingsError, match="COPY has no class"):
        convert_changed(only_get % "repeatable")
    keyed = only_get % "keyed"
    with pytest.raises(SettingsError, match=r"classes\[0\].repeat_window_ms"):
        convert_changed(keyed)


def test_invalid_jsonnet_and_missing_files_are_refused_and_variables_are_read(tmp_path):
    from cressrock.settings.load import load

    with pytest.raises(SettingsError, match="site.jsonnet"):
        evaluate_text("site.jsonnet", "{ a: }")
    with pytest.raises(SettingsError, match="cannot be read"):
        load(str(tmp_path / "none.jsonnet"))
    path = tmp_path / "s.jsonnet"
    path.write_text(VALID_SETTINGS.replace("'127.0.0.1:9900'", "std.extVar('list')"))
    assert load(str(path), {"list": "127.0.0.1:1"}).node_list.address == "127.0.0.1:1"


def test_the_reference_page_matches_the_types():
    """docs/settings.md is what `cressrock.settings.reference` generates."""
    from pathlib import Path

    from cressrock.settings.reference import reference

    page = Path(__file__).parent.parent / "docs" / "settings.md"
    assert page.read_text() == reference()


def test_a_reload_applies_changed_volumes_and_returns_settings_that_need_a_restart():
    from tests.rig import run

    async def program(rig):
        import msgspec

        value = msgspec.to_builtins(rig.settings)
        value["volumes"]["new"] = {"shards": [0], "plan": "standard"}
        assert rig.gateway.reload(convert("again", value)) == []
        assert (await rig.ask("PUT", "/new/a", b"x")).status == 201
        value["scheduler"]["max_attempts"] = 1
        assert rig.gateway.reload(convert("again", json.loads(json.dumps(value)))) == ["scheduler"]

    run(program)
