"""The commands of `cressrock`.

Exit codes: 0 success; 1 a check failed (a rule was broken, or settings are invalid); 2 command line usage
error; 3 an address, file or other resource is unavailable.
"""

from __future__ import annotations

import json
import os
import signal
import sys
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Annotated, Any

import anyio
import msgspec
from anyio.abc import TaskGroup
from cyclopts import App, Parameter

from cressrock import net
from cressrock.errors import CressrockError
from cressrock.errors.listening import AddressUnavailableError
from cressrock.observe import logs
from cressrock.programs import process
from cressrock.settings import SettingsError, evaluate, load
from cressrock.settings.load import convert

OK, CHECK_FAILED, USAGE, UNAVAILABLE = 0, 1, 2, 3
LAB_LIBRARIES = ("pyarrow", "trio", "scipy")


def _version() -> str:
    try:
        return version("cressrock")
    except PackageNotFoundError:
        return "0+source"


app = App(
    name="cressrock",
    help="A storage gateway: WebDAV in, fair and failure-tolerant scheduling, storage nodes out.",
    version=_version,
    version_flags=["--version"],
)
app.register_install_completion_command()
lab = App(
    name="lab",
    help="The laboratory: simulated nodes, fault scenarios, and a checker of the scheduling rules.",
)
app.command(lab)

Define = Annotated[
    list[str] | None,
    Parameter(name=["--define", "-D"], help="NAME=TEXT, which the file reads with std.extVar."),
]


def _variables(define: list[str] | None) -> dict[str, str]:
    variables = {}
    for item in define or []:
        name, equals, text = item.partition("=")
        if not equals:
            _exit_with_message(USAGE, f"--define {item}: expected NAME=TEXT")
        variables[name] = text
    return variables


def _exit_with_message(code: int, text: str) -> None:
    print(f"cressrock: {text}", file=sys.stderr)
    raise SystemExit(code)


@app.command
def check(settings: Path, *, define: Define = None) -> None:
    """Check a settings file and print the effective settings as JSON.

    Parameters
    ----------
    settings
        A Jsonnet file.
    """
    try:
        loaded = load(str(settings), _variables(define))
    except SettingsError as error:
        _exit_with_message(CHECK_FAILED, str(error))
        return
    print(json.dumps(msgspec.to_builtins(loaded), indent=2, sort_keys=True))


@app.command
def serve(settings: Path, *, define: Define = None) -> None:
    """Run a dispatcher until SIGTERM or SIGINT; SIGHUP reloads the settings.

    Parameters
    ----------
    settings
        A Jsonnet file.
    """
    variables = _variables(define)
    try:
        loaded = load(str(settings), variables)
    except SettingsError as error:
        _exit_with_message(CHECK_FAILED, str(error))
        return
    logs.configure(loaded.observe.level)
    _run(process.serve_gateway, str(settings), variables, loaded, _version())


@app.command
def edge(settings: Path, *, define: Define = None) -> None:
    """Run an edge: it serves clients, and a planner decides when and where their operations run.

    Parameters
    ----------
    settings
        A Jsonnet file whose `pair.planners` names the planners, in order of preference.
    """
    variables = _variables(define)
    try:
        loaded = load(str(settings), variables)
    except SettingsError as error:
        _exit_with_message(CHECK_FAILED, str(error))
        return
    if not loaded.pair.planners:
        _exit_with_message(CHECK_FAILED, f"{settings}: pair.planners: an edge needs at least one planner")
    logs.configure(loaded.observe.level)
    _run(process.serve_gateway, str(settings), variables, loaded, _version())


@app.command
def plan(settings: Path, *, define: Define = None) -> None:
    """Run a planner until SIGTERM or SIGINT; edges connect to it at `pair.listen`.

    Parameters
    ----------
    settings
        A Jsonnet file; classes, plans and scheduler have to match those of the edges.
    """
    try:
        loaded = load(str(settings), _variables(define))
    except SettingsError as error:
        _exit_with_message(CHECK_FAILED, str(error))
        return
    logs.configure(loaded.observe.level)
    _run(process.serve_planner, loaded, _version())


def _run(program: Any, *args: Any) -> None:
    """Run an anyio program on uvloop; exit with code 3 and one line on an OSError or CressrockError."""
    try:
        anyio.run(program, *args, backend="asyncio", backend_options={"use_uvloop": True})
    except* OSError as group:
        error: BaseException = group
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        if isinstance(error, net.BindError):
            error = AddressUnavailableError(str(error))
        _exit_with_message(UNAVAILABLE, str(error))
    except* CressrockError as group:
        error = group
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        _exit_with_message(UNAVAILABLE, str(error))
    except* KeyboardInterrupt:
        pass


