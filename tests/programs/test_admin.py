"""The admin ports of the gateway and the planner: common request handling, separate pages."""

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


class RecordingExchange:
    """An exchange that records its answer."""

    def __init__(self, method, target):
        self.head = SimpleNamespace(method=method, target=target)
        self.answer = None

    async def respond(self, status, headers, body):
        assert self.answer is None
        self.answer = status, dict(headers), body


def admin_handler(kind, routes=None, reasons=()):
    """Return the admin port's handler of a program of class `kind`, which is not run."""
    settings = convert("admin", lab_settings("127.0.0.1:1", "127.0.0.1:0", 1))
    program = kind(settings, Environment(connect=None, wall_ms=lambda: 0.0, seed=1, log=None))
    program.not_ready_reasons = lambda: list(reasons)
    program.render_metrics = lambda: b"metrics"
    program.status = lambda: {"name": "x"}
    program.admin.routes |= routes or {}
    return program.admin.handle


def ask(serve, target, method=b"GET"):
    exchange = RecordingExchange(method, target)
    anyio.run(serve, exchange)
    return exchange.answer


@pytest.mark.parametrize("kind", [Gateway, PlannerProgram])
def test_health_and_status_pages_are_the_same_for_gateway_and_planner(kind):
    serve = admin_handler(kind)
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
        (PlannerProgram, b"/healthz, /metrics or /v1/status\n"),
    ],
)
def test_unknown_path_gets_404_with_the_list_of_pages(kind, names):
    assert ask(admin_handler(kind), b"/other") == (404, {b"content-type": admin.TEXT}, names)
    assert ask(admin_handler(kind), b"/healthz/")[0] == 404


def test_readiness_and_metrics_pages():
    assert ask(admin_handler(Gateway), b"/readyz") == (200, {b"content-type": admin.TEXT}, b"ready\n")
    assert ask(admin_handler(Gateway, reasons=("a", "b")), b"/readyz")[::2] == (503, b"a; b\n")
    assert ask(admin_handler(Gateway), b"/metrics") == (200, {b"content-type": admin.METRICS}, b"metrics")
    assert ask(admin_handler(PlannerProgram), b"/readyz")[0] == 404
    code, headers, body = ask(admin_handler(PlannerProgram), b"/metrics")
    assert (code, headers) == (200, {b"content-type": admin.METRICS})
    assert b"cressrock_event_loop_slow_turns_total 0.0\n" in body
    assert b'cressrock_state_file_writes_total{result="written"} 0.0\n' in body


@pytest.mark.parametrize("kind", [Gateway, PlannerProgram])
def test_feature_route_takes_precedence_and_accepts_any_method(kind):
    async def feature(exchange):
        await exchange.respond(202, [], exchange.head.method)

    serve = admin_handler(kind, {b"/v1/rollout": feature})
    assert ask(serve, b"/v1/rollout/x?y", b"POST") == (202, {}, b"POST")
    assert ask(serve, b"/v1/roll", b"POST")[0] == 405
