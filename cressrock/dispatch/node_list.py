"""The node list's state: parses xDS endpoint discovery responses into reports for the scheduler.

It does no I/O.  The format is Envoy's v3 endpoint discovery over REST-JSON (DiscoveryResponse holding a
ClusterLoadAssignment): health status HEALTHY or DRAINING, locality zone, and under
`metadata.filter_metadata["cressrock"]` the node's `shard` and `up_since` (epoch milliseconds).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from cressrock.config import describe_value
from cressrock.interface import ListKind, Node, NodeList, NodeState
from cressrock.json_fields import MAX_PORT, MAX_SHARD, FieldError, epoch_ms, whole_number

TYPE_URL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
MAX_VERSION_DIGITS = 4000  # int() reads up to 4,300
JsonObject = dict[str, Any]  # decoded, not yet validated
_StartTimes = dict[tuple[str, float], float]  # monotonic milliseconds, by node name and `up_since`
_STATE_BY_HEALTH_STATUS = {
    "HEALTHY": NodeState.READY,
    "UNKNOWN": NodeState.READY,
    "DRAINING": NodeState.DRAINING,
    "UNHEALTHY": NodeState.GONE,
    "TIMEOUT": NodeState.GONE,
    "DEGRADED": NodeState.READY,
}


class NodeListError(ValueError):
    """An unusable discovery response; the message names the faulty element."""


@dataclass(frozen=True, slots=True)
class NodeListUpdate:
    """The result of a response: a report for the scheduler, the new version, and warnings."""

    report: NodeList
    version: str
    warnings: tuple[str, ...]


class NodeListState:
    """The last accepted list.  `zones` numbers the locality zones in order of their first appearance."""

    def __init__(self, cluster: str, *, max_nodes: int) -> None:
        """Start without a version, so that the first response is an update."""
        self.cluster = cluster
        self.max_nodes = max_nodes
        self.version = ""
        self.nonce = ""
        self.is_confirmed = False  # received by this process, not just read from a cache
        self.zones: dict[str, int] = {}
        # A node's start time is converted to the monotonic clock when the node is first listed.  Otherwise a
        # list that is received again, or a step of the wall clock, would change which nodes count as warm.
        self._start_times: _StartTimes = {}

    def request(self, node_id: str) -> bytes:
        """Return the body of the next DiscoveryRequest, as JSON."""
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
        """Apply a DiscoveryResponse; return None if it repeats the current version.

        `now_ms` is monotonic and `wall_ms` epoch time.  Raises NodeListError, and keeps the current version,
        if the response is malformed, older than the current one or larger than `max_nodes`.
        """
        try:
            value = msgspec.json.decode(body)
        except msgspec.DecodeError as error:
            raise NodeListError(f"discovery response is not JSON: {error}") from None
        except RecursionError:
            raise NodeListError("discovery response is not JSON: nested too deeply") from None
        if not isinstance(value, dict) or not isinstance(value.get("version_info"), str):
            raise NodeListError("discovery response is not an object with a version_info string")
        version: str = value["version_info"]
        if version == self.version and self.is_confirmed:
            return None
        if not cached and _is_older(version, self.version):
            raise NodeListError(f"discovery response: version {version} is older than {self.version}")
        parser = _ResponseParser(self.cluster, now_ms, wall_ms, dict(self.zones), self._start_times)
        parser.read(value)
        nodes = parser.nodes
        if len(nodes) > self.max_nodes:
            raise NodeListError(
                f"discovery response names {len(nodes)} nodes; at most {self.max_nodes} are allowed"
            )
        self._start_times = {key: at_ms for key, at_ms in self._start_times.items() if key[0] in nodes}
        self.version, self.nonce, self.zones = version, str(value.get("nonce", "")), parser.zones
        self.is_confirmed = not cached
        kind = ListKind.CACHED if cached else ListKind.COMPLETE
        report = NodeList(kind, tuple(nodes[name] for name in sorted(nodes)))
        return NodeListUpdate(report, version, tuple(parser.warnings))


@dataclass(slots=True)
class _ResponseParser:
    """Parses the endpoints of one response; adds new ones to `zones` and `start_times`."""

    cluster: str
    now_ms: float
    wall_ms: float
    zones: dict[str, int]
    start_times: _StartTimes
    nodes: dict[str, Node] = field(default_factory=dict)
    warnings: list[str] = field(default_factory=list)

    def read(self, response: JsonObject) -> None:
        """Add all nodes of the cluster to `nodes`.  Raises NodeListError."""
        resources = response.get("resources")
        if not isinstance(resources, list):
            raise NodeListError("discovery response: resources is missing or not a list")
        for index, resource in enumerate(resources):
            if isinstance(resource, dict) and resource.get("cluster_name") == self.cluster:
                self._parse_resource(resource, f"resources[{index}]")

    def _parse_resource(self, resource: JsonObject, path: str) -> None:
        for index, group in enumerate(_get_list(resource, "endpoints", path)):
            group_path = f"{path}.endpoints[{index}]"
            zone_name = str(_get(group, "locality", "zone", default=""))
            zone = self.zones.setdefault(zone_name, len(self.zones))
            for number, endpoint in enumerate(_get_list(group, "lb_endpoints", group_path)):
                self._add_node(self._parse_node(endpoint, zone, f"{group_path}.lb_endpoints[{number}]"))

    def _add_node(self, node: Node) -> None:
        previous = self.nodes.get(node.name)
        if previous is not None and previous != node:
            # A node that is listed twice, once as draining, must not be treated as ready.
            self.warnings.append(f"{node.name} is listed twice with different data")
            if previous.state is not NodeState.READY:
                return
        self.nodes[node.name] = node

    def _parse_node(self, endpoint: Any, zone: int, path: str) -> Node:
        address = _get(endpoint, "endpoint", "address", "socket_address", default=None)
        address_path = f"{path}.endpoint.address.socket_address"
        host, port_value = _get(address, "address", default=None), _get(address, "port_value", default=None)
        if not isinstance(host, str):
            raise NodeListError(f"{address_path}: address is missing or not a name")
        metadata = _get(endpoint, "metadata", "filter_metadata", "cressrock", default={})
        status = _get(endpoint, "health_status", default="HEALTHY")
        state = _STATE_BY_HEALTH_STATUS.get(status) if isinstance(status, str) else None
        if state is None:
            raise NodeListError(f"{path}.health_status: unknown value {describe_value(status)}")
        try:
            port = whole_number(port_value, f"{address_path}.port_value", maximum=MAX_PORT)
            shard = whole_number(
                _get(metadata, "shard", default=None), f"{path}.metadata.shard", maximum=MAX_SHARD
            )
            up_since_ms = epoch_ms(_get(metadata, "up_since", default=0), f"{path}.metadata.up_since")
        except FieldError as error:
            raise NodeListError(str(error)) from None
        name = f"{host}:{port}"
        started_at_ms = 0.0
        if up_since_ms:
            age_ms = max(0.0, self.wall_ms - up_since_ms)
            started_at_ms = self.start_times.setdefault((name, up_since_ms), self.now_ms - age_ms)
        return Node(name, shard, zone, started_at_ms, state)


def _is_older(version: str, present: str) -> bool:
    """Compare integer versions; versions that are not integers have no order and count as newer."""
    if not (_is_integer(version) and _is_integer(present)):
        return False
    return int(version) < int(present)


def _is_integer(version: str) -> bool:
    # isdigit() alone accepts digits that int() rejects, as it does texts that are too long.
    return version.isascii() and version.isdigit() and len(version) <= MAX_VERSION_DIGITS


def _get(value: Any, *path: str, default: Any) -> Any:
    for key in path:
        if not isinstance(value, dict) or key not in value:
            return default
        value = value[key]
    return value


def _get_list(value: Any, name: str, path: str) -> list[Any]:
    items = _get(value, name, default=[])
    if not isinstance(items, list):
        raise NodeListError(f"{path}.{name} is not a list")
    return items
