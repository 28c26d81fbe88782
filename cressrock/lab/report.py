"""What a judged day looks like: a table for people, JSON for programs."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from cressrock.lab.judge import RULES, Judgement, first_breaches, windows
from cressrock.lab.service import Service, Worth
from cressrock.lab.trace import Trace

if TYPE_CHECKING:
    from cressrock.lab.bound import Bound
    from cressrock.lab.day import Result

BAR = 40


def as_text(found: Judgement, trace: Trace, result: Result | None) -> str:
    """Write the verdict for each rule, the first breaches, and service over the day."""
    script = trace.facts.get("script", {})
    lines = [
        f"day {script.get('name')}: seed {script.get('seed')}, {script.get('dispatchers')} dispatchers, "
        f"{script.get('nodes')} nodes, {len(trace.rows)} rows"
    ]
    if result is not None:
        lines.append("troubles: " + "; ".join(result.events))
    lines.append("")
    for rule, text in RULES.items():
        count = sum(b.rule == rule for b in found.breaches)
        verdict = "kept" if not count else f"BROKEN {count} times"
        lines.append(f"rule {rule}  {text:46} {verdict:16} ({found.looked_at[rule]} looked at)")
    for breach in first_breaches(found.breaches, 5):
        lines.append(
            f"  rule {breach.rule} at {breach.t_ms / 1000:.3f} s, request {breach.request}: {breach.what}"
        )
    if result is not None:
        trips = ", ".join(f"{k} {v}" for k, v in result.fences.items()) or "none tripped"
        lines.append(f"fences  {trips}")
    f = found.figures
    lines.append("")
    lines.append(
        f"{f['requests']:.0f} requests: {f['served']:.0f} served, {f['refused']:.0f} refused, "
        f"{f['failed']:.0f} failed, {f['left']:.0f} left; {f['attempts']:.0f} attempts; "
        f"served p50 {f['p50_ms']:.0f} ms, p99 {f['p99_ms']:.0f} ms"
    )
    lines.append("")
    lines.append("   from s  requests  served  refused  failed  served of all")
    for line in windows(trace, 5000):
        part = line["served"] / max(1.0, line["requests"])
        lines.append(
            f"{line['from_s']:9.0f} {line['requests']:9.0f} {line['served']:7.0f} {line['refused']:8.0f} "
            f"{line['failed']:7.0f}  {'#' * round(part * BAR):{BAR}} {part:.2f}"
        )
    return "\n".join(lines)


def service_text(service: Service, bound: Bound | None) -> str:
    """Write what was served beside what could have been, the nodes' use, and what stood in the way."""
    total = service.total
    lines = [
        "",
        f"{total.wishes} wishes: {_part(total.in_time, total.wishes)} in time, "
        f"{_part(total.late, total.wishes)} late; worth {_part(total.earned, total.due)} of what was due"
        + (f", {bound.share:.3f} of the best possible" if bound is not None else ""),
    ]
    for title, table, best in (
        ("class", service.classes, bound.classes if bound is not None else {}),
        ("plan", service.plans, bound.plans if bound is not None else {}),
    ):
        for name, worth in sorted(table.items()):
            earned, reached = best.get(name, (0.0, 0.0))
            share = f"  {earned / reached:.3f} of the best schedule's" if reached > 1e-9 else ""
            lines.append(f"  {title:5} {name:14} {worth.wishes:7} wishes {_row(worth)}{share}")
    used = ", ".join(
        f"{shard}: {part:.2f} ({service.useful[shard]:.2f} in time)"
        for shard, part in sorted(service.used.items())
    )
    lines.append(f"used part of each shard's capacity  {used}")
    why = ", ".join(f"{hindrance.value} {count}" for hindrance, count in service.why().items())
    lines.append(f"denied  {why or 'nothing'}")
    for denied in service.idle[:5]:
        lines.append(
            f"  idle refusal at {denied.t_ms / 1000:.3f} s: {denied.request} {denied.method} of "
            f"{denied.volume}, shard {denied.shard} had nothing out for "
            f"{denied.idle_ms:.0f} ms while it waited"
        )
    return "\n".join(lines)


def _part(some: float, of: float) -> str:
    return f"{some / of:.3f}" if of else "-"


def _row(worth: Worth) -> str:
    return f"{_part(worth.in_time, worth.wishes)} in time, worth {_part(worth.earned, worth.due)}"


def service_json(service: Service, bound: Bound | None) -> dict[str, Any]:
    """Return the same for programs."""

    def one(worth: Worth) -> dict[str, float]:
        return {name: getattr(worth, name) for name in ("wishes", "in_time", "late", "due", "earned")}

    return {
        "total": one(service.total),
        "classes": {name: one(worth) for name, worth in service.classes.items()},
        "plans": {name: one(worth) for name, worth in service.plans.items()},
        "used": {str(shard): part for shard, part in service.used.items()},
        "useful": {str(shard): part for shard, part in service.useful.items()},
        "denied": {hindrance.name.lower(): count for hindrance, count in service.why().items()},
        "idle_refusals": len(service.idle),
        "bound": None if bound is None else {"best": bound.best, "share": bound.share},
    }


def as_json(
    found: Judgement, result: Result | None, service: Service | None = None, bound: Bound | None = None
) -> str:
    """Write the verdict as JSON: rules, breaches, figures, fences, service."""
    value = {
        "rules": {str(r): "kept" if found.kept(r) else "broken" for r in RULES},
        "looked_at": {str(r): n for r, n in found.looked_at.items()},
        "breaches": [
            {"rule": b.rule, "t_ms": round(b.t_ms, 3), "request": b.request, "what": b.what}
            for b in found.breaches[:1000]
        ],
        "figures": {k: round(v, 3) for k, v in found.figures.items()},
        "fences": result.fences if result is not None else None,
        "service": service_json(service, bound) if service is not None else None,
    }
    return json.dumps(value, indent=2, sort_keys=True)
