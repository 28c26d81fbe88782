"""How a node's HTTP answer reads as an outcome.  Pure, and a fixed reading: no tuned choice.

503 with Retry-After means that the node rejected the request unseen (queue full or draining): it proves that
the work never ran.  Any other 5xx may have run.  Everything else is an answer to the client's question, 404
and 412 too.
Load rides in ORCA's `endpoint-load-metrics` field (JSON form, xds.data.orca.v3.OrcaLoadReport).
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from cressrock.http.channel import Headers, header
from cressrock.interface import Outcome

LOAD_HEADER = b"endpoint-load-metrics"
USED_METRIC = "cressrock.used"
ELSEWHERE_METRIC = "cressrock.elsewhere"
MAX_METRIC = 1e12  # a larger number is no measurement


class ReportedLoad(NamedTuple):
    """What a node said of the volume's use; 0 where it said nothing."""

    used: int = 0  # 1 + percent of the plan's rate
    elsewhere: float = 0.0  # units, as the node counts them


def outcome_of(status: int, headers: Headers) -> Outcome:
    """Read a final answer's status."""
    if status == 503 and header(headers, b"retry-after") is not None:
        return Outcome.FULL
    if status >= 500 and status != 507:
        return Outcome.ERROR
    return Outcome.OK


def reported_load(headers: Headers) -> ReportedLoad:
    """Return what an answer's load report says.

    A report that cannot be read counts as none: it must not cost the client its answer.
    """
    field = header(headers, LOAD_HEADER)
    if field is None:
        return ReportedLoad()
    try:
        value: Any = msgspec.json.decode(field.removeprefix(b"JSON").strip())
    except msgspec.DecodeError:
        return ReportedLoad()
    named = value.get("named_metrics") if isinstance(value, dict) else None
    if not isinstance(named, dict):
        return ReportedLoad()
    return ReportedLoad(int(_number(named.get(USED_METRIC))), _number(named.get(ELSEWHERE_METRIC)))


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < MAX_METRIC:
        return 0.0
    return float(value)
