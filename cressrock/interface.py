"""The scheduler's interface: settings, events, actions and outcomes.

It contains types only, no logic.  Times are milliseconds on the caller's clock; sizes are in units.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum


class Idempotency(Enum):
    """Whether a request of a class may be repeated: always, with deduplication by key, or never."""

    ALWAYS = "repeatable"
    KEYED = "keyed"
    NEVER = "unsafe"


class DeduplicationScope(Enum):
    """Which nodes drop a repeat of a keyed request: all, or those of the first node's zone or shard."""

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
    """State of a node's process according to the node list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """Kind of a node list report: changed entries, a complete list, a cached copy or a failed request."""

    CHANGES = "changes"
    COMPLETE = "complete"
    CACHED = "cached"
    FAILED = "failed"


def _check(owner: object, positive: tuple[str, ...]) -> None:
    """Raise ValueError for a number that is not finite, is negative, or is 0 in a field in `positive`."""
    for field in fields(owner):  # type: ignore[arg-type]
        value = getattr(owner, field.name)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            continue
        low = value <= 0 if field.name in positive else value < 0
        if low or value != value or value == float("inf"):
            raise ValueError(f"{type(owner).__name__}.{field.name} is infinite, NaN or too low: {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: latency objective, deadline, priority weights, and how far repeats are allowed."""

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
        """Check that the values are in range.  Raises ValueError."""
        _check(self, ("latency_objective_ms", "deadline_ms"))


@dataclass(frozen=True, slots=True)
class Plan:
    """A volume's entitlement across all hosts and nodes; `limit_rate` 0 means no limit.

    `rate`, `reserve` and `limit_rate` are units per second; `limit_burst` and `limit_slack` are units.
    """

    weight: float = 1.0
    rate: float = 0.0
    reserve: float = 0.0
    price: float = 1.0
    limit_rate: float = 0.0
    limit_burst: float = 0.0
    limit_slack: float = 0.0

    def __post_init__(self) -> None:
        """Check that the values are in range.  Raises ValueError."""
        _check(self, ("weight",))


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a host, given when it starts.

    The fields are named like the operators' settings (docs/settings.md); "units" are units of request size.
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
        """Check that the values are in range.  Raises ValueError."""
        _check(self, ("hosts", "tick_ms", "max_attempts", "usual_units", "most_units", "cold_from"))
        if not self.classes or not self.plans:
            raise ValueError("Settings need at least one class and one plan")


@dataclass(frozen=True, slots=True)
class Node:
    """One entry of the node list; `started_at_ms` 0 means long ago."""

    name: str
    shard: int
    zone: int = 0
    started_at_ms: float = 0.0
    state: NodeState = NodeState.READY


@dataclass(frozen=True, slots=True)
class NodeList:
    """A node list report, which carries no nodes if it failed."""

    kind: ListKind
    nodes: tuple[Node, ...] = ()


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's request, which has to get exactly one final answer.  `shard` -1 means any node.

    `waited_ms` is how long the user has already waited; if negative (unknown), it is estimated as the
    difference between `remaining_ms` and the highest value seen for the class.  If another scheduler handled
    the request before, `earlier_attempts` is the number of attempts made there, and `counted_in_budget` tells
    that its retry budget counted the request.
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
    """The outcome of an attempt; `settled` means that the client has its final answer.

    `charged`: whether the limit's store counted the request's units; None if unknown.
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
    """The client of a request disconnected or stopped waiting."""

    request: str


@dataclass(frozen=True, slots=True)
class LimitLease:
    """Units of a volume's limit that may be spent until the expiry time; the only ones with `limits_lent`."""

    volume: str
    units: float
    expires_at_ms: float


@dataclass(frozen=True, slots=True)
class RetryBudgetUsage:
    """Times of retries and arrivals that other schedulers handled and that count in the retry budget."""

    retried_at_ms: tuple[float, ...]
    arrived_at_ms: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by the scheduler is due."""

    token: int


Event = NodeList | Arrival | AttemptEnded | ClientLeft | LimitLease | RetryBudgetUsage | TimerFired


@dataclass(frozen=True, slots=True)
class Send:
    """Start the next attempt of a request at a node; `timeout_ms` 0 means until the client stops waiting."""

    request: str
    node: str
    timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: the request was rejected, and the client can safely send it again."""

    request: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request failed, and it may or may not have taken effect."""

    request: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt; its outcome is still reported, and the node may continue the work."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerFired` event at a time."""

    at_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Request the node list and a subscription to its changes."""


@dataclass(frozen=True, slots=True)
class Log:
    """A log line for on-call engineers."""

    text: str


Action = Send | Reject | Fail | Cancel | SetTimer | Subscribe | Log
