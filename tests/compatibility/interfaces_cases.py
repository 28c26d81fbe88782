"""Interfaces to operators and tools: settings, deploy file, admin port, metrics, command line, error codes.

The recorder and the test use the same functions, so that they cannot diverge.  Keys, types, defaults, bounds,
statuses, exit codes and remedies are part of the interface; descriptions are prose and are left out.
"""

from __future__ import annotations

import contextlib
import io
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
import tomllib
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

import msgspec
from msgspec import inspect as shapes
from rich.console import Console

from cressrock import errors
from cressrock.cli.main import app
from cressrock.cli.start import main
from cressrock.dispatch.ledger import Verdict
from cressrock.dispatch.reasons import Fence, Reason
from cressrock.errors.__main__ import page
from cressrock.interface import NodeState, Outcome
from cressrock.observe.metrics import Metrics
from cressrock.settings import types
from cressrock.settings.load import convert, evaluate_text
from cressrock.settings.reference import reference
from cressrock.settings.types import interface_settings
from tests.compatibility.canonical import text_of

ROOT = Path(__file__).parents[2]


# --- settings


def shape_of(shape: Any) -> Any:
    """Return keys, defaults and bounds of a settings type as plain values, without class names."""
    if isinstance(shape, shapes.StructType):
        fields = {field.encode_name: [_default(field), shape_of(field.type)] for field in shape.fields}
        return {"fields": fields, "unknown refused": shape.forbid_unknown_fields}
    if isinstance(shape, shapes.Metadata):
        return shape_of(shape.type)
    if isinstance(shape, msgspec.Struct):
        parts = {name: shape_of(getattr(shape, name)) for name in shape.__struct_fields__}
        return {"kind": type(shape).__name__} | {
            name: part for name, part in parts.items() if part is not None
        }
    if isinstance(shape, tuple | list):
        return [shape_of(part) for part in shape]
    return shape if shape is None or isinstance(shape, bool | int | float | str) else repr(shape)


def _default(field: Any) -> Any:
    if field.required:
        return "required"
    if field.default is not msgspec.NODEFAULT:
        return {"default": msgspec.to_builtins(field.default)}
    return {"default": msgspec.to_builtins(field.default_factory())}


def settings_shape() -> Any:
    """Return all keys of a settings file with types, defaults and bounds, as plain values."""
    return shape_of(shapes.type_info(types.Gateway))


def reference_rows() -> list[list[str]]:
    """Return section, key, type and default of every row of the settings reference."""
    rows, section = [], ""
    for line in reference().splitlines():
        if line.startswith("## "):
            section = line.removeprefix("## ")
        elif line.startswith("| `"):
            rows.append([section, *(cell.strip() for cell in line.split(" | ")[:3])])
    return rows


MINIMAL_SETTINGS = """
local c = import 'cressrock.libsonnet';
{
  classes: c.classes, plans: c.plans, volumes: { demo: c.volume([0, 1]) },
  node_list: { address: '127.0.0.1:9900' },
}
"""


def effective_settings() -> Any:
    """Return the effective settings of a minimal file, as `cressrock check` prints them."""
    return msgspec.to_builtins(convert("site.jsonnet", evaluate_text("site.jsonnet", MINIMAL_SETTINGS)))


def scheduler_settings() -> str:
    """Return the decision module's settings for a minimal file, as one line of values."""
    return text_of(
        interface_settings(convert("site.jsonnet", evaluate_text("site.jsonnet", MINIMAL_SETTINGS)))
    )


# --- the deploy file


def deploy_file() -> dict[str, Any]:
    """Return keys and commands of the deploy file; its lists of source files are left out."""
    value = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return {key: "files" if key in ("policy", "node") else item for key, item in value.items()}


# --- metrics and codes


def metrics() -> list[list[Any]]:
    """Return name, kind and labels of each metric, and the bucket bounds of histograms."""
    registry = Metrics(None, ["read"]).registry
    rows = [
        [
            m._name,
            m._type,
            list(m._labelnames),
            list(getattr(m, "_upper_bounds", getattr(m, "_kwargs", {}).get("buckets", ()))),
        ]
        for m in registry._collector_to_names
    ]
    return sorted(json.loads(json.dumps(rows)))


def codes() -> dict[str, Any]:
    """Return every code that operators can see, and the remedies of the error types."""
    page()  # imports all error types
    kinds = [kind for kind in errors.known() if kind.__module__.startswith("cressrock.")]
    return {
        "errors": {kind.code: kind.remedy for kind in kinds},
        "fields": sorted(errors.CressrockError("text").fields()),
        "base": [errors.CressrockError.code, errors.CressrockError.remedy],
        "reasons": sorted(Reason),
        "fences": sorted(Fence),
        "verdicts": sorted(verdict.value for verdict in Verdict),
        "node states": sorted(state.value for state in NodeState),
        "outcomes": sorted(outcome.value for outcome in Outcome),
    }


