"""A process that is only a member of a fleet, for drills and tests: `python -m cressrock.lab.member`.

Prints a JSON line for its bound address, for each event, and the view after each.  SIGTERM makes it leave.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import sys
from collections.abc import Collection

import anyio
import uvloop

from cressrock import net
from cressrock.errors.membership import FencedError
from cressrock.gossip.anti_entropy import AntiEntropySettings
from cressrock.gossip.reconciliation import Cursor, EncodedMessage
from cressrock.gossip.transport import ClusterTransport, ClusterTransportSettings, TransportEnvironment
from cressrock.http.channel import Stream
from cressrock.membership.events import Event
from cressrock.membership.settings import MembershipSettings
from cressrock.membership.types import Identity


class NoSpread:
    """A spread that holds nothing."""

    def recent_changes(self, max_bytes: int) -> bytes:
        """Return nothing."""
        return b""

    def digest(self, max_bytes: int) -> bytes:
        """Return nothing."""
        return b""

    def deltas(self, digest: bytes, max_bytes: int, count: int) -> list[bytes]:
        """Return nothing."""
        return []

    def merge(self, data: bytes) -> None:
        """Take nothing."""

    def full_state(self, after: Cursor | None, max_bytes: int) -> EncodedMessage:
        """Return nothing, and that it is all."""
        return EncodedMessage(b"", None)

    def retain_origins(self, origins: Collection[tuple[str, int]]) -> None:
        """Keep nothing."""


class _Quiet:
    def info(self, event: str, **fields: object) -> None:
        """Say nothing."""


def say(**fields: object) -> None:
    """Print one JSON line."""
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


async def run(given: argparse.Namespace) -> int:
    """Be a member until SIGTERM or a fence; returns the exit status."""
    fleet: ClusterTransport

    async def serve(stream: Stream) -> None:
        await fleet.serve(stream)

    async with anyio.create_task_group() as tasks:
        bound, datagrams, close = await net.listen_tcp_and_udp(given.listen, serve, tasks)
        clock = net.clock()
        life = given.life or int(net.wall_ms())
        identity = Identity(given.name, life, bound, given.role, given.zone)
        settings = ClusterTransportSettings(
            seeds=tuple(given.seed),
            membership=MembershipSettings(
                cluster=given.cluster,
                protocol_period_ms=given.period_ms,
                gossip_interval_ms=given.period_ms / 5,
                tolerated_pause_ms=given.period_ms * 2,
                exchange_interval_ms=given.period_ms * 30,
            ),
            anti_entropy=AntiEntropySettings(period_ms=given.period_ms),
        )
        source = random.Random(given.random)
        fleet = ClusterTransport(
            settings,
            identity,
            TransportEnvironment(datagrams, net.connect, clock),
            NoSpread(),
            source,
            _Quiet(),
        )

        def told(event: Event) -> None:
            say(
                event=type(event).__name__,
                member=event.name,
                life=getattr(event, "process_incarnation", None),
            )
            seen = {
                v.name: [
                    v.process_incarnation,
                    v.state.status_name,
                ]
                for v in fleet.membership.view(clock())
            }
            say(view=seen, dropped=fleet.drop_counts)

        fleet.event_listeners.append(told)
        say(address=bound, name=given.name, life=life)
        ended = anyio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
        status = 0

        async def member() -> None:
            nonlocal status
            try:
                await fleet.run()
            except FencedError as wrong:
                say(**wrong.fields())
                status = 3
                ended.set()

        tasks.start_soon(member)
        await ended.wait()
        if status == 0:
            await fleet.leave()
        await close()
        tasks.cancel_scope.cancel()
    return status


def main() -> int:
    """Read the arguments and run."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--life", type=int, default=0)
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--seed", action="append", default=[])
    parser.add_argument("--cluster", default="lab")
    parser.add_argument("--role", default="edge")
    parser.add_argument("--zone", default="")
    parser.add_argument("--period-ms", type=float, default=1000.0)
    parser.add_argument("--random", type=int, default=1)
    return uvloop.run(run(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
