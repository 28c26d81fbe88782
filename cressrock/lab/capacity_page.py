"""docs/CAPACITY.md's tables from raw measurements, and the page of results.  Pure.

Cells are texts with rows' names in braces.  `{row}` becomes the figure at the coming size, `{row@n}` the mean
of the runs at a size, `{row*k}` the figure times k, `{one+other}` a sum.  A figure that was drawn out has a ~
before it; the table of slopes says from where to where.  A cell that names a row without a run becomes *not
measured*, whole: so there is no figure on the page without its run.
"""

from __future__ import annotations

import re
import statistics
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from cressrock.consensus.decisions import MAX_TOPICS, DecisionLimits
from cressrock.errors.lab import MissingMeasurementError
from cressrock.gossip.settings import GossipStoreSettings
from cressrock.lab import capacity, localcost_rows
from cressrock.lab.capacity import Measurement
from cressrock.lab.localcost_rows import BOUND, CARRIED, NOT
from cressrock.membership.settings import MembershipSettings
from cressrock.platform.server_list import MOST_TOLD
from cressrock.rollout.evidence import MAX_ORIGINS

MISSING = "*not measured*"
BEGIN, END = "<!-- figures: {} -->", "<!-- end of figures -->"

_PART = r"[a-z0-9_]+(?:\.[a-z0-9_]+)+(?:@[0-9]+)?(?:\*[0-9.]+)?"
_NAMED = re.compile(r"\{(" + _PART + r"(?:\+" + _PART + r")*)\}")
_ONE = re.compile(r"([a-z0-9_.]+)(?:@([0-9]+))?(?:\*([0-9.]+))?\Z")
_BLOCK = re.compile(r"(<!-- figures: ([a-z ]+) -->\n).*?(<!-- end of figures -->)", re.S)

Rows = Mapping[str, Sequence[Measurement]]


class Target(NamedTuple):
    """A target, what is reached, what is missing, and when that should come."""

    target: str
    reached: str
    missing: str
    comes: str


class Line(NamedTuple):
    """What a role does between processes, and what that costs."""

    role: str
    thing: str
    state: str
    calm: str
    busiest: str
    lost: str
    cpu: str
    mechanism: str
    verdict: str


