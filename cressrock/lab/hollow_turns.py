"""What one process holds, and what one turn of it costs, by how many others it knows.  Pure but for a timer.

State is what a process has after long calm: a record of each other member, one word about zones and one count
of a rollout of each.  Nothing is shared here: it is one process.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from cressrock.failover.evaluation import EvaluationMemory, evaluate
from cressrock.failover.fleet_evidence import FleetEvidence
from cressrock.failover.reports import ZoneReport, encode_reports
from cressrock.failover.settings import FailoverSettings, ZoneSettings
from cressrock.failover.witnesses import ReportView, ZoneMember
from cressrock.gossip.settings import GossipStoreSettings
from cressrock.gossip.store import GossipStore
from cressrock.lab.hollow import FIRST_LIFE, REGIONS, ZONES, address
from cressrock.lab.hollow_shared import acquaint, fill
from cressrock.membership import packets as m
from cressrock.membership.membership import Membership
from cressrock.membership.settings import MembershipSettings
from cressrock.membership.types import Identity
from cressrock.rollout import evidence
from cressrock.rollout.counts import FleetCounts
from cressrock.rollout.evidence import FAULT_KINDS, CountsEntry, OutcomeCounts, counts_key

Timer = Callable[[], float]  # seconds of processor time
WORD = "zones/0"
DIGEST = "00" * 12  # as long as a document's name


def members_of(n: int, seed: int) -> list[Membership]:
    """Return one process's members with all records, and the others without any."""
    settings = MembershipSettings(max_members=max(4 * n, 4096))
    made = []
    for number in range(n):
        place = number % ZONES
        me = Identity(
            name(number),
            FIRST_LIFE + number,
            address(number),
            "edge",
            f"zone-{place}",
            f"region-{place % REGIONS}",
        )
        made.append(Membership(me, settings, (), random.Random(f"{seed} {number}"), 0.0))
    acquaint(made, 0.0, share=False, only=1)
    return made


def name(number: int) -> str:
    """Return a process's name."""
    return f"edge-{number:04d}"


def word(settings: FailoverSettings, beat: int) -> bytes:
    """Return an edge's word: it reached its own zone and one other."""
    said = [ZoneReport(zone, 1, 900, 3, 1, 1, 812.25, 840.5, 57) for zone in sorted(settings.zones)[:2]]
    (piece,) = encode_reports(beat, said)
    return piece


def counted() -> bytes:
    """Return a process's counts of one class in one stage."""
    tally = OutcomeCounts([900, 950], [[3, 2] for _ in FAULT_KINDS])
    return evidence.encode(CountsEntry(bytes.fromhex(DIGEST), tally))


def zones_of(n: int) -> FailoverSettings:
    """Return settings of six zones in two regions."""
    return FailoverSettings(
        zones={
            f"zone-{at}": ZoneSettings(region=f"region-{at % REGIONS}", capacity=1e6) for at in range(ZONES)
        },
        edges=min(n, 65535),
    )


def spread_of(n: int) -> GossipStore:
    """Return one process's spread that holds everybody's word."""
    settings = GossipStoreSettings(max_origins=max(4 * n, 64))
    value = word(zones_of(n), 7)
    made = [
        GossipStore(name(number), FIRST_LIFE + number, settings, random.Random(number)) for number in range(n)
    ]
    for one in made:
        one.put(WORD, value)
    fill(made, {}, share=False, only=1)
    return made[0]


def heard_of(n: int) -> FleetEvidence:
    """Return what one process heard of everybody's words."""
    found = FleetEvidence(zones_of(n), max_origins=max(4 * n, 64))
    for number in range(n):
        found.receive((name(number), FIRST_LIFE + number), WORD, word(found.settings, 7), 0.0)
    return found


def counts_of(n: int) -> FleetCounts:
    """Return what one process heard of everybody's counts."""
    found = FleetCounts(DIGEST)
    for number in range(n):
        found.merge((name(number), FIRST_LIFE + number), counts_key(0, 0), counted())
    return found


def turns(n: int, seed: int, timer: Timer, times: int = 5) -> dict[str, tuple[float, str]]:
    """Return milliseconds of processor time of one turn of each kind: the least of several."""
    members, spread, heard = members_of(n, seed)[0], spread_of(n), heard_of(n)
    lives = members.process_ids()
    origin = (name(n - 1), FIRST_LIFE + n - 1)
    of, memory = heard.settings, EvaluationMemory()

    def best(call: Callable[[], Any]) -> tuple[float, str]:
        least = float("inf")
        for _ in range(times):
            begun = timer()
            call()
            least = min(least, timer() - begun)
        return least * 1000, "ms"

    def summed() -> None:
        members.state.table.beliefs_version += 1
        members.checksum.value()

    def view() -> list[ZoneMember]:
        return [
            ZoneMember((one.name, one.process_incarnation), one.zone, True, True) for one in members.view(0.0)
        ]

    def edge() -> None:
        heard.retain({one.origin for one in view() if one.alive})
        heard.zone_loads(0.0)
        heard.is_any_zone_accused(0.0)

    def leader() -> None:
        everybody = view()
        evaluate(of, everybody, ReportView(of, everybody, heard, 0.0), None, 0.0, memory)

    spread.retain_origins(lives)
    return {
        "members.lives": best(members.process_ids),
        "members.view": best(lambda: members.view(0.0)),
        "members.sum": best(summed),
        "members.pieces": best(members.state_batches),
        "spread.admit": best(lambda: spread.retain_origins(lives)),
        "spread.digest": best(lambda: spread.digest(1150)),
        "spread.one_value": best(lambda: spread.value_of(WORD, origin)),
        "spread.whole_key": best(lambda: spread.values(WORD).get(origin)),
        "zones.edge": best(edge),
        "zones.leader": best(leader),
    }


def state(n: int, seed: int) -> dict[str, tuple[float, str]]:
    """Return bytes of whole lists on the wire, as a process that joins is told them."""
    members, spread = members_of(n, seed)[0], spread_of(n)
    told, cursor = 0, None
    while True:
        data, cursor = spread.full_state(cursor, 32768)
        told += len(data)
        if cursor is None:
            break
    whole = sum(
        len(m.encode("cressrock", "edge-0000", FIRST_LIFE, m.ExchangePart(one)))
        for one in members.state_batches()
    )
    return {"members.whole": (float(whole), "B"), "spread.whole": (float(told), "B")}
