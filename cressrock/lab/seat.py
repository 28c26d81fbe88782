"""One seat of a council as a process for drills: `python -m cressrock.lab.seat NAME STORE SEATS ...`.

Prints JSON lines: `{"listening": address}` first, then `{"status": ...}` when role, leader or failure change,
and `{"applied": index, ...}` for each command.  Ends when its standard input does.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
from typing import Any

import anyio
import anyio.to_thread

from cressrock import net
from cressrock.consensus import decisions as d
from cressrock.consensus.environment import Environment
from cressrock.consensus.raft.settings import RaftSettings
from cressrock.consensus.replica import ConsensusReplica
from cressrock.consensus.settings import ReplicaSettings


def say(line: dict[str, Any]) -> None:
    """Print one JSON line at once."""
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()


async def run(given: argparse.Namespace) -> None:
    """Sit until standard input ends."""
    settings = ReplicaSettings(
        name=given.name,
        cluster=given.cluster,
        replicas=json.loads(given.seats),
        store=given.store,
        start=given.start,
        timing=RaftSettings(election_ms=given.election_ms, heartbeat_ms=given.heartbeat_ms),
        renewal_interval_ms=given.renew_ms,
        max_log_entries=given.max_log,
    )
    world = Environment(net.clock(), net.wall_ms, net.connect, random.Random())

    def applied(index: int, command: d.Command, outcome: d.Outcome) -> None:
        line: dict[str, Any] = {"applied": index, "kind": type(command).__name__.lower()}
        if not isinstance(command, d.SetVersionBase):
            line |= {"topic": command.topic, "request": command.request_id}
        done = type(outcome).__name__.lower()
        number = None if isinstance(outcome, d.Rejected) else outcome.version
        say(line | {"outcome": done, "number": number})

    seat = ConsensusReplica(
        world,
        settings,
        on_status_change=lambda status: say({"status": status}),
        on_applied=applied,
        max_pages=given.max_pages,
    )
    async with anyio.create_task_group() as tasks:
        address, _ = await net.listen(given.listen, seat.serve, tasks)
        say({"listening": address})
        tasks.start_soon(seat.run)
        await anyio.to_thread.run_sync(sys.stdin.read, abandon_on_cancel=True)
        tasks.cancel_scope.cancel()


def main(arguments: list[str] | None = None) -> None:
    """Run from the command line."""
    import uvloop

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name")
    parser.add_argument("store")
    parser.add_argument("seats", help="JSON: each seat's address as this process reaches it")
    parser.add_argument("--cluster", default="lab")
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--start", default="found", choices=("found", "join", "expect"))
    parser.add_argument("--election-ms", type=float, default=300.0)
    parser.add_argument("--heartbeat-ms", type=float, default=50.0)
    parser.add_argument("--renew-ms", type=float, default=200.0)
    parser.add_argument("--max-log", type=int, default=4096)
    parser.add_argument("--max-pages", type=int, default=0)
    anyio.run(run, parser.parse_args(arguments), backend_options={"loop_factory": uvloop.new_event_loop})


if __name__ == "__main__":
    main()
