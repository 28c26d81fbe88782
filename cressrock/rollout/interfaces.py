"""Interfaces that a rollout depends on: the cluster runtime, the rule tables and the admin port."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from cressrock.aggregation.channel import EvidenceChannel
from cressrock.consensus.client import ConsensusClient
from cressrock.consensus.decision_cache import DecisionCache
from cressrock.gossip.messages import Origin
from cressrock.gossip.store import GossipStore
from cressrock.http.channel import Headers
from cressrock.rollout.plan import RolloutPlan

V = TypeVar("V")  # a version of the rules, in the form that the deciding process uses


class RequestHead(Protocol):
    """The first line of a request."""

    @property
    def method(self) -> bytes:
        """The method in upper case."""


class Exchange(Protocol):
    """A request to the admin port."""

    @property
    def head(self) -> RequestHead:
        """The request line."""

    async def read(self) -> bytes:
        """Return the next bytes of the body, b"" at its end."""

    async def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send the answer."""


class ClusterRuntime(Protocol):
    """One process's gossip, consensus client and evidence (`cressrock.runtime`)."""

    gossip: GossipStore
    decision_cache: DecisionCache
    consensus: ConsensusClient | None
    evidence: EvidenceChannel
    on_gossip_change: list[Callable[[Origin, str], None]]
    on_leaving: list[Callable[[], None]]

    @property
    def is_leader(self) -> bool:
        """Whether this process's consensus replica leads."""


class VersionTables(Protocol[V]):
    """The versions of the rules that this process has loaded (`settings.rules.Tables`)."""

    own: V

    def get(self, digest: str) -> V | None:
        """Return a loaded version, or None; "" is the settings' own."""

    def check(self, data: bytes, good: str) -> tuple[bytes, RolloutPlan]:
        """Return the canonical bytes and the plan of a new document.  Raises RolloutError."""

    def course(self, data: bytes) -> RolloutPlan:
        """Return a document's plan.  Raises RolloutError."""

    def aim_ms(self, version: V, cls: int) -> float:
        """Return a class's latency objective in milliseconds."""

    def hold(self, now: float, documents: dict[str, bytes], good: str) -> list[str]:
        """Load exactly these documents' versions; return a message for each that could not be loaded.

        `now` is in milliseconds; `good` is the digest of the good version.
        """

    def held(self) -> tuple[str, ...]:
        """Return the digests of the loaded versions, without the settings' own."""
