"""Compositions: map one client request to storage operations and one answer, without I/O.

A composition is a generator: it yields a batch of calls that may run concurrently, is sent their results in
the same order, and returns the answer.  It does not read a clock or block.

Placement: a resource is stored at its home shard.  A collection has a record on every shard of its volume,
so that each shard can check a member's parent and locks locally.  The home shard's record is authoritative,
holds the properties, and is created last and deleted last.  Each composition documents the state it leaves
when it stops part-way; none of them reports success in that case, and none loses data.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterable
from dataclasses import dataclass, field, replace
from html import escape
from typing import Any

from cressrock.dispatch.ledger import Verdict
from cressrock.dispatch.operation import Body, IncomingPayload, Reply, Result
from cressrock.dispatch.reasons import Reason
from cressrock.dispatch.transport import Denial
from cressrock.http.channel import Headers, header
from cressrock.webdav import conditions, xml
from cressrock.webdav.conditions import State
from cressrock.webdav.paths import InvalidPathError, Path, parse
from cressrock.webdav.placement import home
from cressrock.webdav.request import Request
from cressrock.webdav.xml import D, Response

LIVE_PROPERTY_NAMES = frozenset(
    D + name
    for name in (
        "creationdate",
        "getcontentlength",
        "getcontenttype",
        "getetag",
        "getlastmodified",
        "lockdiscovery",
        "resourcetype",
        "supportedlock",
    )
)
FORWARDED_REQUEST_HEADERS = (
    "if-match",
    "if-none-match",
    "if-modified-since",
    "if-unmodified-since",
    "range",
    "if-range",
    "content-type",
)
FORWARDED_RESPONSE_HEADERS = frozenset(
    b"content-type content-length etag last-modified content-range accept-ranges lock-token allow".split()
)


@dataclass(frozen=True, slots=True)
class Call:
    """A storage operation requested by a composition."""

    method: str
    path: Path
    shard: int
    headers: Headers = field(default_factory=list)
    body: Body | bytes | None = None
    stream: bool = False  # the reply's payload is streamed to the client
    collect: bool = False  # the reply's payload is buffered, to be written to another shard

    @property
    def safe(self) -> bool:
        """Whether the method is read-only, so that repeating or omitting the call changes no state."""
        return self.method in ("GET", "HEAD", "PROPFIND", "OPTIONS")


@dataclass(frozen=True, slots=True)
class Answer:
    """The final answer to a client; `reason` is set if the request was rejected or failed."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    stream: IncomingPayload | None = None
    reason: Reason | None = None


@dataclass(frozen=True, slots=True)
class Volume:
    """A volume's name and its shards, in the order of the settings."""

    name: str
    shards: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class CompositionContext:
    """The volumes by name, the generator of lock tokens, and the longest lock time-out in seconds."""

    volumes: dict[str, Volume]
    new_token: Callable[[], str]
    longest_lock_s: int = 604800

    def home(self, path: Path) -> int:
        """Return a path's home shard."""
        return home(path.key, self.volumes[path.volume].shards)

    def other_shards(self, path: Path) -> list[int]:
        """Return the volume's shards other than the path's home shard."""
        home_shard = self.home(path)
        return [shard for shard in self.volumes[path.volume].shards if shard != home_shard]


Composition = Generator[list[Call], list[Result], Answer]
AnswerSteps = Composition
AttemptSteps = Generator[list[Call], list[Result], Answer | None]
ListingSteps = Generator[list[Call], list[Result], list[Response]]
MemberSteps = Generator[list[Call], list[Result], list[tuple[Path, Reply]]]


class CompositionFinishedError(Exception):
    """Ends a composition early with the given answer."""

    def __init__(self, answer: Answer) -> None:
        """`answer` is what compose() returns to the client."""
        super().__init__(answer.status)
        self.answer = answer


def compose(request: Request, context: CompositionContext) -> Composition:
    """Run the composition for the method of a request whose volume exists; returns its answer."""
    try:
        answer: Answer = yield from _METHODS[request.method](request, context)
    except CompositionFinishedError as early_end:
        return early_end.answer
    return answer


# --- conversion of results to answers