@lab.command(name="serve")
def lab_serve(
    *,
    listen: str = "127.0.0.1:8080",
    admin: str = "127.0.0.1:0",
    seed: int = 1,
    shards: int = 3,
    modelled: bool = False,
    settings: Path | None = None,
    level: str = "warning",
) -> None:
    """Run a dispatcher with simulated nodes on loopback until interrupted.

    Prints one JSON line with the addresses when ready.  The volume `demo` has no limit.

    Parameters
    ----------
    listen
        Address of the WebDAV server.
    admin
        Address of the admin port, with health and metrics.
    seed
        Seed of all random numbers.
    shards
        Number of storage nodes, each with its own shard.
    modelled
        Simulate cores, speed and a queue at each node; otherwise nodes answer at once.
    settings
        A Jsonnet file to use instead of the laboratory's own settings; its node list is replaced.
    level
        Log level on standard error: debug, info, warning or error.
    """
    _require_lab_libraries()
    from cressrock.lab.serve import serve_lab

    if level not in logs.LEVELS:
        _exit_with_message(USAGE, f"--level {level}: expected one of {', '.join(logs.LEVELS)}")
    logs.configure(level)
    value = None
    if settings is not None:
        try:
            value = evaluate(str(settings))
            convert(str(settings), value)
        except SettingsError as error:
            _exit_with_message(CHECK_FAILED, str(error))

    async def program() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_signal, tasks)
            await serve_lab(
                listen=listen,
                seed=seed,
                shards=shards,
                modelled=modelled,
                admin=admin,
                log=logs.logger(dispatcher="lab"),
                ready=lambda addresses: print(json.dumps(addresses), flush=True),
                settings=value,
            )

    _run(program)


@lab.command(name="day")
def lab_day(
    day: str = "bad",
    *,
    seed: int = 1,
    dispatchers: int = 3,
    nodes: int = 4,
    planners: int = 0,
    rate: float = 40.0,
    load: float = 0.0,
    seconds: float = 60.0,
    site: Path | None = None,
    real: bool = False,
    fail_on_idle: bool = False,
    only: Annotated[list[str] | None, Parameter(help="Inject only these faults.")] = None,
    trace: Path | None = None,
    json_output: Annotated[bool, Parameter(name="--json")] = False,
) -> None:
    """Run a fault scenario against real dispatchers and check it against the seven rules.

    Exit code 1 if a rule was broken or a fence tripped.  The report also shows what was served, its share of
    the best possible, the nodes' utilisation, and why requests were denied.

    Parameters
    ----------
    day
        `bad` has every fault; `calm` has none.
    seed
        The same seed gives the same scenario; in simulated time also the same trace.
    planners
        Run the dispatchers as edges of this many planners, which are killed repeatedly; 0 for none.
    rate
        Requests per second of all clients together, without surges.
    load
        Instead of a rate: the demand as a fraction of the busiest shard's capacity.
    site
        A Jsonnet file that describes the site (see examples/sites).
    fail_on_idle
        Exit code 1 also if a request was refused while its node was idle.
    real
        Run over loopback sockets in real time; otherwise in simulated time.
    trace
        Parquet file to write the socket traffic to.
    """
    _require_lab_libraries()
    from cressrock.lab.bound import bound
    from cressrock.lab.day import TROUBLES, Script, play
    from cressrock.lab.judge import judge
    from cressrock.lab.report import as_json, as_text, service_text
    from cressrock.lab.service import serve as evaluate_service
    from cressrock.lab.site import load_site, usual

    names = [name for name, _ in TROUBLES]
    if day not in ("bad", "calm"):
        _exit_with_message(USAGE, f"day {day!r}: expected bad or calm")
    for name in only or []:
        if name not in names:
            _exit_with_message(USAGE, f"--only {name}: expected one of {', '.join(names)}")
    if (
        not 1 <= dispatchers <= 1000
        or not 1 <= nodes <= 1000
        or not 0 < rate <= 1e5
        or not 0 <= load <= 100
        or not 1 <= seconds <= 86400
    ):
        _exit_with_message(
            USAGE,
            "out of range: a day takes 1 to 1000 dispatchers and nodes, a rate above 0 and up to 100000, "
            "a load of 0 to 100, and 1 to 86400 s",
        )
    if not 0 <= planners <= dispatchers:
        _exit_with_message(USAGE, "--planners: expected 0 to the number of dispatchers")
    logs.configure("error")
    try:
        site_settings = usual() if site is None else load_site(str(site))
    except SettingsError as error:
        _exit_with_message(CHECK_FAILED, str(error))
        return
    script = Script(
        site=site_settings,
        load=load,
        name=day,
        seed=seed,
        dispatchers=dispatchers,
        nodes=nodes,
        planners=planners,
        rate=rate,
        length_ms=seconds * 1000,
        real=real,
        way_ms=30.0 if real else 2.0,
        troubles=tuple(only or ()) if day == "bad" else ("none",),
    )
    result = play(script, log=logs.logger())
    if trace is not None:
        try:
            result.trace.write(str(trace))
        except OSError as error:
            _exit_with_message(UNAVAILABLE, f"{trace}: cannot be written: {error}")
    verdict, service, best = judge(result.trace), evaluate_service(result.trace), bound(result.trace)
    if json_output:
        print(as_json(verdict, result, service, best))
    else:
        print(as_text(verdict, result.trace, result))
        print(service_text(service, best))
    if verdict.breaches or result.fences or (fail_on_idle and service.idle):
        raise SystemExit(CHECK_FAILED)


