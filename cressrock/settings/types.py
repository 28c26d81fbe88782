"""The settings of a gateway.  Times end in `_ms`, sizes in `_bytes`; every bound of memory is here."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from cressrock import interface
from cressrock.dispatch.node_client import PoolBounds
from cressrock.failover.settings import FailoverSettings
from cressrock.http.server import ServerBounds

Milliseconds = Annotated[float, Meta(ge=0, le=1e9)]
Positive = Annotated[float, Meta(gt=0, le=1e9)]
Bytes = Annotated[int, Meta(ge=1024, le=2**40)]
Count = Annotated[int, Meta(ge=1, le=10**7)]
Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Address = Annotated[str, Meta(pattern=r"^[^\s:/]+:[0-9]{1,5}$")]


class Class(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A class of requests; the first one whose `methods` and `max_bytes` match is a request's class."""

    name: Name
    methods: list[str]
    max_bytes: int | None = None  # of the request's body; None: any size
    aim_ms: Positive
    deadline_ms: Positive
    worth: Positive = 1.0
    late_worth: Share = 0.0
    effect: Literal["repeatable", "keyed", "unsafe"]
    group: Literal["all", "zone", "shard"] = "shard"
    repeat_window_ms: Milliseconds = 0.0
    in_turn: bool = False


class Plan(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What a volume on this plan is owed, in units a second, over all dispatchers and nodes."""

    weight: Positive = 1.0
    rate: Milliseconds = 0.0
    reserve: Milliseconds = 0.0
    price: Positive = 1.0
    limit_rate: Milliseconds = 0.0  # 0: no limit
    limit_burst: Milliseconds = 0.0
    limit_slack: Milliseconds = 0.0


class Volume(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A volume: the first segment of its paths is its name."""

    shards: Annotated[list[Annotated[int, Meta(ge=0, le=65535)]], Meta(min_length=1, max_length=1024)]
    plan: str
    writers: Count = 1  # dispatchers through which its requests come; under planners, how many planners
    edges: Annotated[int, Meta(ge=0, le=65535)] = 0  # under planners, edges it comes through; 0: `pair.edges`
    # The node shards of its copies by zone, each list parallel to `shards`, which is one of them: the zone
    # whose copies are the first ones at the founding.  Empty: no copies.
    copies: Annotated[
        dict[Name, Annotated[list[Annotated[int, Meta(ge=0, le=65535)]], Meta(min_length=1)]],
        Meta(max_length=8),
    ] = {}


class Copies(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How volumes with copies are written, read and repaired (`docs/copies.md`)."""

    regions: dict[Name, Name] = {}  # of each zone that holds copies
    first_share: Annotated[float, Meta(gt=0, lt=1)] = 0.5  # of a request's time, for the first copy
    follow_share: Annotated[float, Meta(gt=0, lt=1)] = 0.5  # of what is left, for each round of the others
    # A gateway that hears others reads no copy any more so long after the decree that puts it out; the first
    # acknowledgement without that copy waits for it.
    told_ms: Milliseconds = 300.0
    ask_ms: Positive = 3000.0  # a decree asked for within a request has to stand in this time
    witnesses: Annotated[int, Meta(ge=1, le=1024)] = 2  # gateways that must miss a first copy before it moves
    look_ms: Positive = 250.0  # how often the leading planner looks at the sets
    back_least_ms: Positive = 1000.0  # a copy stays out so long, doubled each time that it was put out
    back_most_ms: Positive = 300000.0
    forget_ms: Positive = 600000.0  # in for so long, it was never put out
    repair_share: Annotated[float, Meta(gt=0, le=1)] = 0.5  # of the time, in operations of repair, one by one
    repair_rate: Positive = 200.0  # operations a second
    repair_busy: Annotated[float, Meta(gt=0, le=1)] = 0.8  # a node busier than this has live work to do
    repair_pause_ms: Positive = 250.0


class Scheduler(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What the decision module is told; the rules' figures stand here."""

    hosts: Count = 1
    tick_ms: Positive = 1.0
    max_attempts: Count = 3
    may_cancel: bool = True
    answer_slack_ms: Milliseconds = 50.0
    drain_grace_ms: Milliseconds = 250.0
    ask_every_ms: Milliseconds = 10000.0
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 1.0
    warm_up_ms: Milliseconds = 0.0
    cold_window_ms: Milliseconds = 0.0
    cold_bears: Milliseconds = 0.0
    order_settle_ms: Milliseconds = 0.0
    budget_window_ms: Milliseconds = 0.0
    budget_free: Milliseconds = 0.0
    budget_share: Milliseconds = 0.0
    budget_begins_spent: bool = False  # a new life takes the free further attempts as spent by a former one
    limits_lent: bool = False  # units of limits come from the edges; set by the programs themselves
    usual_units: Positive = 1.0
    meter_period_ms: Milliseconds = 0.0


class Units(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How a request's size becomes units: one for each begun `unit_bytes`, `most` at most."""

    unit_bytes: Bytes = 65536
    most: Positive = 8.0


class NodeList(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Where the node list comes from: xDS endpoint discovery over REST-JSON."""

    address: Address
    cluster: Name = "storage"
    poll_ms: Positive = 1000.0
    timeout_ms: Positive = 2000.0
    cache: str | None = None  # a file that keeps the last list over restarts
    max_nodes: Count = 16384  # 2 KB each while a list is taken in
    max_body_bytes: Bytes = 4194304


class Front(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The WebDAV front."""

    listen: Address = "127.0.0.1:8080"
    max_connections: Count = 8192
    max_requests: Count = 20000  # taken and not yet answered
    answer_margin_ms: Milliseconds = 20.0  # kept back of the client's patience for the answer's way
    key_memory_ms: Milliseconds = 60000.0  # how long a client's key is known to have been sent
    max_keys: Count = 100000
    longest_wait_s: Positive = 3600.0  # of `Prefer: wait`
    retry_after_ms: Positive = 1000.0
    max_put_bytes: Bytes = 2**40
    gather_bytes: Bytes = 65536  # a body up to this size is here in whole before the request is taken
    max_xml_bytes: Bytes = 262144
    max_xml_depth: Annotated[int, Meta(ge=4, le=200)] = 64
    longest_lock_s: Count = 604800
    reader_patience_ms: Positive = 2000.0  # a client slower than this no longer holds its node
    bounds: ServerBounds = ServerBounds()


class Payloads(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Payloads that may have to be sent again."""

    memory_bytes: Bytes = 268435456  # of all together
    spill_bytes: Bytes = 1048576  # one above this goes to a temporary file
    directory: str | None = None


class Pair(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Edge and planner as two programs; without planners a dispatcher decides by itself."""

    planners: Annotated[list[Address], Meta(max_length=64)] = []  # an edge's, in order of preference
    listen: Address = "127.0.0.1:7400"  # a planner's
    epoch_file: str | None = None  # where a planner keeps its epoch over restarts
    grant_ms: Positive = 400.0  # a grant's validity, from the newest event of its edge
    max_inside: Count = 2000  # operations inside a planner's decisions
    max_edges: Count = 1024
    answer_margin_ms: Positive = 100.0  # without a planner, what waits is answered this long before its time
    retry_least_ms: Positive = 1000.0
    retry_most_ms: Positive = 8000.0
    reconnect_least_ms: Positive = 200.0
    reconnect_most_ms: Positive = 5000.0
    ping_ms: Positive = 300.0
    silent_ms: Positive = 1200.0  # a peer that is silent for longer is away
    edges: Annotated[int, Meta(ge=0, le=65535)] = 0  # that there are; 0: without a planner an edge only waits
    lend_ms: Positive = 400.0  # at most so long a planner may spend what an edge lent it of a limit


class Fleet(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A process's place among all processes: members and what they spread (`docs/fleet.md`)."""

    cluster: Name = "cressrock"  # datagrams of another one are dropped
    listen: Address = "127.0.0.1:7410"  # UDP and TCP
    advertise: Address | None = None  # where others reach this process; unset: where it listens
    seeds: Annotated[list[Address], Meta(max_length=64)] = []  # members to join by, some of which may be dead
    routes: dict[Name, Address] = {}  # where a name is reached from here, before what it says of itself
    zone: Annotated[str, Meta(max_length=64)] = ""
    region: Annotated[str, Meta(max_length=64)] = ""
    life_file: str | None = None  # keeps the number of this life over restarts, beside the wall clock
    period_ms: Annotated[float, Meta(ge=20, le=60000)] = 1000.0  # of the protocol
    ride_out_ms: Positive = 2000.0  # a process that stands still for so long is not declared gone
    collect_from: Annotated[int, Meta(ge=0, le=1 << 20)] = 0  # more edges tell collectors; 0: derived


class CouncilSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The council: which seats there are, and this process's own one, if it holds one."""

    seats: Annotated[dict[Name, Address], Meta(min_length=1, max_length=5)]  # as this process reaches them
    listen: Address = "127.0.0.1:7420"  # a seat's
    store: str | None = None  # a seat's log and vote; unset: this process holds no seat
    start: Literal["found", "join", "expect"] = "found"
    seen_file: str | None = None  # the newest numbers seen, so that a next life takes nothing older
    election_ms: Annotated[float, Meta(ge=50, le=60000)] = 1000.0
    heartbeat_ms: Annotated[float, Meta(ge=10, le=10000)] = 150.0
    renew_ms: Annotated[float, Meta(ge=20, le=60000)] = 1000.0  # how often decrees are renewed
    hold_ms: Annotated[float, Meta(ge=100, le=3600000)] = 10000.0  # how long one counts without


class PresenceSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Rooms and their members over all gateways (`docs/presence.md`)."""

    grace_ms: Positive = 30000.0  # a session whose client is away for so long ends
    silent_ms: Positive = 3000.0  # of a gateway, until its members are unsure
    gone_ms: Positive = 60000.0  # after which a silent gateway's members count as gone: the stated time
    beat_ms: Positive = 1000.0  # a stream between gateways says at least so often that it stands
    tell_ms: Positive = 30.0  # changes are gathered for so long before they are told
    hold_back_ms: Positive = 2000.0  # a change waits so long for one that came before it
    linger_ms: Positive = 60000.0  # a room is followed for so long after the last who asked
    sync_ms: Positive = 1000.0  # the first answer about a room waits so long for the other gateways
    longest_wait_ms: Positive = 60000.0  # of `wait_ms`
    hold_ms: Annotated[float, Meta(ge=100, le=3600000)] = 10000.0  # of an agreed name without renewal
    carries_ms: Positive = 60000.0  # a gateway carries a volume for so long after a request for it
    max_members: Count = 200000  # at this gateway; about 1 KiB each
    max_room: Count = 20000  # members of one room
    max_rooms: Count = 20000
    max_views: Count = 4096  # rooms followed
    max_watchers: Count = 10000  # long polls at a time
    max_names: Count = 1024  # agreed names of sessions here
    max_streams: Count = 1024  # of other gateways
    max_backlog_bytes: Bytes = 8388608  # of one stream, before it is cut and begins again
    max_data: Annotated[int, Meta(ge=0, le=4096)] = 256  # bytes of a member's own
    max_locks: Annotated[int, Meta(ge=0, le=64)] = 16
    feed: Count = 1024  # events of a room that a watcher may lag behind


class RolloutSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Rules rolled out in stages (`docs/rollout.md`); a rollout's own figures stand in its document."""

    keep_file: str | None = None  # the last good rules, and starts under a candidate, over restarts
    look_ms: Annotated[float, Meta(ge=20, le=60000)] = 1000.0  # so often the leader looks at the evidence
    tell_ms: Annotated[float, Meta(ge=20, le=60000)] = 2000.0  # so often a process tells what it counted
    starts: Annotated[int, Meta(ge=1, le=16)] = 3  # without an orderly end, after which it goes back alone
    starts_within_ms: Milliseconds = 600000.0


class Observe(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Logs and the admin port."""

    admin: Address | None = None
    level: Literal["debug", "info", "warning", "error"] = "info"
    log_requests: bool = False


class Gateway(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All settings of `cressrock serve`."""

    name: Name = "cressrock"
    seed: int = 0
    classes: Annotated[list[Class], Meta(min_length=1, max_length=64)]
    plans: dict[str, Plan]
    volumes: dict[Name, Volume]
    copies: Copies = Copies()
    node_list: NodeList
    scheduler: Scheduler = Scheduler()
    units: Units = Units()
    front: Front = Front()
    nodes: PoolBounds = PoolBounds()
    payloads: Payloads = Payloads()
    observe: Observe = Observe()
    pair: Pair = Pair()
    fleet: Fleet | None = None  # unset: this process talks to no other beyond `pair`
    council: CouncilSettings | None = None
    presence: PresenceSettings | None = None  # unset: no rooms
    rollout: RolloutSettings | None = None  # unset: the rules are the settings', and nothing is told of them
    zones: FailoverSettings | None = None  # unset: no read goes anywhere else because of where nodes stand
    stop_after_ms: Positive = 30000.0  # SIGTERM: how long what is owed may take

    def __post_init__(self) -> None:
        """Check what no single field can tell."""
        if not self.plans:
            raise ValueError("plans: at least one is needed")
        for name, volume in self.volumes.items():
            if volume.plan not in self.plans:
                known = ", ".join(sorted(self.plans))
                raise ValueError(f"volumes.{name}.plan: {volume.plan!r} is no plan; the plans are {known}")
            if len(set(volume.shards)) != len(volume.shards):
                raise ValueError(f"volumes.{name}.shards: a shard is named twice")
            self._check_copies(name, volume)
        known_methods = set(METHODS)
        seen: set[str] = set()
        for index, cls in enumerate(self.classes):
            wrong = [m for m in cls.methods if m not in known_methods]
            if wrong:
                raise ValueError(f"classes[{index}].methods: {wrong[0]!r} is no WebDAV method")
            if cls.effect == "keyed" and not cls.repeat_window_ms:
                raise ValueError(f"classes[{index}].repeat_window_ms: a keyed class needs its window")
            seen.update(cls.methods if cls.max_bytes is None else ())
        missing = sorted(known_methods - seen)
        if missing:
            raise ValueError(f"classes: {missing[0]} has no class without max_bytes")
        interface_settings(self)
        self._check_common_ground()

    def _check_copies(self, name: str, volume: Volume) -> None:
        """Check a volume's copies.  Raises ValueError naming the place."""
        if not volume.copies:
            return
        place, seen = f"volumes.{name}.copies", set[int]()
        for zone, shards in volume.copies.items():
            known = sorted(self.copies.regions)
            if zone not in known:
                raise ValueError(f"{place}: {zone!r} is no zone; `copies.regions` has {known}")
            if len(shards) != len(volume.shards):
                count = len(volume.shards)
                raise ValueError(f"{place}.{zone}: {len(shards)} shards, where `shards` has {count}")
            for shard in shards:
                if shard in seen:
                    raise ValueError(f"{place}.{zone}: shard {shard} is named twice")
                seen.add(shard)
        if len(volume.copies) < 2:
            raise ValueError(f"{place}: all copies lie in one zone, {next(iter(volume.copies))!r}")
        if volume.shards not in volume.copies.values():
            raise ValueError(f"{place}: no zone's list is `shards`, {volume.shards}, the first copies")
        if self.council is None or self.fleet is None:
            raise ValueError(f"{place}: copies need `fleet` and `council`, which decide what is in sync")

    def _check_common_ground(self) -> None:
        """Check the fleet's and the council's settings.  Raises ValueError naming the place."""
        fleet, council = self.fleet, self.council
        self._check_presence()
        if self.zones is not None:
            self._check_zones(self.zones)
        if fleet is not None:
            own = {fleet.advertise, fleet.listen if not fleet.listen.endswith(":0") else None}
            for index, seed in enumerate(fleet.seeds):
                if seed in own:
                    raise ValueError(f"fleet.seeds[{index}]: {seed!r} is this process itself")
            if self.name in fleet.routes:
                raise ValueError(f"fleet.routes: {self.name!r} is this process itself")
        if self.rollout is not None and council is None:
            raise ValueError("rollout: needs `council`, by whose decrees it goes")
        if council is None:
            return
        if fleet is None:
            raise ValueError("council: needs `fleet`, by which its decrees are told")
        count = len(council.seats)
        if count not in (3, 5):
            raise ValueError(f"council.seats: {count} seats; 3 or 5 can outvote the loss of 1 or 2")
        if len(set(council.seats.values())) != count:
            raise ValueError("council.seats: two seats have one address")
        if council.store is not None and self.name not in council.seats:
            raise ValueError(f"council.store: {self.name!r} is none of the seats {sorted(council.seats)}")
        if council.heartbeat_ms * 3 > council.election_ms:
            raise ValueError("council.heartbeat_ms: over a third of election_ms; a lost one would elect anew")
        least = 4 * council.election_ms + council.renew_ms
        if council.hold_ms < least:
            raise ValueError(
                f"council.hold_ms: {council.hold_ms:g} is shorter than a leader's death takes; with these "
                f"elections at least {least:g}"
            )

    def _check_presence(self) -> None:
        """Check presence's settings.  Raises ValueError naming the place."""
        presence = self.presence
        if presence is None:
            return
        if self.fleet is None:
            raise ValueError("presence: needs `fleet`, by which gateways find one another")
        if self.observe.admin is None:
            raise ValueError("presence: needs `observe.admin`, where it is asked")
        if presence.silent_ms < 2 * presence.beat_ms:
            raise ValueError("presence.silent_ms: under twice beat_ms; a late beat would make members unsure")
        if presence.gone_ms <= presence.silent_ms:
            raise ValueError("presence.gone_ms: not above silent_ms; members would be gone before unsure")

    def _check_zones(self, zones: FailoverSettings) -> None:
        """Check the zones against the fleet.  Raises ValueError naming the place."""
        if self.fleet is None:
            raise ValueError("zones: needs `fleet`, by which evidence and decrees are told")
        known, zone, region = ", ".join(sorted(zones.zones)), self.fleet.zone, self.fleet.region
        if zone not in zones.zones:
            raise ValueError(f"fleet.zone: {zone!r} is no zone of `zones.zones`, which has {known}")
        if region and zones.zones[zone].region != region:
            raise ValueError(
                f"fleet.region: {region!r}; by `zones.zones` {zone!r} is in {zones.zones[zone].region!r}"
            )

    def plan_index(self, name: str) -> int:
        """Return a plan's number for the decision module."""
        return sorted(self.plans).index(name)

    def class_of(self, method: str, size: int | None) -> int:
        """Return the class of a storage operation; a size that is unknown matches only unbounded classes."""
        for index, cls in enumerate(self.classes):
            if method in cls.methods and (
                cls.max_bytes is None or (size is not None and size <= cls.max_bytes)
            ):
                return index
        raise AssertionError(f"no class for {method}")

    def units_of(self, size: int | None) -> float:
        """Return the units of a size in bytes; of an unknown one the most."""
        if size is None:
            return self.units.most
        return float(min(self.units.most, max(1, -(-size // self.units.unit_bytes))))


METHODS = (
    "GET",
    "HEAD",
    "PUT",
    "DELETE",
    "MKCOL",
    "COPY",
    "MOVE",
    "PROPFIND",
    "PROPPATCH",
    "LOCK",
    "UNLOCK",
)


def interface_settings(settings: Gateway) -> interface.Settings:
    """Put the settings into the decision module's terms.  Raises ValueError naming a field."""
    classes = tuple(
        interface.RequestClass(
            latency_objective_ms=c.aim_ms,
            deadline_ms=c.deadline_ms,
            priority_weight=c.worth,
            late_priority_weight=c.late_worth,
            idempotency=interface.Idempotency(c.effect),
            deduplication_scope=interface.DeduplicationScope(c.group),
            deduplication_window_ms=c.repeat_window_ms,
            ordered=c.in_turn,
            is_write=c.effect != "repeatable",
        )
        for c in settings.classes
    )
    plans = tuple(
        interface.Plan(**msgspec.structs.asdict(plan)) for _, plan in sorted(settings.plans.items())
    )
    scheduler = msgspec.structs.asdict(settings.scheduler)
    return interface.Settings(
        classes=classes,
        plans=plans,
        must_ask=True,
        most_units=settings.units.most,
        connect_timeout_ms=settings.nodes.connect_timeout_ms,
        **scheduler,
    )
