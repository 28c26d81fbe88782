"""The admin port: routes of cluster features take precedence over the program's read-only pages."""

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
    """HTTP status, content type and body of a page."""

    status: int
    content_type: bytes
    body: bytes


Route = Callable[[Exchange], Awaitable[None]]
Page = Callable[[], Response]


def health_page() -> Response:
    """Return 200: that the process answers shows that it is running."""
    return Response(200, TEXT, b"ok\n")


def readiness_page(not_ready_reasons: list[str]) -> Response:
    """Return 200 if there are no reasons, otherwise 503 with the reasons."""
    body = ("; ".join(not_ready_reasons) or "ready") + "\n"
    return Response(503 if not_ready_reasons else 200, TEXT, body.encode())


def metrics_page(exposition: bytes) -> Response:
    """Return a page of metrics that are already in Prometheus text format."""
    return Response(200, METRICS, exposition)


def status_page(status: Mapping[str, object]) -> Response:
    """Return a page with `status` encoded as JSON."""
    return Response(200, JSON, msgspec.json.encode(status))


class AdminServer:
    """HTTP handler of the admin port of a gateway or planner."""

    def __init__(self, pages: Mapping[bytes, Page]) -> None:
        """`pages` maps exact paths to pages; features add handlers to `routes` by path prefix."""
        self.pages = pages
        self.routes: dict[bytes, Route] = {}

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request: by the route whose prefix matches its path, with any method; else by a page.

        Pages answer only GET and HEAD (405 otherwise); an unknown path gets 404 and the list of pages.
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