TARGETS = (
    Target(
        "4,800 dispatchers before 10,000 storage servers, 2 regions, 6 zones",
        "who is there: {members.calm.sent_bytes_s} B/s, {members.calm.messages_s} datagrams a second, "
        "{memory.members} MB; a death is known to all after {members.rack.gone_ms_last} ms",
        "a list of servers taken in parts (one turn is {serverlist.whole.turn_ms} ms)",
        "fourth",
    ),
    Target(
        "control at most 2 KB a second",
        "members {members.calm.sent_bytes_s} B/s; with a spread in which nothing is written "
        "{spread.quiet.sent_bytes_s}; with eight decrees renewed {spread.beats.sent_bytes_s}; evidence by "
        "collectors {collect.calm.sent_bytes_s}, as a zone is lost {collect.zone.sent_bytes_s} (by the "
        "spread "
        "{spread.evidence.sent_bytes_s@230} at 230, {spread.evidence.sent_bytes_s@1024} at 1,024)",
        "digests less often in calm; renewals that do not name every decree",
        "first now",
    ),
    Target(
        "control at most 4.3 % of a core",
        "members {members.calm.cpu} %, with a quiet spread {spread.quiet.cpu}; evidence by collectors "
        "{collect.zone.core*100} as a zone is lost (by the spread {spread.evidence.cpu@1024} at 1,024, and "
        "{turn.zones.edge*0.4} at the size for each edge's own look at everybody's words)",
        "nothing for evidence; decrees taken without a look at all that are held",
        "with the first",
    ),
    Target(
        "control at most 64 MB",
        "{memory.members+memory.spread+memory.zones_evidence+memory.rollout_evidence} MB of state: members "
        "{memory.members}, spread {memory.spread}, words {memory.zones_evidence}, counts "
        "{memory.rollout_evidence}",
        "nothing",
        "",
    ),
    Target(
        "11 changes of primary a day, each over within 11 s",
        "from the decision to all {spread.primaries.decree_ms_p99} ms (p99), as a zone is lost",
        "the figure at the size itself; the election and the copies' part are not in it",
        "third",
    ),
    Target(
        "9,100 changes of configuration a day, in force everywhere within 15 s",
        "at 63 a minute {spread.changes.decree_ms_p99} ms (p99) at {spread.changes.sent_bytes_s} B/s; as a "
        "zone is lost with evidence by collectors {collect.zone.in_force_ms_p99} ms, the spread's part of it "
        "drawn from {collect.descent.way_ms_p99@1024} ms at 1,024 (with evidence in the spread "
        "{spread.evidence.decree_missing@512*100} % at 512 and "
        "{spread.evidence.decree_missing@1024*100} % at 1,024 had none in 2 to 4 s)",
        "in time, but at too high a rate: as in the row of 2 KB",
        "first now",
    ),
    Target(
        "an ordinary day: 57 machines fail, 2,500 restart",
        "at ten times the day's mean members take "
        "{members.day.sent_bytes_s*0.0347+members.calm.sent_bytes_s*0.9653} B/s; with all of it pressed into "
        "five minutes {members.day.sent_bytes_s}, {members.day.cpu} % of a core",
        "nothing for members: who is there has to reach all, so it grows with restarts a second",
        "",
    ),
    Target(
        "a rack, a zone, regions apart",
        "40 at once {members.rack.sent_bytes_s} B/s for 10 s; a sixth of 512 "
        "{members.zone.sent_bytes_s@512}; "
        "regions of 230 apart {members.regions.cut_sent_bytes_s@230}, as they meet "
        "{members.regions.healed_sent_bytes_s@230}",
        "a bound on what a loss tells at once (all know of 40 as early as of 800)",
        "second",
    ),
    Target(
        "13 million connections, 8.5 million requests a second: 2,700 and 1,770 a dispatcher",
        "{connections.platform.held_bytes} bytes for 2,700 connections; "
        "{request.steady.few.cpu_ms*1.77} to {request.steady.any.cpu_ms*1.77} cores for 1,770 requests",
        "several processes for one dispatcher",
        "fifth",
    ),
)

