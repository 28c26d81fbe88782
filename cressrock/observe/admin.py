"""What an admin port answers: routes of cluster features first, then the program's own read-only pages."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple

import msgspec

from cressrock.http.channel import Headers
from cressrock.http.server import Exchange

TEXT = b"text/plain; charset=utf-8"
METRICS = b"text/plain; version=0.0.4; charset=utf-8"
JSON = b"application/json"


class Response(NamedTuple):
    """A page as it is sent."""

    status: int
    content_type: bytes
    body: bytes


Route = Callable[[Exchange], Awaitable[None]]
Page = Callable[[], Response]


def health_page() -> Response:
    """Return that the process runs: it answered."""
    return Response(200, TEXT, b"ok\n")


def readiness_page(not_ready_reasons: list[str]) -> Response:
    """Return that work may be sent here, or why not."""
    body = ("; ".join(not_ready_reasons) or "ready") + "\n"
    return Response(503 if not_ready_reasons else 200, TEXT, body.encode())


def metrics_page(exposition: bytes) -> Response:
    """Return metrics in Prometheus's text form."""
    return Response(200, METRICS, exposition)


def status_page(status: Mapping[str, object]) -> Response:
    """Return plain values as JSON."""
    return Response(200, JSON, msgspec.json.encode(status))


class AdminServer:
    """The admin port of one program; both the gateway and the planner have one."""

    def __init__(self, pages: Mapping[bytes, Page]) -> None:
        """`pages` are the program's own, by path; features add their `routes`, by the path's prefix."""
        self.pages = pages
        self.routes: dict[bytes, Route] = {}

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request: by the route that its path begins with, whatever the method; else by a page.

        A page is made only for GET and HEAD; a path that has none is answered with those that there are.
        """
        path = exchange.head.target.split(b"?")[0]
        for prefix, handler in self.routes.items():
            if path.startswith(prefix):
                await handler(exchange)
                return
        text: Headers = [(b"content-type", TEXT)]
        if exchange.head.method not in (b"GET", b"HEAD"):
            await exchange.respond(405, [*text, (b"allow", b"GET, HEAD")], b"only GET and HEAD\n")
        elif path in self.pages:
            response = self.pages[path]()
            await exchange.respond(response.status, [(b"content-type", response.content_type)], response.body)
        else:
            *paths, last = self.pages
            await exchange.respond(404, text, b", ".join(paths) + b" or " + last + b"\n")
