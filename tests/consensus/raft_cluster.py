"""A cluster of Raft nodes in one process with simulated time and in-memory stores, driven by the test."""

import random

from cressrock.consensus.raft import messages
from cressrock.consensus.raft.node import RaftNode
from cressrock.consensus.raft.persistent_state import initial_state
from cressrock.consensus.raft.settings import RaftSettings
from cressrock.consensus.raft.state import Role
from cressrock.lab.replica_store import InMemoryReplicaStore


class Cluster:
    """Nodes whose batches are persisted, sent and applied at once; messages on cut links are lost."""

    def __init__(self, *names, settings=None, stored=None):
        self.settings = settings or RaftSettings(election_ms=100, heartbeat_ms=10)
        self.now_ms = 0.0
        self.stores = {
            name: InMemoryReplicaStore((stored or {}).get(name) or initial_state(names)) for name in names
        }
        self.cut_links = set()  # (sender, receiver)
        self.in_flight = []  # (sender, receiver, message)
        self.sent = []
        self.applied = {}
        self.confirmed_reads, self.lost_reads = [], []
        self.nodes = {}
        for name in names:
            self.start(name)

    def start(self, name, stored=None):
        if stored is not None:
            self.stores[name] = InMemoryReplicaStore(stored)
        stored = self.stores[name].load()
        self.nodes[name] = RaftNode(name, stored, self.settings, random.Random(name), self.now_ms)
        self.applied[name] = [stored.snapshot.data] if stored.snapshot else []

    def stop(self, name):
        del self.nodes[name]

    def isolate(self, name):
        self.cut_links |= {(name, other) for other in self.stores} | {(other, name) for other in self.stores}

    def run_until_idle(self, max_messages=20000):
        for _ in range(max_messages):
            for name, node in sorted(self.nodes.items()):
                while node.has_ready():
                    ready = node.ready()
                    self.stores[name].write(ready)
                    self.in_flight += [(name, to, message) for to, message in ready.messages]
                    if ready.restore_snapshot:
                        self.applied[name] = [ready.snapshot.data]
                    self.applied[name] += [entry.data for entry in ready.committed if entry.kind == "command"]
                    self.confirmed_reads += ready.confirmed_reads
                    self.lost_reads += ready.lost_reads
                    node.advance(ready)
            if not self.in_flight:
                return
            sender, to, message = self.in_flight.pop(0)
            self.sent.append(message)
            if to in self.nodes and (sender, to) not in self.cut_links:
                data = messages.encode("c", sender, to, message)
                assert messages.decode(data, "c") == (sender, to, message)
                self.nodes[to].receive(self.now_ms, sender, message)
        raise AssertionError("nodes are still sending messages at the limit; they may never become idle")

    def run_for(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        self.run_until_idle()
        while True:
            deadline_ms = min((node.next_deadline_ms() for node in self.nodes.values()), default=end_ms)
            if deadline_ms > end_ms:
                break
            self.now_ms = max(self.now_ms, deadline_ms)
            for _, node in sorted(self.nodes.items()):
                node.tick(self.now_ms)
            self.run_until_idle()
        self.now_ms = end_ms

    def make_leader(self, name):
        self.run_for(250)
        leader = self.leader()
        if leader.name != name:
            leader.transfer_leadership(self.now_ms, name)
            self.run_until_idle()
        assert self.leader().name == name
        return self.leader()

    def leader(self):
        leaders = [node for node in self.nodes.values() if node.role is Role.LEADER]
        assert len(leaders) == 1, leaders
        return leaders[0]