LINES = (
    Line(
        "edge",
        "members",
        "{memory.members} MB; {whole.members.whole} bytes at a join",
        "{members.calm.sent_bytes_s} B/s, {members.calm.messages_s}/s",
        "ten times the day's mean of restarts "
        "{members.day.sent_bytes_s*0.0347+members.calm.sent_bytes_s*0.9653} B/s; a day in five minutes "
        "{members.day.sent_bytes_s}; whole lists of {whole.members.whole} bytes, each at once, are in it",
        "rack {members.rack.sent_bytes_s} B/s, all know after {members.rack.gone_ms_last} ms; zone of 512 "
        "{members.zone.sent_bytes_s@512}, back {members.zone.back_sent_bytes_s@512}; regions of 230 apart "
        "{members.regions.cut_sent_bytes_s@230}, meeting {members.regions.healed_sent_bytes_s@230} for "
        "{members.regions.healed_one_view_ms@230} ms",
        "calm {members.calm.cpu}, zone of 512 {members.zone.cpu@512} % of a core; a view "
        "{turn.members.view} ms",
        "SWIM with Lifeguard, `fleet/members`; `max_members` 8,192",
        CARRIED,
    ),
    Line(
        "edge",
        "spread, nothing written",
        "{memory.spread} MB with a word of each; {whole.spread.whole} bytes at a join",
        "{spread.quiet.digest_bytes_s} B/s of digests",
        "as in calm",
        "an admit of {turn.spread.admit} ms a round while lives change",
        "{spread.quiet.cpu} % of a core, members with it",
        "a digest each 200 ms, `fleet/rounds`; `max_origins` 8,192",
        f"{NOT}: five digests a second are over the target; one a second is under it",
    ),
    Line(
        "edge",
        "evidence of zones",
        "{memory.zones_evidence} MB",
        "a word each 10 s: " + MISSING,
        "0.18 words a second of each: 230 edges {spread.evidence.sent_bytes_s@230} B/s, a reader behind by "
        "{spread.evidence.lag_rounds_median@230} rounds (median), "
        "{spread.evidence.lag_rounds_p99@230} (p99); "
        "512: {spread.evidence.sent_bytes_s@512}, {spread.evidence.lag_rounds_median@512}, "
        "{spread.evidence.lag_rounds_p99@512}; 1,024: {spread.evidence.sent_bytes_s@1024}, "
        "{spread.evidence.lag_rounds_median@1024}, {spread.evidence.lag_rounds_p99@1024}. "
        "Datagrams bound the bytes, so more edges are more rounds",
        "as in the busiest minute",
        "{spread.evidence.cpu@230} % of a core at 230, {spread.evidence.cpu@1024} at 1,024; at the size "
        "{turn.zones.edge*0.4} for its own look each 250 ms",
        "of few the `spread`, from everybody to everybody, `zones.tells` 40 a second; of more than about "
        "thirty `collect`, below",
        f"{CARRIED} by collectors; by the spread {NOT} at the size",
    ),
    Line(
        "edge",
        "evidence of rollouts",
        "{memory.rollout_evidence} MB",
        "none",
        MISSING + " (a count each 2 s is 2.8 times the words beside)",
        "as in the busiest minute",
        MISSING,
        "of few the `spread`, of more `collect`; `MAX_ORIGINS` 16,384 lives",
        f"{CARRIED} by collectors as far as words are; its own bytes on the wire: " + MISSING,
    ),
    Line(
        "edge",
        "decrees",
        "in the table below",
        "eight renewed {spread.beats.sent_bytes_s} B/s",
        "63 a minute, 96 renewed: {spread.changes.sent_bytes_s} B/s, in force after "
        "{spread.changes.decree_ms_median} ms, {spread.changes.decree_ms_p99} (p99)",
        "11 as a zone is lost: {spread.primaries.decree_ms_p99} ms (p99), {spread.primaries.decree_missing} "
        "of pairs missing",
        "at 230 {spread.beats.cpu@230}, {spread.changes.cpu@230} % of a core",
        "`council/news` in the spread; a beat each 500 ms names all numbers; `Taker` 16,384 topics",
        f"{NOT}: in time, but a beat as an entry is told as often as a word",
    ),
    Line(
        "planner",
        "members, spread, decrees",
        "as an edge",
        "as an edge",
        "as an edge",
        "as an edge",
        "as an edge",
        "as an edge; its grants are in the table below",
        NOT,
    ),
    Line(
        "council seat",
        "verdict about zones",
        "{memory.zones_evidence} MB",
        "none",
        "none",
        "one decree",
        "over collectors' sums {collect.zone.verdict_core*100} % of a core; over everybody's words "
        "{turn.zones.leader} ms each 250 ms: {turn.zones.leader*0.4} %",
        "`failover/evaluation`, a view of reports or of summaries",
        f"{CARRIED} over sums; over everybody's words the loop stands still meanwhile",
    ),
    Line(
        "set aside for control",
        "collectors of evidence",
        "{collect.memory.collector_bytes*0.000001} MB",
        "an edge {collect.calm.sent_bytes_s} B/s; a collector hears "
        "{collect.calm.collector_received_bytes_s}",
        MISSING,
        "zone: an edge {collect.zone.sent_bytes_s} B/s, at the verdict after "
        "{collect.zone.at_verdict_ms_p99} ms, in force after {collect.zone.in_force_ms_p99} ms (p99)",
        "a zone {collect.zone.zone_core*100} % of a core",
        "`collect`: newest words of a zone, one summary upwards",
        f"{CARRIED}: under half a core a zone",
    ),
)


class Bound(NamedTuple):
    """A bound as it stands in the code, what it holds at the size, and what a full one takes."""

    name: str
    stands: int
    size: int
    memory: str  # a row: megabytes at the size


SERVERS = capacity.SIZES["servers"]
ALL = capacity.SIZES["dispatchers"]

