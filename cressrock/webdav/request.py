"""Parsing and validation of a WebDAV request head, before any storage operation; without I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from cressrock.dispatch.operation import Body
from cressrock.http.channel import Headers
from cressrock.webdav import conditions
from cressrock.webdav.paths import InvalidPathError, Path, parse, parse_url

METHODS = (
    "OPTIONS",
    "GET",
    "HEAD",
    "PUT",
    "DELETE",
    "MKCOL",
    "COPY",
    "MOVE",
    "PROPFIND",
    "PROPPATCH",
    "LOCK",
    "UNLOCK",
)
SINGLE_VALUE_HEADERS = frozenset(
    b"host content-length transfer-encoding if if-match if-none-match if-modified-since if-unmodified-since "
    b"range if-range overwrite destination timeout lock-token depth idempotency-key content-type".split()
)
_KEY = re.compile(r"[\x21-\x7e]{1,255}\Z")


class InvalidRequestError(ValueError):
    """A request that is refused without any storage operation, with HTTP status `status`."""

    def __init__(self, status: int, text: str) -> None:
        """`text` is the explanation sent to the client."""
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Request:
    """A validated request.  `path` is None for the server's root."""

    method: str
    path: Path | None
    headers: dict[str, str]
    host: str
    depth: str = "infinity"
    overwrite: bool = True
    destination: Path | None = None
    ifs: tuple[conditions.StateList, ...] | None = None
    wait_s: float | None = None
    key: str = ""
    length: int | None = 0  # None: chunked
    body: Body | None = None
    content: bytes = b""  # the body, if it is XML
    resources: dict[str | None, Path] = field(
        default_factory=dict
    )  # resources named in the If header, by tag


def read(method: bytes, target: bytes, fields: Headers, *, max_put_bytes: int) -> Request:
    """Parse and validate a request's head; raises InvalidRequestError."""
    name = method.decode("ascii", "replace")
    if name not in METHODS:
        raise InvalidRequestError(501, f"method {name[:32]} is not known")
    headers = _headers(fields)
    host = headers.get("host", "")
    length: int | None = 0
    if "transfer-encoding" in headers:
        # Request smuggling: with both headers, an intermediary may use the other framing.
        if "content-length" in headers:
            raise InvalidRequestError(400, "Content-Length and Transfer-Encoding together")
        length = None
    elif "content-length" in headers:
        length = int(headers["content-length"])
    try:
        path = _target(target, host)
        request = Request(name, path, headers, host, length=length)
        _depth(request)
        request.overwrite = conditions.overwrite(headers.get("overwrite"))
        request.wait_s = conditions.wait_seconds(headers.get("prefer"))
        _conditions(request)
        if name in ("COPY", "MOVE"):
            request.destination = _destination(request)
        if name == "UNLOCK":
            conditions.coded_url(headers.get("lock-token", ""), "Lock-Token")
    except (InvalidPathError, conditions.InvalidHeaderError) as exc:
        raise InvalidRequestError(400, str(exc)) from None
    key = headers.get("idempotency-key", "").strip().strip('"')
    if key and not _KEY.match(key):
        raise InvalidRequestError(400, "Idempotency-Key: 1 to 255 visible characters were expected")
    request.key = key
    if length is not None and length > max_put_bytes:
        raise InvalidRequestError(413, f"a body may have at most {max_put_bytes} bytes")
    if name == "PUT" and "content-range" in headers:
        raise InvalidRequestError(400, "a PUT of a part is not offered (Content-Range)")
    return request


def _headers(fields: Headers) -> dict[str, str]:
    headers: dict[str, str] = {}
    for raw, value in fields:
        name = raw.decode("ascii")
        if name in headers:
            if raw in SINGLE_VALUE_HEADERS:
                raise InvalidRequestError(400, f"{name} is given twice")
            headers[name] += ", " + value.decode("latin-1")
        else:
            headers[name] = value.decode("latin-1")
    return headers


def _target(target: bytes, host: str) -> Path | None:
    text = target.decode("latin-1")
    if text == "*":
        return None
    if not text.startswith("/"):
        found = parse_url(text, host)
        if found is None:
            raise InvalidRequestError(421, "the request names another host")
        return found
    if not text.split("?", 1)[0].strip("/"):
        return None
    return parse(text)


def _depth(request: Request) -> None:
    given = request.headers.get("depth")
    # RFC 4918 section 9.1 treats a PROPFIND without Depth as infinity, which is refused here.  Clients that
    # omit it expect the resource and its members.
    default = {"COPY": "infinity", "MOVE": "infinity", "DELETE": "infinity", "LOCK": "infinity"}.get(
        request.method, "1" if request.method == "PROPFIND" else "0"
    )
    request.depth = conditions.depth(given, default)
    if request.method in ("LOCK", "COPY") and request.depth == "1":
        raise conditions.InvalidHeaderError(f"Depth: 1 is not allowed with {request.method}")
    if request.method in ("MOVE", "DELETE") and request.depth != "infinity":
        # For a plain resource 0 is equivalent, and clients send it; on a collection it is refused later.
        if request.depth == "1":
            raise conditions.InvalidHeaderError(f"Depth: 1 is not allowed with {request.method}")


def _conditions(request: Request) -> None:
    for name in ("if-match", "if-none-match"):
        if name in request.headers:
            conditions.etags(request.headers[name])
    value = request.headers.get("if")
    if value is None:
        return
    request.ifs = conditions.parse_if(value)
    for state_list in request.ifs:
        if state_list.resource in request.resources:
            continue
        if state_list.resource is None:
            if request.path is not None:
                request.resources[None] = request.path
        else:
            found = parse_url(state_list.resource, request.host)
            if found is None:
                raise conditions.InvalidHeaderError("If: a resource on another host")
            request.resources[state_list.resource] = found
    if len(request.resources) > 16:
        raise conditions.InvalidHeaderError("If: more than 16 resources")


def _destination(request: Request) -> Path:
    value = request.headers.get("destination")
    if value is None:
        raise InvalidRequestError(400, "Destination is missing")
    found = parse_url(value.strip(), request.host)
    if found is None:
        raise InvalidRequestError(502, "Destination is on another host")
    return found
