"""Raw files of capacity, the laws that fit them, and how far they are drawn out."""

import json
import math
import random

import pytest

from cressrock.errors.lab import MalformedMeasurementError, MissingMeasurementError
from cressrock.lab import capacity
from cressrock.lab.capacity import Measurement, Point

SIZES = (64, 230, 512, 1024)


def one(**over):
    given = {
        "row": "members.calm.sent_bytes_s",
        "n": 230,
        "seed": 1,
        "value": 572.3,
        "unit": "B/s",
        "role": "edge",
        "scene": "calm",
        "at_commit": "939b27a",
        "command": "python benchmarks/capacity.py --only members.calm",
        "seconds": 41.2,
    }
    return given | over


def noisy(make, part=0.03, seeds=3):
    draw = random.Random(1)
    return [Point(n, make(n) * (1 + part * (2 * draw.random() - 1))) for n in SIZES for _ in range(seeds)]


def test_a_line_is_read_as_it_was_written():
    measurement = Measurement(**one(), of="servers", servers=40)
    assert capacity.read([capacity.line(measurement), "", "  \n"]) == [measurement]
    assert capacity.read([json.dumps(one())])[0].of == "dispatchers"


@pytest.mark.parametrize(
    ("line", "told"),
    [
        ("{", "truncated"),
        ("[]", "object"),
        (json.dumps(one(n=0)), "$.n"),
        (json.dumps(one(value=-1)), "$.value"),
        (json.dumps(one(value=float("nan"))), "malformed"),
        (json.dumps(one(row="calm")), "$.row"),
        (json.dumps(one(sede=1)), "sede"),
        (json.dumps(one(of="moons")), "moons"),
        (json.dumps({"row": "a.b"}), "required"),
    ],
)
def test_a_bad_line_is_named_with_file_and_number(line, told):
    with pytest.raises(MalformedMeasurementError) as wrong:
        capacity.read([json.dumps(one()), line], "capacity.jsonl")
    assert "capacity.jsonl, line 2" in str(wrong.value)
    assert told in str(wrong.value)


@pytest.mark.parametrize(
    "over", [{"unit": "KB/s"}, {"role": "planner"}, {"scene": "zone"}, {"of": "servers"}]
)
def test_a_row_that_changes_its_meaning_is_refused(over):
    with pytest.raises(MalformedMeasurementError, match="line 3.*line 1"):
        capacity.read([json.dumps(one()), json.dumps(one(seed=2)), json.dumps(one(seed=3, **over))])


def test_the_last_run_of_a_size_and_seed_counts():
    held = capacity.rows([Measurement(**one()), Measurement(**one(seed=2)), Measurement(**one(value=600.0))])
    assert [(m.seed, m.value) for m in held["members.calm.sent_bytes_s"]] == [(1, 600.0), (2, 572.3)]


@pytest.mark.parametrize(
    ("name", "make"),
    [
        ("constant", lambda n: 580.0),
        ("log n", lambda n: 100 + 40 * math.log2(n)),
        ("log n", lambda n: 12 * math.log2(n)),
        ("n", lambda n: 30 + 0.5 * n),
        ("n", lambda n: 16.0 * n),
        ("n squared", lambda n: 5 + 0.002 * n * n),
    ],
)
def test_the_law_is_found_in_noise(name, make):
    found = capacity.fit(noisy(make))
    assert found.law.name == name
    assert found.residual < 0.05
    assert capacity.at(found, 4800).value == pytest.approx(make(4800), rel=0.1)


def test_servers_times_dispatchers_is_told_from_either_alone():
    given = [Point(n, 3 + 0.01 * n * s, s) for n in (4, 16, 64) for s in (10, 100, 1000)]
    found = capacity.fit(given)
    assert found.law.name == "servers x dispatchers"
    assert capacity.at(found, 4800, 10_000).value == pytest.approx(3 + 0.01 * 4800 * 10_000, rel=0.01)