# --- the command line


def run_command(*words: str) -> list[Any]:
    """Run a command in this process; return exit code, standard output and standard error."""
    out, err, original_argv = io.StringIO(), io.StringIO(), sys.argv
    sys.argv = ["cressrock", *words]
    code: Any = 0
    try:
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            main()
    except SystemExit as exit_:
        code = exit_.code or 0
    finally:
        sys.argv = original_argv
    return [code, out.getvalue(), err.getvalue()]


COMMANDS = [
    "",
    "check",
    "serve",
    "edge",
    "plan",
    "lab",
    "lab serve",
    "lab day",
    "lab judge",
    "lab bound",
    "lab fuzz",
    "lab nodes",
]


def help_of(command: str) -> dict[str, Any]:
    """Return a command's usage, and its subcommands and options with type and default; no descriptions."""
    # Pass a console: the application otherwise keeps the console, and the width, of its first command.
    out, code = io.StringIO(), 0
    try:
        app([*command.split(), "--help"], console=Console(file=out, width=400))
    except SystemExit as exit_:
        code = exit_.code or 0
    text = out.getvalue()
    lines = [line.strip() for line in text.splitlines()]
    rows = []
    for line in lines:
        if line.startswith("│"):
            head, *rest = re.split(r"\s{2,}", line.strip("│ ").removeprefix("*").strip(), maxsplit=1)
            defaults = re.findall(r"\[(?:default: [^]]*|required)\]", rest[0] if rest else head)
            rows.append([re.sub(r"\s*\[default.*", "", head), defaults])
    return {"code": code, "usage": next(line for line in lines if line.startswith("Usage")), "rows": rows}


def exit_codes(folder: Path) -> dict[str, int]:
    """Return the exit code of each of these command lines, most of which are invalid."""
    good, bad = folder / "good.jsonnet", folder / "bad.jsonnet"
    good.write_text((ROOT / "examples" / "gateway.jsonnet").read_text())
    bad.write_text("{ broken")
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        address_in_use = folder / "busy.jsonnet"
        address_in_use.write_text(f"(import 'good.jsonnet') + {{ front+: {{ listen: '127.0.0.1:{port}' }} }}")
        uses = {
            "": [],
            "--version": ["--version"],
            "check good": ["check", str(good)],
            "check bad": ["check", str(bad)],
            "check without a file": ["check"],
            "check a missing file": ["check", str(folder / "none")],
            "check with half a definition": ["check", str(good), "-D", "name"],
            "check with an unknown option": ["check", str(good), "--colour", "red"],
            "edge without planners": ["edge", str(good)],
            "edge of a bad file": ["edge", str(bad)],
            "serve a missing file": ["serve", str(folder / "none")],
            "serve at an address in use": ["serve", str(address_in_use)],
            "plan a bad file": ["plan", str(bad)],
            "an unknown command": ["colour"],
            "lab day sunny": ["lab", "day", "sunny"],
            "lab day --only": ["lab", "day", "--only", "sunshine"],
            "lab day --nodes": ["lab", "day", "--nodes", "0"],
            "lab day --planners": ["lab", "day", "--planners", "9", "--dispatchers", "2"],
            "lab day --site": ["lab", "day", "--site", str(folder / "none")],
            "lab judge": ["lab", "judge", str(folder / "none")],
            "lab bound": ["lab", "bound", str(folder / "none")],
            "lab serve --level": ["lab", "serve", "--level", "loud"],
            "lab serve --settings": ["lab", "serve", "--settings", str(folder / "none")],
            "lab nodes --seed": ["lab", "nodes", "--seed", "one"],
        }
        return {name: run_command(*words)[0] for name, words in uses.items()}


def exit_codes_of_the_module(folder: Path) -> dict[str, int]:
    """Return exit codes of `python -m cressrock`, run as a separate process."""
    environment = {name: value for name, value in os.environ.items() if name != "LB_CONFIG"}
    uses = {"platform without a configuration": ["platform"], "check": ["check", str(folder / "none")]}
    return {
        name: subprocess.run(
            [sys.executable, "-m", "cressrock", *words], cwd=ROOT, env=environment, capture_output=True
        ).returncode
        for name, words in uses.items()
    }


# --- the admin port of both programs, with every feature enabled

