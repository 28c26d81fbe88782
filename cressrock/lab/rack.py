"""What a rack of storage nodes stores: one shard's resources, properties and locks, with WebDAV's meaning.

Pure but for the payloads' temporary files.  A node that replaces another in the rack finds all as it was,
and the rack remembers the keys of recent writes for its window, so that a repeat is dropped.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime
from typing import Any

from lxml import etree

from cressrock.dispatch.operation import Body
from cressrock.http.channel import Headers
from cressrock.lab.copystore import CopyStore
from cressrock.webdav import conditions, xml
from cressrock.webdav.conditions import State
from cressrock.webdav.paths import InvalidPathError, Path, parse, parse_url
from cressrock.webdav.xml import D, Response


@dataclass(slots=True)
class Resource:
    """A resource of this shard, or a collection that it knows."""

    path: Path
    collection: bool
    created_ms: float
    modified_ms: float
    body: Body | None = None
    size: int = 0
    etag: str = ""
    content_type: str = "application/octet-stream"
    properties: dict[str, bytes] = field(default_factory=dict)


@dataclass(slots=True)
class Lock:
    """An active write lock."""

    token: str
    root: Path
    collection: bool
    exclusive: bool
    deep: bool
    owner: bytes | None
    seconds: int
    until_ms: float


@dataclass(frozen=True, slots=True)
class Task:
    """A request as a node hands it to its rack.  Times are epoch milliseconds."""

    method: str
    path: Path
    headers: dict[str, str]
    body: Body | None
    content: bytes
    now_ms: float


@dataclass(frozen=True, slots=True)
class Done:
    """What the rack answers; `payload` is (body, first, one past the last byte)."""

    status: int
    headers: Headers = field(default_factory=list)
    content: bytes = b""
    payload: tuple[Body, int, int] | None = None


class Rack:
    """One shard's store.  `window_ms` is how long it drops repeats of a key, `max_keys` how many it knows."""

    def __init__(self, shard: int, *, window_ms: float, max_keys: int = 100000, life: str = "") -> None:
        """Start empty; volumes' roots exist always.  `life` names the store (see `lab.copystore`)."""
        self.shard = shard
        self.window_ms = window_ms
        self.max_keys = max_keys
        self.resources: dict[str, Resource] = {}
        self.children: dict[str, set[str]] = {}
        self.locks: dict[str, Lock] = {}
        self.keys: OrderedDict[str, tuple[float, Done | None]] = OrderedDict()
        self.effects: dict[str, int] = {}  # how often each key's work was done; for tests
        self.version = 0
        self.copies = CopyStore(self, life or f"s{shard}")

    # --- keys

    def recall(self, key: str, now_ms: float) -> tuple[bool, Done | None]:
        """Say whether a key is known within the window, and its answer if the work is done."""
        while self.keys:
            oldest, (at, _) = next(iter(self.keys.items()))
            if now_ms - at <= self.window_ms and len(self.keys) <= self.max_keys:
                break
            del self.keys[oldest]
        if key in self.keys:
            return True, self.keys[key][1]
        return False, None

    def remember(self, key: str, now_ms: float, done: Done | None) -> None:
        """Enter a key when its work is taken (None), and its answer later; the window runs from the first."""
        at = self.keys[key][0] if key in self.keys else now_ms
        self.keys[key] = (at, done)
        if done is None:
            self.effects[key] = self.effects.get(key, 0) + 1
            if len(self.effects) > self.max_keys:
                del self.effects[next(iter(self.effects))]

    def forget(self, key: str) -> None:
        """Drop a key whose work was never begun."""
        self.keys.pop(key, None)

    # --- work

    def execute(self, task: Task) -> Done:
        """Do a request's work, all or nothing, and return the answer."""
        if "x-cressrock-epoch" in task.headers:
            return self.copies.execute(task)
        return self.plain(task)

    def plain(self, task: Task) -> Done:
        """Do a request's work as the only copy."""
        for token in [t for t, lock in self.locks.items() if lock.until_ms <= task.now_ms]:
            del self.locks[token]
        try:
            ifs = conditions.parse_if(task.headers["if"]) if "if" in task.headers else ()
        except conditions.InvalidHeaderError as wrong:
            return Done(400, content=str(wrong).encode())
        if ifs and task.method != "LOCK" and not self._holds(ifs, task.path):
            return Done(412)
        tokens = conditions.submitted(ifs)
        found = self._find(task.path)
        if task.method not in ("LOCK", "UNLOCK", "PROPFIND", "MKCOL"):
            etag = found.etag if found is not None else ""
            if found is not None and found.collection:
                etag = '"collection"'
            modified = _date(found.modified_ms) if found is not None else None
            status = conditions.precondition(task.method, task.headers, etag, modified)
            if status is not None:
                return Done(status, [(b"etag", etag.encode())] if status == 304 else [])
        try:
            return self._methods[task.method](self, task, found, tokens)
        except xml.InvalidXMLError as wrong:
            return Done(400, content=str(wrong).encode())

    def _find(self, path: Path) -> Resource | None:
        if not path.segments:
            return Resource(path, True, 0, 0)
        return self.resources.get(path.key)

    def _holds(self, ifs: tuple[conditions.StateList, ...], path: Path) -> bool:
        states: dict[str | None, State] = {}
        for one in ifs:
            try:
                target = path if one.resource is None else parse_url(one.resource, _host(one.resource))
            except InvalidPathError:
                target = None
            if target is None:
                states[one.resource] = State("", frozenset())
                continue
            found = self._find(target)
            tokens = frozenset(lock.token for lock in self._covering(target))
            states[one.resource] = State(found.etag if found else "", tokens)
        return conditions.holds(ifs, states)

    def _covering(self, path: Path) -> list[Lock]:
        """Return the locks on a resource, its own and those of collections above it that reach down."""
        return [
            lock
            for lock in self.locks.values()
            if lock.root.key == path.key or (lock.deep and path.under(lock.root))
        ]

    def _locked(self, path: Path, tokens: frozenset[str]) -> bool:
        covering = self._covering(path)
        return bool(covering) and not any(lock.token in tokens for lock in covering)

    def _membership_locked(self, path: Path, tokens: frozenset[str]) -> bool:
        return bool(path.segments) and self._locked(path.parent, tokens)

    def _parent_missing(self, path: Path) -> bool:
        parent = self._find(path.parent)
        return parent is None or not parent.collection

    def _location(self, path: Path, collection: bool) -> tuple[bytes, bytes]:
        return (b"content-location", (path.href + ("/" if collection else "")).encode())

    def _add(self, resource: Resource) -> None:
        self.resources[resource.path.key] = resource
        self.children.setdefault(resource.path.parent.key, set()).add(resource.path.key)

    def _remove(self, key: str) -> None:
        resource = self.resources.pop(key)
        self.children.get(resource.path.parent.key, set()).discard(key)
        self.children.pop(key, None)
        close = getattr(resource.body, "close", None)
        if close is not None:
            close()
        for token in [t for t, lock in self.locks.items() if lock.root.key == key]:
            del self.locks[token]

    def snapshot(self, life: str) -> Rack:
        """Return a copy of this store as it is now, as a backup holds it, under a life of its own."""
        found = Rack(self.shard, window_ms=self.window_ms, max_keys=self.max_keys, life=life)
        for key, one in self.resources.items():
            body = hold(one.body) if one.body is not None else None
            found.resources[key] = replace(one, body=body, properties=dict(one.properties))
        found.children = {key: set(below) for key, below in self.children.items()}
        found.version = self.version
        found.copies.take_from(self.copies)
        return found

    def put_in(
        self, path: Path, created_ms: float, modified_ms: float, body: Body | None, kind: str
    ) -> Resource:
        """Put a resource in as another copy has it (a collection without a body), whatever stood there."""
        found = self.resources.get(path.key)
        if found is None:
            found = Resource(path, body is None, created_ms, modified_ms)
            self._add(found)
        elif found.body is not None:
            close = getattr(found.body, "close", None)
            if close is not None:
                close()
        found.created_ms, found.modified_ms = created_ms, modified_ms
        if body is not None:
            found.body, found.size, found.content_type = Shared.of(body), body.length or 0, kind
        return found

    def remove_alone(self, key: str) -> None:
        """Take one resource out; what lies below it keeps its place."""
        below = self.children.get(key)
        self._remove(key)
        if below:
            self.children[key] = below

    def _below(self, path: Path) -> list[Resource]:
        found, todo = [], sorted(self.children.get(path.key, ()))
        while todo:
            key = todo.pop()
            found.append(self.resources[key])
            todo.extend(sorted(self.children.get(key, ())))
        return found

    # --- methods

    def _get(self, task: Task, found: Resource | None, tokens: frozenset[str]) -> Done:
        if found is None:
            return Done(404)
        if found.collection:
            return Done(200, [self._location(found.path, True)])
        headers: Headers = [
            (b"etag", found.etag.encode()),
            (b"last-modified", conditions.write_date(_date(found.modified_ms)).encode()),
            (b"content-type", found.content_type.encode("latin-1", "replace")),
            (b"accept-ranges", b"bytes"),
        ]
        body = found.body
        assert body is not None
        condition = task.headers.get("if-range")
        part = task.headers.get("range")
        if condition is not None and condition != found.etag:
            part = None
        if part is not None and task.method == "GET":
            try:
                span = conditions.byte_range(part, found.size)
            except ValueError:
                return Done(416, [(b"content-range", f"bytes */{found.size}".encode())])
            if span is not None:
                first, last = span
                headers.append((b"content-range", f"bytes {first}-{last - 1}/{found.size}".encode()))
                return Done(206, headers, payload=(body, first, last))
        return Done(200, headers, payload=(body, 0, found.size))

    def _put(self, task: Task, found: Resource | None, tokens: frozenset[str]) -> Done:
        if found is not None and found.collection:
            return Done(405)
        if self._parent_missing(task.path):
            return Done(409)
        if self._locked(task.path, tokens):
            return self._refused(task.path)
        if found is None and self._membership_locked(task.path, tokens):
            return self._refused(task.path.parent)
        assert task.body is not None
        self._store(task, found, task.body, task.headers.get("content-type"))
        stored = self.resources[task.path.key]
        return Done(201 if found is None else 204, [(b"etag", stored.etag.encode())])

    def _store(self, task: Task, found: Resource | None, body: Body, kind: str | None) -> Resource:
        self.version += 1
        if found is None:
            found = Resource(task.path, False, task.now_ms, task.now_ms)
            self._add(found)
        else:
            close = getattr(found.body, "close", None)
            if close is not None:
                close()
        found.body, found.size, found.modified_ms = Shared.of(body), body.length or 0, task.now_ms
        found.etag = f'"{self.shard:x}-{self.version:x}"'
        found.content_type = kind or found.content_type
        return found

    def _delete(self, task: Task, found: Resource | None, tokens: frozenset[str]) -> Done:
        if found is None:
            return Done(404)
        if not found.collection:
            if self._locked(task.path, tokens):
                return self._refused(task.path)
            if self._membership_locked(task.path, tokens):
                return self._refused(task.path.parent)
            self._remove(task.path.key)
            return Done(204)
        if task.headers.get("depth", "infinity").lower() != "infinity" or not task.path.segments:
            return Done(403, [self._location(task.path, True)])
        if self._membership_locked(task.path, tokens):
            return self._refused(task.path.parent)
        members = [*self._below(task.path), found]
        held = {m.path.key for m in members if self._locked(m.path, tokens)}
        kept = {
            m.path.key
            for m in members
            if any(key == m.path.key or key.startswith(m.path.key + "/") for key in held)
        }
        for member in sorted(members, key=lambda m: m.path.key, reverse=True):
            if member.path.key not in kept:
                self._remove(member.path.key)
        if held:
            responses = [
                Response(self.resources[k].path.href, {}, 423, D + "lock-token-submitted")
                for k in sorted(held)
            ]
            return Done(207, [(b"content-type", xml.XML_TYPE)], xml.write_multistatus(responses))
        return Done(204)

    def _mkcol(self, task: Task, found: Resource | None, tokens: frozenset[str]) -> Done:
        if found is not None:
            return Done(405, [self._location(task.path, found.collection)])
        if self._parent_missing(task.path):
            return Done(409)
        if self._locked(task.path, tokens) or self._membership_locked(task.path, tokens):
            return self._refused(task.path.parent)
        self._add(Resource(task.path, True, task.now_ms, task.now_ms))
        return Done(201)

    def _copy(self, task: Task, found: Resource | None, tokens: frozenset[str]) -> Done:
        """Copy or move a plain resource within the rack; collections are the dispatcher's to compose."""
        try:
            target = parse(task.headers.get("destination", ""))
        except InvalidPathError as wrong:
            return Done(400, content=str(wrong).encode())
        if found is None:
            return Done(404)
        there = self._find(target)
        if found.collection or (there is not None and there.collection):
            return Done(403, [self._location(target, True)])
        move = task.method == "MOVE"
        if move and self._locked(task.path, tokens):
            return self._refused(task.path)
        if move and self._membership_locked(task.path, tokens):
            return self._refused(task.path.parent)
        if there is not None and task.headers.get("overwrite", "T").upper() == "F":
            return Done(412)
        if self._parent_missing(target):
            return Done(409)
        if self._locked(target, tokens):
            return self._refused(target)
        if there is None and self._membership_locked(target, tokens):
            return self._refused(target.parent)
        body = found.body
        assert body is not None
        if move:
            found.body = None
        else:
            body = hold(body)
        placed = Task("PUT", target, {}, body, b"", task.now_ms)
        copied = self._store(placed, there, body, found.content_type)
        copied.properties = dict(found.properties)
        if move:
            self._remove(task.path.key)
        return Done(201 if there is None else 204)

    # --- properties

    def _propfind(self, task: Task, found: Resource | None, tokens: frozenset[str]) -> Done:
        if found is None:
            return Done(404)
        asked = xml.propfind(task.content)
        depth = task.headers.get("depth", "infinity").lower()
        listed = [found]
        if found.collection and depth == "1":
            listed += [self.resources[key] for key in sorted(self.children.get(task.path.key, ()))]
        elif found.collection and depth == "infinity":
            listed += sorted(self._below(task.path), key=lambda r: r.path.key)
        content = xml.write_multistatus(self._describe(one, asked) for one in listed)
        headers = [(b"content-type", xml.XML_TYPE), self._location(task.path, found.collection)]
        return Done(207, headers, content)

    def _describe(self, one: Resource, asked: xml.PropFind) -> Response:
        href = one.path.href + ("/" if one.collection else "")
        live = self._live(one)
        if asked.kind == "propname":
            names = [etree.Element(name) for name in (*live, *one.properties)]
            return Response(href, {200: names})
        if asked.kind == "allprop":
            wanted = (*live, *one.properties, *(n for n in asked.names if n not in live))
        else:
            wanted = asked.names
        good: list[Any] = []
        missing: list[Any] = []
        for name in dict.fromkeys(wanted):
            if name in live:
                good.append(live[name])
            elif name in one.properties:
                good.append(etree.fromstring(one.properties[name]))
            else:
                missing.append(etree.Element(name))
        stats = {200: good} if good or not missing else {}
        if missing:
            stats[404] = missing
        return Response(href, stats)

    def _live(self, one: Resource) -> dict[str, Any]:
        texts = {"creationdate": _date(one.created_ms).strftime("%Y-%m-%dT%H:%M:%SZ")}
        texts["getlastmodified"] = conditions.write_date(_date(one.modified_ms))
        if not one.collection:
            texts |= {
                "getcontentlength": str(one.size),
                "getcontenttype": one.content_type,
                "getetag": one.etag,
            }
        found: dict[str, Any] = {}
        for name, text in texts.items():
            element = etree.Element(D + name)
            element.text = text
            found[D + name] = element
        kind = etree.Element(D + "resourcetype")
        if one.collection:
            etree.SubElement(kind, D + "collection")
        found[D + "resourcetype"] = kind
        supported = etree.Element(D + "supportedlock")
        for scope in ("exclusive", "shared"):
            entry = etree.SubElement(supported, D + "lockentry")
            etree.SubElement(etree.SubElement(entry, D + "lockscope"), D + scope)
            etree.SubElement(etree.SubElement(entry, D + "locktype"), D + "write")
        found[D + "supportedlock"] = supported
        found[D + "lockdiscovery"] = self._discovery(self._covering(one.path))
        return found

    def _discovery(self, locks: list[Lock]) -> Any:
        discovery = etree.Element(D + "lockdiscovery")
        for lock in locks:
            active = etree.SubElement(discovery, D + "activelock")
            scope = etree.SubElement(active, D + "lockscope")
            etree.SubElement(scope, D + ("exclusive" if lock.exclusive else "shared"))
            etree.SubElement(etree.SubElement(active, D + "locktype"), D + "write")
            etree.SubElement(active, D + "depth").text = "infinity" if lock.deep else "0"
            if lock.owner is not None:
                active.append(etree.fromstring(lock.owner))
            etree.SubElement(active, D + "timeout").text = f"Second-{lock.seconds}"
            token = etree.SubElement(active, D + "locktoken")
            etree.SubElement(token, D + "href").text = lock.token
            root = etree.SubElement(active, D + "lockroot")
            etree.SubElement(root, D + "href").text = lock.root.href + ("/" if lock.collection else "")
        return discovery

    def _proppatch(self, task: Task, found: Resource | None, tokens: frozenset[str]) -> Done:
        if found is None:
            return Done(404)
        if self._locked(task.path, tokens):
            return self._refused(task.path)
        patches = xml.proppatch(task.content)
        fixed = [p.name for p in patches if p.name in self._live(found)]
        names = dict.fromkeys(p.name for p in patches)
        if fixed:
            stats = {403: [etree.Element(n) for n in names if n in fixed]}
            rest = [etree.Element(n) for n in names if n not in fixed]
            if rest:
                stats[424] = rest
        else:
            for patch in patches:
                if patch.xml is None:
                    found.properties.pop(patch.name, None)
                else:
                    found.properties[patch.name] = patch.xml
            if found.path.segments:
                found.modified_ms = task.now_ms
            stats = {200: [etree.Element(n) for n in names]}
        href = found.path.href + ("/" if found.collection else "")
        content = xml.write_multistatus([Response(href, stats)])
        return Done(207, [(b"content-type", xml.XML_TYPE)], content)

    # --- locks

    def _lock(self, task: Task, found: Resource | None, tokens: frozenset[str]) -> Done:
        info = xml.lockinfo(task.content)
        seconds = conditions.lock_seconds(task.headers.get("timeout"), longest=604800)
        if info is None:
            lock = next((x for x in self._covering(task.path) if x.token in tokens), None)
            if lock is None:
                return Done(412)
            lock.seconds, lock.until_ms = seconds, task.now_ms + seconds * 1000
            return self._lock_answer(200, lock, found)
        if "if" in task.headers and not self._holds(conditions.parse_if(task.headers["if"]), task.path):
            return Done(412)
        deep = task.headers.get("depth", "infinity").lower() == "infinity"
        if found is None and self._parent_missing(task.path):
            return Done(409)
        against = list(self._covering(task.path))
        if deep and found is not None and found.collection:
            against += [x for x in self.locks.values() if x.root.under(task.path) and x not in against]
        for lock in against:
            if info.exclusive or lock.exclusive:
                content = xml.error(D + "no-conflicting-lock", lock.root.href)
                return Done(423, [(b"content-type", xml.XML_TYPE)], content)
        if found is None:
            if self._membership_locked(task.path, tokens):
                return self._refused(task.path.parent)
            self._store(task, None, task.body or _Empty(), None)
        token = conditions.coded_url(task.headers["lock-token"], "Lock-Token")
        collection = found is not None and found.collection
        lock = Lock(
            token,
            task.path,
            collection,
            info.exclusive,
            deep,
            info.owner,
            seconds,
            task.now_ms + seconds * 1000,
        )
        self.locks[token] = lock
        return self._lock_answer(201 if found is None else 200, lock, found, new=True)

    def _lock_answer(self, status: int, lock: Lock, found: Resource | None, *, new: bool = False) -> Done:
        prop = etree.Element(D + "prop", nsmap={"D": "DAV:"})
        prop.append(self._discovery([lock]))
        headers = [(b"content-type", xml.XML_TYPE), self._location(lock.root, lock.collection)]
        if new:
            headers.append((b"lock-token", f"<{lock.token}>".encode()))
        content = etree.tostring(prop, xml_declaration=True, encoding="utf-8")
        return Done(status, headers, content)

    def _unlock(self, task: Task, found: Resource | None, tokens: frozenset[str]) -> Done:
        try:
            token = conditions.coded_url(task.headers.get("lock-token", ""), "Lock-Token")
        except conditions.InvalidHeaderError as wrong:
            return Done(400, content=str(wrong).encode())
        lock = self.locks.get(token)
        if lock is None or lock not in self._covering(task.path):
            content = xml.error(D + "lock-token-matches-request-uri")
            return Done(409, [(b"content-type", xml.XML_TYPE)], content)
        del self.locks[token]
        return Done(204, [self._location(lock.root, lock.collection)])

    def _refused(self, path: Path) -> Done:
        content = xml.error(D + "lock-token-submitted", path.href)
        return Done(423, [(b"content-type", xml.XML_TYPE)], content)

    _methods: dict[str, Callable[[Rack, Task, Resource | None, frozenset[str]], Done]] = {
        "GET": _get,
        "HEAD": _get,
        "PUT": _put,
        "DELETE": _delete,
        "MKCOL": _mkcol,
        "COPY": _copy,
        "MOVE": _copy,
        "PROPFIND": _propfind,
        "PROPPATCH": _proppatch,
        "LOCK": _lock,
        "UNLOCK": _unlock,
    }


