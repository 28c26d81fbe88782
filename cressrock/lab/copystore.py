"""What a rack keeps for volumes with copies: versions, epochs, tombstones; the node's side of copies.

Pure.  A request that carries `X-Cressrock-Epoch` is judged here first (`docs/copies.md`).  A real node keeps
all of this with its data; so does a stand-in, whose rack outlives its node processes.  `life` names the
store: it is drawn anew whenever a store is opened that cannot prove that it is the newest one, as one put
back from a backup.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from cressrock.errors.replication import InvalidSetError
from cressrock.http.channel import Headers
from cressrock.replication.headers import (
    AFTER_HEADER,
    CLEARED_HEADER,
    COMMITTED_HEADER,
    EPOCH_HEADER,
    KIND_HEADER,
    MISSING_SINCE_HEADER,
    PATH_HEADER,
    REJECTED_HEADER,
    REPLICA_HEADER,
    STORE_HEADER,
    TIMES_HEADER,
    VERSION_HEADER,
    Rejection,
)
from cressrock.replication.in_sync_set import ReplicaState
from cressrock.replication.records import (
    NO_VERSION,
    RecordEntry,
    RecordPage,
    Version,
    encode_page,
    parse_version,
)
from cressrock.webdav.paths import Path

if TYPE_CHECKING:
    from cressrock.lab.rack import Done, Rack, Task

PAGE = 200  # records in one answer of a list
FIRST = "first"


@dataclass(slots=True)
class Record:
    """What stands at a path.  `cleared`: all that lay below it under older versions is gone.

    `touched` is the newest epoch under which it was written or became sure; `sure`: every copy has it.
    """

    at: Version
    kind: str = "gone"
    cleared: Version = NO_VERSION
    sure: bool = False
    touched: int = 0


@dataclass(slots=True)
class Fence:
    """What the node knows of one volume's set."""

    epoch: int = 0
    role: str = ""
    last: Version = NO_VERSION
    records: dict[str, Record] = field(default_factory=dict)
    unsure: dict[Version, str] = field(default_factory=dict)