BOUNDS = (
    Bound("`MembersSettings.max_members`", MembershipSettings().max_members, ALL, "memory.members"),
    Bound("`SpreadSettings.max_origins`", GossipStoreSettings().max_origins, ALL, "memory.spread"),
    Bound(
        "zones' evidence, as the spread's", GossipStoreSettings().max_origins, ALL, "memory.zones_evidence"
    ),
    Bound("`rollout.evidence.MAX_ORIGINS`: lives", MAX_ORIGINS, 3 * ALL, "memory.rollout_evidence"),
    Bound("`Taker.most`, `Reader`, `Kept`: topics", MAX_TOPICS, SERVERS, "decrees.reader.held_bytes"),
    Bound("`serverlist.MOST_TOLD`, `max_nodes`", MOST_TOLD, SERVERS, "serverlist.held_bytes"),
    Bound(
        "the council's `Limits.max_topics`", DecisionLimits().max_topics, SERVERS, "decrees.seat.held_bytes"
    ),
)


def results(measurements: Sequence[Measurement]) -> str:
    """Return `benchmarks/results/capacity.md`."""
    return (
        "# Capacity\n\n"
        "Written by `python benchmarks/capacity.py --page` from all `capacity*.jsonl` here: of each row\n"
        "what was measured (of one size and seed the last run), what it grows with, and the figure at the\n"
        "coming size. `cpu` is the processor time of a whole simulation over processes and simulated\n"
        "seconds, sockets and tasks not in it, on a machine that ran other work: of several runs the least\n"
        "counts. `agree` is unshared state machines over hollow ones. How it is fitted:\n"
        "`cressrock/lab/capacity.py`.\n\n"
    ) + capacity.tables(_all_least(measurements))


def page(measurements: Sequence[Measurement], text: str) -> str:
    """Return the page `text` with the tables between its markers made anew.

    Raises CapacityUnfit where a marker names a table that is not known.
    """
    held = _all_least(measurements)
    rows = capacity.rows(held)
    made = {
        "targets": lambda: targets(rows),
        "between processes": lambda: between(rows),
        "inside one process": lambda: localcost_rows.table(held),
        "agreement": lambda: agreement(rows),
        "bounds": lambda: bounds(rows),
        "slopes": lambda: slopes(rows),
    }

    def one(found: re.Match[str]) -> str:
        if found[2] not in made:
            raise MissingMeasurementError(f"the page has a marker for {found[2]!r}; known are {sorted(made)}")
        return found[1] + made[found[2]]() + found[3]

    return _BLOCK.sub(one, text)


def targets(rows: Rows) -> str:
    """Return the table that stands first."""
    said = ["| target | reached | missing | comes |", "| --- | --- | --- | --- |"]
    said += [
        f"| {one.target} | {filled(one.reached, rows)} | {filled(one.missing, rows)} | {one.comes} |"
        for one in TARGETS
    ]
    return "\n".join(said) + "\n"