class _Empty:
    """A payload of no bytes."""

    length = 0
    is_complete = True

    async def read_chunk(self, offset: int) -> bytes:
        """Return the end at once."""
        return b""


class Shared:
    """A payload that several resources or answers hold; it is closed with the last of them."""

    def __init__(self, body: Body) -> None:
        """Begin with one holder."""
        self.body = body
        self.holders = 1

    @classmethod
    def of(cls, body: Body) -> Shared:
        """Return the payload as one that can be held."""
        return body if isinstance(body, Shared) else Shared(body)

    @property
    def length(self) -> int | None:
        """Bytes in all."""
        return self.body.length

    @property
    def is_complete(self) -> bool:
        """Whether all of it is here."""
        return self.body.is_complete

    async def read_chunk(self, offset: int) -> bytes:
        """Return the bytes that begin at an offset."""
        return await self.body.read_chunk(offset)

    def close(self) -> None:
        """Let go; the last holder closes the payload."""
        self.holders -= 1
        close = getattr(self.body, "close", None)
        if not self.holders and close is not None:
            close()


def hold(body: Body) -> Body:
    """Hold a stored payload once more: what is being read outlives its resource."""
    if isinstance(body, Shared):
        body.holders += 1
    return body


def _date(ms: float) -> datetime:
    return datetime.fromtimestamp(ms / 1000, UTC)


def _host(url: str) -> str:
    return url.split("/", 3)[2] if "//" in url else ""