def denied(result: Denial, *, harmless: bool = True) -> Answer:
    """Return the answer for a denial: 503 with Retry-After for a rejection, else 502 or 504.

    A 503 guarantees that a retry is harmless, and 502 and 504 do not.  With `harmless` False, because earlier
    calls may have changed something, a rejection becomes a 502.
    """
    if result.verdict is Verdict.REJECTED and harmless:
        seconds = max(1, -(-int(result.retry_after_ms) // 1000))
        return Answer(503, [(b"retry-after", str(seconds).encode())], reason=result.reason)
    reason = result.reason if result.verdict is not Verdict.REJECTED else Reason.HALF_DONE
    status = 504 if reason in (Reason.DEADLINE, Reason.OVERDUE) else 502
    return Answer(status, reason=reason)


def forward_reply(reply: Reply, *, extra: Headers | None = None) -> Answer:
    """Return a node's reply as the answer, with only the headers meant for the client."""
    headers = [(k, v) for k, v in reply.headers if k in FORWARDED_RESPONSE_HEADERS]
    if reply.stream is None:
        headers = [(k, v) for k, v in headers if k != b"content-length" or reply.status == 304]
    return Answer(reply.status, headers + (extra or []), reply.body, reply.stream)


def _is_collection(reply: Reply) -> bool:
    """Whether a reply is about a collection: its Content-Location then ends in a slash."""
    return (header(reply.headers, b"content-location") or b"").endswith(b"/")


def _call_one(call: Call, *, harmless: bool = True) -> Generator[list[Call], list[Result], Reply]:
    """Make one call and return its reply; a denial ends the composition."""
    (result,) = yield [call]
    if isinstance(result, Denial):
        raise CompositionFinishedError(denied(result, harmless=harmless))
    return result


def _call_all(calls: list[Call], *, harmless: bool) -> Generator[list[Call], list[Result], list[Reply]]:
    """Make calls concurrently and return their replies in order; any denial ends the composition."""
    if not calls:
        return []
    results = yield calls
    replies: list[Reply] = []
    for result in results:
        if isinstance(result, Denial):
            raise CompositionFinishedError(denied(result, harmless=harmless))
        replies.append(result)
    return replies


def _forwarded_headers(request: Request) -> Headers:
    return [
        (n.encode(), request.headers[n].encode("latin-1"))
        for n in FORWARDED_REQUEST_HEADERS
        if n in request.headers
    ]


# --- the If header across shards


def _resolve_if_header(
    request: Request, context: CompositionContext, shard: int | None
) -> Generator[list[Call], list[Result], Headers]:
    """Return the If header for a call to `shard`; ends with 412 if the condition is false.

    If all resources that the header names are stored at `shard`, the node evaluates the header together with
    the operation.  Otherwise, and always if `shard` is None, it is evaluated here on the state read from the
    resources' home shards, and only the lock tokens are forwarded.
    """
    if request.ifs is None:
        return []
    if shard is not None and all(context.home(p) == shard for p in request.resources.values()):
        return [(b"if", request.headers["if"].encode("latin-1"))]
    tags = list(request.resources)
    calls = [_stat(request.resources[tag], context, ("getetag", "lockdiscovery")) for tag in tags]
    replies = yield from _call_all(calls, harmless=True)
    states = {tag: _state(reply) for tag, reply in zip(tags, replies, strict=True)}
    if not conditions.holds(request.ifs, states):
        raise CompositionFinishedError(Answer(412))
    return _submitted_tokens_header(request)


def _submitted_tokens_header(request: Request) -> Headers:
    if request.ifs is None:
        return []
    return [(b"if", conditions.always_true_if(conditions.submitted(request.ifs)).encode("latin-1"))]


def _stat(path: Path, context: CompositionContext, names: Iterable[str] = ()) -> Call:
    body = xml.write_propfind(D + name for name in names)
    return Call("PROPFIND", path, context.home(path), [(b"depth", b"0")], body)


def _state(reply: Reply) -> State:
    if reply.status != 207:
        return State("", frozenset())
    found = _responses(reply)[0].propstats.get(200, [])
    etag = next((p.text or "" for p in found if p.tag == D + "getetag"), "")
    tokens = [
        (href.text or "").strip()
        for p in found
        if p.tag == D + "lockdiscovery"
        for href in p.iterfind(f"{D}activelock/{D}locktoken/{D}href")
    ]
    return State(etag, frozenset(tokens))


def _responses(reply: Reply) -> list[Response]:
    try:
        found = xml.read_multistatus(reply.body)
    except xml.InvalidXMLError:
        raise CompositionFinishedError(Answer(502, reason=Reason.NODE_ANSWER)) from None
    if not found:
        raise CompositionFinishedError(Answer(502, reason=Reason.NODE_ANSWER))
    return found


# --- one resource


def _get(request: Request, context: CompositionContext) -> Composition:
    path = _path(request)
    shard = context.home(path)
    fields = yield from _resolve_if_header(request, context, shard)
    call = Call(
        request.method, path, shard, _forwarded_headers(request) + fields, stream=request.method == "GET"
    )
    reply = yield from _call_one(call)
    if reply.status == 200 and _is_collection(reply):
        listing = yield from _listing(path, context, "1", xml.write_propfind([D + "resourcetype"]))
        return _index_page(path, listing, request.method == "HEAD")
    answer = forward_reply(reply)
    if request.method == "HEAD":
        length = header(reply.headers, b"content-length")
        if length is not None:
            answer = replace(answer, headers=[*answer.headers, (b"content-length", length)])
    return answer


def _index_page(path: Path, listing: list[Response], is_head: bool) -> Answer:
    """Return an HTML page that lists the members of a collection."""
    rows = []
    for response in listing[1:]:
        name = escape(response.href.rstrip("/").rsplit("/", 1)[-1])
        rows.append(f'<li><a href="{escape(response.href)}">{name}</a></li>')
    text = f"<!doctype html><title>{escape(path.key)}</title><ul>{''.join(rows)}</ul>".encode()
    fields: Headers = [(b"content-type", b"text/html; charset=utf-8")]
    if is_head:
        return Answer(200, [*fields, (b"content-length", str(len(text)).encode())])
    return Answer(200, fields, text)


def _put(request: Request, context: CompositionContext) -> Composition:
    path = _path(request)
    if not path.segments or path.slash:
        return Answer(
            405, [(b"allow", b"OPTIONS, PROPFIND, PROPPATCH, MKCOL, DELETE, COPY, MOVE, LOCK, UNLOCK")]
        )
    shard = context.home(path)
    fields = yield from _resolve_if_header(request, context, shard)
    reply = yield from _call_one(Call("PUT", path, shard, _forwarded_headers(request) + fields, request.body))
    return forward_reply(reply)


def _proppatch(request: Request, context: CompositionContext) -> Composition:
    path = _path(request)
    shard = context.home(path)
    fields = yield from _resolve_if_header(request, context, shard)
    reply = yield from _call_one(
        Call("PROPPATCH", path, shard, _forwarded_headers(request) + fields, request.content)
    )
    return forward_reply(reply)


# --- listings


def _propfind(request: Request, context: CompositionContext) -> Composition:
    path = _path(request)
    yield from _resolve_if_header(request, context, None)  # evaluated here; a listing submits no token
    if request.depth == "infinity":
        own_reply = yield from _call_one(
            Call("PROPFIND", path, context.home(path), [(b"depth", b"0")], request.content)
        )
        if own_reply.status == 207 and _is_collection(own_reply):
            return Answer(403, [(b"content-type", xml.XML_TYPE)], xml.error(D + "propfind-finite-depth"))
        return forward_reply(own_reply)
    listing = yield from _listing(path, context, request.depth, request.content)
    return Answer(207, [(b"content-type", xml.XML_TYPE)], xml.write_multistatus(listing))


def _listing(path: Path, context: CompositionContext, depth: str, body: bytes) -> ListingSteps:
    """Return the responses for a path: its own first, then its members, each taken from its home shard only.

    A client that synchronizes a local copy would treat members missing from a partial listing as deleted, so
    a denial from any shard fails the whole listing.
    """
    fields: Headers = [(b"depth", depth.encode())]
    own_reply = yield from _call_one(Call("PROPFIND", path, context.home(path), fields, body))
    if own_reply.status != 207:
        raise CompositionFinishedError(forward_reply(own_reply))
    first, *members = _responses(own_reply)
    if depth == "0" or not _is_collection(own_reply):
        return [first, *members]
    shards = context.other_shards(path)
    replies = yield from _call_all([Call("PROPFIND", path, s, fields, body) for s in shards], harmless=True)
    found = [(context.home(path), r) for r in members]
    for shard, reply in zip(shards, replies, strict=True):
        if reply.status == 207:
            found.extend((shard, r) for r in _responses(reply)[1:])
    listed = [r for shard, r in found if _home_of_href(r.href, context) == shard]
    return [first, *sorted(listed, key=lambda r: r.href.rstrip("/"))]


def _home_of_href(href: str, context: CompositionContext) -> int:
    return context.home(_parse_href(href))


def _parse_href(href: str) -> Path:
    try:
        return parse(href)
    except InvalidPathError:
        raise CompositionFinishedError(Answer(502, reason=Reason.NODE_ANSWER)) from None


# --- collections


def _mkcol(request: Request, context: CompositionContext) -> Composition:
    """Create a collection on the other shards first and on its home shard last.

    Partial failure: some shards have a record that the home shard lacks.  The collection is not listed, reads
    as absent, and the next MKCOL completes it.  A rejection is therefore still answered with 503: a retry is
    harmless.
    """
    path = _path(request)
    if request.length != 0:
        return Answer(415)
    if not path.segments:
        return Answer(405)
    yield from _resolve_if_header(request, context, None)
    return (
        yield from _make_collection(
            path, context, _forwarded_headers(request) + _submitted_tokens_header(request)
        )
    )


def _make_collection(path: Path, context: CompositionContext, fields: Headers) -> AnswerSteps:
    other_shards = context.other_shards(path)
    if other_shards:
        existing = yield from _call_one(_stat(path, context, ("resourcetype",)))
        if existing.status == 207:
            return Answer(405, reason=None)
        replies = yield from _call_all([Call("MKCOL", path, s, fields) for s in other_shards], harmless=True)
        for reply in replies:
            if reply.status not in (201, 405):
                return forward_reply(reply)
    reply = yield from _call_one(Call("MKCOL", path, context.home(path), fields))
    return forward_reply(reply)


def _delete(request: Request, context: CompositionContext) -> Composition:
    path = _path(request)
    if not path.segments:
        return Answer(403)
    shard = context.home(path)
    fields = yield from _resolve_if_header(request, context, shard)
    call = Call("DELETE", path, shard, [(b"depth", b"0"), *_forwarded_headers(request), *fields])
    reply = yield from _call_one(call)
    if not _is_collection(reply) or reply.status != 403:
        return forward_reply(reply)
    if request.headers.get("depth", "infinity").lower() != "infinity":
        return Answer(400)
    return (yield from _delete_tree(path, context, _submitted_tokens_header(request)))


def _delete_tree(path: Path, context: CompositionContext, fields: Headers) -> AnswerSteps:
    """Delete a collection with its members on the other shards first and on its home shard last.

    Partial failure: some members are deleted and the collection still exists; a retry completes the deletion.
    """
    fields = [(b"depth", b"infinity"), *fields]
    calls = [Call("DELETE", path, shard, fields) for shard in context.other_shards(path)]
    failed: dict[str, Response] = {}
    replies = yield from _call_all(calls, harmless=True)
    for reply in replies:
        answer = _collect_failures(reply, failed)
        if answer is not None:
            return answer
    if not failed:
        last = yield from _call_one(Call("DELETE", path, context.home(path), fields))
        answer = _collect_failures(last, failed)
        if answer is not None:
            return answer
    if failed:
        body = xml.write_multistatus(failed[href] for href in sorted(failed))
        return Answer(207, [(b"content-type", xml.XML_TYPE)], body)
    return Answer(204)


def _collect_failures(reply: Reply, failed: dict[str, Response]) -> Answer | None:
    """Add the members that could not be deleted to `failed`; returns an answer if the deletion must stop."""
    if reply.status == 207:
        for response in _responses(reply):
            failed[response.href] = response
    elif reply.status not in (204, 404):
        return forward_reply(reply)
    return None


# --- COPY and MOVE


def _copy_move(request: Request, context: CompositionContext) -> Composition:
    source, target = _path(request), request.destination
    assert target is not None
    if target.volume not in context.volumes:
        return Answer(403)
    if not source.segments or not target.segments:
        return Answer(403)
    if source.key == target.key:
        return Answer(403)
    is_move = request.method == "MOVE"
    shard = context.home(source)
    if shard == context.home(target) and source.volume == target.volume:
        fields = yield from _resolve_if_header(request, context, shard)
        fields = [*_forwarded_headers(request), *fields, *_copy_headers(target, request.overwrite)]
        reply = yield from _call_one(Call(request.method, source, shard, fields))
        if not _is_collection(reply) or reply.status != 403:
            return forward_reply(reply)
    else:
        yield from _resolve_if_header(request, context, None)
    tokens = _submitted_tokens_header(request)
    replies = yield from _call_all([_stat(source, context), _stat(target, context)], harmless=True)
    if replies[0].status != 207:
        return forward_reply(replies[0])
    status = _failed_precondition(request, replies[0])
    if status is not None:
        return Answer(status)
    target_exists = replies[1].status == 207
    if is_move and _lacks_lock_token(request, replies[0]):
        return _lock_token_missing(source.href)
    if target_exists and _lacks_lock_token(request, replies[1]):
        return _lock_token_missing(target.href)
    if target_exists and not request.overwrite:
        return Answer(412)
    if _is_collection(replies[0]):
        return (yield from _copy_tree(request, context, tokens, replies, is_move))
    if source.under(target):
        return Answer(409)  # deleting the target would delete the source too
    return (yield from _copy_file(request, context, tokens, replies, is_move))


def _lacks_lock_token(request: Request, stat: Reply) -> bool:
    """Whether a resource is locked and the request submits none of its lock tokens."""
    submitted = conditions.submitted(request.ifs) if request.ifs is not None else frozenset()
    tokens = _state(stat).tokens
    return bool(tokens) and not tokens & submitted


def _lock_token_missing(*hrefs: str) -> Answer:
    """Return 423 for one resource or 207 for several (RFC 4918 section 9.9.3), before any change."""
    if len(hrefs) == 1:
        return Answer(423, [(b"content-type", xml.XML_TYPE)], xml.error(D + "lock-token-submitted", hrefs[0]))
    found = [Response(href, {}, 423, D + "lock-token-submitted") for href in hrefs]
    return Answer(207, [(b"content-type", xml.XML_TYPE)], xml.write_multistatus(found))


def _failed_precondition(request: Request, stat: Reply) -> int | None:
    state = _state(stat)
    headers = {k: v for k, v in request.headers.items() if k in ("if-match", "if-none-match")}
    return conditions.precondition(request.method, headers, state.etag, None)


def _copy_headers(target: Path, overwrite: bool) -> Headers:
    return [
        (b"depth", b"0"),
        (b"destination", target.href.encode()),
        (b"overwrite", b"T" if overwrite else b"F"),
    ]


def _copy_file(
    request: Request, context: CompositionContext, tokens: Headers, stats: list[Reply], is_move: bool
) -> AnswerSteps:
    """Copy one resource between shards; a MOVE then deletes the source.

    Partial failure: the target may exist, with or without its properties; the source always exists.  The
    deletion is conditional on the ETag that was copied, so that a newer version of the source is not lost.
    """
    source, target = _path(request), request.destination
    assert target is not None
    target_exists = stats[1].status == 207
    if target_exists and _is_collection(stats[1]):
        target_deletion = yield from _delete_tree(target, context, tokens)
        if target_deletion.status not in (204, 404):
            return target_deletion
    failure = yield from _transfer(source, target, context, tokens, stats, target_changed=False)
    if failure is not None:
        return failure
    if is_move:
        fields = [(b"depth", b"0"), (b"if-match", _state(stats[0]).etag.encode("latin-1")), *tokens]
        source_deletion = yield from _call_one(
            Call("DELETE", source, context.home(source), fields), harmless=False
        )
        if source_deletion.status == 412:
            return Answer(409, reason=Reason.HALF_DONE)
        if source_deletion.status not in (204, 404):
            return replace(forward_reply(source_deletion), reason=Reason.HALF_DONE)
    return Answer(204 if target_exists else 201)


def _transfer(
    source: Path,
    target: Path,
    context: CompositionContext,
    tokens: Headers,
    stats: list[Reply],
    *,
    target_changed: bool,
) -> AttemptSteps:
    """Copy payload and dead properties to another shard; returns an answer on failure, else None."""
    get_reply = yield from _call_one(
        Call("GET", source, context.home(source), _if_match_header(stats[0]), collect=True),
        harmless=not target_changed,
    )
    if get_reply.status != 200:
        return forward_reply(get_reply) if get_reply.status != 412 else Answer(409, reason=Reason.HALF_DONE)
    fields = list(tokens)
    content_type = header(get_reply.headers, b"content-type")
    if content_type is not None:
        fields.append((b"content-type", content_type))
    payload: Body | bytes = get_reply.payload if get_reply.payload is not None else get_reply.body
    shard = context.home(target)
    put_reply = yield from _call_one(Call("PUT", target, shard, fields, payload), harmless=not target_changed)
    if put_reply.status not in (201, 204):
        return forward_reply(put_reply)
    failure = yield from _copy_properties(target, shard, tokens, stats)
    return failure


def _if_match_header(stat: Reply) -> Headers:
    etag = _state(stat).etag
    return [(b"if-match", etag.encode("latin-1"))] if etag else []


def _dead_properties(stat: Reply) -> list[Any]:
    return [p for p in _responses(stat)[0].propstats.get(200, []) if p.tag not in LIVE_PROPERTY_NAMES]


def _copy_properties(target: Path, shard: int, tokens: Headers, stats: list[Reply]) -> AttemptSteps:
    """Replace the target's dead properties by the source's; returns an answer on failure, else None."""
    source_properties = _dead_properties(stats[0])
    names = {p.tag for p in source_properties}
    target_names = [p.tag for p in _dead_properties(stats[1])] if stats[1].status == 207 else []
    removed = [name for name in target_names if name not in names]
    if not source_properties and not removed:
        return None
    body = xml.write_proppatch(source_properties, removed)
    reply = yield from _call_one(Call("PROPPATCH", target, shard, list(tokens), body), harmless=False)
    return None if reply.status == 207 else forward_reply(reply)


def _copy_tree(
    request: Request, context: CompositionContext, tokens: Headers, stats: list[Reply], is_move: bool
) -> AnswerSteps:
    """Copy a collection with its members; a MOVE deletes the source only if every member was copied.

    Partial failure: the target has some of the members, the source has all of them.
    """
    source, target = _path(request), request.destination
    assert target is not None
    if target.under(source) or source.under(target):
        return Answer(403 if target.under(source) else 409)
    target_exists = stats[1].status == 207
    members: list[tuple[Path, Reply]] = []
    if request.depth == "infinity" or is_move:
        members = yield from _list_descendants(source, context, target_changed=False)
    if is_move:
        locked_hrefs = [member.href for member, stat in members if _lacks_lock_token(request, stat)]
        if locked_hrefs:
            return _lock_token_missing(source.href, *locked_hrefs)
    if target_exists:
        if _is_collection(stats[1]):
            target_deletion = yield from _delete_tree(target, context, tokens)
        else:
            fields: Headers = [(b"depth", b"0"), *tokens]
            target_deletion = forward_reply(
                (yield from _call_one(Call("DELETE", target, context.home(target), fields)))
            )
        if target_deletion.status not in (204, 404):
            return target_deletion
    creation_failure = yield from _make_target_collection(
        target, context, tokens, stats[0], target_changed=target_exists
    )
    if creation_failure is not None:
        return creation_failure
    failed: dict[str, Response] = {}
    failed_members: list[Path] = []
    for member, stat in members:
        if any(member.under(ancestor) for ancestor in failed_members):
            continue
        target_member = member.moved(source, target)
        try:
            if _is_collection(stat):
                failure = yield from _make_target_collection(
                    target_member, context, tokens, stat, target_changed=True
                )
            else:
                failure = yield from _copy_member(member, target_member, context, tokens, stat)
        except CompositionFinishedError as early_end:
            failure = early_end.answer
        if failure is not None:
            failed_members.append(member)
            failed[target_member.href] = Response(target_member.href, {}, status=failure.status)
    if not failed and is_move:
        source_deletion = yield from _delete_tree(source, context, tokens)
        if source_deletion.status != 204:
            return replace(source_deletion, reason=Reason.HALF_DONE)
    if failed:
        body = xml.write_multistatus(failed[href] for href in sorted(failed))
        return Answer(207, [(b"content-type", xml.XML_TYPE)], body, reason=Reason.HALF_DONE)
    return Answer(204 if target_exists else 201)


def _list_descendants(path: Path, context: CompositionContext, *, target_changed: bool) -> MemberSteps:
    """Return all descendants of a collection, parents first, each with a reply like that of a stat call."""
    shards = context.volumes[path.volume].shards
    body = xml.write_propfind(())
    calls = [Call("PROPFIND", path, shard, [(b"depth", b"infinity")], body) for shard in shards]
    replies = yield from _call_all(calls, harmless=not target_changed)
    found: list[tuple[Path, Reply]] = []
    for shard, reply in zip(shards, replies, strict=True):
        if reply.status != 207:
            raise CompositionFinishedError(forward_reply(reply))
        for response in _responses(reply)[1:]:
            member = _parse_href(response.href)
            if context.home(member) == shard:
                location = member.href + ("/" if response.href.endswith("/") else "")
                member_stat = Reply(
                    207, [(b"content-location", location.encode())], xml.write_multistatus([response])
                )
                found.append((member, member_stat))
    return sorted(found, key=lambda item: item[0].segments)


def _make_target_collection(
    path: Path, context: CompositionContext, tokens: Headers, stat: Reply, *, target_changed: bool
) -> AttemptSteps:
    """Create a collection with its properties as part of a copy; returns an answer on failure, else None."""
    try:
        creation_answer = yield from _make_collection(path, context, tokens)
    except CompositionFinishedError as early_end:
        if target_changed and early_end.answer.status == 503:
            return Answer(502, reason=Reason.HALF_DONE)
        return early_end.answer
    if creation_answer.status != 201:
        return creation_answer
    return (yield from _copy_properties(path, context.home(path), tokens, [stat, Reply(404, [])]))


def _copy_member(
    source: Path, target: Path, context: CompositionContext, tokens: Headers, stat: Reply
) -> AttemptSteps:
    shard = context.home(source)
    if shard == context.home(target) and source.volume == target.volume:
        fields = [*tokens, *_copy_headers(target, True)]
        reply = yield from _call_one(Call("COPY", source, shard, fields), harmless=False)
        return None if reply.status in (201, 204) else forward_reply(reply)
    return (
        yield from _transfer(source, target, context, tokens, [stat, Reply(404, [])], target_changed=True)
    )


# --- locks


def _lock(request: Request, context: CompositionContext) -> Composition:
    """Lock a resource; a collection is locked on every shard of its volume.

    Partial failure: the shards that granted the lock are unlocked again; on an unreachable shard the lock
    expires at its time-out.
    """
    path = _path(request)
    shard = context.home(path)
    seconds = conditions.lock_seconds(request.headers.get("timeout"), longest=context.longest_lock_s)
    fields: Headers = [(b"timeout", f"Second-{seconds}".encode()), *_forwarded_headers(request)]
    is_refresh = not request.content
    if is_refresh and request.ifs is None:
        return Answer(400)
    fields += (
        _submitted_tokens_header(request)
        if is_refresh
        else (yield from _resolve_if_header(request, context, shard))
    )
    if not is_refresh:
        fields.append((b"depth", request.depth.encode()))
        fields.append((b"lock-token", f"<{context.new_token()}>".encode()))
    body = request.content or None
    first = yield from _call_one(Call("LOCK", path, shard, fields, body))
    if first.status not in (200, 201) or not _is_collection(first):
        return forward_reply(first)
    other_shards = [s for s in context.volumes[path.volume].shards if s != shard]
    results: list[Result] = []
    if other_shards:
        results = yield [Call("LOCK", path, s, fields, body) for s in other_shards]
    locked_shards = [shard]
    failure: Answer | None = None
    for s, result in zip(other_shards, results, strict=True):
        if isinstance(result, Reply) and result.status in (200, 201):
            locked_shards.append(s)
        elif failure is None:
            failure = forward_reply(result) if isinstance(result, Reply) else denied(result)
    if failure is None or is_refresh:
        return forward_reply(first) if failure is None else failure
    token = header(first.headers, b"lock-token") or b""
    yield [Call("UNLOCK", path, s, [(b"lock-token", token)]) for s in locked_shards]
    return failure


def _unlock(request: Request, context: CompositionContext) -> Composition:
    path = _path(request)
    shard = context.home(path)
    fields: Headers = [(b"lock-token", request.headers["lock-token"].encode("latin-1"))]
    yield from _resolve_if_header(request, context, None)
    first = yield from _call_one(Call("UNLOCK", path, shard, fields))
    if first.status == 204 and _is_collection(first):
        other_shards = [s for s in context.volumes[path.volume].shards if s != shard]
        yield from _call_all([Call("UNLOCK", path, s, fields) for s in other_shards], harmless=False)
    return forward_reply(first)


def _path(request: Request) -> Path:
    assert request.path is not None
    return request.path


_METHODS: dict[str, Callable[[Request, CompositionContext], Composition]] = {
    "GET": _get,
    "HEAD": _get,
    "PUT": _put,
    "DELETE": _delete,
    "MKCOL": _mkcol,
    "COPY": _copy_move,
    "MOVE": _copy_move,
    "PROPFIND": _propfind,
    "PROPPATCH": _proppatch,
    "LOCK": _lock,
    "UNLOCK": _unlock,
}
