"""What the coming size costs: measurements, what they grow with, and how far that may be drawn out.  Pure.

A raw file has one JSON object on each line, one measurement; several files are read together.  A figure comes
to a page by `fit` and `at` only, so that none stands there without the run that gave it.

    {"row": "members.calm.sent_bytes_s", "n": 230, "seed": 1, "value": 572.3, "unit": "B/s", "role": "edge",
     "scene": "calm", "at_commit": "939b27a", "command": "python benchmarks/capacity.py --only members.calm",
     "seconds": 41.2}

Two more are optional: `of`, what `n` counts (dispatchers, servers, connections, requests a second), and
`servers`, the second size of a row that grows with both.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Annotated, NamedTuple

import msgspec

from cressrock.errors.lab import MalformedMeasurementError, MissingMeasurementError

SIZES = {"dispatchers": 4806, "servers": 10_000, "connections": 2700, "requests a second": 1770}
"""The coming size of each thing that `n` may count: 4,800 dispatchers and the six machines set aside."""

# Inside a process: a volume for each connection; a second's requests waiting; all servers of a lost zone with
# a request each; a set of copies decided for each server's shard; a minute's clients' keys; all edges at six
# planners; a day's changes of configuration.
SIZES |= {"volumes": 2700, "waiting requests": 1770, "waiting servers": 1667, "decrees": 10_000}
SIZES |= {"keys": 106_200, "edges of a planner": 800, "log entries": 9100}

FLAT = 0.15
"""A growing law has to leave less than a constant does, beyond this: noise of a few seeds is no growth."""

_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=400)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Value = Annotated[float, msgspec.Meta(ge=0)]


class Measurement(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, forbid_unknown_fields=True):
    """One run's one figure: `value` in `unit`, at size `n` of what `of` names, `seconds` the run took."""

    row: Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9_]+(\.[a-z0-9_]+)+\Z", max_length=120)]
    n: Annotated[int, msgspec.Meta(ge=1, le=2**53)]
    seed: _Count
    value: _Value
    unit: _Text
    role: _Text
    scene: _Text
    at_commit: _Text
    command: _Text
    seconds: _Value
    of: str = "dispatchers"
    servers: _Count = 0


class Point(NamedTuple):
    """One measured value at a size; `servers` is 0 where a row has one size only."""

    n: float
    value: float
    servers: float = 0.0


class Law(NamedTuple):
    """Something that a figure may grow with: its name and its term."""

    name: str
    plain: int  # simpler ones have the smaller number

    def term(self, n: float, servers: float) -> float:
        """Return the term that is multiplied by the coefficient."""
        match self.name:
            case "log n":
                return math.log2(n)
            case "n":
                return n
            case "n squared":
                return n * n
            case "servers x dispatchers":
                return servers * n
        return 0.0


CONSTANT = Law("constant", 0)
LAWS = (Law("log n", 1), Law("n", 2), Law("n squared", 3))
PRODUCT = Law("servers x dispatchers", 4)


@dataclass(frozen=True, slots=True)
class Fit:
    """value = base + coefficient * term; `residual` is the root mean square of relative errors."""

    law: Law
    base: float
    coefficient: float
    residual: float
    low: float  # the smallest and the largest size measured
    high: float
    sizes: int
    points: int


@dataclass(frozen=True, slots=True)
class Estimate:
    """A figure at a size, and from where to where it was drawn out to get there."""

    value: float
    n: float
    low: float
    high: float

    @property
    def measured(self) -> bool:
        """Whether the size lies in the range that was measured (to one part in a hundred)."""
        return self.low * 0.99 <= self.n <= self.high * 1.01

    def where(self) -> str:
        """Return how the figure was come by, in words."""
        if self.measured:
            return f"measured up to {self.high:,.0f}"
        return f"extrapolated from {self.low:,.0f} to {self.high:,.0f} up to {self.n:,.0f}"


def line(measurement: Measurement) -> str:
    """Return a raw file's line, without its end."""
    return msgspec.json.encode(measurement).decode()