def between(rows: Rows) -> str:
    """Return the table of what roles do between processes; figures of each process."""
    said = [
        "| role: thing | state | calm | busiest minute | rack, zone, region lost | processor | carried by |"
        " verdict |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for one in LINES:
        cells = (filled(cell, rows) for cell in (one.state, one.calm, one.busiest, one.lost, one.cpu))
        told = " | ".join(cells)
        verdict = one.verdict if set(told.split(" | ")) != {MISSING} else MISSING
        said.append(f"| {one.role}: {one.thing} | {told} | {one.mechanism} | {verdict} |")
    return "\n".join(said) + "\n"


AGREE = ("sent_bytes_s", "messages_s", "lag_rounds_p99", "decree_ms_p99", "cpu")


def agreement(rows: Rows) -> str:
    """Return unshared state machines over hollow ones, by scene and size: least and most of the seeds."""
    said = [
        "| real over hollow | processes | bytes | messages | lag, p99 | decree, p99 | processor time |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    scenes = sorted({row.split(".")[1] for row in rows if row.startswith("agree.")})
    for scene in scenes:
        mine = {name: rows.get(f"agree.{scene}.{name}", ()) for name in AGREE}
        for n in sorted({one.n for measured in mine.values() for one in measured}):
            cells = []
            for name in AGREE:
                values = [one.value for one in mine[name] if one.n == n]
                low, high = min(values, default=0.0), max(values, default=0.0)
                ends = sorted({f"{low:.2f}", f"{high:.2f}"})
                cells.append(" to ".join(ends) if values else "")
            said.append(f"| {scene} | {n:,} | {' | '.join(cells)} |")
    return "\n".join(said) + "\n"


def bounds(rows: Rows) -> str:
    """Return the bounds as they stand in the code, beside what has to fit and what a full one takes."""
    said = ["| bound | stands at | needed | full, it takes | |", "| --- | --- | --- | --- | --- |"]
    for one in BOUNDS:
        measured = rows.get(one.memory)
        if measured:
            # The row is of `SIZES` many; three lives of each are three times as many.
            held = capacity.at_size(list(measured)).value / capacity.SIZES[measured[0].of] * one.stands
            taken = f"{capacity.number(held if measured[0].unit == 'MB' else held / 1e6)} MB"
        else:
            taken = MISSING
        verdict = CARRIED if one.stands > one.size else BOUND
        said.append(f"| {one.name} | {one.stands:,} | {one.size:,} | {taken} | {verdict} |")
    return "\n".join(said) + "\n"


def slopes(rows: Rows) -> str:
    """Return where each row of the page comes from: law, range, seeds, command."""
    said = ["| row | grows with | off by | how | seeds | command |", "| --- | --- | --- | --- | --- | --- |"]
    for row in named():
        measured = rows.get(row)
        if not measured:
            said.append(f"| `{row}` | {MISSING} | | | | |")
            continue
        found = capacity.slope(measured)
        seeds = len({one.seed for one in measured})
        where = capacity.at_size(list(measured)).where()
        command = measured[0].command.removeprefix("python benchmarks/")
        said.append(
            f"| `{row}` | {capacity.law(found)} | {found.residual:.0%} | {where} | {seeds} | `{command}` |"
        )
    return "\n".join(said) + "\n"


def named() -> list[str]:
    """Return the rows that the page's own tables name, sorted."""
    texts = [cell for one in TARGETS for cell in one] + [cell for one in LINES for cell in one]
    parts = [part for text in texts for found in _NAMED.finditer(text) for part in found[1].split("+")]
    return sorted({_row(part)[0] for part in parts})


def filled(text: str, rows: Rows) -> str:
    """Return a cell with its figures, or that it was not measured."""
    try:
        return _NAMED.sub(lambda found: _sum(found[1].split("+"), rows), text)
    except MissingMeasurementError:
        return MISSING


def _row(part: str) -> tuple[str, int | None, float]:
    found = _ONE.match(part)
    assert found is not None
    return found[1], int(found[2]) if found[2] else None, float(found[3] or 1)


def _sum(parts: Iterable[str], rows: Rows) -> str:
    total, drawn = 0.0, False
    for part in parts:
        row, size, times = _row(part)
        measured = list(rows.get(row, ()))
        if size is not None:
            there = [one.value for one in measured if one.n == size]
            if not there:
                raise MissingMeasurementError(f"no measurement of {row} at {size}")
            total += statistics.fmean(there) * times
        else:
            estimate = capacity.at_size(measured)
            total += estimate.value * times
            drawn = drawn or not estimate.measured
    return ("~" if drawn else "") + capacity.number(total)


def _all_least(measurements: Sequence[Measurement]) -> list[Measurement]:
    """Return all, of processor times of one size the least: what else a machine does only adds to them."""
    found: list[Measurement] = []
    for row, measured in capacity.rows(measurements).items():
        least_of = row.startswith("turn.") or row.endswith((".cpu", *localcost_rows.LEAST))
        if not least_of or row.startswith("agree."):
            found += measured
            continue
        least: dict[tuple[int, int], Measurement] = {}
        for one in measured:
            held = least.get((one.n, one.servers))
            if held is None or one.value < held.value:
                least[one.n, one.servers] = one
        found += least.values()
    return found
