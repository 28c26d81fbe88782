"""Factory functions that build the components of the gateway and the planner from the settings.

Streams, clock, wall time and random seed are passed in, so that the same programs run over real sockets and
in simulated time.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from cressrock import net
from cressrock.dispatch.driver import DecisionModule
from cressrock.dispatch.ledger import Ledger
from cressrock.dispatch.node_client import Connect, NodeClient
from cressrock.dispatch.node_list import NodeListState
from cressrock.dispatch.node_list_poller import NodeListPoller, NodeListSource
from cressrock.dispatch.spill_file import BlockingCalls, InlineCalls
from cressrock.dispatch.task_driver import TaskDriver
from cressrock.edge.decisions import EdgeDecisions
from cressrock.interface import NodeList
from cressrock.observe.event_loop import TurnCounts
from cressrock.planner.epochs import EpochStore, next_epoch
from cressrock.presence.connection import MAGIC as PRESENCE_MAGIC
from cressrock.presence.environment import PresenceEnvironment
from cressrock.presence.service import PresenceService
from cressrock.presence.settings import RoomSettings, ServiceSettings
from cressrock.replication.known_set import ReplicaPlacement
from cressrock.replication.reachability import ReachabilityTracker
from cressrock.replication.service import ReplicatedVolumes
from cressrock.replication.shard_request import DeadlineShares
from cressrock.rollout.service import ProcessSettings as RolloutProcessSettings
from cressrock.rollout.service import RolloutService
from cressrock.runtime.cluster import ClusterRuntime, ProcessIdentity
from cressrock.runtime.sockets import Sockets, SystemSockets
from cressrock.scheduler.scheduler import Scheduler
from cressrock.settings.rules import Tables, Version
from cressrock.settings.types import Gateway as Settings
from cressrock.settings.types import interface_settings
from cressrock.state_file import StateFiles

SEED_BITS = 62


@dataclass(frozen=True, slots=True)
class Environment:
    """The external dependencies of a program.  Times in milliseconds."""

    connect: Connect
    wall_ms: Callable[[], float]
    seed: int
    log: Any
    sockets: Sockets = field(default_factory=SystemSockets)
    allow_threads: bool = True  # blocking calls may run in worker threads; False in simulated time
    state_files: StateFiles = field(default_factory=StateFiles)
    blocking_calls: BlockingCalls = field(default_factory=InlineCalls)  # to files of payloads
    turns: TurnCounts = field(default_factory=TurnCounts)  # of the event loop, in a process of its own


def create_scheduler(settings: Settings, seed: int, now_ms: float) -> DecisionModule:
    """Return the default decision module, initialised at `now_ms`."""
    return Scheduler(interface_settings(settings), seed, now_ms)


@dataclass(frozen=True, slots=True)
class Components:
    """The replaceable components of a dispatcher; tests substitute deliberately broken ones."""

    decisions: Callable[[Settings, int, float], DecisionModule] = create_scheduler
    ledger: type[Ledger] = Ledger
    driver: type[TaskDriver] = TaskDriver
    edge: type[EdgeDecisions] = EdgeDecisions


@dataclass(frozen=True, slots=True)
class RolloutHooks:
    """A program's callbacks for rollouts, and whether it may lead them."""

    on_versions_changed: Callable[[tuple[str, ...]], None]
    planner_has_version: Callable[[str], bool] = lambda digest: True
    may_lead: bool = False


def child_rng(rng: random.Random) -> random.Random:
    """Return an independent generator seeded from `rng`.

    The order of these calls determines the result of a seed.
    """
    return random.Random(rng.getrandbits(SEED_BITS))


def create_node_client(settings: Settings, environment: Environment) -> NodeClient:
    """Return the client that connects to the storage nodes."""
    return NodeClient(environment.connect, settings.nodes, user_agent=f"cressrock/{settings.name}")


def create_node_list_poller(
    settings: Settings,
    environment: Environment,
    node_client: NodeClient,
    on_report: Callable[[NodeList], None],
) -> NodeListPoller:
    """Return the poller of the node list; it passes each new list to `on_report`."""
    node_list = settings.node_list
    return NodeListPoller(
        NodeListState(node_list.cluster, max_nodes=node_list.max_nodes),
        node_client,
        NodeListSource(
            node_list.address, settings.name, node_list.poll_ms, node_list.timeout_ms, cache=node_list.cache
        ),
        on_report=on_report,
        wall_ms=environment.wall_ms,
        log=environment.log,
        state_files=environment.state_files,
    )


