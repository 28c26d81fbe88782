"""The admin port of both programs: one way to answer, each with its own pages."""

import json
from types import SimpleNamespace

import anyio
import pytest

from cressrock.lab.serve import lab_settings
from cressrock.observe import admin
from cressrock.programs.composition import Environment
from cressrock.programs.gateway import Gateway
from cressrock.programs.planner import PlannerProgram
from cressrock.settings.load import convert


class Asked:
    """An exchange that remembers its answer."""

    def __init__(self, method, target):
        self.head = SimpleNamespace(method=method, target=target)
        self.answer = None

    async def respond(self, status, headers, body):
        assert self.answer is None
        self.answer = status, dict(headers), body


def program(kind, routes=None, reasons=()):
    """Return the handler of a program's admin port; the program does not run."""
    settings = convert("admin", lab_settings("127.0.0.1:1", "127.0.0.1:0", 1))
    made = kind(settings, Environment(connect=None, wall_ms=lambda: 0.0, seed=1, log=None))
    made.not_ready_reasons = lambda: list(reasons)
    made.render_metrics = lambda: b"metrics"
    made.status = lambda: {"name": "x"}
    made.admin.routes |= routes or {}
    return made.admin.handle


def ask(serve, target, method=b"GET"):
    exchange = Asked(method, target)
    anyio.run(serve, exchange)
    return exchange.answer


@pytest.mark.parametrize("kind", [Gateway, PlannerProgram])
def test_health_and_status_are_alike_at_both(kind):
    serve = program(kind)
    assert ask(serve, b"/healthz") == (200, {b"content-type": admin.TEXT}, b"ok\n")
    assert ask(serve, b"/healthz?x=1", b"HEAD")[0] == 200
    code, headers, body = ask(serve, b"/v1/status")
    assert (code, headers, json.loads(body)) == (200, {b"content-type": b"application/json"}, {"name": "x"})
    code, headers, body = ask(serve, b"/healthz", b"POST")
    assert (code, headers[b"allow"], body) == (405, b"GET, HEAD", b"only GET and HEAD\n")


@pytest.mark.parametrize(
    ("kind", "names"),
    [
        (Gateway, b"/healthz, /readyz, /metrics or /v1/status\n"),
        (PlannerProgram, b"/healthz or /v1/status\n"),
    ],
)
def test_a_path_that_is_none_is_told_which_there_are(kind, names):
    assert ask(program(kind), b"/other") == (404, {b"content-type": admin.TEXT}, names)
    assert ask(program(kind), b"/healthz/")[0] == 404


def test_pages_that_a_gateway_alone_has():
    assert ask(program(Gateway), b"/readyz") == (200, {b"content-type": admin.TEXT}, b"ready\n")
    assert ask(program(Gateway, reasons=("a", "b")), b"/readyz")[::2] == (503, b"a; b\n")
    assert ask(program(Gateway), b"/metrics") == (200, {b"content-type": admin.METRICS}, b"metrics")
    assert ask(program(PlannerProgram), b"/metrics")[0] == 404


@pytest.mark.parametrize("kind", [Gateway, PlannerProgram])
def test_a_rooms_route_comes_first_and_takes_any_method(kind):
    async def room(exchange):
        await exchange.respond(202, [], exchange.head.method)

    serve = program(kind, {b"/v1/rollout": room})
    assert ask(serve, b"/v1/rollout/x?y", b"POST") == (202, {}, b"POST")
    assert ask(serve, b"/v1/roll", b"POST")[0] == 405