def read(lines: Iterable[str], place: str = "raw file") -> list[Measurement]:
    """Return the measurements of a raw file's lines; empty lines are passed over.

    Raises CapacityMalformed, which names `place` and the line, where a line is no measurement, or where a row
    changes its unit, its role or what it counts: a sum over such a row would mean nothing.
    """
    found: list[Measurement] = []
    first: dict[str, tuple[int, tuple[str, str, str, str]]] = {}
    for number, text in enumerate(lines, 1):
        if not text.strip():
            continue
        try:
            one = _decode(text)
        except (msgspec.DecodeError, RecursionError, UnicodeError) as wrong:
            raise MalformedMeasurementError(f"{place}, line {number}: {str(wrong)[:200]}") from None
        if one.of not in SIZES:
            raise MalformedMeasurementError(
                f"{place}, line {number}: of is {one.of[:40]!r}, not one of {[*SIZES]}"
            )
        kind = (one.unit, one.role, one.scene, one.of)
        at, before = first.setdefault(one.row, (number, kind))
        if before != kind:
            raise MalformedMeasurementError(
                f"{place}, line {number}: {one.row} is {kind}, but {before} on line {at}: one meaning each"
            )
        found.append(one)
    return found


_decode = msgspec.json.Decoder(Measurement).decode


def rows(measurements: Iterable[Measurement]) -> Mapping[str, list[Measurement]]:
    """Return the measurements of each row, rows by name; of one size and seed the last run counts."""
    newest: dict[str, dict[tuple[int, int, int], Measurement]] = {}
    for one in measurements:
        held = newest.setdefault(one.row, {})
        key = (one.n, one.servers, one.seed)
        held.pop(key, None)
        held[key] = one
    return {
        row: sorted(newest[row].values(), key=lambda one: (one.n, one.servers, one.seed))
        for row in sorted(newest)
    }


def points(measurements: Iterable[Measurement]) -> list[Point]:
    """Return one row's points."""
    return [Point(one.n, one.value, one.servers) for one in measurements]


def noise(given: Iterable[Point]) -> float:
    """Return what a constant may leave where nothing grows: by how much runs of one size differ, and 3 %."""
    by_size: dict[tuple[float, float], list[float]] = {}
    for point in given:
        by_size.setdefault((point.n, point.servers), []).append(point.value)
    parts = [
        statistics.pstdev(values) / abs(statistics.fmean(values))
        for values in by_size.values()
        if len(values) > 1 and any(values)
    ]
    return 1.5 * math.sqrt(statistics.fmean(part * part for part in parts)) + 0.03 if parts else 0.03


def fit(given: Iterable[Point], flat: float = FLAT) -> Fit:
    """Return the law that fits best: the simplest whose errors are nearly as small as the smallest.

    Errors are relative ones, so that the small sizes weigh as the large.  A law needs three sizes, n squared
    four; with fewer the figure is taken as constant and the residual says what that leaves.  A figure that
    falls as the size grows is drawn out as a constant too, by its largest size.  A constant that leaves no
    more than `flat` is one.  Raises CapacityUnfit without a point.
    """
    held = sorted(given)
    if not held:
        raise MissingMeasurementError("no point to fit: the row was not measured")
    sizes = sorted({(point.n, point.servers) for point in held})
    constant = _constant(held, sizes)
    if len(sizes) < 3:
        return constant
    laws = [law for law in LAWS if len(sizes) > 3 or law.name != "n squared"]
    if len({servers for _, servers in sizes}) > 1:
        laws.append(PRODUCT)
    tried = [found for law in laws if (found := _line(held, sizes, law)) is not None]
    if not tried:
        return constant
    least = min(found.residual for found in tried)
    if constant.residual <= max(flat, least * 1.1):
        return constant
    return next(found for found in tried if found.residual <= least * 1.1 + 0.01)


def _constant(held: list[Point], sizes: list[tuple[float, float]]) -> Fit:
    mean = statistics.fmean(point.value for point in held)
    largest = statistics.fmean(point.value for point in held if point.n == sizes[-1][0])
    base = largest if largest < mean * (1 - FLAT) else mean
    return _made(CONSTANT, base, 0.0, held, sizes)


