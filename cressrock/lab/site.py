"""A site of the laboratory: its machines, plans, classes, volumes, sizes and network, checked like settings.

Pure but for reading the file.  A site says what a place is like; a day says what happens there.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

from cressrock.lab import model
from cressrock.settings.load import checked, evaluate, evaluate_text
from cressrock.settings.types import (
    METHODS,
    Class,
    Count,
    Milliseconds,
    Name,
    Plan,
    Positive,
    Scheduler,
    Share,
    Units,
)

LIBRARY = Path(__file__).with_name("site.libsonnet")
LIBRARIES = {"site.libsonnet": LIBRARY}


class Machine(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A kind of storage node; shards take the kinds in turn.  Works are ms of one core at speed 1."""

    cores: Annotated[int, Meta(ge=1, le=1024)] = 2
    speed: Positive = 1.0
    queue: Annotated[int, Meta(ge=0, le=100000)] = 24
    unit_ms: Positive = 18.0
    base_ms: Milliseconds = 2.0
    noise: Share = 0.3  # a request's work is drawn this far around its mean
    repeat_saves: Share = 0.5
    remembers: Annotated[int, Meta(ge=0, le=1000)] = 2
    deferred: Share = 0.3
    flush_ms: Positive = 2000.0
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.2
    warm_up_ms: Positive = 10000.0
    fall_multiple: Positive = 2.5
    tip_after_ms: Positive = 1000.0

    def model(self) -> model.Machine:
        """Return the performance model's figures."""
        return model.Machine(**msgspec.structs.asdict(self))

    def work_ms(self, units: float) -> float:
        """Return the mean work of a request."""
        return self.base_ms + units * self.unit_ms

    def capacity_ms(self) -> float:
        """Return what a warm node can do, in ms of work for each second."""
        return self.cores * 1000 * self.speed


