"""How a node's HTTP answer reads as an outcome.  Pure, and a fixed reading: no tuned choice.

503 with Retry-After is a node's refusal, unseen (queue full or draining): it proves that the work never
ran.  Any other 5xx may have run.  Everything else is an answer to the client's question, 404 and 412 too.
Load rides in ORCA's `endpoint-load-metrics` field (JSON form, xds.data.orca.v3.OrcaLoadReport).
"""

from __future__ import annotations

from typing import Any

import msgspec

from cressrock.http.channel import Headers, header
from cressrock.interface import Outcome

LOAD_HEADER = b"endpoint-load-metrics"
USED_METRIC = "cressrock.used"
ELSEWHERE_METRIC = "cressrock.elsewhere"


def outcome_of(status: int, headers: Headers) -> Outcome:
    """Read a final answer's status."""
    if status == 503 and header(headers, b"retry-after") is not None:
        return Outcome.FULL
    if status >= 500 and status != 507:
        return Outcome.ERROR
    return Outcome.OK


def reported_load(headers: Headers) -> tuple[int, float]:
    """Return (used, elsewhere) of an answer: 1 + percent of the plan's rate, and units; 0 if untold.

    A report that cannot be read counts as none: it must not cost the client its answer.
    """
    field = header(headers, LOAD_HEADER)
    if field is None:
        return 0, 0.0
    try:
        value: Any = msgspec.json.decode(field.removeprefix(b"JSON").strip())
    except msgspec.DecodeError:
        return 0, 0.0
    named = value.get("named_metrics") if isinstance(value, dict) else None
    if not isinstance(named, dict):
        return 0, 0.0
    return int(_figure(named.get(USED_METRIC))), _figure(named.get(ELSEWHERE_METRIC))


def _figure(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < 1e12:
        return 0.0
    return float(value)