def create_runtime(
    settings: Settings, environment: Environment, role: str, rng: random.Random
) -> ClusterRuntime | None:
    """Return the process's cluster runtime under a new incarnation; None if `fleet` is not set.

    Raises OSError if the incarnation cannot be stored.
    """
    if settings.fleet is None:
        return None
    store = EpochStore(settings.fleet.life_file)
    incarnation = next_epoch(store.read(), environment.wall_ms())
    store.write(incarnation)
    reads_evidence = settings.zones is not None or settings.rollout is not None
    return ClusterRuntime(
        ProcessIdentity(settings.name, incarnation, role, settings.fleet, settings.council),
        environment.sockets,
        clock=net.clock(),
        wall_ms=environment.wall_ms,
        rng=child_rng(rng),
        log=environment.log,
        allow_threads=environment.allow_threads,
        state_files=environment.state_files,
        is_collector=role == "planner" and reads_evidence,
    )


def create_presence(
    settings: Settings, runtime: ClusterRuntime, volumes: Callable[[], Iterable[str]]
) -> PresenceService:
    """Return a gateway's presence service, registered with its cluster runtime."""
    values = msgspec.structs.asdict(settings.presence) if settings.presence is not None else {}

    def values_of(kind: type[msgspec.Struct]) -> dict[str, Any]:
        return {name: values[name] for name in kind.__struct_fields__ if name in values}

    identity = runtime.identity
    service = PresenceService(
        ServiceSettings(**values_of(ServiceSettings)),
        RoomSettings(**values_of(RoomSettings)),
        PresenceEnvironment(
            name=identity.name,
            incarnation=identity.incarnation,
            region=identity.fleet.region,
            cluster=identity.fleet.cluster,
            routes=identity.fleet.routes,
            gossip=runtime.gossip,
            members=runtime.members,
            connect=runtime.sockets.connect,
            consensus=lambda: runtime.consensus,
            cached_decision=runtime.decision_cache.get,
            volumes=volumes,
            clock_ms=runtime.clock,
            rng=child_rng(runtime.rng),
            log=runtime.log,
        ),
    )
    runtime.stream_handlers[PRESENCE_MAGIC] = service.serve
    runtime.on_gossip_change.append(service.on_gossip_change)
    runtime.decision_cache.listeners.append(service.on_decision)
    return service


def create_rollout(
    settings: Settings,
    environment: Environment,
    runtime: ClusterRuntime,
    tables: Tables,
    rng: random.Random,
    hooks: RolloutHooks,
) -> RolloutService[Version]:
    """Return the process's rollout service."""
    own, council = settings.rollout, settings.council
    assert own is not None and council is not None and settings.fleet is not None
    process = RolloutProcessSettings(
        settings.name,
        settings.fleet.zone,
        [request_class.name for request_class in settings.classes],
        council.hold_ms,
        own.keep_file,
        own.look_ms,
        own.tell_ms,
        own.starts,
        own.starts_within_ms,
    )
    # Name and incarnation make the seed unique.  Without them, processes that share a configured seed would
    # draw the same numbers, and a burst that reaches all of them would go to a single version.
    seed = f"{rng.getrandbits(SEED_BITS)}/{settings.name}/{runtime.identity.incarnation}"
    return RolloutService(
        runtime,
        tables,
        process,
        clock=net.clock(),
        wall_ms=environment.wall_ms,
        rng=random.Random(seed),
        log=environment.log,
        on_versions_changed=hooks.on_versions_changed,
        planner_has_version=hooks.planner_has_version,
        may_lead=hooks.may_lead,
        zone_of=lambda name: next((m.zone for m in runtime.members() if m.name == name), ""),
        state_files=environment.state_files,
    )


def set_rule_versions(decisions: DecisionModule | None, tables: Tables) -> None:
    """Extend a scheduler's tables with all rule versions in `tables`; other modules are left unchanged."""
    if isinstance(decisions, Scheduler):
        decisions.extend_tables(tables.rows(decisions.settings))


def replica_placements(settings: Settings) -> dict[str, ReplicaPlacement]:
    """Return the replica placement of each replicated volume, by volume name."""
    return {
        name: ReplicaPlacement(
            tuple(volume.shards), {zone: tuple(shards) for zone, shards in volume.copies.items()}
        )
        for name, volume in settings.volumes.items()
        if volume.copies
    }


def create_replicated_volumes(
    settings: Settings,
    runtime: ClusterRuntime,
    reachability: ReachabilityTracker,
    clock: Callable[[], float],
    log: Any,
) -> ReplicatedVolumes | None:
    """Return the service for replicated volumes; None if there are none or consensus is not configured."""
    placements, replication = replica_placements(settings), settings.copies
    fleet, council = settings.fleet, settings.council
    if not placements or council is None:
        return None
    shares = DeadlineShares(
        replication.first_share,
        replication.follow_share,
        replication.told_ms,
        replication.ask_ms,
        council.hold_ms,
    )
    return ReplicatedVolumes(
        placements,
        runtime,
        shares,
        reachability,
        zone=fleet.zone if fleet is not None else "",
        regions=replication.regions,
        clock=clock,
        log=log,
        retry_after_ms=settings.front.retry_after_ms,
    )
