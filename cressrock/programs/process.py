"""Runs a gateway or a planner as a process: listeners, signal handling and graceful shutdown."""

from __future__ import annotations

import secrets
import signal
from typing import Any

import anyio
from anyio.abc import TaskGroup

from cressrock import net
from cressrock.dispatch.spill_file import ThreadCalls
from cressrock.http.server import Server
from cressrock.observe import logs
from cressrock.observe.admin import AdminServer
from cressrock.observe.event_loop import EventLoopMonitor
from cressrock.programs.composition import SEED_BITS, Environment
from cressrock.programs.gateway import Gateway
from cressrock.settings import SettingsError, load
from cressrock.settings.types import Gateway as Settings
from cressrock.state_file import StateFiles

MAX_ADMIN_CONNECTIONS = 64


async def serve_gateway(path: str, variables: dict[str, str], settings: Settings, version: str) -> None:
    """Run a gateway until SIGTERM or SIGINT; SIGHUP reloads the settings from `path`.

    An exception group with a BindError is raised if an address cannot be bound.
    """
    log = logs.logger(dispatcher=settings.name)
    gateway = Gateway(settings, _environment(settings, log))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(EventLoopMonitor(gateway.environment.turns, log).run)
        await tasks.start(gateway.run)
        address, close = await net.listen(
            settings.front.listen, gateway.serve, tasks, setting="front.listen", log=log
        )
        admin = await _serve_admin_port(settings, gateway.admin, tasks, log)
        bound = gateway.runtime.addresses if gateway.runtime is not None else {}
        log.info("serving", address=address, admin=admin, version=version, **bound)
        await _reload_until_stopped(gateway, path, variables, log)
        log.info("stopping", owed=len(gateway.driver.ledger.entries) if gateway.driver else 0)
        await close()
        all_answered = await gateway.stop(settings.stop_after_ms)
        log.info("stopped", all_answered=all_answered)
        tasks.cancel_scope.cancel()


async def serve_planner(settings: Settings, version: str) -> None:
    """Run a planner until SIGTERM or SIGINT.

    An exception group with a BindError is raised if an address cannot be bound.
    """
    # Imported here so that a gateway process does not load the planner's packages.
    from cressrock.programs.planner import PlannerProgram

    log = logs.logger(planner=settings.name)
    planner = PlannerProgram(settings, _environment(settings, log))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(EventLoopMonitor(planner.environment.turns, log).run)
        await tasks.start(planner.run)
        address, close = await net.listen(
            settings.pair.listen, planner.serve, tasks, setting="pair.listen", log=log
        )
        admin = await _serve_admin_port(settings, planner.admin, tasks, log)
        bound = planner.runtime.addresses if planner.runtime is not None else {}
        log.info("planning", address=address, admin=admin, epoch=planner.epoch, version=version, **bound)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        await close()
        if planner.runtime is not None:
            await planner.runtime.leave()
        log.info("stopped")
        tasks.cancel_scope.cancel()


def _environment(settings: Settings, log: Any) -> Environment:
    # Without a configured seed each process draws a random one, because idempotency keys and lock tokens must
    # be unique across processes.
    seed = settings.seed or secrets.randbits(SEED_BITS)
    return Environment(
        net.connect,
        net.wall_ms,
        seed,
        log,
        state_files=StateFiles(in_background=True, log=log),
        blocking_calls=ThreadCalls(),
    )


async def _serve_admin_port(settings: Settings, admin: AdminServer, tasks: TaskGroup, log: Any) -> str | None:
    """Serve the admin port; returns its bound address, or None if the settings name no admin address."""
    if settings.observe.admin is None:
        return None
    server = Server(
        admin.handle,
        settings.front.bounds,
        max_connections=MAX_ADMIN_CONNECTIONS,
        failed=lambda error: log.error("defect", error=repr(error), exc_info=error),
    )
    address, _ = await net.listen(
        settings.observe.admin, server.serve, tasks, setting="observe.admin", log=log
    )
    tasks.start_soon(server.watch)
    return address


async def _reload_until_stopped(gateway: Gateway, path: str, variables: dict[str, str], log: Any) -> None:
    """Reload the settings on each SIGHUP; return on SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            if number != signal.SIGHUP:
                return
            try:
                fixed = gateway.reload(load(path, variables))
            except SettingsError as error:
                log.error("settings not reloaded", error=str(error))
                continue
            if fixed:
                log.error("settings not reloaded", error=f"a restart is needed for {', '.join(fixed)}")
            else:
                log.info("settings reloaded", file=path)
