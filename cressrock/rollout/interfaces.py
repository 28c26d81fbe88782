"""What a rollout needs of its surroundings: the cluster's runtime, the tables of rules, the admin port."""

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

V = TypeVar("V")  # a version of the rules, in the form of whoever decides by it


class RequestHead(Protocol):
    """The first line of a request."""

    @property
    def method(self) -> bytes:
        """The method in upper case."""


class Exchange(Protocol):
    """A request to the admin port."""

    @property
    def head(self) -> RequestHead:
        """What was asked for."""

    async def read(self) -> bytes:
        """Return some bytes of the body, b"" at its end."""

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
    """The versions of the rules that this process holds (`settings.rules.Tables`)."""

    own: V

    def get(self, digest: str) -> V | None:
        """Return a version; "" is the settings' own."""

    def check(self, data: bytes, good: str) -> tuple[bytes, RolloutPlan]:
        """Return canonical bytes and plan of a new document.  Raises RolloutError."""

    def course(self, data: bytes) -> RolloutPlan:
        """Return a document's plan.  Raises RolloutError."""

    def aim_ms(self, version: V, cls: int) -> float:
        """Return a class's latency objective."""

    def hold(self, now: float, documents: dict[str, bytes], good: str) -> list[str]:
        """Hold these documents' versions; return why some are not."""

    def held(self) -> tuple[str, ...]:
        """Return the digests that are held beside the settings' own."""
