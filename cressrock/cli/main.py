"""`cressrock`: the commands.

Exit codes: 0 done; 1 a check did not hold (rules broken, settings refused); 2 wrong use of the command
line; 3 an address, file or other resource could not be had.
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

OK, BROKEN, USAGE, UNAVAILABLE = 0, 1, 2, 3
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
lab = App(name="lab", help="The laboratory: stand-ins, troubled days, the judge of the rules.")
app.command(lab)

Define = Annotated[
    list[str] | None, Parameter(name=["--define", "-D"], help="NAME=TEXT, read in the file by std.extVar.")
]


def _variables(define: list[str] | None) -> dict[str, str]:
    found = {}
    for item in define or []:
        name, equals, text = item.partition("=")
        if not equals:
            _stop(USAGE, f"--define {item}: NAME=TEXT was expected")
        found[name] = text
    return found


def _stop(code: int, text: str) -> None:
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
        found = load(str(settings), _variables(define))
    except SettingsError as wrong:
        _stop(BROKEN, str(wrong))
        return
    print(json.dumps(msgspec.to_builtins(found), indent=2, sort_keys=True))


@app.command
def serve(settings: Path, *, define: Define = None) -> None:
    """Run a dispatcher until SIGTERM; SIGHUP reads the settings again.

    Parameters
    ----------
    settings
        A Jsonnet file.
    """
    variables = _variables(define)
    try:
        found = load(str(settings), variables)
    except SettingsError as wrong:
        _stop(BROKEN, str(wrong))
        return
    logs.configure(found.observe.level)
    _run(process.serve_gateway, str(settings), variables, found, _version())


@app.command
def edge(settings: Path, *, define: Define = None) -> None:
    """Run an edge: it answers requests, and a planner decides where and when work goes.

    Parameters
    ----------
    settings
        A Jsonnet file whose `pair.planners` names the planners, in order of preference.
    """
    variables = _variables(define)
    try:
        found = load(str(settings), variables)
    except SettingsError as wrong:
        _stop(BROKEN, str(wrong))
        return
    if not found.pair.planners:
        _stop(BROKEN, f"{settings}: pair.planners: an edge needs at least one")
    logs.configure(found.observe.level)
    _run(process.serve_gateway, str(settings), variables, found, _version())


@app.command
def plan(settings: Path, *, define: Define = None) -> None:
    """Run a planner until SIGTERM; edges join it at `pair.listen`.

    Parameters
    ----------
    settings
        A Jsonnet file; classes, plans and scheduler have to be those of the edges.
    """
    try:
        found = load(str(settings), _variables(define))
    except SettingsError as wrong:
        _stop(BROKEN, str(wrong))
        return
    logs.configure(found.observe.level)
    _run(process.serve_planner, found, _version())


def _run(program: Any, *args: Any) -> None:
    """Run an anyio program on uvloop; an error of the operating system ends it with one line."""
    try:
        anyio.run(program, *args, backend="asyncio", backend_options={"use_uvloop": True})
    except* OSError as group:
        error: BaseException = group
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        if isinstance(error, net.BindError):
            error = AddressUnavailableError(str(error))
        _stop(UNAVAILABLE, str(error))
    except* CressrockError as group:
        error = group
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        _stop(UNAVAILABLE, str(error))
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
    """Run a dispatcher and its stand-ins on loopback until interrupted.

    Prints one JSON line with the addresses when ready.  The volume `demo` has no limit.

    Parameters
    ----------
    listen
        Where WebDAV is served.
    admin
        Where health and metrics are served.
    seed
        Seed of all that is drawn.
    shards
        How many storage nodes, each with a shard of its own.
    modelled
        Give the nodes cores, speed and a queue; else they answer at once.
    settings
        A Jsonnet file to use instead of the laboratory's own settings; its node list is replaced.
    level
        Of the log on standard error: debug, info, warning or error.
    """
    _needs_lab()
    from cressrock.lab.serve import serve_lab

    if level not in logs.LEVELS:
        _stop(USAGE, f"--level {level}: none of {', '.join(logs.LEVELS)}")
    logs.configure(level)
    value = None
    if settings is not None:
        try:
            value = evaluate(str(settings))
            convert(str(settings), value)
        except SettingsError as wrong:
            _stop(BROKEN, str(wrong))

    async def program() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_interrupted, tasks)
            await serve_lab(
                listen=listen,
                seed=seed,
                shards=shards,
                modelled=modelled,
                admin=admin,
                log=logs.logger(dispatcher="lab"),
                ready=lambda found: print(json.dumps(found), flush=True),
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
    only: Annotated[list[str] | None, Parameter(help="Play only these troubles.")] = None,
    trace: Path | None = None,
    json_output: Annotated[bool, Parameter(name="--json")] = False,
) -> None:
    """Play a troubled day through real dispatchers and judge it by the seven rules.

    Exit code 1 if a rule was broken or a fence tripped.  Beside the rules stand what was served, its share
    of the best possible, how far the nodes were used, and what stood in the way of what was denied.

    Parameters
    ----------
    day
        `bad` has every trouble; `calm` has none.
    seed
        One seed gives one day; in simulated time also one trace.
    planners
        Make the dispatchers edges of so many planners, which are killed again and again; 0 for none.
    rate
        Requests a second of all clients together, before surges.
    load
        Instead of a rate: the part of the busiest shard's capacity that is asked for.
    site
        A Jsonnet file that says what the place is like (see examples/sites).
    fail_on_idle
        Exit code 1 also if a request was refused though its node stood idle.
    real
        Play over loopback sockets in real time; else in simulated time.
    trace
        Where to write what went over the sockets, as Parquet.
    """
    _needs_lab()
    from cressrock.lab.bound import bound
    from cressrock.lab.day import TROUBLES, Script, play
    from cressrock.lab.judge import judge
    from cressrock.lab.report import as_json, as_text, service_text
    from cressrock.lab.service import serve as reckon
    from cressrock.lab.site import load_site, usual

    names = [name for name, _ in TROUBLES]
    if day not in ("bad", "calm"):
        _stop(USAGE, f"day {day!r}: bad or calm")
    for name in only or []:
        if name not in names:
            _stop(USAGE, f"--only {name}: none of {', '.join(names)}")
    if (
        not 1 <= dispatchers <= 1000
        or not 1 <= nodes <= 1000
        or not 0 < rate <= 1e5
        or not 0 <= load <= 100
        or not 1 <= seconds <= 86400
    ):
        _stop(
            USAGE,
            "a day has 1 to 1000 dispatchers and nodes, a rate up to 100000, a load up to 100, 1 to 86400 s",
        )
    if not 0 <= planners <= dispatchers:
        _stop(USAGE, "--planners: from 0 to the number of dispatchers")
    logs.configure("error")
    try:
        place = usual() if site is None else load_site(str(site))
    except SettingsError as wrong:
        _stop(BROKEN, str(wrong))
        return
    script = Script(
        site=place,
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
        except OSError as wrong:
            _stop(UNAVAILABLE, f"{trace}: cannot be written: {wrong}")
    found, service, best = judge(result.trace), reckon(result.trace), bound(result.trace)
    if json_output:
        print(as_json(found, result, service, best))
    else:
        print(as_text(found, result.trace, result))
        print(service_text(service, best))
    if found.breaches or result.fences or (fail_on_idle and service.idle):
        raise SystemExit(BROKEN)


@lab.command(name="judge")
def lab_judge(trace: Path, *, json_output: Annotated[bool, Parameter(name="--json")] = False) -> None:
    """Judge a trace by the seven rules, from what went over the sockets alone.

    Parameters
    ----------
    trace
        A Parquet file that `lab day --trace` wrote.
    """
    found_trace = _trace(trace)
    from cressrock.lab.judge import judge
    from cressrock.lab.report import as_json, as_text, service_text
    from cressrock.lab.service import serve as reckon

    found, service = judge(found_trace), reckon(found_trace)
    if json_output:
        print(as_json(found, None, service))
    else:
        print(as_text(found, found_trace, None))
        print(service_text(service, None))
    if found.breaches:
        raise SystemExit(BROKEN)


@lab.command(name="bound")
def lab_bound(trace: Path, *, json_output: Annotated[bool, Parameter(name="--json")] = False) -> None:
    """Reckon what the best possible schedule of a trace's day could have earned, and the share reached.

    Parameters
    ----------
    trace
        A Parquet file that `lab day --trace` wrote.
    """
    found_trace = _trace(trace)
    from cressrock.lab.bound import bound
    from cressrock.lab.report import service_json, service_text
    from cressrock.lab.service import serve as reckon

    try:
        best = bound(found_trace)
    except ValueError as wrong:
        _stop(UNAVAILABLE, f"{trace}: {wrong}")
        return
    service = reckon(found_trace)
    if json_output:
        print(json.dumps(service_json(service, best), indent=2, sort_keys=True))
    else:
        print(
            f"due {best.due:.1f}, best possible {best.best:.1f}, earned {best.earned:.1f}: {best.share:.3f}"
        )
        print(f"(a linear program of {best.wishes} wishes and {best.rows} constraints)")
        print(service_text(service, best))


def _trace(path: Path) -> Any:
    """Read a trace, or stop with one line."""
    _needs_lab()
    from cressrock.lab.trace import load as load_trace

    try:
        found = load_trace(str(path))
    except ValueError as wrong:
        _stop(UNAVAILABLE, str(wrong))
        raise
    if "machines" not in found.facts:
        _stop(UNAVAILABLE, f"{path}: written by an older laboratory, which did not say what its site is like")
    return found


def _needs_lab() -> None:
    """Stop with one line where the laboratory's libraries are not installed."""
    from importlib.util import find_spec

    missing = [name for name in LAB_LIBRARIES if find_spec(name) is None]
    if missing:
        _stop(UNAVAILABLE, f"this command needs {', '.join(missing)}: pip install 'cressrock[lab]'")