class CopyStore:
    """Beside a rack's resources; `fenced` False leaves the epoch unheeded, for tests that break it."""

    fenced = True

    def __init__(self, rack: Rack, life: str) -> None:
        """`life` names this store."""
        self.rack = rack
        self.life = life
        self.fences: dict[str, Fence] = {}

    def take_from(self, other: CopyStore) -> None:
        """Hold what another store holds now."""
        self.fences = {
            name: replace(f, records={k: replace(r) for k, r in f.records.items()}, unsure=dict(f.unsure))
            for name, f in other.fences.items()
        }

    def execute(self, task: Task) -> Done:
        """Judge a request under a set, and do it."""
        from cressrock.lab.rack import Done

        fence = self.fences.setdefault(task.path.volume, Fence())
        try:
            epoch = int(task.headers[EPOCH_HEADER.decode()])
            role, _, life = task.headers.get(REPLICA_HEADER.decode(), "").partition(";")
            wanted = task.headers.get(VERSION_HEADER.decode())
            at = parse_version(wanted) if wanted else None
            marks = [parse_version(v) for v in task.headers.get(COMMITTED_HEADER.decode(), "").split()]
        except (ValueError, InvalidSetError) as wrong:
            return Done(400, content=str(wrong).encode())
        reads = (
            task.method in ("GET", "HEAD", "PROPFIND") and MISSING_SINCE_HEADER.decode() not in task.headers
        )
        refusal = self._fence(fence, epoch, role, life, reads)
        if refusal is not None:
            return Done(409, [(REJECTED_HEADER, refusal.encode()), *self._told(fence)])
        if MISSING_SINCE_HEADER.decode() in task.headers:
            done = self._list(fence, task)
        elif reads:
            done = self._read(fence, task)
        elif at is not None:
            done = self._apply(fence, task, at, epoch)
        elif role == FIRST:
            done = self._order(fence, task, epoch)
        else:
            return Done(400, content=b"a write without a version goes to the first copy")
        for mark in marks:
            self._sure(fence, mark, epoch)
        return replace(done, headers=[*done.headers, *self._told(fence)])

    def _told(self, fence: Fence) -> Headers:
        return [(EPOCH_HEADER, str(fence.epoch).encode()), (STORE_HEADER, self.life.encode())]

    def _fence(self, fence: Fence, epoch: int, role: str, life: str, reads: bool) -> Rejection | None:
        if life and life != self.life:
            return Rejection.OTHER_STORE
        if epoch > fence.epoch:
            fence.epoch, fence.role = epoch, role
        elif epoch < fence.epoch and self.fenced:
            if not reads:
                return Rejection.OLDER_EPOCH
            if fence.role in (ReplicaState.JOINING, ReplicaState.OUT_OF_SYNC):
                return Rejection.NOT_IN_SYNC
        return None

    def _sure(self, fence: Fence, at: Version, epoch: int) -> None:
        key = fence.unsure.get(at)
        if key is None:
            return
        record = fence.records[key]
        if record.at == at:
            record.sure = True
            record.touched = max(record.touched, epoch)
        del fence.unsure[at]

    # --- reading

    def _read(self, fence: Fence, task: Task) -> Done:
        done = self.rack.plain(task)
        return replace(done, headers=[*done.headers, *self._rests(fence, task.path)])

    def _rests(self, fence: Fence, path: Path) -> Headers:
        """Tell on which record an answer rests: the path's own, or the topmost above it that is not sure.

        Danger: a deletion of a collection that only this copy has would read as an absence that later ends.
        """
        for key in [*reversed(_above(path)), path.key]:
            record = fence.records.get(key)
            if record is not None and (key == path.key or not record.sure):
                return self._of(key, record)
        return []

    def _of(self, key: str, record: Record) -> Headers:
        found: Headers = [
            (PATH_HEADER, key.encode().hex().encode()),
            (VERSION_HEADER, str(record.at).encode()),
            (KIND_HEADER, record.kind.encode()),
            (CLEARED_HEADER, str(record.cleared).encode()),
            (COMMITTED_HEADER, b"yes" if record.sure else b"no"),
        ]
        resource = self.rack.resources.get(key)
        if resource is not None:
            found.append((TIMES_HEADER, f"{resource.created_ms:.0f} {resource.modified_ms:.0f}".encode()))
        return found

    def _list(self, fence: Fence, task: Task) -> Done:
        """List what a copy may lack that had everything of epoch `since`, by path."""
        from cressrock.lab.rack import Done

        since = int(task.headers[MISSING_SINCE_HEADER.decode()])
        after = task.headers.get(AFTER_HEADER.decode(), "")
        after = bytes.fromhex(after).decode() if after else ""
        keys = sorted(
            key
            for key, r in fence.records.items()
            if key > after and (not since or not r.sure or r.touched >= since)
        )
        entries = []
        for key in keys[:PAGE]:
            r = fence.records[key]
            entries.append(RecordEntry(key, str(r.at), r.kind, str(r.cleared), r.sure))
        page = RecordPage(tuple(entries), len(keys) > PAGE)
        return Done(200, [(b"content-type", b"application/vnd.msgpack")], encode_page(page))

    # --- writing

    def _order(self, fence: Fence, task: Task, epoch: int) -> Done:
        """Do a write as the first copy, under the next version."""
        done = self.rack.plain(task)
        if done.status not in (201, 204):
            return replace(done, headers=[*done.headers, *self._rests(fence, task.path)])
        fence.last = Version(epoch, fence.last.number + 1 if fence.last.epoch == epoch else 1)
        at, key = fence.last, task.path.key
        kind = _KINDS.get(task.method, "gone")
        record = fence.records.get(key)
        cleared = at if kind != "collection" else record.cleared if record is not None else NO_VERSION
        self._note(fence, key, at, kind, cleared, epoch)
        headers = [(k, v) for k, v in done.headers if k != b"etag"]
        if kind == "file":
            self.rack.resources[key].etag = _etag(at).decode()
            headers.append((b"etag", _etag(at)))
        return replace(done, headers=[*headers, *self._of(key, fence.records[key])])

    def _apply(self, fence: Fence, task: Task, at: Version, epoch: int) -> Done:
        """Take a write over under the version that the first copy gave it; the newest wins at each path."""
        from cressrock.lab.rack import Done

        key = task.path.key
        kind = _KINDS.get(task.method, "gone")
        cleared = (
            at if kind != "collection" else parse_version(task.headers.get(CLEARED_HEADER.decode(), "0.0"))
        )
        fence.last = max(fence.last, at)
        record = fence.records.get(key)
        if any((r := fence.records.get(a)) is not None and r.cleared > at for a in _above(task.path)):
            return Done(
                204, [(VERSION_HEADER, str(at).encode())]
            )  # a newer deletion above has taken it with it
        if record is None or record.at < at:
            self._replace(task, kind, at)
        self._note(fence, key, at, kind, cleared, epoch)
        return Done(204, self._of(key, fence.records[key]))

    def _replace(self, task: Task, kind: str, at: Version) -> None:
        rack, key = self.rack, task.path.key
        there = rack.resources.get(key)
        times = task.headers.get(TIMES_HEADER.decode(), "").split()
        created, modified = (float(t) for t in times) if len(times) == 2 else (task.now_ms, task.now_ms)
        if kind == "collection":
            if there is not None and not there.collection:
                rack.remove_alone(key)
                there = None
            if there is None:
                rack.put_in(task.path, created, modified, None, "")
            return
        if there is not None and (kind == "gone" or there.collection):
            rack.remove_alone(key)
        if kind == "file":
            assert task.body is not None
            kind_of = task.headers.get("content-type", "application/octet-stream")
            found = rack.put_in(task.path, created, modified, task.body, kind_of)
            found.etag = _etag(at).decode()

    def _note(self, fence: Fence, key: str, at: Version, kind: str, cleared: Version, epoch: int) -> None:
        """Enter a record, and take out what lay below it under versions older than `cleared`."""
        record = fence.records.get(key)
        if record is None:
            record = fence.records[key] = Record(NO_VERSION)
        if cleared > record.cleared:
            record.cleared = cleared
            begin = key + "/"
            for below in [k for k in fence.records if k.startswith(begin)]:
                if fence.records[below].at < cleared:
                    fence.unsure.pop(fence.records.pop(below).at, None)
                    if below in self.rack.resources:
                        self.rack.remove_alone(below)
        if at > record.at:
            fence.unsure.pop(record.at, None)
            record.at, record.kind, record.sure = at, kind, False
            fence.unsure[at] = key
        record.touched = max(record.touched, epoch)


_KINDS = {"PUT": "file", "MKCOL": "collection"}


def _etag(at: Version) -> bytes:
    return f'"{at.epoch:x}.{at.number:x}"'.encode()


def _above(path: Path) -> list[str]:
    found = []
    while path.segments:
        path = path.parent
        found.append(path.key)
    return found
