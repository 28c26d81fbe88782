"""docs/CAPACITY.md: every figure between its markers comes from the raw files."""

import re
from pathlib import Path

import pytest

from cressrock.errors.lab import MissingMeasurementError
from cressrock.lab import capacity, capacity_page
from cressrock.lab.capacity import Measurement
from cressrock.lab.localcost_rows import VERDICTS

ROOT = Path(__file__).parent.parent
RESULTS = ROOT / "benchmarks" / "results"
REMEDY = "the page is not what the raw files give: python benchmarks/capacity.py --page"


def raw():
    found = []
    for path in sorted(RESULTS.glob("capacity*.jsonl")):
        found += capacity.read(path.read_text().splitlines(), path.name)
    return found


def row(name, values, unit="B/s", seed=1):
    return [
        Measurement(
            row=name,
            n=n,
            seed=seed,
            value=value,
            unit=unit,
            role="edge",
            scene="calm",
            at_commit="abc",
            command="python benchmarks/capacity.py --only members.calm",
            seconds=1.0,
        )
        for n, value in values.items()
    ]


SLOPE = {64: 64.0, 230: 230.0, 512: 512.0, 1024: 1024.0}


def test_the_committed_pages_are_what_the_raw_files_give():
    held = raw()
    text = (ROOT / "docs" / "CAPACITY.md").read_text()
    assert capacity_page.page(held, text) == text, REMEDY
    assert capacity_page.results(held) == (RESULTS / "capacity.md").read_text(), REMEDY


def test_a_figure_that_is_changed_by_hand_is_found():
    held = raw()
    text = (ROOT / "docs" / "CAPACITY.md").read_text()
    begun = text.index("<!-- figures: between processes -->")
    digit = re.compile(r"[0-9]").search(text, text.index("B/s", begun) - 6)
    other = text[: digit.start()] + str((int(digit[0]) + 1) % 10) + text[digit.end() :]
    assert other != text and capacity_page.page(held, other) == text


def test_the_page_has_a_marker_for_each_table():
    text = (ROOT / "docs" / "CAPACITY.md").read_text()
    names = re.findall(r"<!-- figures: ([a-z ]+) -->", text)
    assert names == [
        "targets",
        "between processes",
        "bounds",
        "agreement",
        "inside one process",
        "slopes",
    ]
    assert text.count(capacity_page.END) == len(names)
    assert text.index("figures: targets") < text.index("## ")


def test_no_figure_without_its_run():
    rows = capacity.rows(row("a.sent", SLOPE))
    assert capacity_page.filled("{a.sent@512} B/s", rows) == "512 B/s"
    for text in ("{b.sent} B/s", "{a.sent} and {b.sent}", "{a.sent+b.sent}", "{a.sent@2048}"):
        assert capacity_page.filled(text, rows) == capacity_page.MISSING
    empty = capacity_page.between({}) + capacity_page.targets({})
    assert not re.search(r"\{|\}", empty)
    assert empty.count(capacity_page.MISSING) > len(capacity_page.LINES)


def test_what_was_drawn_out_is_marked_and_the_slopes_say_from_where():
    rows = capacity.rows(row("members.calm.sent_bytes_s", SLOPE))
    assert capacity_page.filled("{members.calm.sent_bytes_s} B/s", rows) == "~4,806 B/s"
    lines = capacity_page.slopes(rows).splitlines()
    (told,) = [line for line in lines if "members.calm.sent_bytes_s" in line]
    assert "extrapolated from 64 to 1,024 up to 4,806" in told and "| n: " in told
    assert "`capacity.py --only members.calm`" in told
    there = capacity.rows(row("members.calm.sent_bytes_s", SLOPE | {4806: 700.0}))
    assert capacity_page.filled("{members.calm.sent_bytes_s} B/s", there) == "700 B/s"


def test_sums_and_multiples_are_of_figures():
    rows = capacity.rows(row("a.one", {4806: 3.0}) + row("a.two", {4806: 4.5}))
    assert capacity_page.filled("{a.one+a.two} and {a.one*0.4}", rows) == "7.5 and 1.2"


def test_of_processor_times_the_least_counts():
    given = row("turn.x", {4806: 9.0}, "ms") + row("turn.x", {4806: 5.0}, "ms", seed=2)
    given += row("members.calm.cpu", {4806: 2.0}, "%") + row("members.calm.cpu", {4806: 3.0}, "%", seed=2)
    given += row("a.sent", {4806: 1.0}) + row("a.sent", {4806: 3.0}, seed=2)
    rows = capacity.rows(capacity_page._all_least(given))
    assert capacity_page.filled("{turn.x} {members.calm.cpu} {a.sent}", rows) == "5 2 2"


def test_each_line_ends_in_one_of_three_verdicts():
    for line in capacity_page.LINES:
        assert line.verdict.startswith(VERDICTS), line
    unmeasured = [line for line in capacity_page.between({}).splitlines() if "collectors of" in line]
    assert unmeasured[0].endswith(f"| {capacity_page.MISSING} |")


def test_a_bound_under_the_size_is_called_one():
    said = capacity_page.bounds({})
    for bound in capacity_page.BOUNDS:
        (line,) = [line for line in said.splitlines() if bound.name in line]
        assert line.endswith("that must be raised |") == (bound.stands <= bound.size)
    under = [bound.name for bound in capacity_page.BOUNDS if bound.stands <= bound.size]
    assert under == ["the council's `Limits.max_topics`"]
    rows = capacity.rows(row("memory.members", {4806: 4.806}, "MB"))
    assert "| 8.19 MB | carried |" in capacity_page.bounds(rows)


def test_the_agreement_says_least_and_most_of_the_seeds():
    given = row("agree.calm.cpu", {230: 0.98}, "real / hollow")
    given += row("agree.calm.cpu", {230: 1.14}, "real / hollow", seed=2)
    given += row("agree.calm.sent_bytes_s", {230: 1.0}, "real / hollow")
    said = capacity_page.agreement(capacity.rows(given))
    assert "| calm | 230 | 1.00 |  |  |  | 0.98 to 1.14 |" in said


def test_a_marker_that_is_not_known_is_an_error():
    with pytest.raises(MissingMeasurementError, match="moon"):
        capacity_page.page([], "<!-- figures: moon -->\n<!-- end of figures -->")
