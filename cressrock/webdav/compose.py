"""Compositions: how one client request becomes storage operations and one answer.  Pure.

A composition is a generator: it yields calls that may run side by side, is sent their results in the same
order, and returns the answer.  It reads no clock and waits for nothing itself.

Placement.  A resource lives at its home shard.  A collection is known to every shard of its volume, so that
each can check a member's parent and its locks by itself; the home's record is the one that counts, with its
properties, and is the last to be made and the last to be deleted.  What a composition that stops half-way
leaves is said at each one; none of them claims success, and none loses data.
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

LIVE = frozenset(
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
PASSED_ON = (
    "if-match",
    "if-none-match",
    "if-modified-since",
    "if-unmodified-since",
    "range",
    "if-range",
    "content-type",
)
PASSED_BACK = frozenset(
    b"content-type content-length etag last-modified content-range accept-ranges lock-token allow".split()
)


@dataclass(frozen=True, slots=True)
class Call:
    """A storage operation that a composition asks for.  `safe`: it changes nothing."""

    method: str
    path: Path
    shard: int
    headers: Headers = field(default_factory=list)
    body: Body | bytes | None = None
    stream: bool = False  # the answer's payload goes to the client
    collect: bool = False  # the answer's payload is kept, to be sent on to another shard

    @property
    def safe(self) -> bool:
        """Whether running it twice, or not at all, leaves everything as it was."""
        return self.method in ("GET", "HEAD", "PROPFIND", "OPTIONS")


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer to a client."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    stream: IncomingPayload | None = None
    reason: Reason | None = None


@dataclass(frozen=True, slots=True)
class Volume:
    """Where a volume lies: its shards, in the settings' order."""

    name: str
    shards: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Site:
    """What compositions know of the world: the volumes, and where new lock tokens come from."""

    volumes: dict[str, Volume]
    new_token: Callable[[], str]
    longest_lock_s: int = 604800

    def home(self, path: Path) -> int:
        """Return a path's home shard."""
        return home(path.key, self.volumes[path.volume].shards)

    def others(self, path: Path) -> list[int]:
        """Return the volume's shards but the home."""
        own = self.home(path)
        return [shard for shard in self.volumes[path.volume].shards if shard != own]


Composition = Generator[list[Call], list[Result], Answer]
Answering = Composition
Attempted = Generator[list[Call], list[Result], Answer | None]
Listing = Generator[list[Call], list[Result], list[Response]]
Members = Generator[list[Call], list[Result], list[tuple[Path, Reply]]]


class CompositionFinishedError(Exception):
    """A composition is over before its end, with this answer."""

    def __init__(self, answer: Answer) -> None:
        """Carry the answer."""
        super().__init__(answer.status)
        self.answer = answer


def compose(request: Request, site: Site) -> Composition:
    """Return the composition of a request whose volume is known."""
    try:
        answer: Answer = yield from _METHODS[request.method](request, site)
    except CompositionFinishedError as stop:
        return stop.answer
    return answer


# --- results to answers


