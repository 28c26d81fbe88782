"""What `docs/CAPACITY.md` says of one process: role, mechanism, verdict and sentence, with figures filled in.

A sentence names raw rows in braces, `{serverlist.whole.bytes}`, and gets each one's figure at the coming size
(`capacity.at_size`), so that it cannot hold a figure without its run.  `{row@n}` is the mean of the runs at
a size n instead; `{row/n}` the figure for one of what is counted; `{row*k}` the figure times k.  Pure.
"""

from __future__ import annotations

import re
import statistics
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from cressrock.errors.lab import MissingMeasurementError
from cressrock.lab import capacity
from cressrock.lab.capacity import Measurement

CARRIED = "carried"
BOUND = "carried with a bound that must be raised"
NOT = "not carried"
VERDICTS = (CARRIED, BOUND, NOT)
# Ends of rows of which the least of a size's runs counts: processor time, to which a busy machine only adds,
# and what real processes send in calm, as some hold others unsure where they wait long for a core.
LEAST = (
    "cpu_ms",
    "cpu_us",
    "cpu_ms_s",
    "turn_ms",
    "real.members.sent_bytes_s",
    "real.members.sent_datagrams_s",
    "real.streams.bytes_s",
)

_NAMED = re.compile(r"\{([a-z0-9_.]+)(?:@([0-9]+)|(/n)|\*([0-9.]+))?\}")


class Line(NamedTuple):
    """One line of the page.  A thing may have a line for each role."""

    thing: str
    role: str
    mechanism: str
    verdict: str
    sentence: str


