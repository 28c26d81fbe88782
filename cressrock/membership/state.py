"""State that the components of one process's membership share."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from cressrock.membership.broadcast_queue import BroadcastQueue
from cressrock.membership.events import Event
from cressrock.membership.health import HealthScore
from cressrock.membership.local_member import LocalMember
from cressrock.membership.member_table import MemberTable
from cressrock.membership.settings import MembershipSettings
from cressrock.membership.timers import TimerQueue


@dataclass(frozen=True, slots=True)
class MembershipState:
    """Settings, random source, member table, queued updates, timers, pending events and counters."""

    settings: MembershipSettings
    rng: random.Random
    local: LocalMember
    table: MemberTable
    health: HealthScore
    queue: BroadcastQueue = field(default_factory=BroadcastQueue)
    timers: TimerQueue = field(default_factory=TimerQueue)
    events: list[Event] = field(default_factory=list)
    counters: Counter[str] = field(default_factory=Counter)  # unexpected events, by reason