FULL_SETTINGS = """
local c = import 'cressrock.libsonnet';
{
  name: 'NAME',
  classes: c.classes, plans: c.plans,
  volumes: { demo: c.volume([0, 1]), twin: c.volume([0, 1]) + { copies: { a1: [0, 1], b1: [2, 3] } } },
  copies: { regions: { a1: 'north', b1: 'south' } },
  node_list: { address: '127.0.0.1:1', poll_ms: 500 },
  front: { listen: '127.0.0.1:0' },
  observe: { admin: '127.0.0.1:ADMIN', level: 'debug' },
  pair: { edges: 2, listen: '127.0.0.1:0', epoch_file: 'FOLDER/NAME.epoch', PAIR },
  fleet: { listen: '127.0.0.1:0', zone: 'a1', region: 'north', life_file: 'FOLDER/NAME.life' },
  council: {
    seats: { p0: '127.0.0.1:2', p1: '127.0.0.1:3', p2: '127.0.0.1:4' }, listen: '127.0.0.1:0', COUNCIL
  },
  rollout: {},
  zones: {
    zones: { a1: { region: 'north', capacity: 200.0 }, b1: { region: 'south', capacity: 200.0 } }, edges: 2,
  },
  PRESENCE
}
"""
PATHS = [
    "/healthz",
    "/readyz",
    "/metrics",
    "/v1/status",
    "/v1/rollout",
    "/v1/zones/status",
    "/v1/copies",
    "/v1/presence/carriers?volume=demo",
    "/v1/presence/rooms/demo/x",
    "/other",
]
PROGRAMS = {
    "edge": ("edge", "e0", "planners: ['127.0.0.1:5']", "", "presence: {},"),
    "planner": ("plan", "p0", "", "store: 'FOLDER/store'", ""),
}


def key_paths(value: Any, prefix: str = "") -> set[str]:
    """Return the paths of all keys in nested plain values; all items of a list have the same path."""
    if isinstance(value, dict):
        inner = {f"{prefix}.{key}" for key in value}
        return inner.union(*(key_paths(part, f"{prefix}.{key}") for key, part in value.items()))
    if isinstance(value, list):
        return set().union(*(key_paths(part, f"{prefix}[]") for part in value))
    return set()


def fetch(url: str, method: str = "GET") -> list[Any]:
    """Request a URL of an admin port; return status, content type, Allow header and a body summary."""
    request = urllib.request.Request(url, method=method)
    try:
        with urllib.request.urlopen(request, timeout=5) as response:
            status, headers, body = response.status, response.headers, response.read()
    except urllib.error.HTTPError as response:
        status, headers, body = response.code, response.headers, response.read()
    kind, allow = headers["content-type"], headers["allow"]
    if kind == "application/json" and method == "GET":
        return [status, kind, allow, sorted(key_paths(json.loads(body)))]
    if "version=0.0.4" in (kind or ""):
        names = {line.split()[2] for line in body.decode().splitlines() if line.startswith("# TYPE")}
        return [status, kind, allow, sorted(name for name in names)]
    return [status, kind, allow, body.decode()]


def free_port() -> int:
    """Return a free TCP port of the loopback interface."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


def admin_port(program: str, folder: Path) -> dict[str, Any]:
    """Run a program with all features enabled; return its admin port's responses, exit code and log keys."""
    command, name, pair, council, presence = PROGRAMS[program]
    port, path = free_port(), folder / f"{program}.jsonnet"
    text = FULL_SETTINGS.replace("PAIR", pair).replace("COUNCIL", council).replace("PRESENCE", presence)
    path.write_text(text.replace("ADMIN", str(port)).replace("NAME", name).replace("FOLDER", str(folder)))
    log = folder / f"{program}.log"
    with log.open("w") as file:
        process = subprocess.Popen(
            [sys.executable, "-m", "cressrock", command, str(path)], stderr=file, cwd=ROOT
        )
    try:
        base, deadline_s = f"http://127.0.0.1:{port}", time.monotonic() + 60
        while True:
            try:
                fetch(f"{base}/healthz")
                break
            except OSError:
                assert process.poll() is None and time.monotonic() < deadline_s, log.read_text()
                time.sleep(0.05)
        time.sleep(1.0)
        answers = {path: fetch(base + path) for path in PATHS}
        answers["POST /v1/status"] = fetch(f"{base}/v1/status", "POST")
        answers["HEAD /healthz"] = fetch(f"{base}/healthz", "HEAD")
    finally:
        process.send_signal(signal.SIGTERM)
        code = process.wait(40)
    lines = [json.loads(line) for line in log.read_text().splitlines()]
    common_keys = sorted(set.intersection(*(set(line) for line in lines)))
    return {"answers": answers, "exit code": code, "keys of every log line": common_keys}
