"""An example in-sync set, and operations at a simulated node, for tests of replication."""

from cressrock.lab.copysim import Text, got_of
from cressrock.lab.rack import Task
from cressrock.replication.in_sync_set import (
    InSyncSet,
    Replica,
    ReplicaState,
)
from cressrock.webdav.paths import parse

IN_SYNC_SET = InSyncSet(
    3,
    "a",
    (
        Replica("a", ReplicaState.IN_SYNC, "a0"),
        Replica("b", ReplicaState.IN_SYNC, "b0"),
        Replica("c", ReplicaState.OUT_OF_SYNC, "c0", 2, 1),
    ),
)


def execute(rack, method, path, epoch, role="in", *, version="", store_id="", value=None, **extra_headers):
    headers = {"x-cressrock-epoch": str(epoch), "x-cressrock-copy": f"{role};{store_id}"}
    headers |= {"x-cressrock-version": version} if version else {}
    headers |= {f"x-cressrock-{name}": field for name, field in extra_headers.items()}
    body = Text(value) if value is not None else None
    return got_of(rack.execute(Task(method, parse(path), headers, body, b"", 1000.0)), path)
