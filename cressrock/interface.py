"""What goes into and comes out of the scheduler: settings, events, actions, outcomes.

Nothing here decides anything.  Times are milliseconds on the caller's clock; sizes are units.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum


class Idempotency(Enum):
    """How far a request of a class may be repeated."""

    ALWAYS = "repeatable"
    KEYED = "keyed"
    NEVER = "unsafe"


class DeduplicationScope(Enum):
    """Which nodes drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "shard"


class Outcome(Enum):
    """How an attempt ended.  FULL, NO_CONNECTION and ABANDONED prove that it never ran."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    ABANDONED = "moot"


class NodeState(Enum):
    """What the node list says of a node's process."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a report of the node list is."""

    CHANGES = "changes"
    COMPLETE = "complete"
    CACHED = "cached"
    FAILED = "failed"


def _check(owner: object, positive: tuple[str, ...]) -> None:
    """Raise ValueError for a number that makes no sense, naming its field."""
    for field in fields(owner):  # type: ignore[arg-type]
        value = getattr(owner, field.name)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            continue
        low = value <= 0 if field.name in positive else value < 0
        if low or value != value or value == float("inf"):
            raise ValueError(f"{type(owner).__name__}.{field.name} makes no sense: {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: latency objective, deadline, weight among others, and what may be repeated."""

    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    idempotency: Idempotency = Idempotency.NEVER
    deduplication_scope: DeduplicationScope = DeduplicationScope.SHARD
    deduplication_window_ms: float = 0.0
    ordered: bool = False
    is_write: bool = False

    def __post_init__(self) -> None:
        """Check the figures."""
        _check(self, ("latency_objective_ms", "deadline_ms"))


@dataclass(frozen=True, slots=True)
class Plan:
    """What a volume on this plan may expect of all hosts and nodes together; limit_rate 0 means no limit."""

    weight: float = 1.0
    rate: float = 0.0
    reserve: float = 0.0
    price: float = 1.0
    limit_rate: float = 0.0
    limit_burst: float = 0.0
    limit_slack: float = 0.0

    def __post_init__(self) -> None:
        """Check the figures."""
        _check(self, ("weight",))


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a host is told when it starts.

    The fields have the names of the operators' settings (docs/settings.md), units are those of sizes.
    """

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...] = (Plan(),)
    hosts: int = 1
    must_ask: bool = False
    may_cancel: bool = False
    tick_ms: float = 1.0
    max_attempts: int = 1
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    ask_every_ms: float = 0.0
    cold_from: float = 1.0
    warm_up_ms: float = 0.0
    cold_window_ms: float = 0.0
    cold_bears: float = 0.0
    order_settle_ms: float = 0.0
    budget_window_ms: float = 0.0
    budget_free: float = 0.0
    budget_share: float = 0.0
    budget_begins_spent: bool = False
    limits_lent: bool = False
    connect_timeout_ms: float = 0.0
    advice_max_ms: float = 0.0
    usual_units: float = 1.0
    most_units: float = 1.0
    share_worth: float = 1.0
    spare_worth: float = 1.0
    meter_period_ms: float = 0.0
    tells_others: bool = False

    def __post_init__(self) -> None:
        """Check the figures."""
        _check(self, ("hosts", "tick_ms", "max_attempts", "usual_units", "most_units", "cold_from"))
        if not self.classes or not self.plans:
            raise ValueError("Settings need at least one class and one plan")


@dataclass(frozen=True, slots=True)
class Node:
    """One line of the node list; started_at_ms 0 means long ago."""

    name: str
    shard: int
    zone: int = 0
    started_at_ms: float = 0.0
    state: NodeState = NodeState.READY


@dataclass(frozen=True, slots=True)
class NodeList:
    """A report of the node list."""

    kind: ListKind
    nodes: tuple[Node, ...] = ()


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's request; from now on one final answer is pending.  shard -1: any node may take it.

    `waited_ms` is how long its user has waited already; negative: nobody knows, and what `remaining_ms`
    lacks of the longest seen of its class stands for it.  Of what another decider had before:
    `earlier_attempts` are those made there, and `counted_in_budget` says that its budget of retries has
    counted the request.
    """

    request: str
    volume: str
    key: str
    units: float
    remaining_ms: float
    plan: int = 0
    request_class: int = 0
    shard: int = -1
    sharing_hosts: int = 1
    waited_ms: float = -1.0
    earlier_attempts: int = 0
    counted_in_budget: bool = False


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt's outcome; settled: the client has its final answer.

    `charged`: whether a limit's store took the request's units, None where nobody can tell.
    """

    request: str
    attempt: int
    outcome: Outcome
    settled: bool
    latency_ms: float
    reported_usage: int = 0
    units_elsewhere: float = 0.0
    charged: bool | None = True


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client of a request no longer waits."""

    request: str


@dataclass(frozen=True, slots=True)
class LimitLease:
    """Units of a volume's limit that may be spent until a time.  With `limits_lent` there are no others."""

    volume: str
    units: float
    expires_at_ms: float


@dataclass(frozen=True, slots=True)
class RetryBudgetUsage:
    """When further attempts were made, and requests taken, that count in the budget and came by others."""

    retried_at_ms: tuple[float, ...]
    arrived_at_ms: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the module set is due."""

    token: int


Event = NodeList | Arrival | AttemptEnded | ClientLeft | LimitLease | RetryBudgetUsage | TimerFired


@dataclass(frozen=True, slots=True)
class Send:
    """Start the next attempt of a request at a node; timeout_ms 0 means until the client gives up."""

    request: str
    node: str
    timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: a new try is harmless."""

    request: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: nothing is promised of the effect."""

    request: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """End the wait on an attempt; its outcome still comes.  The node may go on with the work."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired at a time."""

    at_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask the node list for a subscription to its changes."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the on-call staff."""

    text: str


Action = Send | Reject | Fail | Cancel | SetTimer | Subscribe | Log