LINES = (
    Line(
        "server list, whole",
        "dispatcher",
        "`platform/serverlist`, ledger, `Scheduler._update_endpoints`; one answer, taken in whole",
        BOUND,
        "A whole list is {serverlist.whole.bytes} bytes and {serverlist.whole.cpu_ms} ms of "
        "processor time (JSON {serverlist.whole.json.cpu_ms}, `receive` "
        "{serverlist.whole.receive.cpu_ms}, ledger {serverlist.whole.ledger.cpu_ms}, module "
        "{serverlist.whole.act.cpu_ms}); the longest single turn of the loop is "
        "{serverlist.whole.turn_ms} ms, in which no client is answered. It grows with n. Held "
        "are {serverlist.held_bytes} bytes, a third of the 64 MB; the ledger's `max_nodes` "
        "and `MOST_TOLD` are 16,384. A turn has no bound yet.",
    ),
    Line(
        "server list, one change",
        "dispatcher",
        "discovery's changes by version; `Scheduler._update_endpoints` goes through all servers",
        BOUND,
        "A change of one server is {serverlist.change.bytes} bytes and flat on the wire and "
        "in the list ({serverlist.change.receive.steps} lines), but "
        "{serverlist.change.act.steps} lines of the module, {serverlist.change.act.steps/n} "
        "for each server listed: {serverlist.change.cpu_ms} ms each, of which "
        "{serverlist.change.ledger.cpu_ms} are the ledger's, measured while its bound of 4,096 "
        "made it look for the gone at each news (16,384 since). At ten times the mean of 9,100 "
        "changes a day that is {serverlist.change.cpu_ms*1.05} ms of processor time a second.",
    ),
    Line(
        "node list",
        "edge",
        "endpoint discovery, always whole, polled each second (`node_list.poll_ms`)",
        NOT,
        "Each new version is the whole list: {nodelist.whole.bytes} bytes and "
        "{nodelist.whole.receive.cpu_ms} ms to take in, so 9,100 changes a day are "
        "{nodelist.whole.bytes*0.1053} bytes a second for each edge against 2 KB. A poll that "
        "brings the present version again costs {nodelist.poll.cpu_ms} ms where discovery "
        "does not answer 304. `max_nodes` is 16,384, so a list of 10,000 is taken. The "
        "platform's way, changes by version, carries it.",
    ),
    Line(
        "discovery as we use it",
        "dispatcher",
        "`platform/watch`: one call that waits 4 s, changes only",
        CARRIED,
        "{discovery.calm.calls_s} calls and {discovery.calm.bytes_s} bytes a second in calm, "
        "whatever the list: 4,800 dispatchers make {discovery.calm.calls_s*4800} calls a "
        "second. A birth with the list of its configuration asks for {discovery.birth.bytes} "
        "bytes; without one for {serverlist.whole.bytes}, which at 2,500 restarts a day are "
        "{serverlist.whole.bytes*0.02894} bytes a second of discovery's in all.",
    ),
    Line(
        "requests",
        "dispatcher",
        "RESP front, driver, ledger, module, pool of connections; one thread",
        NOT,
        "{request.steady.few.cpu_ms} ms of processor time a request where connections to its server stand "
        "(300 a second), {request.busy.few.cpu_ms} with 64 open at any time, as one turn then serves many; "
        "{request.steady.any.cpu_ms} and {request.busy.any.cpu_ms} where any of 10,000 servers is asked, as "
        "{request.steady.any.dials} of a request's connections are new then; {request.busy.crowded.cpu_ms} "
        "once every descriptor is held, as each new one looks through all idle ones for who gives way "
        "({pool.make_room.cpu_us} microseconds at 2,700). Servers get a quarter of the descriptors: a "
        "connection to each takes 40,000. {request.system_calls} system calls a request. 1,770 a second are "
        "{request.busy.few.cpu_ms*1.77} to {request.busy.crowded.cpu_ms*1.77} cores of a process that has "
        "one; 8.5 million are {request.busy.few.cpu_ms*8500} to {request.busy.crowded.cpu_ms*8500} cores.",
    ),
    Line(
        "requests, by what waits",
        "dispatcher",
        "queues by server and volume in the module; a turn goes through all servers with something waiting",
        BOUND,
        "Deciding alone is {request.decide.by_servers.cpu_ms} ms, flat in the servers listed "
        "and in what waits at one server ({request.decide.by_waiting.steps} lines). It grows "
        "with the servers at which something waits: "
        "{request.decide.by_waiting_servers.cpu_ms} ms a turn with one request waiting at "
        "each of a lost zone's 1,667. At 300 requests a second with a zone hanging a request "
        "is {request.hanging.cpu_ms} ms, sockets included.",
    ),
    Line(
        "volumes known",
        "dispatcher",
        "a queue for each volume at each server that it asked, an account for each volume; 4,096 idle "
        "ones each",
        BOUND,
        "A request goes through the queues with something waiting at its server. Measured before idle "
        "ones were bounded: {volumes.held_bytes} bytes for 2,700 volumes that asked two servers "
        "each; {request.decide.by_volumes.cpu_ms@10000} ms a request with "
        "{request.decide.by_volumes.queues_a_server@10000} queues there, "
        "{request.decide.by_volumes.cpu_ms@100} with "
        "{request.decide.by_volumes.queues_a_server@100}.",
    ),
    Line(
        "client connections",
        "dispatcher",
        "one protocol object each; one sweep each 200 ms",
        BOUND,
        "{connections.platform.held_bytes} bytes for 2,700 connections that rest, and "
        "{connections.platform.idle_cpu_ms_s} ms of processor time a second, growing with "
        "them as the sweep goes through all. A connection without a request is ended after "
        "{connections.platform.ended_after_s} s, and above a quarter of the descriptors the "
        "one idle longest goes: to hold 2,700 the platform has to give 10,800.",
    ),
    Line(
        "client connections",
        "edge",
        "one task each; may idle for 120 s",
        CARRIED,
        "{connections.edge.rss_bytes} bytes for 2,700 idle connections, flat for each "
        "({connections.edge.rss_bytes/n}); no processor time that could be told from the process's own; "
        "`front.max_connections` is 8,192.",
    ),
    Line(
        "ledger",
        "dispatcher",
        "`dispatch/ledger`, 4,096 open at most",
        CARRIED,
        "{ledger.operation.cpu_us} microseconds an operation, flat; {ledger.held_bytes} bytes "
        "for a second's requests open at once.",
    ),
    Line(
        "keys",
        "edge",
        "`dispatch/keys`: 60 s, at most 100,000",
        BOUND,
        "{keys.operation.cpu_us} microseconds a key, flat. A minute of 1,770 keyed requests a "
        "second is 106,200 keys, {keys.held_bytes} bytes, and more than `front.max_keys`: the "
        "next new keys are refused until the oldest have had their minute.",
    ),
    Line(
        "limits and lending",
        "edge",
        "an even part of each limit at each edge, lent by time",
        CARRIED,
        "{lending.operation.cpu_us} microseconds a loan, flat; {lending.held_bytes} bytes for 2,700 volumes.",
    ),
    Line(
        "grants",
        "planner",
        "one decision module for all edges of a planner; a step goes through all of them",
        NOT,
        "{grants.operation.cpu_us} microseconds a request with 800 edges joined, "
        "{grants.operation.cpu_us@200} with 200: {grants.operation.steps} lines, 11 for each edge. So 1,770 "
        "requests a second of 800 edges each would be {grants.operation.cpu_us*1.416} cores of a planner "
        "that has one.",
    ),
    Line(
        "decrees, decided",
        "council seat",
        "replicated log, state of topics, snapshot",
        BOUND,
        "A decision is {decrees.apply.cpu_us} microseconds, flat. With a set of copies for "
        "each of 10,000 shards a seat holds {decrees.seat.held_bytes} bytes, and its snapshot "
        "is {decrees.snapshot.bytes} bytes, made in {decrees.snapshot.cpu_ms} ms; "
        "`max_topics` is 4,096.",
    ),
    Line(
        "decrees, renewed",
        "every process",
        "each second a beat with the numbers of all decrees that stand, in the spread",
        NOT,
        "{decrees.renewal.bytes} bytes to each process each second with 10,000 decrees, "
        "{decrees.renewal.bytes/n} for each: some 210 decrees are 2 KB a second. Taking it "
        "costs {decrees.reader.renewal.cpu_ms} ms of processor time and grows with n squared, "
        "as each piece of 48 goes through all decrees held. A change of one decree is "
        "{decrees.reader.change.cpu_us} microseconds, flat.",
    ),
    Line(
        "decrees, held",
        "every process",
        "`Reader` and `Taker`, 16,384 topics",
        CARRIED,
        "{decrees.reader.held_bytes} bytes for 10,000 decrees; finding when the next one ends "
        "goes through all of them, {decrees.reader.next_end.cpu_us} microseconds.",
    ),
    Line(
        "council's log and store",
        "council seat",
        "SQLite, one transaction for each batch",
        CARRIED,
        "A write is {log.store.write.cpu_us} microseconds of processor time, flat; a day's "
        "9,100 entries are {log.store.bytes} bytes on disk, read at a start in "
        "{log.store.load.cpu_ms} ms. The disk's own time is in `council-processes.md`.",
    ),
    Line(
        "rooms",
        "edge",
        "own members and a log of changes for each room",
        CARRIED,
        "{presence.operation.cpu_us} microseconds for a member that comes, changes and goes, "
        "flat; {presence.held_bytes} bytes for 2,700 members of one room. Rooms that other "
        "gateways follow were not measured.",
    ),
    Line(
        "real processes, calm",
        "edge",
        "members, spread, the council's beats, the link to a planner",
        CARRIED,
        "With 61 edges and three planners an edge sends {real.members.sent_bytes_s@61} bytes a second in "
        "{real.members.sent_datagrams_s@61} datagrams (without their heads), streams carry "
        "{real.streams.bytes_s@61} for each process, and it takes {real.members.cpu_ms_s@61} ms of processor "
        "time a second and {real.edge.rss_bytes@61} bytes of memory ({real.edge.pss_bytes@61} its own), "
        "nearly all the program's. Hollow processes under the same names send "
        "{hollow.members.sent_bytes_s@61} bytes in {hollow.members.sent_datagrams_s@61} datagrams, their "
        "exchanges among them, which are streams of the real ones, and take {hollow.members.cpu_ms_s@61} ms: "
        "loop, sockets, list and link are not in them. A planner with a seat takes "
        "{real.planner.cpu_ms_s@20} ms a second at 20 edges and {real.planner.cpu_ms_s@85} at 85, and sends "
        "{real.planner.sent_bytes_s@20} and {real.planner.sent_bytes_s@85} bytes, which grows; why was not "
        "looked into.",
    ),
)