def denied(result: Denial, *, harmless: bool = True) -> Answer:
    """Turn a denial into an answer: 503 promises that a retry is harmless, 502 and 504 nothing."""
    if result.verdict is Verdict.REJECTED and harmless:
        seconds = max(1, -(-int(result.retry_after_ms) // 1000))
        return Answer(503, [(b"retry-after", str(seconds).encode())], reason=result.reason)
    reason = result.reason if result.verdict is not Verdict.REJECTED else Reason.HALF_DONE
    status = 504 if reason in (Reason.DEADLINE, Reason.OVERDUE) else 502
    return Answer(status, reason=reason)


def passed(reply: Reply, *, extra: Headers | None = None) -> Answer:
    """Hand a node's answer on, with the fields that are the client's business."""
    headers = [(k, v) for k, v in reply.headers if k in PASSED_BACK]
    if reply.stream is None:
        headers = [(k, v) for k, v in headers if k != b"content-length" or reply.status == 304]
    return Answer(reply.status, headers + (extra or []), reply.body, reply.stream)


def _is_collection(reply: Reply) -> bool:
    """A node marks answers about a collection by a Content-Location that ends in a slash."""
    return (header(reply.headers, b"content-location") or b"").endswith(b"/")


def _one(call: Call, *, harmless: bool = True) -> Generator[list[Call], list[Result], Reply]:
    """Make one call; stop with a refusal or failure where it is denied."""
    (result,) = yield [call]
    if isinstance(result, Denial):
        raise CompositionFinishedError(denied(result, harmless=harmless))
    return result


def _all(calls: list[Call], *, harmless: bool) -> Generator[list[Call], list[Result], list[Reply]]:
    """Make calls side by side; stop if any is denied."""
    if not calls:
        return []
    results = yield calls
    replies: list[Reply] = []
    for result in results:
        if isinstance(result, Denial):
            raise CompositionFinishedError(denied(result, harmless=harmless))
        replies.append(result)
    return replies


def _passed_on(request: Request) -> Headers:
    return [(n.encode(), request.headers[n].encode("latin-1")) for n in PASSED_ON if n in request.headers]


# --- If, over shards


def _if_field(
    request: Request, site: Site, shard: int | None
) -> Generator[list[Call], list[Result], Headers]:
    """Return the If field for a call.

    Where all that it speaks of lies at the call's own shard, the node judges it together with its work.
    Else it is judged here, on what the other shards say, and only the tokens go on.  `shard` None: always so.
    """
    if request.ifs is None:
        return []
    if shard is not None and all(site.home(p) == shard for p in request.resources.values()):
        return [(b"if", request.headers["if"].encode("latin-1"))]
    tags = list(request.resources)
    calls = [_stat(request.resources[tag], site, ("getetag", "lockdiscovery")) for tag in tags]
    replies = yield from _all(calls, harmless=True)
    states = {tag: _state(reply) for tag, reply in zip(tags, replies, strict=True)}
    if not conditions.holds(request.ifs, states):
        raise CompositionFinishedError(Answer(412))
    return _tokens(request)


def _tokens(request: Request) -> Headers:
    if request.ifs is None:
        return []
    return [(b"if", conditions.always_true(conditions.submitted(request.ifs)).encode("latin-1"))]


def _stat(path: Path, site: Site, names: Iterable[str] = ()) -> Call:
    body = xml.write_propfind(D + name for name in names)
    return Call("PROPFIND", path, site.home(path), [(b"depth", b"0")], body)


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


def _get(request: Request, site: Site) -> Composition:
    path = _path(request)
    shard = site.home(path)
    fields = yield from _if_field(request, site, shard)
    call = Call(request.method, path, shard, _passed_on(request) + fields, stream=request.method == "GET")
    reply = yield from _one(call)
    if reply.status == 200 and _is_collection(reply):
        listing = yield from _listing(path, site, "1", xml.write_propfind([D + "resourcetype"]))
        return _index(path, listing, request.method == "HEAD")
    answer = passed(reply)
    if request.method == "HEAD":
        length = header(reply.headers, b"content-length")
        if length is not None:
            answer = replace(answer, headers=[*answer.headers, (b"content-length", length)])
    return answer


def _index(path: Path, listing: list[Response], head: bool) -> Answer:
    """Show a collection to a browser."""
    rows = []
    for response in listing[1:]:
        name = escape(response.href.rstrip("/").rsplit("/", 1)[-1])
        rows.append(f'<li><a href="{escape(response.href)}">{name}</a></li>')
    text = f"<!doctype html><title>{escape(path.key)}</title><ul>{''.join(rows)}</ul>".encode()
    fields: Headers = [(b"content-type", b"text/html; charset=utf-8")]
    if head:
        return Answer(200, [*fields, (b"content-length", str(len(text)).encode())])
    return Answer(200, fields, text)


def _put(request: Request, site: Site) -> Composition:
    path = _path(request)
    if not path.segments or path.slash:
        return Answer(
            405, [(b"allow", b"OPTIONS, PROPFIND, PROPPATCH, MKCOL, DELETE, COPY, MOVE, LOCK, UNLOCK")]
        )
    shard = site.home(path)
    fields = yield from _if_field(request, site, shard)
    reply = yield from _one(Call("PUT", path, shard, _passed_on(request) + fields, request.body))
    return passed(reply)


def _proppatch(request: Request, site: Site) -> Composition:
    path = _path(request)
    shard = site.home(path)
    fields = yield from _if_field(request, site, shard)
    reply = yield from _one(Call("PROPPATCH", path, shard, _passed_on(request) + fields, request.content))
    return passed(reply)


# --- listings


def _propfind(request: Request, site: Site) -> Composition:
    path = _path(request)
    yield from _if_field(request, site, None)  # judged here; a listing submits no token
    if request.depth == "infinity":
        own = yield from _one(Call("PROPFIND", path, site.home(path), [(b"depth", b"0")], request.content))
        if own.status == 207 and _is_collection(own):
            return Answer(403, [(b"content-type", xml.XML_TYPE)], xml.error(D + "propfind-finite-depth"))
        return passed(own)
    listing = yield from _listing(path, site, request.depth, request.content)
    return Answer(207, [(b"content-type", xml.XML_TYPE)], xml.write_multistatus(listing))


def _listing(path: Path, site: Site, depth: str, body: bytes) -> Listing:
    """Return the responses for a path, its own first; members from all shards, each from its home alone.

    A listing that lacks a shard would look like a deletion to a client that keeps copies: one denied part
    denies the whole.
    """
    fields: Headers = [(b"depth", depth.encode())]
    own = yield from _one(Call("PROPFIND", path, site.home(path), fields, body))
    if own.status != 207:
        raise CompositionFinishedError(passed(own))
    first, *members = _responses(own)
    if depth == "0" or not _is_collection(own):
        return [first, *members]
    shards = site.others(path)
    replies = yield from _all([Call("PROPFIND", path, s, fields, body) for s in shards], harmless=True)
    found = [(site.home(path), r) for r in members]
    for shard, reply in zip(shards, replies, strict=True):
        if reply.status == 207:
            found.extend((shard, r) for r in _responses(reply)[1:])
    listed = [r for shard, r in found if _home_of(r.href, site) == shard]
    return [first, *sorted(listed, key=lambda r: r.href.rstrip("/"))]


def _home_of(href: str, site: Site) -> int:
    return site.home(_path_of(href))


def _path_of(href: str) -> Path:
    try:
        return parse(href)
    except InvalidPathError:
        raise CompositionFinishedError(Answer(502, reason=Reason.NODE_ANSWER)) from None


# --- collections


def _mkcol(request: Request, site: Site) -> Composition:
    """Make a collection: known to the other shards first, at its home last.

    Half-done: some shards know a collection that its home does not; it is not listed, reads as absent, and
    the next MKCOL completes it.  That is why a refusal stays one: a retry is harmless.
    """
    path = _path(request)
    if request.length != 0:
        return Answer(415)
    if not path.segments:
        return Answer(405)
    yield from _if_field(request, site, None)
    return (yield from _make(path, site, _passed_on(request) + _tokens(request)))


def _make(path: Path, site: Site, fields: Headers) -> Answering:
    others = site.others(path)
    if others:
        there = yield from _one(_stat(path, site, ("resourcetype",)))
        if there.status == 207:
            return Answer(405, reason=None)
        replies = yield from _all([Call("MKCOL", path, s, fields) for s in others], harmless=True)
        for reply in replies:
            if reply.status not in (201, 405):
                return passed(reply)
    reply = yield from _one(Call("MKCOL", path, site.home(path), fields))
    return passed(reply)


def _delete(request: Request, site: Site) -> Composition:
    path = _path(request)
    if not path.segments:
        return Answer(403)
    shard = site.home(path)
    fields = yield from _if_field(request, site, shard)
    call = Call("DELETE", path, shard, [(b"depth", b"0"), *_passed_on(request), *fields])
    reply = yield from _one(call)
    if not _is_collection(reply) or reply.status != 403:
        return passed(reply)
    if request.headers.get("depth", "infinity").lower() != "infinity":
        return Answer(400)
    return (yield from _delete_tree(path, site, _tokens(request)))


def _delete_tree(path: Path, site: Site, fields: Headers) -> Answering:
    """Delete a collection: members at the other shards first, its home last.

    Half-done: some members are gone, the collection is still there; a retry completes it.
    """
    fields = [(b"depth", b"infinity"), *fields]
    calls = [Call("DELETE", path, shard, fields) for shard in site.others(path)]
    failed: dict[str, Response] = {}
    replies = yield from _all(calls, harmless=True)
    for reply in replies:
        answer = _collect_failures(reply, failed)
        if answer is not None:
            return answer
    if not failed:
        last = yield from _one(Call("DELETE", path, site.home(path), fields))
        answer = _collect_failures(last, failed)
        if answer is not None:
            return answer
    if failed:
        body = xml.write_multistatus(failed[href] for href in sorted(failed))
        return Answer(207, [(b"content-type", xml.XML_TYPE)], body)
    return Answer(204)


def _collect_failures(reply: Reply, failed: dict[str, Response]) -> Answer | None:
    """Note the members that could not be deleted; an answer that ends it all is returned."""
    if reply.status == 207:
        for response in _responses(reply):
            failed[response.href] = response
    elif reply.status not in (204, 404):
        return passed(reply)
    return None


# --- COPY and MOVE


def _copy_move(request: Request, site: Site) -> Composition:
    source, target = _path(request), request.destination
    assert target is not None
    if target.volume not in site.volumes:
        return Answer(403)
    if not source.segments or not target.segments:
        return Answer(403)
    if source.key == target.key:
        return Answer(403)
    move = request.method == "MOVE"
    shard = site.home(source)
    if shard == site.home(target) and source.volume == target.volume:
        fields = yield from _if_field(request, site, shard)
        fields = [*_passed_on(request), *fields, *_target_fields(target, request.overwrite)]
        reply = yield from _one(Call(request.method, source, shard, fields))
        if not _is_collection(reply) or reply.status != 403:
            return passed(reply)
    else:
        yield from _if_field(request, site, None)
    tokens = _tokens(request)
    replies = yield from _all([_stat(source, site), _stat(target, site)], harmless=True)
    if replies[0].status != 207:
        return passed(replies[0])
    status = _failed_precondition(request, replies[0])
    if status is not None:
        return Answer(status)
    exists = replies[1].status == 207
    if move and _locked(request, replies[0]):
        return _lock_missing(source.href)
    if exists and _locked(request, replies[1]):
        return _lock_missing(target.href)
    if exists and not request.overwrite:
        return Answer(412)
    if _is_collection(replies[0]):
        return (yield from _copy_tree(request, site, tokens, replies, move))
    if source.under(target):
        return Answer(409)  # the target's deletion would take the source with it
    return (yield from _copy_file(request, site, tokens, replies, move))


def _locked(request: Request, stat: Reply) -> bool:
    """Whether locks stand on a resource of which the request submits no token."""
    submitted = conditions.submitted(request.ifs) if request.ifs is not None else frozenset()
    tokens = _state(stat).tokens
    return bool(tokens) and not tokens & submitted


def _lock_missing(*hrefs: str) -> Answer:
    """Answer 423 before anything was changed; several members make a 207 (RFC 4918 section 9.9.3)."""
    if len(hrefs) == 1:
        return Answer(423, [(b"content-type", xml.XML_TYPE)], xml.error(D + "lock-token-submitted", hrefs[0]))
    found = [Response(href, {}, 423, D + "lock-token-submitted") for href in hrefs]
    return Answer(207, [(b"content-type", xml.XML_TYPE)], xml.write_multistatus(found))


def _failed_precondition(request: Request, stat: Reply) -> int | None:
    state = _state(stat)
    headers = {k: v for k, v in request.headers.items() if k in ("if-match", "if-none-match")}
    return conditions.precondition(request.method, headers, state.etag, None)


def _target_fields(target: Path, overwrite: bool) -> Headers:
    return [
        (b"depth", b"0"),
        (b"destination", target.href.encode()),
        (b"overwrite", b"T" if overwrite else b"F"),
    ]


def _copy_file(request: Request, site: Site, tokens: Headers, stats: list[Reply], move: bool) -> Answering:
    """Copy one resource between shards, and for a MOVE delete the source last.

    Half-done: the target may be there, whole or without its properties; the source always is.  The
    deletion names the ETag that was copied, so that a newer version at the source is never lost.
    """
    source, target = _path(request), request.destination
    assert target is not None
    exists = stats[1].status == 207
    if exists and _is_collection(stats[1]):
        cleared = yield from _delete_tree(target, site, tokens)
        if cleared.status not in (204, 404):
            return cleared
    problem = yield from _transfer(source, target, site, tokens, stats, changed=False)
    if problem is not None:
        return problem
    if move:
        fields = [(b"depth", b"0"), (b"if-match", _state(stats[0]).etag.encode("latin-1")), *tokens]
        gone = yield from _one(Call("DELETE", source, site.home(source), fields), harmless=False)
        if gone.status == 412:
            return Answer(409, reason=Reason.HALF_DONE)
        if gone.status not in (204, 404):
            return replace(passed(gone), reason=Reason.HALF_DONE)
    return Answer(204 if exists else 201)


def _transfer(
    source: Path, target: Path, site: Site, tokens: Headers, stats: list[Reply], *, changed: bool
) -> Attempted:
    """Carry payload and dead properties to another shard.  Returns an answer if that failed, else None."""
    got = yield from _one(
        Call("GET", source, site.home(source), _match(stats[0]), collect=True), harmless=not changed
    )
    if got.status != 200:
        return passed(got) if got.status != 412 else Answer(409, reason=Reason.HALF_DONE)
    fields = list(tokens)
    kind = header(got.headers, b"content-type")
    if kind is not None:
        fields.append((b"content-type", kind))
    payload: Body | bytes = got.payload if got.payload is not None else got.body
    shard = site.home(target)
    put = yield from _one(Call("PUT", target, shard, fields, payload), harmless=not changed)
    if put.status not in (201, 204):
        return passed(put)
    problem = yield from _properties(target, shard, tokens, stats)
    return problem


def _match(stat: Reply) -> Headers:
    etag = _state(stat).etag
    return [(b"if-match", etag.encode("latin-1"))] if etag else []


def _dead(stat: Reply) -> list[Any]:
    return [p for p in _responses(stat)[0].propstats.get(200, []) if p.tag not in LIVE]


def _properties(target: Path, shard: int, tokens: Headers, stats: list[Reply]) -> Attempted:
    """Give the target the source's dead properties, and none of its own former ones."""
    wanted = _dead(stats[0])
    names = {p.tag for p in wanted}
    former = [p.tag for p in _dead(stats[1])] if stats[1].status == 207 else []
    removed = [name for name in former if name not in names]
    if not wanted and not removed:
        return None
    body = xml.write_proppatch(wanted, removed)
    reply = yield from _one(Call("PROPPATCH", target, shard, list(tokens), body), harmless=False)
    return None if reply.status == 207 else passed(reply)


def _copy_tree(request: Request, site: Site, tokens: Headers, stats: list[Reply], move: bool) -> Answering:
    """Copy a collection with its members; for a MOVE delete the source only if every member arrived.

    Half-done: the target holds a part, the source is whole.
    """
    source, target = _path(request), request.destination
    assert target is not None
    if target.under(source) or source.under(target):
        return Answer(403 if target.under(source) else 409)
    exists = stats[1].status == 207
    members: list[tuple[Path, Reply]] = []
    if request.depth == "infinity" or move:
        members = yield from _tree(source, site, changed=False)
    if move:
        held = [member.href for member, stat in members if _locked(request, stat)]
        if held:
            return _lock_missing(source.href, *held)
    if exists:
        if _is_collection(stats[1]):
            cleared = yield from _delete_tree(target, site, tokens)
        else:
            fields: Headers = [(b"depth", b"0"), *tokens]
            cleared = passed((yield from _one(Call("DELETE", target, site.home(target), fields))))
        if cleared.status not in (204, 404):
            return cleared
    made = yield from _make_there(target, site, tokens, stats[0], changed=exists)
    if made is not None:
        return made
    failed: dict[str, Response] = {}
    lost: list[Path] = []
    for member, stat in members:
        if any(member.under(above) for above in lost):
            continue
        there = member.moved(source, target)
        try:
            if _is_collection(stat):
                problem = yield from _make_there(there, site, tokens, stat, changed=True)
            else:
                problem = yield from _copy_member(member, there, site, tokens, stat)
        except CompositionFinishedError as stop:
            problem = stop.answer
        if problem is not None:
            lost.append(member)
            failed[there.href] = Response(there.href, {}, status=problem.status)
    if not failed and move:
        gone = yield from _delete_tree(source, site, tokens)
        if gone.status != 204:
            return replace(gone, reason=Reason.HALF_DONE)
    if failed:
        body = xml.write_multistatus(failed[href] for href in sorted(failed))
        return Answer(207, [(b"content-type", xml.XML_TYPE)], body, reason=Reason.HALF_DONE)
    return Answer(204 if exists else 201)


def _tree(path: Path, site: Site, *, changed: bool) -> Members:
    """Return all members below a collection, parents first, each with a reply as from a stat."""
    shards = site.volumes[path.volume].shards
    body = xml.write_propfind(())
    calls = [Call("PROPFIND", path, shard, [(b"depth", b"infinity")], body) for shard in shards]
    replies = yield from _all(calls, harmless=not changed)
    found: list[tuple[Path, Reply]] = []
    for shard, reply in zip(shards, replies, strict=True):
        if reply.status != 207:
            raise CompositionFinishedError(passed(reply))
        for response in _responses(reply)[1:]:
            member = _path_of(response.href)
            if site.home(member) == shard:
                location = member.href + ("/" if response.href.endswith("/") else "")
                one = Reply(
                    207, [(b"content-location", location.encode())], xml.write_multistatus([response])
                )
                found.append((member, one))
    return sorted(found, key=lambda item: item[0].segments)


def _make_there(path: Path, site: Site, tokens: Headers, stat: Reply, *, changed: bool) -> Attempted:
    """Make a collection as part of a copy, with its properties."""
    try:
        made = yield from _make(path, site, tokens)
    except CompositionFinishedError as stop:
        if changed and stop.answer.status == 503:
            return Answer(502, reason=Reason.HALF_DONE)
        return stop.answer
    if made.status != 201:
        return made
    return (yield from _properties(path, site.home(path), tokens, [stat, Reply(404, [])]))


def _copy_member(source: Path, target: Path, site: Site, tokens: Headers, stat: Reply) -> Attempted:
    shard = site.home(source)
    if shard == site.home(target) and source.volume == target.volume:
        fields = [*tokens, *_target_fields(target, True)]
        reply = yield from _one(Call("COPY", source, shard, fields), harmless=False)
        return None if reply.status in (201, 204) else passed(reply)
    return (yield from _transfer(source, target, site, tokens, [stat, Reply(404, [])], changed=True))


# --- locks


def _lock(request: Request, site: Site) -> Composition:
    """Lock a resource; a collection's lock is made known to every shard of its volume.

    Half-done: the shards that took it are unlocked again; what cannot be reached forgets it at its time-out.
    """
    path = _path(request)
    shard = site.home(path)
    seconds = conditions.lock_seconds(request.headers.get("timeout"), longest=site.longest_lock_s)
    fields: Headers = [(b"timeout", f"Second-{seconds}".encode()), *_passed_on(request)]
    refresh = not request.content
    if refresh and request.ifs is None:
        return Answer(400)
    fields += _tokens(request) if refresh else (yield from _if_field(request, site, shard))
    if not refresh:
        fields.append((b"depth", request.depth.encode()))
        fields.append((b"lock-token", f"<{site.new_token()}>".encode()))
    body = request.content or None
    first = yield from _one(Call("LOCK", path, shard, fields, body))
    if first.status not in (200, 201) or not _is_collection(first):
        return passed(first)
    others = [s for s in site.volumes[path.volume].shards if s != shard]
    results: list[Result] = []
    if others:
        results = yield [Call("LOCK", path, s, fields, body) for s in others]
    taken = [shard]
    problem: Answer | None = None
    for s, result in zip(others, results, strict=True):
        if isinstance(result, Reply) and result.status in (200, 201):
            taken.append(s)
        elif problem is None:
            problem = passed(result) if isinstance(result, Reply) else denied(result)
    if problem is None or refresh:
        return passed(first) if problem is None else problem
    token = header(first.headers, b"lock-token") or b""
    yield [Call("UNLOCK", path, s, [(b"lock-token", token)]) for s in taken]
    return problem


def _unlock(request: Request, site: Site) -> Composition:
    path = _path(request)
    shard = site.home(path)
    fields: Headers = [(b"lock-token", request.headers["lock-token"].encode("latin-1"))]
    yield from _if_field(request, site, None)
    first = yield from _one(Call("UNLOCK", path, shard, fields))
    if first.status == 204 and _is_collection(first):
        others = [s for s in site.volumes[path.volume].shards if s != shard]
        yield from _all([Call("UNLOCK", path, s, fields) for s in others], harmless=False)
    return passed(first)


def _path(request: Request) -> Path:
    assert request.path is not None
    return request.path


_METHODS: dict[str, Callable[[Request, Site], Composition]] = {
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
