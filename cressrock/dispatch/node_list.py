"""The node list's state: xDS endpoint discovery responses in, reports for the scheduler out.

Pure.  The format is Envoy's v3 endpoint discovery over REST-JSON (DiscoveryResponse holding a
ClusterLoadAssignment): health status HEALTHY or DRAINING, locality zone, and under
`metadata.filter_metadata["cressrock"]` the node's `shard` and `up_since` (epoch milliseconds).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from cressrock.interface import ListKind, Node, NodeList, NodeState

TYPE_URL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
JsonObject = dict[str, Any]  # as decoded; nothing in it is checked yet
_StartTimes = dict[tuple[str, float], float]  # by name and `up_since`, on our own clock
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
        """Start with no version: every response is an update."""
        self.cluster = cluster
        self.max_nodes = max_nodes
        self.version = ""
        self.nonce = ""
        self.confirmed = False  # received by this process, not only read from a cache
        self.zones: dict[str, int] = {}
        # A node's start on our clock is fixed when the node is first listed: a list that is received again
        # later, or a wall clock that is stepped, must not make a warm node look cold or a cold one warm.
        self._started_at: _StartTimes = {}

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

        Raises NodeListError, and keeps the present version, where the response is malformed.
        """
        try:
            value = msgspec.json.decode(body)
        except msgspec.DecodeError as error:
            raise NodeListError(f"discovery response is not JSON: {error}") from None
        if not isinstance(value, dict) or not isinstance(value.get("version_info"), str):
            raise NodeListError("discovery response: version_info is missing")
        version: str = value["version_info"]
        if version == self.version and self.confirmed:
            return None
        if not cached and _older(version, self.version):
            raise NodeListError(f"discovery response: version {version} is older than {self.version}")
        reader = _ResponseReader(self.cluster, now_ms, wall_ms, dict(self.zones), self._started_at)
        reader.read(value)
        nodes = reader.nodes
        if len(nodes) > self.max_nodes:
            raise NodeListError(
                f"discovery response names {len(nodes)} nodes; at most {self.max_nodes} are held"
            )
        self._started_at = {key: at_ms for key, at_ms in self._started_at.items() if key[0] in nodes}
        self.version, self.nonce, self.zones = version, str(value.get("nonce", "")), reader.zones
        self.confirmed = not cached
        kind = ListKind.CACHED if cached else ListKind.COMPLETE
        report = NodeList(kind, tuple(nodes[name] for name in sorted(nodes)))
        return NodeListUpdate(report, version, tuple(reader.warnings))


@dataclass(slots=True)
class _ResponseReader:
    """Reads the endpoints of one response; `zones` and `started_at` grow with what it names."""

    cluster: str
    now_ms: float
    wall_ms: float
    zones: dict[str, int]
    started_at: _StartTimes
    nodes: dict[str, Node] = field(default_factory=dict)
    warnings: list[str] = field(default_factory=list)

    def read(self, response: JsonObject) -> None:
        """Collect all nodes of the cluster.  Raises NodeListError."""
        resources = response.get("resources")
        if not isinstance(resources, list):
            raise NodeListError("discovery response: resources is missing")
        for index, resource in enumerate(resources):
            if isinstance(resource, dict) and resource.get("cluster_name") == self.cluster:
                self._read_resource(resource, f"resources[{index}]")

    def _read_resource(self, resource: JsonObject, path: str) -> None:
        for index, group in enumerate(_list(resource, "endpoints", path)):
            group_path = f"{path}.endpoints[{index}]"
            zone_name = str(_get(group, "locality", "zone", default=""))
            zone = self.zones.setdefault(zone_name, len(self.zones))
            for number, endpoint in enumerate(_list(group, "lb_endpoints", group_path)):
                self._add(self._node(endpoint, zone, f"{group_path}.lb_endpoints[{number}]"))

    def _add(self, node: Node) -> None:
        before = self.nodes.get(node.name)
        if before is not None and before != node:
            # Danger: a node named twice, once as draining, must not be sent to as ready.
            self.warnings.append(f"{node.name} is listed twice with different data")
            if before.state is not NodeState.READY:
                return
        self.nodes[node.name] = node

    def _node(self, endpoint: Any, zone: int, path: str) -> Node:
        address = _get(endpoint, "endpoint", "address", "socket_address", default=None)
        host, port = _get(address, "address", default=None), _get(address, "port_value", default=None)
        if not isinstance(host, str) or not isinstance(port, int):
            raise NodeListError(f"{path}.endpoint.address.socket_address is missing")
        metadata = _get(endpoint, "metadata", "filter_metadata", "cressrock", default={})
        shard = _get(metadata, "shard", default=None)
        if not isinstance(shard, int) or shard < 0:
            raise NodeListError(f"{path}.metadata: shard is missing or not a whole number")
        status = endpoint.get("health_status", "HEALTHY")
        if status not in _STATES:
            raise NodeListError(f"{path}.health_status: unknown word {status!r}")
        name = f"{host}:{port}"
        up_since = _get(metadata, "up_since", default=0)
        if not isinstance(up_since, (int, float)) or isinstance(up_since, bool):
            raise NodeListError(f"{path}.metadata: up_since is not a number")
        started_at_ms = 0.0
        if up_since:
            age_ms = max(0.0, self.wall_ms - float(up_since))
            started_at_ms = self.started_at.setdefault((name, float(up_since)), self.now_ms - age_ms)
        return Node(name, shard, zone, started_at_ms, _STATES[status])


def _older(version: str, present: str) -> bool:
    """Compare versions that are whole numbers; others have no order and are taken as newer."""
    return version.isdigit() and present.isdigit() and int(version) < int(present)


def _get(value: Any, *path: str, default: Any) -> Any:
    for key in path:
        if not isinstance(value, dict) or key not in value:
            return default
        value = value[key]
    return value


def _list(value: Any, name: str, path: str) -> list[Any]:
    items = _get(value, name, default=[])
    if not isinstance(items, list):
        raise NodeListError(f"{path}.{name} is not a list")
    return items
