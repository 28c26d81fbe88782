"""Validation of the settings of replicated volumes."""

import pytest

from cressrock.settings.load import SettingsError, convert


def settings(**changes):
    volume = {"shards": [0], "plan": "p", "copies": {"za": [0], "zb": [1]}} | changes.pop("volume", {})
    classes = [
        {
            "name": "r",
            "methods": ["GET", "HEAD", "PROPFIND"],
            "aim_ms": 1,
            "deadline_ms": 9,
            "effect": "repeatable",
        },
        {
            "name": "w",
            "aim_ms": 1,
            "deadline_ms": 9,
            "effect": "unsafe",
            "methods": ["PUT", "DELETE", "MKCOL", "COPY", "MOVE", "PROPPATCH", "LOCK", "UNLOCK"],
        },
    ]
    seats = {f"p{i}": f"127.0.0.1:{i + 1}" for i in range(3)}
    return convert(
        "file",
        {
            "classes": classes,
            "plans": {"p": {}},
            "volumes": {"v": volume},
            "node_list": {"address": "x:1"},
            "copies": {"regions": {"za": "r0", "zb": "r0", "zc": "r1"}},
            "fleet": {},
            "council": {"seats": seats},
        }
        | changes,
    )


@pytest.mark.parametrize(
    ("volume", "message"),
    [
        ({"copies": {"za": [0], "zx": [1]}}, "volumes.v.copies: 'zx' is no zone"),
        ({"copies": {"za": [0], "zb": [1, 2]}}, "volumes.v.copies.zb: 2 shards"),
        ({"copies": {"za": [0]}}, "volumes.v.copies: all copies lie in one zone"),
        ({"copies": {"za": [0], "zb": [0]}}, "volumes.v.copies.zb: shard 0 is named twice"),
        ({"copies": {"za": [2], "zb": [1]}}, "volumes.v.copies: no zone's list is `shards`"),
    ],
)
def test_error_of_invalid_copies_settings_names_file_and_field(volume, message):
    settings()
    with pytest.raises(SettingsError) as raised:
        settings(volume=volume)
    assert str(raised.value).startswith("file") and message in str(raised.value)


def test_copies_need_a_council():
    with pytest.raises(SettingsError) as raised:
        settings(council=None)
    assert "copies need `fleet` and `council`" in str(raised.value)