def _line(held: list[Point], sizes: list[tuple[float, float]], law: Law) -> Fit | None:
    """Fit base and coefficient by least squares of relative errors; None where it would fall."""
    scale = max(point.value for point in held)
    if scale <= 0:
        return None
    # A zero cannot be off by a part of itself: it counts as a hundredth of the greatest value.
    weights = [1 / max(point.value, scale / 100) ** 2 for point in held]
    terms = [law.term(point.n, point.servers) for point in held]
    total = sum(weights)
    x = sum(w * t for w, t in zip(weights, terms, strict=True)) / total
    y = sum(w * point.value for w, point in zip(weights, held, strict=True)) / total
    square = sum(w * (t - x) ** 2 for w, t in zip(weights, terms, strict=True))
    if square <= 0:
        return None
    cross = sum(w * (t - x) * (point.value - y) for w, t, point in zip(weights, terms, held, strict=True))
    coefficient = cross / square
    if coefficient <= 0:
        return None
    return _made(law, y - coefficient * x, coefficient, held, sizes)


def _made(
    law: Law, base: float, coefficient: float, held: list[Point], sizes: list[tuple[float, float]]
) -> Fit:
    scale = max(max(point.value for point in held) / 100, 1e-12)
    errors = [
        (base + coefficient * law.term(point.n, point.servers) - point.value) / max(point.value, scale)
        for point in held
    ]
    residual = math.sqrt(statistics.fmean(error * error for error in errors))
    return Fit(law, base, coefficient, residual, sizes[0][0], sizes[-1][0], len(sizes), len(held))


def at(found: Fit, n: float, servers: float = 0.0) -> Estimate:
    """Return the figure at a size, never below 0, with the range that it rests on."""
    value = found.base + found.coefficient * found.law.term(n, servers)
    return Estimate(max(value, 0.0), n, found.low, found.high)


def at_size(measured: list[Measurement]) -> Estimate:
    """Return one row's figure at the coming size: the seeds' mean where that was run, else drawn out.

    `measured` holds one row, as `rows` gives it.  Raises CapacityUnfit where it is empty.
    """
    if not measured:
        raise MissingMeasurementError("no measurement of this row")
    n = SIZES[measured[0].of]
    there = [one.value for one in measured if abs(one.n - n) <= n / 100]
    low, high = min(one.n for one in measured), max(one.n for one in measured)
    if there:
        return Estimate(statistics.fmean(there), n, low, high)
    return at(slope(measured), n, SIZES["servers"])


def slope(measured: Iterable[Measurement]) -> Fit:
    """Return one row's law, by which it is drawn out: what exceeds the noise of its runs is growth."""
    given = points(measured)
    return fit(given, noise(given))


def tables(measurements: Iterable[Measurement]) -> str:
    """Return each row's measurements and its slope, as `benchmarks/results/capacity.md` holds them."""
    held = rows(measurements)
    said = [
        "| row | unit | of | sizes: mean over seeds (least to most) | seeds | grows with | off by |"
        " at the coming size | how |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row, measured in held.items():
        found, there = slope(measured), at_size(measured)
        cells = []
        for size in sorted({(one.n, one.servers) for one in measured}):
            values = [one.value for one in measured if (one.n, one.servers) == size]
            name = f"{size[0]:,}" + (f" x {size[1]:,}" if size[1] else "")
            spread = f" ({number(min(values))} to {number(max(values))})" if len(values) > 1 else ""
            cells.append(f"{name}: {number(statistics.fmean(values))}{spread}")
        seeds = len({one.seed for one in measured})
        said.append(
            f"| `{row}` | {measured[0].unit} | {measured[0].of} | {'; '.join(cells)} | {seeds} |"
            f" {law(found)} | {found.residual:.0%} | {number(there.value)} | {there.where()} |"
        )
    return "\n".join(said) + "\n"


def law(found: Fit) -> str:
    """Return a fit in words: its law, and what a reader needs to redo the sum."""
    if found.law is CONSTANT:
        return "constant" if found.sizes > 2 else f"{found.sizes} size{'s' * (found.sizes > 1)}: no law"
    term = {"log n": "log2 n", "n squared": "n^2"}.get(found.law.name, found.law.name)
    base = f"{number(found.base)} + " if abs(found.base) > 1e-12 else ""
    return f"{found.law.name}: {base}{number(found.coefficient)} x {term}"


def number(value: float) -> str:
    """Return a figure with three digits that count, or all of a greater one."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    if abs(value) < 0.001:
        return f"{value:.2e}"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    text = f"{value:.{digits}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text
