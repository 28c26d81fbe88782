"""Types of the gateway's settings.

Times end in `_ms` or `_s`, sizes in `_bytes`.  Every memory limit of the program is a setting here.
"""

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
    """A class of requests; a request belongs to the first class whose `methods` and `max_bytes` match."""

    name: Name
    methods: list[str]
    max_bytes: int | None = None  # largest request body; null: any size
    aim_ms: Positive
    deadline_ms: Positive
    worth: Positive = 1.0
    late_worth: Share = 0.0
    effect: Literal["repeatable", "keyed", "unsafe"]
    group: Literal["all", "zone", "shard"] = "shard"
    repeat_window_ms: Milliseconds = 0.0
    in_turn: bool = False


class Plan(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The capacity a volume on this plan gets, in units per second, summed over all dispatchers and nodes."""

    weight: Positive = 1.0
    rate: Milliseconds = 0.0
    reserve: Milliseconds = 0.0
    price: Positive = 1.0
    limit_rate: Milliseconds = 0.0  # 0: no limit
    limit_burst: Milliseconds = 0.0
    limit_slack: Milliseconds = 0.0


class Volume(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A volume; its name is the first segment of its paths."""

    shards: Annotated[list[Annotated[int, Meta(ge=0, le=65535)]], Meta(min_length=1, max_length=1024)]
    plan: str
    writers: Count = 1  # dispatchers that receive its requests; with planners, the number of planners
    edges: Annotated[int, Meta(ge=0, le=65535)] = 0  # with planners, edges it comes through; 0: `pair.edges`
    # The shards that hold the volume's copies, by zone.  Each list is parallel to `shards`, and one of them
    # equals it: the zone that holds the primary copies when the cluster is founded.  Empty: no copies.
    copies: Annotated[
        dict[Name, Annotated[list[Annotated[int, Meta(ge=0, le=65535)]], Meta(min_length=1)]],
        Meta(max_length=8),
    ] = {}


class Copies(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Writes, reads and repair of volumes with copies (`docs/copies.md`)."""

    regions: dict[Name, Name] = {}  # the region of each zone that holds copies
    first_share: Annotated[float, Meta(gt=0, lt=1)] = 0.5  # part of a request's time for the primary copy
    follow_share: Annotated[float, Meta(gt=0, lt=1)] = 0.5  # part of the rest, for each round of other copies
    # A gateway that receives gossip stops reading a copy within this time after the decision that removes the
    # copy from the in-sync set.  The first write acknowledged without that copy waits this long.
    told_ms: Milliseconds = 300.0
    ask_ms: Positive = 3000.0  # time limit for a decision that a request waits for
    witnesses: Annotated[int, Meta(ge=1, le=1024)] = 2  # gateways missing a primary copy before it moves
    look_ms: Positive = 250.0  # interval at which the leading planner checks the in-sync sets
    back_least_ms: Positive = 1000.0  # minimum time out of the set, doubled at each removal
    back_most_ms: Positive = 300000.0
    forget_ms: Positive = 600000.0  # a copy in the set for this long has its earlier removals forgotten
    repair_share: Annotated[float, Meta(gt=0, le=1)] = 0.5  # part of the time, one repair operation at a time
    repair_rate: Positive = 200.0  # operations per second
    repair_busy: Annotated[float, Meta(gt=0, le=1)] = 0.8  # repair pauses on a node busier than this fraction
    repair_pause_ms: Positive = 250.0


class Scheduler(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Parameters of the decision module's scheduling rules."""

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
    budget_begins_spent: bool = False  # after a restart, count the free retries as already spent
    limits_lent: bool = False  # edges lease limit units to planners; set by the programs themselves
    usual_units: Positive = 1.0
    meter_period_ms: Milliseconds = 0.0


class Units(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Conversion of request size to units: one per `unit_bytes` or part of it, at most `most`."""

    unit_bytes: Bytes = 65536
    most: Positive = 8.0


class NodeList(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Source of the node list: xDS endpoint discovery over REST-JSON."""

    address: Address
    cluster: Name = "storage"
    poll_ms: Positive = 1000.0
    timeout_ms: Positive = 2000.0
    cache: str | None = None  # file that keeps the last node list across restarts
    max_nodes: Count = 16384  # each takes 2 KB while a list is being read
    max_body_bytes: Bytes = 4194304


class Front(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The WebDAV server that receives client requests."""

    listen: Address = "127.0.0.1:8080"
    max_connections: Count = 8192
    max_requests: Count = 20000  # accepted and not yet answered
    answer_margin_ms: Milliseconds = 20.0  # part of the client's deadline reserved for sending the response
    key_memory_ms: Milliseconds = 60000.0  # a key is remembered so long, or longer if classes need it
    max_keys: Count = 100000  # remembered at once; without room, a request with a new key is refused
    longest_wait_s: Positive = 3600.0  # upper limit for `Prefer: wait`
    retry_after_ms: Positive = 1000.0
    max_put_bytes: Bytes = 2**40
    gather_bytes: Bytes = 65536  # a body up to this size is read in full before the request is accepted
    max_xml_bytes: Bytes = 262144
    max_xml_depth: Annotated[int, Meta(ge=4, le=200)] = 64
    longest_lock_s: Count = 604800
    reader_patience_ms: Positive = 2000.0  # a client that reads nothing for this long frees its node
    bounds: ServerBounds = ServerBounds()


class Payloads(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Buffers for request bodies, kept for retries."""

    memory_bytes: Bytes = 268435456  # total over all requests
    spill_bytes: Bytes = 1048576  # a larger body is stored in a temporary file
    directory: str | None = None


class Pair(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Edge and planner as separate programs; without planners, each dispatcher schedules by itself."""

    planners: Annotated[list[Address], Meta(max_length=64)] = []  # for an edge, in order of preference
    listen: Address = "127.0.0.1:7400"  # for a planner: the address that edges connect to
    epoch_file: str | None = None  # file that keeps a planner's epoch across restarts
    grant_ms: Positive = 400.0  # validity of a grant, counted from its edge's newest event
    max_inside: Count = 2000  # operations that a planner schedules at one time
    max_edges: Count = 1024
    answer_margin_ms: Positive = 100.0  # with no planner, requests are answered this long before deadline
    retry_least_ms: Positive = 1000.0
    retry_most_ms: Positive = 8000.0
    reconnect_least_ms: Positive = 200.0
    reconnect_most_ms: Positive = 5000.0
    ping_ms: Positive = 300.0
    silent_ms: Positive = 1200.0  # a peer that sends nothing for longer counts as disconnected
    edges: Annotated[int, Meta(ge=0, le=65535)] = 0  # how many exist; 0: an edge without a planner only waits
    lend_ms: Positive = 400.0  # how long a planner may use limit units that an edge lent to it


class Fleet(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Cluster membership and gossip of this process (`docs/fleet.md`)."""

    cluster: Name = "cressrock"  # cluster id; datagrams with a different one are dropped
    listen: Address = "127.0.0.1:7410"  # UDP and TCP
    advertise: Address | None = None  # address at which others reach this process; unset: `listen`
    seeds: Annotated[list[Address], Meta(max_length=64)] = []  # members to join through; some may be down
    routes: dict[Name, Address] = {}  # address per member name; overrides the one it advertises
    zone: Annotated[str, Meta(max_length=64)] = ""
    region: Annotated[str, Meta(max_length=64)] = ""
    life_file: str | None = None  # keeps the incarnation across restarts, in addition to the wall clock
    period_ms: Annotated[float, Meta(ge=20, le=60000)] = 1000.0  # protocol period of the membership protocol
    ride_out_ms: Positive = 2000.0  # a process that stalls for up to this long is not declared dead
    collect_from: Annotated[int, Meta(ge=0, le=1 << 20)] = 0  # with more edges, use collectors; 0: derived


class CouncilSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The consensus group (council): its seats, and the seat of this process if it has one."""

    seats: Annotated[dict[Name, Address], Meta(min_length=1, max_length=5)]  # address of each, seen from here
    listen: Address = "127.0.0.1:7420"  # for a seat: the address that other seats connect to
    store: str | None = None  # for a seat: file of its log and vote; unset: this process has no seat
    start: Literal["found", "join", "expect"] = "found"
    seen_file: str | None = None  # newest versions seen, so that nothing older is accepted after a restart
    election_ms: Annotated[float, Meta(ge=50, le=60000)] = 1000.0
    heartbeat_ms: Annotated[float, Meta(ge=10, le=10000)] = 150.0
    renew_ms: Annotated[float, Meta(ge=20, le=60000)] = 1000.0  # interval at which decisions are renewed
    hold_ms: Annotated[float, Meta(ge=100, le=3600000)] = 10000.0  # validity of a decision without renewal


class PresenceSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Presence: rooms and their members across all gateways (`docs/presence.md`)."""

    grace_ms: Positive = 30000.0  # a session ends when its client is away for longer
    silent_ms: Positive = 3000.0  # a gateway that sends nothing for longer has its members marked unsure
    gone_ms: Positive = 60000.0  # after this time the members of a silent gateway count as gone
    beat_ms: Positive = 1000.0  # heartbeat interval of a stream between gateways
    tell_ms: Positive = 30.0  # changes are batched for this long before they are sent
    hold_back_ms: Positive = 2000.0  # a change waits at most this long for an earlier one that is missing
    linger_ms: Positive = 60000.0  # a room is followed for this long after the last request for it
    sync_ms: Positive = 1000.0  # the first response about a room waits this long for other gateways
    longest_wait_ms: Positive = 60000.0  # upper limit for `wait_ms`
    hold_ms: Annotated[float, Meta(ge=100, le=3600000)] = 10000.0  # validity of an unrenewed agreed name
    carries_ms: Positive = 60000.0  # a gateway carries a volume for this long after the last request for it
    max_members: Count = 200000  # at this gateway; about 1 KiB each
    max_room: Count = 20000  # members of one room
    max_rooms: Count = 20000
    max_views: Count = 4096  # rooms followed
    max_watchers: Count = 10000  # concurrent long polls
    max_names: Count = 1024  # agreed names held by sessions at this gateway
    max_streams: Count = 1024  # from other gateways
    max_backlog_bytes: Bytes = 8388608  # per stream; a larger backlog closes the stream and starts it anew
    max_data: Annotated[int, Meta(ge=0, le=4096)] = 256  # bytes of application data per member
    max_locks: Annotated[int, Meta(ge=0, le=64)] = 16
    feed: Count = 1024  # events kept per room, so that a watcher can lag by that many


class RolloutSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Staged rollout of rules (`docs/rollout.md`); the parameters of one rollout are in its document."""

    keep_file: str | None = None  # keeps the last good rules and the starts under a candidate across restarts
    look_ms: Annotated[float, Meta(ge=20, le=60000)] = 1000.0  # how often the leader checks evidence
    tell_ms: Annotated[float, Meta(ge=20, le=60000)] = 2000.0  # how often a process reports counters
    starts: Annotated[int, Meta(ge=1, le=16)] = 3  # unclean starts until a process reverts alone
    starts_within_ms: Milliseconds = 600000.0


class Observe(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Logging and the admin port."""

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
    fleet: Fleet | None = None  # unset: no connections to other processes except `pair`
    council: CouncilSettings | None = None
    presence: PresenceSettings | None = None  # unset: presence is off
    rollout: RolloutSettings | None = None  # unset: the rules are those of the settings; nothing is reported
    zones: FailoverSettings | None = None  # unset: reads are never sent to another zone because of a failure
    stop_after_ms: Positive = 30000.0  # time limit for finishing open requests after SIGTERM

    def __post_init__(self) -> None:
        """Check constraints between fields.  Raises ValueError naming the setting."""
        if not self.plans:
            raise ValueError("plans: at least one plan is needed")
        for name, volume in self.volumes.items():
            if volume.plan not in self.plans:
                known = ", ".join(sorted(self.plans))
                raise ValueError(f"volumes.{name}.plan: {volume.plan!r} is no plan; known plans are {known}")
            if len(set(volume.shards)) != len(volume.shards):
                raise ValueError(f"volumes.{name}.shards: a shard is named twice")
            self._check_copies(name, volume)
        known_methods = set(METHODS)
        covered: set[str] = set()
        for index, cls in enumerate(self.classes):
            unknown = [m for m in cls.methods if m not in known_methods]
            if unknown:
                raise ValueError(f"classes[{index}].methods: {unknown[0]!r} is no WebDAV method")
            if cls.effect == "keyed" and not cls.repeat_window_ms:
                raise ValueError(
                    f"classes[{index}].repeat_window_ms: a keyed class needs a window above 0 ms"
                )
            covered.update(cls.methods if cls.max_bytes is None else ())
        missing = sorted(known_methods - covered)
        if missing:
            raise ValueError(
                f"classes: {missing[0]} has no class without max_bytes; add one for bodies of any size"
            )
        interface_settings(self)
        self._check_cluster()

    def _check_copies(self, name: str, volume: Volume) -> None:
        """Check that a volume's copies match its shards and lie in two zones or more.

        Raises ValueError naming the setting.
        """
        if not volume.copies:
            return
        place, seen = f"volumes.{name}.copies", set[int]()
        for zone, shards in volume.copies.items():
            zones = sorted(self.copies.regions)
            if zone not in zones:
                raise ValueError(f"{place}: {zone!r} is no zone; `copies.regions` has {zones}")
            if len(shards) != len(volume.shards):
                count = len(volume.shards)
                raise ValueError(f"{place}.{zone}: {len(shards)} shards, but `shards` has {count}")
            for shard in shards:
                if shard in seen:
                    raise ValueError(f"{place}.{zone}: shard {shard} is named twice")
                seen.add(shard)
        if len(volume.copies) < 2:
            raise ValueError(
                f"{place}: all copies lie in one zone, {next(iter(volume.copies))!r}; add another zone"
            )
        if volume.shards not in volume.copies.values():
            raise ValueError(
                f"{place}: no zone's list is `shards`, {volume.shards}; the primary zone needs that list"
            )
        if self.council is None or self.fleet is None:
            raise ValueError(
                f"{place}: copies need `fleet` and `council`, which decide which copies are in sync"
            )

    def _check_cluster(self) -> None:
        """Check settings that depend on the fleet or the council.  Raises ValueError naming the setting."""
        fleet, council = self.fleet, self.council
        self._check_presence()
        if self.zones is not None:
            self._check_zones(self.zones)
        if fleet is not None:
            own_addresses = {fleet.advertise, fleet.listen if not fleet.listen.endswith(":0") else None}
            for index, seed in enumerate(fleet.seeds):
                if seed in own_addresses:
                    raise ValueError(f"fleet.seeds[{index}]: {seed!r} is this process itself")
            if self.name in fleet.routes:
                raise ValueError(f"fleet.routes: {self.name!r} is this process itself")
        if self.rollout is not None and council is None:
            raise ValueError("rollout: needs `council`, which decides its steps")
        if council is None:
            return
        if fleet is None:
            raise ValueError("council: needs `fleet`, which distributes its decisions")
        count = len(council.seats)
        if count not in (3, 5):
            raise ValueError(
                f"council.seats: {count} seats; 3 or 5 are needed to keep a majority when 1 or 2 fail"
            )
        if len(set(council.seats.values())) != count:
            raise ValueError("council.seats: two seats have the same address")
        if council.store is not None and self.name not in council.seats:
            raise ValueError(f"council.store: {self.name!r} is not among the seats {sorted(council.seats)}")
        if council.heartbeat_ms * 3 > council.election_ms:
            raise ValueError(
                "council.heartbeat_ms: above a third of election_ms; a lost heartbeat could start an election"
            )
        min_hold_ms = 4 * council.election_ms + council.renew_ms
        if council.hold_ms < min_hold_ms:
            raise ValueError(
                f"council.hold_ms: {council.hold_ms:g} is too short to replace a failed leader; these "
                f"settings need at least {min_hold_ms:g}"
            )

    def _check_presence(self) -> None:
        """Check the dependencies and the times of presence.  Raises ValueError naming the setting."""
        presence = self.presence
        if presence is None:
            return
        if self.fleet is None:
            raise ValueError("presence: needs `fleet`, through which gateways find one another")
        if self.observe.admin is None:
            raise ValueError("presence: needs `observe.admin`, the port that serves it")
        if presence.silent_ms < 2 * presence.beat_ms:
            raise ValueError(
                "presence.silent_ms: below twice beat_ms; one late heartbeat would mark members unsure"
            )
        if presence.gone_ms <= presence.silent_ms:
            raise ValueError(
                "presence.gone_ms: must be above silent_ms; members are marked unsure first, gone later"
            )

    def _check_zones(self, zones: FailoverSettings) -> None:
        """Check this process's zone and region against `zones`.  Raises ValueError naming the setting."""
        if self.fleet is None:
            raise ValueError("zones: needs `fleet`, which distributes evidence and decisions")
        known, zone, region = ", ".join(sorted(zones.zones)), self.fleet.zone, self.fleet.region
        if zone not in zones.zones:
            raise ValueError(f"fleet.zone: {zone!r} is no zone of `zones.zones`, which has {known}")
        if region and zones.zones[zone].region != region:
            raise ValueError(
                f"fleet.region: {region!r}, but `zones.zones` places {zone!r} in {zones.zones[zone].region!r}"
            )

    def plan_index(self, name: str) -> int:
        """Return a plan's index in the decision module's table, which is sorted by name."""
        return sorted(self.plans).index(name)

    def class_of(self, method: str, size: int | None) -> int:
        """Return the index of an operation's class.

        `size` is in bytes; None (unknown) matches only classes without `max_bytes`.
        """
        for index, cls in enumerate(self.classes):
            if method in cls.methods and (
                cls.max_bytes is None or (size is not None and size <= cls.max_bytes)
            ):
                return index
        raise AssertionError(f"no class for {method}")

    def units_of(self, size: int | None) -> float:
        """Return the units for a size in bytes; `units.most` if it is None (unknown)."""
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
    """Convert the settings to those of the decision module.  Raises ValueError naming a field."""
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
