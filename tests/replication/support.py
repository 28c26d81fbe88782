"""A set of replicas, and operations at a stand-in node, for tests of replication."""

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


def execute(rack, method, path, epoch, role="in", *, at="", life="", value=None, **more):
    headers = {"x-cressrock-epoch": str(epoch), "x-cressrock-copy": f"{role};{life}"}
    headers |= {"x-cressrock-version": at} if at else {}
    headers |= {f"x-cressrock-{k}": v for k, v in more.items()}
    body = Text(value) if value is not None else None
    return got_of(rack.execute(Task(method, parse(path), headers, body, b"", 1000.0)), path)
