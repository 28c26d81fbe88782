"""What a list of storage servers costs a dispatcher: whole, and a change of one server, by their number.

The parts are those that an answer of discovery goes through: its bytes (`json`), `ServerList.receive`, the
ledger's `news`, and the decision module's `act`.  Each is a turn of the event loop or a part of one.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterator
from typing import Any

from cressrock.dispatch.ledger import Ledger
from cressrock.dispatch.node_list import TYPE_URL, NodeListState
from cressrock.interface import NodeList, Plan, RequestClass, Settings
from cressrock.lab.localcost import EDGE, Figure, cpu_ms, fresh_cpu_ms, held_bytes, lines
from cressrock.platform.server_list import ServerList
from cressrock.scheduler.scheduler import Scheduler

ZONES = tuple(f"z{index}" for index in range(6))
SETTINGS = Settings(
    classes=(RequestClass(1000.0, 5000.0),), plans=(Plan(),), hosts=4800, must_ask=True, max_attempts=3
)
PARTS = ("json", "receive", "ledger", "act")
LONG_AGO = 1.7e12  # Unix time of the servers' starts, ms


def entries(n: int, seed: int) -> list[dict[str, Any]]:
    """Return so many servers in discovery's form, one for each shard, in six zones."""
    draw = random.Random(seed)
    return [
        {
            "host": f"s-{draw.getrandbits(32):08x}-{index}",
            "dial": f"10.{index >> 8 & 255}.{index & 255}.7:7070",
            "site": ZONES[index % len(ZONES)],
            "class": "m",
            "block": index,
            "health": "active",
            "share": 1.0,
            "born_ms": LONG_AGO + draw.randrange(10**9),
        }
        for index in range(n)
    ]


def whole(servers: list[dict[str, Any]], version: int = 1) -> bytes:
    """Write a whole list as discovery answers it, without white space."""
    value = {"seq": version, "whole": True, "hosts": servers}
    return json.dumps(value, separators=(",", ":")).encode()


def change(server: dict[str, Any], version: int) -> bytes:
    """Write the change that one server drains."""
    value = {"seq": version, "whole": False, "hosts": [server | {"health": "leaving"}]}
    return json.dumps(value, separators=(",", ":")).encode()


class Held:
    """What a dispatcher holds of its servers: list, ledger, decision module."""

    def __init__(self, most_nodes: int = 4096) -> None:
        """Begin without a server.  `most_nodes` is the ledger's bound."""
        self.servers = ServerList(ZONES)
        self.ledger = Ledger(drain_grace_ms=250.0, answer_slack_ms=50.0, max_open=4096, max_nodes=most_nodes)
        self.brain = Scheduler(SETTINGS, 1, 0.0)
        self.now = 1.0

    def take(self, body: bytes) -> NodeList:
        """Take an answer of discovery through all its parts."""
        report = self.servers.receive(json.loads(body), self.now, LONG_AGO + 2e9)
        self.ledger.update_nodes(report.nodes, self.now, complete=report.kind.value != "changes")
        self.now += 1.0
        self.brain.act(self.now, [report])
        return report


def held(servers: list[dict[str, Any]]) -> Held:
    """Return a dispatcher's parts that have heard a whole list."""
    found = Held()
    found.take(whole(servers))
    return found


def list_probe(n: int, seed: int) -> Iterator[Figure]:
    """Measure a whole list at birth, the same list again, and a change of one server, at n servers."""
    servers = entries(n, seed)
    yield from _whole(servers)
    yield from _change(servers)


def _whole(servers: list[dict[str, Any]]) -> Iterator[Figure]:
    body, scene = whole(servers), "birth"
    value = json.loads(body)
    yield Figure("serverlist.whole.bytes", len(body), "bytes", scene=scene)
    parts = {
        "json": cpu_ms(lambda: json.loads(body)),
        "receive": fresh_cpu_ms(Held, lambda one: one.servers.receive(value, 1.0, LONG_AGO + 2e9)),
    }
    report = Held().servers.receive(value, 1.0, LONG_AGO + 2e9)
    parts["ledger"] = fresh_cpu_ms(
        Held, lambda one: one.ledger.update_nodes(report.nodes, 1.0, complete=True)
    )
    parts["act"] = fresh_cpu_ms(Held, lambda one: one.brain.act(2.0, [report]))
    for part, ms in parts.items():
        yield Figure(f"serverlist.whole.{part}.cpu_ms", ms, "ms", scene=scene)
    yield Figure("serverlist.whole.cpu_ms", sum(parts.values()), "ms", scene=scene)
    kept, peak = held_bytes(lambda: held(servers))
    yield Figure("serverlist.held_bytes", kept, "bytes", scene=scene)
    yield Figure("serverlist.whole.peak_bytes", peak, "bytes", scene=scene)


