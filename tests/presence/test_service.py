"""Presence services in simulated time: near joins, watching, hand-over, take-over and corrupt streams."""

import random

import anyio
import msgspec
import pytest

from cressrock.errors.presence import InvalidRoomError, NameNotDecidedError, SessionEndedError
from cressrock.lab.day import simulate
from cressrock.presence.messages import FindMember, Heartbeat, Hello, Subscribe, encode_frame
from tests.compatibility.presence_cluster import Cluster


def run_in_cluster(scenario):
    """Run a scenario with three gateways that have discovered one another."""

    async def program():
        async with anyio.create_task_group() as tasks:
            cluster = Cluster(tasks, with_consensus=False)
            tasks.start_soon(cluster.run)
            await anyio.sleep(1)
            await scenario(cluster)
            tasks.cancel_scope.cancel()

    simulate(program, 3)


class Client:
    """Sends requests to the admin ports of a cluster's gateways; raises their errors."""

    def __init__(self, cluster):
        self.cluster = cluster

    async def post(self, gateway, action, **body):
        return await self.cluster.services[gateway].admin.post(action, msgspec.json.encode(body))

    async def watch(self, gateway, query="room=docs"):
        return await self.cluster.services[gateway].admin.get("GET", "/v1/presence/watch", query)

    async def members(self, gateway):
        """Return a room's members as (gateway, sure, locks), and unreported gateways as (gateway, reason)."""
        answer = await self.cluster.services[gateway].admin.get("GET", "/v1/presence/rooms/docs", "")
        members = [(one.gateway, one.sure, one.locks) for one in answer["members"]]
        return members, [(one.gateway, one.reason) for one in answer["not_heard"]]


def test_near_join_watch_hand_over_and_take_over():
    async def scenario(cluster):
        client = Client(cluster)
        watching = await client.watch("c")
        joined = await client.post("a", "join", room="docs", meaning="near")
        assert joined["near"].need == 2 and len(joined["near"].have) >= 2
        polled = await client.watch("c", f"room=docs&after={watching['cursor']}&wait_ms=5000")
        assert [(event.event, event.member) for event in polled["events"]] == [("join", joined["member"])]
        for lock, taken in (("urn:1", True), ("urn:2", True), ("urn:1", False)):
            cluster.services["a"].record_lock(joined["token"], lock, taken)
        cluster.services["a"].record_lock("no token", "urn:3", True)
        await anyio.sleep(0.1)
        members, _ = await client.members("c")
        assert [locks for _, _, locks in members] == [["urn:2"]]
        moved = await client.post("b", "resume", token=joined["token"])
        assert moved["resumed"] == "handed over" and moved["member"] == joined["member"]
        await anyio.sleep(1)
        with pytest.raises(SessionEndedError):
            await client.post("a", "touch", token=joined["token"])
        # The new gateway becomes unreachable: the member is unsure, then c takes the session over from the
        # replica that the `near` join created.
        cluster.partition_gateway("b")
        await anyio.sleep(3)
        members, not_heard = await client.members("c")
        assert [(gateway, sure) for gateway, sure, _ in members] == [("b", False)]
        assert not_heard == [("b", "silent")]
        taken_over = await client.post("c", "resume", token=moved["token"])
        assert (taken_over["resumed"], taken_over["member"]) == ("taken over", joined["member"])
        cluster.partitioned.clear()
        await anyio.sleep(3)
        for name in "abc":
            members, not_heard = await client.members(name)
            assert [(gateway, sure) for gateway, sure, _ in members] == [("c", True)], name
            assert not not_heard
        with pytest.raises(InvalidRoomError):
            await client.post("a", "join", room="elsewhere/x")
        with pytest.raises(NameNotDecidedError):
            await client.post("a", "join", room="docs", meaning="agreed", name="editor")
        members, _ = await client.members("a")
        assert len(members) == 1  # the failed joins left no member

    run_in_cluster(scenario)


def test_a_long_poll_waits_for_the_next_event_and_counts_as_contact():
    async def scenario(cluster):
        client, service = Client(cluster), cluster.services["a"]
        joined = await client.post("a", "join", room="docs")
        poll_query = f"room=docs&token={joined['token']}&wait_ms=30000&after="
        answers = []

        async def poll_after(cursor):
            answers.append((await client.watch("a", poll_query + cursor), anyio.current_time()))

        snapshot = await client.watch("a", poll_query)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(poll_after, snapshot["cursor"])
            await anyio.sleep(20)  # longer than `grace_ms`
            assert not answers and service.status()["watchers"] == 1
            other = await client.post("a", "join", room="docs")
            joined_at = anyio.current_time()
        (answer, answered_at) = answers[0]
        assert answered_at == joined_at and not answer["resync"]
        assert [(event.event, event.member) for event in answer["events"]] == [("join", other["member"])]
        assert service.status()["watchers"] == 0
        started_at = anyio.current_time()
        await poll_after(f"{answer['cursor']}&wait_ms=5000")  # the last of two values is used
        answer, answered_at = answers[-1]
        assert answer["events"] == [] and 4.9 < answered_at - started_at < 5.1

    run_in_cluster(scenario)


class BytesStream:
    """A stream that delivers some bytes, and then ends."""

    def __init__(self, data):
        self.data = data

    async def receive(self, max_bytes=65536):
        if not self.data:
            raise anyio.EndOfStream
        data, self.data = self.data, b""
        return data

    async def send(self, item):
        pass

    async def aclose(self):
        pass


def test_corrupt_streams_are_closed_and_change_no_state():
    async def program():
        async with anyio.create_task_group() as tasks:
            service = Cluster(tasks, with_consensus=False).services["a"]
            rng = random.Random(4)
            messages = Hello(1, "cluster", "b", 1), Subscribe("docs", 0), FindMember(1, "docs", "b.1.1")
            frames = b"".join(map(encode_frame, messages))
            for _ in range(300):
                data = bytearray(frames)
                for _ in range(rng.randrange(1, 4)):
                    data[rng.randrange(len(data))] = rng.randrange(256)
                await service.serve(BytesStream(bytes(data)), b"")
            for wrong in (Hello(2, "cluster", "b", 1), Hello(1, "other", "b", 1), Heartbeat()):
                rejected_before = service.streams.rejected
                await service.serve(BytesStream(encode_frame(wrong)), b"")
                assert service.streams.rejected == rejected_before + 1
            assert service.streams.is_empty()
            assert not service.rooms.subscriber_streams() and not service.rooms.views
            tasks.cancel_scope.cancel()

    simulate(program, 3)
