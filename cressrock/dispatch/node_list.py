"""The node list's state: xDS endpoint discovery responses in, reports for the scheduler out.

Pure.  The format is Envoy's v3 endpoint discovery over REST-JSON (DiscoveryResponse holding a
ClusterLoadAssignment): health status HEALTHY or DRAINING, locality zone, and under
`metadata.filter_metadata["cressrock"]` the node's `shard` and `up_since` (epoch milliseconds).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from cressrock.interface import ListKind, Node, NodeList, NodeState

TYPE_URL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
_STATES = {
    "HEALTHY": NodeState.READY,
    "UNKNOWN": NodeState.READY,
    "DRAINING": NodeState.DRAINING,
    "UNHEALTHY": NodeState.GONE,
    "TIMEOUT": NodeState.GONE,
    "DEGRADED": NodeState.READY,
}


class NodeListError(ValueError):
    """A discovery response that cannot be used; the text names the place in it."""


@dataclass(frozen=True, slots=True)
class NodeListUpdate:
    """What a response brought: a report for the scheduler, the new version, and what was odd in it."""

    report: NodeList
    version: str
    warnings: tuple[str, ...]


class NodeListState:
    """The list as last accepted.  `zones` maps locality names to numbers in order of appearance."""

    def __init__(self, cluster: str, *, max_nodes: int) -> None:
        """Start with no version: every response is news."""
        self.cluster = cluster
        self.max_nodes = max_nodes
        self.version = ""
        self.nonce = ""
        self.confirmed = False  # the version was told in this life, not only read from a cache
        self.zones: dict[str, int] = {}
        # A node's start on our clock is fixed when it is first heard of: a list that is told again later,
        # or a wall clock that is stepped, must not make a warm node look cold or a cold one warm.
        self._starts: dict[tuple[str, float], float] = {}

    def request(self, node_id: str) -> bytes:
        """Return the body of the next DiscoveryRequest."""
        return msgspec.json.encode(
            {
                "version_info": self.version,
                "response_nonce": self.nonce,
                "node": {"id": node_id},
                "resource_names": [self.cluster],
                "type_url": TYPE_URL,
            }
        )

    def receive(
        self, body: bytes, now_ms: float, wall_ms: float, *, cached: bool = False
    ) -> NodeListUpdate | None:
        """Take in a DiscoveryResponse.  None where it repeats the present version.

        Raises ListError, and changes nothing, where the response is malformed.
        """
        try:
            value = msgspec.json.decode(body)
        except msgspec.DecodeError as wrong:
            raise NodeListError(f"discovery response is not JSON: {wrong}") from None
        if not isinstance(value, dict) or not isinstance(value.get("version_info"), str):
            raise NodeListError("discovery response: version_info is missing")
        version: str = value["version_info"]
        if version == self.version and self.confirmed:
            return None
        if not cached and _older(version, self.version):
            raise NodeListError(f"discovery response: version {version} is older than {self.version}")
        nodes, zones, warnings = self._nodes(value, now_ms, wall_ms)
        self.version, self.nonce, self.zones = version, str(value.get("nonce", "")), zones
        self.confirmed = not cached
        kind = ListKind.CACHED if cached else ListKind.COMPLETE
        return NodeListUpdate(NodeList(kind, tuple(nodes)), version, tuple(warnings))

    def _nodes(
        self, value: dict[str, Any], now_ms: float, wall_ms: float
    ) -> tuple[list[Node], dict[str, int], list[str]]:
        resources = value.get("resources")
        if not isinstance(resources, list):
            raise NodeListError("discovery response: resources is missing")
        found: dict[str, Node] = {}
        warnings: list[str] = []
        zones = dict(self.zones)
        for r, resource in enumerate(resources):
            if not isinstance(resource, dict) or resource.get("cluster_name") != self.cluster:
                continue
            for g, group in enumerate(_list(resource, "endpoints", f"resources[{r}]")):
                place = f"resources[{r}].endpoints[{g}]"
                zone_name = str(_get(group, "locality", "zone", default=""))
                zone = zones.setdefault(zone_name, len(zones))
                for e, endpoint in enumerate(_list(group, "lb_endpoints", place)):
                    node = self._node(endpoint, zone, f"{place}.lb_endpoints[{e}]", now_ms, wall_ms)
                    before = found.get(node.name)
                    if before is not None and before != node:
                        # Danger: a node named twice, once as draining, must not be sent to as ready.
                        warnings.append(f"{node.name} is listed twice with different data")
                        if before.state is not NodeState.READY:
                            continue
                    found[node.name] = node
        if len(found) > self.max_nodes:
            raise NodeListError(
                f"discovery response names {len(found)} nodes; at most {self.max_nodes} are held"
            )
        known = {key: at for key, at in self._starts.items() if key[0] in found}
        self._starts = known
        return sorted(found.values(), key=lambda n: n.name), zones, warnings

    def _node(self, endpoint: Any, zone: int, place: str, now_ms: float, wall_ms: float) -> Node:
        address = _get(endpoint, "endpoint", "address", "socket_address", default=None)
        host, port = _get(address, "address", default=None), _get(address, "port_value", default=None)
        if not isinstance(host, str) or not isinstance(port, int):
            raise NodeListError(f"{place}.endpoint.address.socket_address is missing")
        meta = _get(endpoint, "metadata", "filter_metadata", "cressrock", default={})
        shard = _get(meta, "shard", default=None)
        if not isinstance(shard, int) or shard < 0:
            raise NodeListError(f"{place}.metadata: shard is missing or not a whole number")
        status = endpoint.get("health_status", "HEALTHY")
        if status not in _STATES:
            raise NodeListError(f"{place}.health_status: unknown word {status!r}")
        name = f"{host}:{port}"
        since = _get(meta, "up_since", default=0)
        if not isinstance(since, (int, float)) or isinstance(since, bool):
            raise NodeListError(f"{place}.metadata: up_since is not a number")
        started = 0.0
        if since:
            age = max(0.0, wall_ms - float(since))
            started = self._starts.setdefault((name, float(since)), now_ms - age)
        return Node(name, shard, zone, started, _STATES[status])


def _older(version: str, present: str) -> bool:
    """Compare versions that are whole numbers; others have no order and are taken as newer."""
    return version.isdigit() and present.isdigit() and int(version) < int(present)


def _get(value: Any, *path: str, default: Any) -> Any:
    for part in path:
        if not isinstance(value, dict) or part not in value:
            return default
        value = value[part]
    return value


def _list(value: Any, name: str, place: str) -> list[Any]:
    found = _get(value, name, default=[])
    if not isinstance(found, list):
        raise NodeListError(f"{place}.{name} is not a list")
    return found