def _change(servers: list[dict[str, Any]]) -> Iterator[Figure]:
    one, scene, least = held(servers), "change", dict.fromkeys(PARTS, float("inf"))
    for index in range(8):
        for part, ms in change_cpu(one, servers[index], index + 2).items():
            least[part] = min(least[part], ms)
    yield Figure("serverlist.change.bytes", len(change(servers[8], 10)), "bytes", scene=scene)
    for part, ms in least.items():
        yield Figure(f"serverlist.change.{part}.cpu_ms", ms, "ms", scene=scene)
    yield Figure("serverlist.change.cpu_ms", sum(least.values()), "ms", scene=scene)
    for part, steps in change_steps(one, servers[9], 11).items():
        yield Figure(f"serverlist.change.{part}.steps", steps, "lines", scene=scene)


def change_cpu(one: Held, server: dict[str, Any], version: int) -> dict[str, float]:
    """Return the processor time in ms of each part for a change of one server."""
    return _change_by(lambda work: cpu_ms(work, 1), one, server, version)


def change_steps(one: Held, server: dict[str, Any], version: int) -> dict[str, int]:
    """Count the lines that each part runs for a change of one server, which does not hang on the machine."""
    found = _change_by(lines, one, server, version)
    del found["json"]  # no line of Python
    return found


def _change_by(
    measure: Callable[[Callable[[], Any]], Any], one: Held, server: dict[str, Any], version: int
) -> dict[str, Any]:
    body = change(server, version)
    value, reports = json.loads(body), list[NodeList]()

    def receive() -> None:
        reports.append(one.servers.receive(value, one.now, LONG_AGO + 2e9))

    found = {"json": measure(lambda: json.loads(body)), "receive": measure(receive)}
    report = reports[0]
    found["ledger"] = measure(lambda: one.ledger.update_nodes(report.nodes, one.now, complete=False))
    one.now += 1.0
    found["act"] = measure(lambda: one.brain.act(one.now, [report]))
    return found


# --- an edge's node list: endpoint discovery over REST-JSON, always whole


def assignment(n: int, seed: int, version: int) -> bytes:
    """Write a DiscoveryResponse of so many servers, one of which drains in each even version."""
    zones: dict[str, list[dict[str, Any]]] = {}
    for entry in entries(n, seed):
        host, _, port = entry["dial"].rpartition(":")
        at = {"socket_address": {"address": host, "port_value": int(port) + entry["block"] // 65536}}
        drains = version % 2 == 0 and not entry["block"]
        meta = {"shard": entry["block"], "up_since": entry["born_ms"]}
        zones.setdefault(entry["site"], []).append(
            {
                "endpoint": {"address": at},
                "health_status": "DRAINING" if drains else "HEALTHY",
                "metadata": {"filter_metadata": {"cressrock": meta}},
            }
        )
    groups = [{"locality": {"zone": zone}, "lb_endpoints": found} for zone, found in zones.items()]
    resource = {"@type": TYPE_URL, "cluster_name": "storage", "endpoints": groups}
    value = {
        "version_info": str(version),
        "nonce": str(version),
        "type_url": TYPE_URL,
        "resources": [resource],
    }
    return json.dumps(value, separators=(",", ":")).encode()


def edge_list_probe(n: int, seed: int) -> Iterator[Figure]:
    """Measure an edge's list of n servers: a new version, and a poll that brings the present one."""
    bodies = [assignment(n, seed, version) for version in (1, 2)]

    def known() -> NodeListState:
        state = NodeListState("storage", max_nodes=1 << 20)
        state.receive(bodies[0], 1.0, LONG_AGO + 2e9)
        return state

    yield Figure("nodelist.whole.bytes", len(bodies[1]), "bytes", EDGE, "change")
    took = fresh_cpu_ms(known, lambda state: state.receive(bodies[1], 2.0, LONG_AGO + 2e9))
    yield Figure("nodelist.whole.receive.cpu_ms", took, "ms", EDGE, "change")
    again = fresh_cpu_ms(known, lambda state: state.receive(bodies[0], 2.0, LONG_AGO + 2e9))
    yield Figure("nodelist.poll.cpu_ms", again, "ms", EDGE, "calm")
    yield Figure("nodelist.held_bytes", held_bytes(known)[0], "bytes", EDGE, "calm")