@lab.command(name="judge")
def lab_judge(trace: Path, *, json_output: Annotated[bool, Parameter(name="--json")] = False) -> None:
    """Check a trace against the seven rules, from the recorded socket traffic alone.

    Parameters
    ----------
    trace
        A Parquet file written by `lab day --trace`.
    """
    loaded_trace = _load_trace(trace)
    from cressrock.lab.judge import judge
    from cressrock.lab.report import as_json, as_text, service_text
    from cressrock.lab.service import serve as evaluate_service

    verdict, service = judge(loaded_trace), evaluate_service(loaded_trace)
    if json_output:
        print(as_json(verdict, None, service))
    else:
        print(as_text(verdict, loaded_trace, None))
        print(service_text(service, None))
    if verdict.breaches:
        raise SystemExit(CHECK_FAILED)


@lab.command(name="bound")
def lab_bound(trace: Path, *, json_output: Annotated[bool, Parameter(name="--json")] = False) -> None:
    """Compute the value of the best possible schedule for a trace, and the share of it that was reached.

    Parameters
    ----------
    trace
        A Parquet file written by `lab day --trace`.
    """
    loaded_trace = _load_trace(trace)
    from cressrock.lab.bound import bound
    from cressrock.lab.report import service_json, service_text
    from cressrock.lab.service import serve as evaluate_service

    try:
        best = bound(loaded_trace)
    except ValueError as error:
        _exit_with_message(UNAVAILABLE, f"{trace}: {error}")
        return
    service = evaluate_service(loaded_trace)
    if json_output:
        print(json.dumps(service_json(service, best), indent=2, sort_keys=True))
    else:
        print(
            f"due {best.due:.1f}, best possible {best.best:.1f}, earned {best.earned:.1f}: {best.share:.3f}"
        )
        print(f"(a linear program of {best.wishes} wishes and {best.rows} constraints)")
        print(service_text(service, best))


def _load_trace(path: Path) -> Any:
    """Return the trace in a file; exit with code 3 if it cannot be read or lacks the site's description."""
    _require_lab_libraries()
    from cressrock.lab.trace import load as load_trace

    try:
        trace = load_trace(str(path))
    except ValueError as error:
        _exit_with_message(UNAVAILABLE, str(error))
        raise
    if "machines" not in trace.facts:
        _exit_with_message(
            UNAVAILABLE,
            f"{path}: written by an older version, whose traces do not describe the site; record it again",
        )
    return trace


def _require_lab_libraries() -> None:
    """Exit with code 3 if the laboratory's libraries are not installed."""
    from importlib.util import find_spec

    missing = [name for name in LAB_LIBRARIES if find_spec(name) is None]
    if missing:
        _exit_with_message(
            UNAVAILABLE, f"this command needs {', '.join(missing)}: pip install 'cressrock[lab]'"
        )


@lab.command(name="fuzz")
def lab_fuzz(*, seed: int = 1, seconds: float = 60.0) -> None:
    """Send random bytes to the front end and to every parser of untrusted input, for a number of seconds.

    Exit code 1 if a defect was found; each is printed with the seed that reproduces it.
    """
    import time

    _require_lab_libraries()
    from cressrock.lab.fuzz import fuzz_front, fuzz_parsers

    end, inputs, defects = time.monotonic() + seconds, 0, 0
    while time.monotonic() < end and not defects:
        for name, run, count in (("front", fuzz_front, 200), ("parsers", fuzz_parsers, 5000)):
            result = run(seed, count)
            inputs += result.inputs
            defects += len(result.defects)
            for defect in result.defects[:10]:
                print(f"{name}, seed {seed}: {defect}")
        seed += 1
    print(f"{inputs} inputs, {defects} defects")
    if defects:
        raise SystemExit(CHECK_FAILED)


@lab.command(name="nodes")
def lab_nodes(
    *, listen: str = "127.0.0.1:9900", seed: int = 1, shards: int = 3, modelled: bool = False
) -> None:
    """Run only simulated storage nodes and their node list, for a dispatcher started with `serve`.

    Prints one JSON line with the addresses when ready.

    Parameters
    ----------
    listen
        Address of the node list.
    """
    _require_lab_libraries()
    from cressrock.lab.serve import open_hall

    logs.configure("warning")

    async def program() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_signal, tasks)
            hall, address = await open_hall(tasks, seed=seed, shards=shards, modelled=modelled, listen=listen)
            print(json.dumps({"list": address, "nodes": sorted(hall.places)}), flush=True)
            await anyio.sleep_forever()

    _run(program)


async def _cancel_on_signal(tasks: TaskGroup) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            tasks.cancel_scope.cancel()
            return


def main() -> None:
    """Run the command line; a closed standard output ends it without a traceback."""
    try:
        app()
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader closed the pipe (`| head`).  Redirecting stdout to /dev/null also keeps the flush at exit
        # from raising.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