class Network(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Delays of one way, drawn evenly: among clients, dispatchers, planners and list, and to the nodes."""

    least_ms: Milliseconds = 0.1
    most_ms: Milliseconds = 0.6
    nodes_least_ms: Milliseconds = 0.1
    nodes_most_ms: Milliseconds = 0.6

    def ways(self, address: str) -> tuple[float, float]:
        """Return the bounds of a delay to or from an address; nodes' begin with an n."""
        if address.startswith("n"):
            return self.nodes_least_ms, self.nodes_most_ms
        return self.least_ms, self.most_ms


class SitePlan(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A plan: what its volumes are owed, how much of the traffic is theirs, how many of them there are."""

    figures: Plan
    traffic: Positive = 1.0  # of a volume, beside those of other plans
    volumes: Positive = 1.0  # how often a volume is on this plan, beside the others


class Volumes(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How many volumes there are, where they lie and how they are used."""

    per_node: Positive = 3.0
    shards_least: Count = 1
    shards_most: Count = 3
    writers_least: Count = 1
    writers_most: Count = 3
    spread: Annotated[float, Meta(ge=1, le=1000)] = 1.6  # traffic is drawn between its inverse and it
    objects: Annotated[int, Meta(ge=2, le=10000)] = 40
    object_least_bytes: Count = 200
    object_most_bytes: Count = 3272


class Traffic(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What clients ask for: the methods' parts, and the sizes of what they save."""

    methods: dict[str, Positive] = field(
        default_factory=lambda: {
            "GET": 0.62,
            "PROPPATCH": 0.04,
            "PUT": 0.26,
            "PROPFIND": 0.03,
            "MKCOL": 0.01,
            "MOVE": 0.02,
            "COPY": 0.01,
            "DELETE": 0.01,
        }
    )
    put_least_bytes: Count = 100
    put_most_bytes: Count = 4096
    repeats: Annotated[int, Meta(ge=0, le=10)] = 1  # further tries of a client by itself


class Site(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All that a day needs to know of a place.  `scheduler.hosts` and the figures of cold starts follow."""

    name: Name
    machines: Annotated[list[Machine], Meta(min_length=1, max_length=64)]
    plans: dict[str, SitePlan]
    classes: Annotated[list[Class], Meta(min_length=1, max_length=64)]
    scheduler: Scheduler = Scheduler()
    units: Units = Units()
    network: Network = Network()
    volumes: Volumes = Volumes()
    traffic: Traffic = field(default_factory=Traffic)
    rack_window_ms: Positive | None = None  # how long a rack drops repeats; None: a little over the classes'
    meter_late_ms: Milliseconds = 400.0
    list_late_ms: Milliseconds = 1500.0

    def __post_init__(self) -> None:
        """Check what no single field can tell."""
        if not self.plans:
            raise ValueError("plans: at least one is needed")
        for low, high in (
            ("shards_least", "shards_most"),
            ("writers_least", "writers_most"),
            ("object_least_bytes", "object_most_bytes"),
        ):
            if getattr(self.volumes, low) > getattr(self.volumes, high):
                raise ValueError(f"volumes.{low}: is above volumes.{high}")
        if self.traffic.put_least_bytes > self.traffic.put_most_bytes:
            raise ValueError("traffic.put_least_bytes: is above traffic.put_most_bytes")
        for low, high in (("least_ms", "most_ms"), ("nodes_least_ms", "nodes_most_ms")):
            if getattr(self.network, low) > getattr(self.network, high):
                raise ValueError(f"network.{low}: is above network.{high}")
        if not self.traffic.methods:
            raise ValueError("traffic.methods: at least one is needed")
        asked = {m for c in self.classes for m in c.methods}
        for method in self.traffic.methods:
            if method not in METHODS:
                raise ValueError(f"traffic.methods: {method!r} is no WebDAV method")
            if method not in asked:
                raise ValueError(f"traffic.methods: {method} has no class")
            if method not in WISHES:
                raise ValueError(f"traffic.methods: no client of the laboratory asks for {method}")

    def machine(self, shard: int) -> Machine:
        """Return the kind of a shard's nodes."""
        return self.machines[shard % len(self.machines)]

    def window_ms(self) -> float:
        """Return how long racks drop repeats: a little longer than they promise."""
        if self.rack_window_ms is not None:
            return self.rack_window_ms
        return 1.05 * max((c.repeat_window_ms for c in self.classes), default=0.0)

    def cold(self) -> dict[str, float]:
        """Return what dispatchers are told of cold starts: of the kinds, the worst.

        `cold_bears` are units that any node which has just come up surely bears from all hosts in a window;
        a fifth is kept back for requests of many units, whose fixed work weighs less.
        """
        least = min(
            m.fall_multiple * m.capacity_ms() * m.cold_from * m.tip_after_ms / 1000 / m.work_ms(1)
            for m in self.machines
        )
        return {
            "cold_from": min(m.cold_from for m in self.machines),
            "warm_up_ms": max(m.warm_up_ms for m in self.machines),
            "cold_window_ms": max(m.tip_after_ms for m in self.machines),
            "cold_bears": 0.8 * least,
        }

    def class_of(self, method: str) -> Class:
        """Return the class of a client's request."""
        return next(c for c in self.classes if method in c.methods)

    def mean_units(self, method: str) -> float:
        """Return the mean units of all operations of a client's request at its volume's shards."""
        if method != "PUT":
            return WISHES[method]
        low, high, unit = self.traffic.put_least_bytes, self.traffic.put_most_bytes, self.units.unit_bytes
        steps = 64
        sizes = [low + (high - low) * (i + 0.5) / steps for i in range(steps)]
        return sum(min(self.units.most, max(1, -(-int(s) // unit))) for s in sizes) / steps

    def mean_work_ms(self, shard: int) -> float:
        """Return the mean work of a client's request, were all of it done at one shard."""
        machine, total = self.machine(shard), sum(self.traffic.methods.values())
        work = 0.0
        for method, part in self.traffic.methods.items():
            operations = 1.0 if method == "PUT" else WISHES[method]
            work += part / total * (operations * machine.base_ms + self.mean_units(method) * machine.unit_ms)
        return work


# The operations that a client's request mostly takes, of a unit each; a PUT's units are by its size.
WISHES = {
    "GET": 1.0,
    "PROPPATCH": 1.0,
    "PUT": 1.0,
    "PROPFIND": 2.0,
    "MKCOL": 2.0,
    "MOVE": 3.0,
    "COPY": 3.0,
    "DELETE": 1.0,
}


def load_site(path: str, variables: dict[str, str] | None = None) -> Site:
    """Read, evaluate and check a site file.  Raises SettingsError naming file, place and value."""
    return convert_site(path, evaluate(path, variables, LIBRARIES))


def convert_site(path: str, value: Any) -> Site:
    """Check an evaluated site.  Raises SettingsError."""
    return checked(path, value, Site)


def usual() -> Site:
    """Return the laboratory's own site."""
    text = 'import "site.libsonnet"'
    return convert_site("site.libsonnet", evaluate_text("site.libsonnet", text, None, LIBRARIES))
