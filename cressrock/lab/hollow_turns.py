"""What one process holds, and what one turn of it costs, by how many others it knows.  Pure but for a timer.

State is what a process has after long calm: a record of each other member, one word about zones and one count
of a rollout of each.  Nothing is shared here: it is one process.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from cressrock.fleet import messages as m
from cressrock.fleet.members import Identity, Members, MembersSettings
from cressrock.fleet.spread import Spread, SpreadSettings
from cressrock.lab.hollow import FIRST_LIFE, REGIONS, ZONES, address
from cressrock.lab.hollow_shared import acquaint, fill
from cressrock.rollout import evidence as rollout
from cressrock.zones import evidence as zones
from cressrock.zones.sums import Who
from cressrock.zones.terms import Zone, Zones
from cressrock.zones.verdict import Memory, judge

Timer = Callable[[], float]  # seconds of processor time
WORD = "zones/0"
DIGEST = "00" * 12  # as long as a document's name


def members_of(n: int, seed: int) -> list[Members]:
    """Return one process's members with all records, and the others without any."""
    settings = MembersSettings(max_members=max(4 * n, 4096))
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
        made.append(Members(me, settings, (), random.Random(f"{seed} {number}"), 0.0))
    acquaint(made, 0.0, share=False, only=1)
    return made


def name(number: int) -> str:
    """Return a process's name."""
    return f"edge-{number:04d}"


def word(settings: Zones, beat: int) -> bytes:
    """Return an edge's word: it reached its own zone and one other."""
    said = [zones.Said(zone, 1, 900, 3, 1, 1, 812.25, 840.5, 57) for zone in sorted(settings.zones)[:2]]
    (piece,) = zones.pieces(beat, said)
    return piece


def counted() -> bytes:
    """Return a process's counts of one class in one stage."""
    tally = rollout.Tally([900, 950], [[3, 2] for _ in rollout.MARKS])
    return rollout.encode(rollout.Piece(bytes.fromhex(DIGEST), tally))


def zones_of(n: int) -> Zones:
    """Return settings of six zones in two regions."""
    return Zones(
        zones={f"zone-{at}": Zone(region=f"region-{at % REGIONS}", capacity=1e6) for at in range(ZONES)},
        edges=min(n, 65535),
    )


def spread_of(n: int) -> Spread:
    """Return one process's spread that holds everybody's word."""
    settings = SpreadSettings(max_origins=max(4 * n, 64))
    value = word(zones_of(n), 7)
    made = [Spread(name(number), FIRST_LIFE + number, settings, random.Random(number)) for number in range(n)]
    for one in made:
        one.put(WORD, value)
    fill(made, {}, share=False, only=1)
    return made[0]


def heard_of(n: int) -> zones.All:
    """Return what one process heard of everybody's words."""
    found = zones.All(zones_of(n), max_origins=max(4 * n, 64))
    for number in range(n):
        found.take((name(number), FIRST_LIFE + number), WORD, word(found.settings, 7), 0.0)
    return found


def counts_of(n: int) -> rollout.Heard:
    """Return what one process heard of everybody's counts."""
    found = rollout.Heard(DIGEST)
    for number in range(n):
        found.take((name(number), FIRST_LIFE + number), rollout.key_of(0, 0), counted())
    return found


def turns(n: int, seed: int, timer: Timer, times: int = 5) -> dict[str, tuple[float, str]]:
    """Return milliseconds of processor time of one turn of each kind: the least of several."""
    members, spread, heard = members_of(n, seed)[0], spread_of(n), heard_of(n)
    lives = members.lives()
    origin = (name(n - 1), FIRST_LIFE + n - 1)
    of, memory = heard.settings, Memory()

    def best(call: Callable[[], Any]) -> tuple[float, str]:
        least = float("inf")
        for _ in range(times):
            begun = timer()
            call()
            least = min(least, timer() - begun)
        return least * 1000, "ms"

    def summed() -> None:
        members._summed = None
        members._sum()

    def view() -> list[Who]:
        return [Who((one.name, one.life), one.zone, True, True) for one in members.view(0.0)]

    def edge() -> None:
        heard.keep({one.origin for one in view() if one.alive})
        heard.loads(0.0)
        heard.accused(0.0)

    def leader() -> None:
        judge(of, view(), heard.words(0.0), heard.beats(), None, 0.0, memory)

    spread.admit(lives)
    return {
        "members.lives": best(members.lives),
        "members.view": best(lambda: members.view(0.0)),
        "members.sum": best(summed),
        "members.pieces": best(members.pieces),
        "spread.admit": best(lambda: spread.admit(lives)),
        "spread.digest": best(lambda: spread.digest(1150)),
        "spread.one_value": best(lambda: spread.value(WORD, origin)),
        "spread.whole_key": best(lambda: spread.get(WORD).get(origin)),
        "zones.edge": best(edge),
        "zones.leader": best(leader),
    }


def state(n: int, seed: int) -> dict[str, tuple[float, str]]:
    """Return bytes of whole lists on the wire, as a process that joins is told them."""
    members, spread = members_of(n, seed)[0], spread_of(n)
    told, cursor = 0, None
    while True:
        data, cursor = spread.full(cursor, 32768)
        told += len(data)
        if cursor is None:
            break
    whole = sum(len(m.encode("cressrock", "edge-0000", FIRST_LIFE, m.Piece(one))) for one in members.pieces())
    return {"members.whole": (float(whole), "B"), "spread.whole": (float(told), "B")}
