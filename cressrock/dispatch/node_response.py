"""Maps a node's HTTP response to an outcome, by fixed rules without settings.  Does no I/O.

503 with Retry-After means that the node rejected the request without processing it (queue full or draining),
which proves that the work never ran.  With any other 5xx except 507, the work may have run.  Every other
status is an answer for the client, including 404, 412 and 507.  The load report is in ORCA's header field
`endpoint-load-metrics` (JSON form, xds.data.orca.v3.OrcaLoadReport).
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from cressrock.http.channel import Headers, header
from cressrock.interface import Outcome

LOAD_HEADER = b"endpoint-load-metrics"
USED_METRIC = "cressrock.used"
ELSEWHERE_METRIC = "cressrock.elsewhere"
MAX_METRIC_VALUE = 1e12  # larger numbers cannot be valid measurements


class ReportedLoad(NamedTuple):
    """The volume's usage as reported by a node; 0 for what was not reported."""

    used: int = 0  # 1 + percentage of the plan's rate
    units_elsewhere: float = 0.0  # units that other dispatchers used, as counted by the node


def outcome_of(status: int, headers: Headers) -> Outcome:
    """Return the outcome that a final response's status and headers mean."""
    if status == 503 and header(headers, b"retry-after") is not None:
        return Outcome.FULL
    if status >= 500 and status != 507:
        return Outcome.ERROR
    return Outcome.OK


def reported_load(headers: Headers) -> ReportedLoad:
    """Return the load that a response reports.

    A malformed report is ignored, since the client must still get the response.
    """
    field = header(headers, LOAD_HEADER)
    if field is None:
        return ReportedLoad()
    try:
        value: Any = msgspec.json.decode(field.removeprefix(b"JSON").strip())
    except (msgspec.DecodeError, RecursionError):
        return ReportedLoad()
    named_metrics = value.get("named_metrics") if isinstance(value, dict) else None
    if not isinstance(named_metrics, dict):
        return ReportedLoad()
    return ReportedLoad(
        int(_metric_value(named_metrics.get(USED_METRIC))), _metric_value(named_metrics.get(ELSEWHERE_METRIC))
    )


def _metric_value(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < MAX_METRIC_VALUE:
        return 0.0
    return float(value)
