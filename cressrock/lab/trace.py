"""What went over the sockets, as a table: recorded in memory, written as Parquet, read back by the judge."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass, fields
from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq


@dataclass(frozen=True, slots=True)
class Row:
    """One thing that was seen on a socket, or told by the node list.  `t_ms` counts from the day's begin.

    side: client, node, list.  what: at a client `sent`, `answered`, `cut`, `left`; at a node `came`,
    `answered`, `closed`, `ran`, `up`, `down`; at the list `told`.
    """

    t_ms: float
    side: str
    what: str
    dispatcher: str = ""
    node: str = ""
    shard: int = -1
    request: str = ""  # the client's name of its request
    operation: int = -1
    attempt: int = -1
    method: str = ""
    path: str = ""
    units: float = 0.0
    status: int = 0
    key: str = ""
    patience_ms: float = 0.0
    detail: str = ""


_NAMES = [f.name for f in fields(Row)]
_TYPES = {"float": pa.float64(), "str": pa.string(), "int": pa.int32()}
SCHEMA = pa.schema([(f.name, _TYPES[str(f.type)]) for f in fields(Row)])


class Trace:
    """Rows in the order in which they were seen, and the facts of the day that the rules need."""

    def __init__(self, facts: dict[str, Any]) -> None:
        """`facts` is plain JSON: rules' figures, plans, volumes, machines."""
        self.facts = facts
        self.rows: list[Row] = []

    def add(self, row: Row) -> None:
        """Record a row."""
        self.rows.append(row)

    def __iter__(self) -> Iterator[Row]:
        """Go through the rows by time; rows of one instant in the order in which they were seen."""
        return iter(sorted(self.rows, key=_by_time))

    def table(self) -> pa.Table:
        """Return the rows as a columnar table."""
        rows = list(self)
        columns = {name: [getattr(row, name) for row in rows] for name in _NAMES}
        table = pa.table(columns, schema=SCHEMA)
        return table.replace_schema_metadata({b"cressrock": json.dumps(self.facts, sort_keys=True).encode()})

    def write(self, path: str) -> None:
        """Write a Parquet file, compressed."""
        pq.write_table(self.table(), path, compression="zstd")


def _by_time(row: Row) -> float:
    return row.t_ms


def load(path: str) -> Trace:
    """Read a trace.  Raises ValueError where the file is none."""
    try:
        table = pq.read_table(path)
    except (OSError, pa.ArrowException) as wrong:
        raise ValueError(f"{path}: not a readable trace: {str(wrong)[:200]}") from None
    meta = (table.schema.metadata or {}).get(b"cressrock")
    if meta is None or table.column_names != _NAMES:
        raise ValueError(f"{path}: a Parquet file, but not a cressrock trace")
    trace = Trace(json.loads(meta))
    trace.rows = [Row(**row) for row in table.to_pylist()]
    return trace