def test_noise_alone_is_no_growth_and_a_doubling_is_one():
    assert capacity.fit(noisy(lambda n: 580, part=0.2)).law.name == "constant"
    assert capacity.fit(noisy(lambda n: 580 * (1 + (n - 64) / 960))).law.name == "n"


def test_slow_growth_over_a_short_range_is_growth_where_the_runs_of_a_size_agree():
    given = [Point(n, 100 * math.log2(n) * part) for n in (32, 64, 128) for part in (0.98, 1.0, 1.02)]
    assert capacity.fit(given).law.name == "constant"  # within 15 %
    assert capacity.fit(given, capacity.noise(given)).law.name == "log n"
    flat = [Point(n, 500 + 2 * n + add) for n in (32, 64, 128) for add in (-9, 0, 9)]
    assert capacity.fit(flat).law.name == "constant"
    assert capacity.fit(flat, capacity.noise(flat)).law.name != "constant"
    spread = [Point(n, 500 + add) for n in (32, 64, 128) for add in (-90, 0, 90)]
    assert capacity.fit(spread, capacity.noise(spread)).law.name == "constant"
    assert capacity.noise([Point(10, 5.0), Point(20, 9.0)]) == 0.03


def test_three_sizes_are_too_few_for_n_squared():
    given = [Point(n, 5 + 0.01 * n * n) for n in (64, 128, 256)]
    assert capacity.fit(given).law.name == "n"
    assert capacity.fit([*given, Point(512, 5 + 0.01 * 512**2)]).law.name == "n squared"


def test_a_figure_that_falls_is_drawn_out_by_its_largest_size():
    found = capacity.fit([Point(n, 1000 / n) for n in SIZES])
    assert found.law.name == "constant"
    assert capacity.at(found, 4800).value == pytest.approx(1000 / 1024)


def test_two_sizes_make_no_law_and_none_no_figure():
    found = capacity.fit([Point(10, 1.0), Point(100, 10.0)])
    assert found.law.name == "constant"
    assert found.residual > 1
    assert "no law" in capacity.law(found)
    with pytest.raises(MissingMeasurementError):
        capacity.fit([])
    with pytest.raises(MissingMeasurementError):
        capacity.at_size([])


def test_all_zeros_are_a_constant():
    found = capacity.fit([Point(n, 0.0) for n in SIZES])
    assert (found.law.name, capacity.at(found, 4800).value, found.residual) == ("constant", 0.0, 0.0)


def test_an_estimate_says_from_where_to_where():
    found = capacity.fit(noisy(lambda n: 16.0 * n))
    assert capacity.at(found, 4800).where() == "extrapolated from 64 to 1,024 up to 4,800"
    assert capacity.at(found, 1000).measured
    assert capacity.at(found, 32).measured is False


def test_at_the_size_itself_the_run_counts_and_not_the_law():
    values = {64: 64.0, 230: 230.0, 512: 512.0, 4800: 9.0}
    held = [Measurement(**one(n=n, value=value)) for n, value in values.items()]
    there = capacity.at_size(held)
    assert (there.value, there.measured) == (9.0, True)
    assert capacity.at_size(held[:3]).value == pytest.approx(4806, rel=0.01)
    assert "extrapolated from 64 to 512" in capacity.at_size(held[:3]).where()


def test_each_row_has_its_line_with_sizes_seeds_law_and_figure():
    held = [Measurement(**one(n=n, seed=s, value=2.0 * n)) for n in SIZES for s in (1, 2, 3)]
    (said,) = [text for text in capacity.tables(held).splitlines() if "members.calm" in text]
    assert "1,024: 2,048 (2,048 to 2,048)" in said
    assert "| 3 | n: " in said
    assert "| 9,612 | extrapolated from 64 to 1,024 up to 4,806 |" in said


@pytest.mark.parametrize(
    ("value", "told"),
    [(0, "0"), (0.00001234, "1.23e-05"), (0.01234, "0.0123"), (5.0, "5"), (57.23, "57.2"), (5723.4, "5,723")],
)
def test_figures_keep_three_digits(value, told):
    assert capacity.number(value) == told
