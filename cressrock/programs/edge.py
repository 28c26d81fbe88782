"""Factories of the components that only an edge has: its decision module and its planner link."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio
import msgspec

from cressrock.dispatch.ledger import Ledger
from cressrock.dispatch.quota import EdgeQuota
from cressrock.dispatch.task_driver import TaskDriver
from cressrock.edge.decisions import EdgeDecisions
from cressrock.edge.disposition import DisconnectedPolicy
from cressrock.edge.ordering import KeyOrdering
from cressrock.edge.planner_link import PlannerLink
from cressrock.edge.reconnect import ReconnectBackoff
from cressrock.link.protocol import LinkLimits
from cressrock.programs.composition import SEED_BITS, Components, Environment, child_rng
from cressrock.settings.types import Gateway as Settings
from cressrock.settings.types import interface_settings

INCARNATION_BITS = 48


def create_edge_decisions(
    settings: Settings,
    components: Components,
    ledger: Ledger,
    rng: random.Random,
    edges_of: Callable[[str], int],
) -> EdgeDecisions:
    """Return an edge's decision module.

    With `pair.edges` set, it also has a local scheduler and quota for the time without a planner.
    `edges_of(volume)` is the number of edges that share the volume's limit; a reload may change it.
    """
    pair, scheduler = settings.pair, settings.scheduler
    policy = DisconnectedPolicy(pair.answer_margin_ms, pair.retry_least_ms, pair.retry_most_ms)
    jitter, now_ms = child_rng(rng), anyio.current_time() * 1000
    local, quota = None, None
    if pair.edges:
        # Schedules as one of `edges` hosts, without the free retry budget and slow-start capacity that a
        # planner may already have spent (see edge/decisions.py).
        scheduler_settings = msgspec.structs.replace(
            scheduler, hosts=pair.edges, budget_free=0.0, cold_bears=0.0, limits_lent=True
        )
        local_settings = msgspec.structs.replace(settings, scheduler=scheduler_settings)
        local = components.decisions(local_settings, rng.getrandbits(SEED_BITS), now_ms)
        quota = EdgeQuota(interface_settings(local_settings).plans, edges_of, pair.lend_ms, now_ms)
    return components.edge(
        ledger,
        policy,
        jitter,
        ordering=KeyOrdering(interface_settings(settings).classes, scheduler.order_settle_ms),
        local=local,
        quota=quota,
        uncounted_after_ms=scheduler.tick_ms,
        budget_window_ms=scheduler.budget_window_ms,
    )


def create_planner_link(
    settings: Settings,
    environment: Environment,
    edge: EdgeDecisions,
    driver: TaskDriver,
    rng: random.Random,
) -> PlannerLink:
    """Return an edge's link, which connects to the first planner in order of preference that answers."""
    pair = settings.pair
    jitter = child_rng(rng)
    return PlannerLink(
        edge,
        ReconnectBackoff(
            tuple(pair.planners),
            jitter,
            min_wait_ms=pair.reconnect_least_ms,
            max_wait_ms=pair.reconnect_most_ms,
        ),
        environment.connect,
        driver.request_batch,
        name=settings.name,
        incarnation=f"{rng.getrandbits(INCARNATION_BITS):012x}",
        clock=driver.clock,
        limits=LinkLimits(ping_ms=pair.ping_ms, silent_ms=pair.silent_ms),
        log=environment.log,
    )