UNMEASURED = (
    "memory that the kernel holds for a socket",
    "copies: an edge's writes and a planner's repair by number of shards (their sets are: rows of decrees)",
    "rooms that other gateways follow, and hand-over",
    "100 and 200 real edges: 4 GB hold some 90 of them at 45 MB each that they share with nobody",
    "uvloop under `cressrock platform`; several processes behind one address",
)


def named(sentence: str) -> list[str]:
    """Return the raw rows that a sentence names."""
    return [found[1] for found in _NAMED.finditer(sentence)]


def filled(sentence: str, rows: Mapping[str, Sequence[Measurement]]) -> str:
    """Return a sentence with its figures.  Raises CapacityUnfit, which names the row that has none."""

    def one(found: re.Match[str]) -> str:
        measured = rows.get(found[1])
        if not measured:
            raise MissingMeasurementError(f"no measurement of {found[1]}")
        if found[2]:
            there = [m.value for m in measured if m.n == int(found[2])]
            if not there:
                raise MissingMeasurementError(f"no measurement of {found[1]} at {found[2]}")
            return capacity.number(statistics.fmean(there))
        value = capacity.at_size(list(measured)).value
        if found[3]:
            value /= capacity.SIZES[measured[0].of]
        return capacity.number(value * float(found[4] or 1))

    return _NAMED.sub(one, sentence)


def table(measurements: Sequence[Measurement]) -> str:
    """Return the page's table of what one process pays.

    A line whose rows were not measured says so: its figures are left out, and so is its verdict.
    """
    rows = capacity.rows(measurements)
    said = ["| thing | role | carried by | verdict | figures |", "| --- | --- | --- | --- | --- |"]
    for line in LINES:
        try:
            verdict, text = line.verdict, filled(line.sentence, rows)
        except MissingMeasurementError as wrong:
            verdict, text = "not measured", str(wrong)
        said.append(f"| {line.thing} | {line.role} | {line.mechanism} | {verdict} | {text} |")
    said += ["", "Not measured: " + "; ".join(UNMEASURED) + "."]
    return "\n".join(said) + "\n"
