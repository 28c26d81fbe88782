"""What every program's admin port answers: rooms' routes first, then its own pages, read-only."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgspec

from cressrock.http.channel import Headers
from cressrock.http.server import Exchange

Route = Callable[[Exchange], Awaitable[None]]
Page = Callable[[], tuple[int, bytes, bytes]]  # status, content type, body

TEXT = b"text/plain; charset=utf-8"
METRICS = b"text/plain; version=0.0.4; charset=utf-8"
JSON = b"application/json"


def healthz() -> tuple[int, bytes, bytes]:
    """Return that the process runs: it answered."""
    return 200, TEXT, b"ok\n"


def status(value: Any) -> tuple[int, bytes, bytes]:
    """Return plain values as a page."""
    return 200, JSON, msgspec.json.encode(value)


async def serve(exchange: Exchange, routes: Mapping[bytes, Route], pages: Mapping[bytes, Page]) -> None:
    """Answer one request: by the route whose beginning its path has, whatever the method; else by a page.

    A page is made only for GET and HEAD; a path that is none is told which there are.
    """
    path = exchange.head.target.split(b"?")[0]
    for begin, handle in routes.items():
        if path.startswith(begin):
            await handle(exchange)
            return
    text: Headers = [(b"content-type", TEXT)]
    if exchange.head.method not in (b"GET", b"HEAD"):
        await exchange.respond(405, [*text, (b"allow", b"GET, HEAD")], b"only GET and HEAD\n")
    elif path in pages:
        code, kind, body = pages[path]()
        await exchange.respond(code, [(b"content-type", kind)], body)
    else:
        *names, last = pages
        await exchange.respond(404, text, b", ".join(names) + b" or " + last + b"\n")