@lab.command(name="fuzz")
def lab_fuzz(*, seed: int = 1, seconds: float = 60.0) -> None:
    """Throw drawn bytes at the front and at every parser of untrusted bytes, for a time.

    Exit code 1 if a defect was found; each names the seed that shows it again.
    """
    import time

    _needs_lab()
    from cressrock.lab.fuzz import fuzz_front, fuzz_parsers

    end, inputs, defects = time.monotonic() + seconds, 0, 0
    while time.monotonic() < end and not defects:
        for name, run, count in (("front", fuzz_front, 200), ("parsers", fuzz_parsers, 5000)):
            found = run(seed, count)
            inputs += found.inputs
            defects += len(found.defects)
            for defect in found.defects[:10]:
                print(f"{name}, seed {seed}: {defect}")
        seed += 1
    print(f"{inputs} inputs, {defects} defects")
    if defects:
        raise SystemExit(BROKEN)


@lab.command(name="nodes")
def lab_nodes(
    *, listen: str = "127.0.0.1:9900", seed: int = 1, shards: int = 3, modelled: bool = False
) -> None:
    """Run stand-ins for storage nodes and their list alone, for a dispatcher that `serve` runs.

    Prints one JSON line with the addresses when ready.

    Parameters
    ----------
    listen
        Where the node list is served.
    """
    _needs_lab()
    from cressrock.lab.serve import open_hall

    logs.configure("warning")

    async def program() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_interrupted, tasks)
            hall, address = await open_hall(tasks, seed=seed, shards=shards, modelled=modelled, listen=listen)
            print(json.dumps({"list": address, "nodes": sorted(hall.places)}), flush=True)
            await anyio.sleep_forever()

    _run(program)


async def _interrupted(tasks: TaskGroup) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            tasks.cancel_scope.cancel()
            return


def main() -> None:
    """Run the command line."""
    try:
        app()
        sys.stdout.flush()
    except BrokenPipeError:
        # Whoever read the output has enough of it (`| head`): no trace, and nothing more at the exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
