"""Settings of zone failover: the zones, and when a zone is evacuated and restored.

Each field has the name of its settings key, so that the documentation, settings files and the code use one
searchable name.  `docs/settings.md` is generated from the class docstrings and the comments behind fields.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

FULL_SHARE = 64  # a share of a zone's traffic is an integer number of 64ths

ZoneName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
_Ms = Annotated[float, Meta(gt=0, le=1e9)]
_Share = Annotated[float, Meta(gt=0, le=1)]
_Count = Annotated[int, Meta(ge=1, le=65535)]


class ZoneSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One zone: its region, and its nodes' capacity in units per second, summed over all edges."""

    region: ZoneName
    capacity: Annotated[float, Meta(gt=0, le=1e9)]


class FailoverSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Zones, and the rules by which a zone is evacuated and restored (`docs/zones.md`)."""

    zones: Annotated[dict[ZoneName, ZoneSettings], Meta(min_length=2, max_length=64)]
    edges: _Count  # total number of edges in all zones
    bears: _Share = 0.95  # fraction of a zone's capacity that its own and spilled traffic may use together
    usual: _Share = 0.6  # assumed load of a zone, as a fraction of its capacity, if none is reported
    alone: _Share = 0.85  # fraction of the spare capacity elsewhere that edges may use without a decision
    reserve: Annotated[float, Meta(ge=0, le=1)] = 0.2  # of a spill rate, kept for reads with a reserve
    safe_start: _Share = 0.125  # fraction of its capacity that a zone can serve while all its nodes are cold
    warm_ms: _Ms = 10000.0  # warm-up time until cold nodes serve the full capacity
    beat_ms: Annotated[float, Meta(ge=20, le=60000)] = 500.0  # length of an interval of attempt counts
    window: Annotated[int, Meta(ge=1, le=64)] = 4  # intervals that determine a zone's health
    slow_ms: _Ms = 1000.0  # an answer with at least this latency counts as slow
    least: _Count = 3  # minimum number of attempts before a zone is judged degraded, slow or unreachable
    bad_share: _Share = 0.8  # fraction of failed attempts from which a zone is unreachable
    half_share: _Share = 0.25  # fraction of failed attempts from which a zone is degraded
    slow_share: _Share = 0.5  # fraction of slow answers from which a zone is slow
    witnesses: _Count = 3  # minimum number of witnesses for a finding, unless there are few edges
    fresh_ms: _Ms = 10000.0  # older evidence is ignored
    recent_ms: _Ms = 2000.0  # a report that a zone is reachable counts only if its last attempt is newer
    own_share: _Share = 0.1  # fraction of a zone's own edges that must accuse it if only they use it
    confirm_ms: _Ms = 500.0  # how long a zone must be found unreachable before it is evacuated
    split_ms: _Ms = 2000.0  # the same for partitioned and slow zones, where other reports may only be late
    rest_ms: _Ms = 3000.0  # minimum time that a zone stays evacuated; doubled by each further loss
    step_ms: _Ms = 3500.0  # time between the steps of a recovery ramp
    fade_ms: _Ms = 300000.0  # time without a loss after which one is forgotten
    most_losses: Annotated[int, Meta(ge=1, le=16)] = 6  # losses remembered; each doubles `rest_ms`
    least_left: _Share = 0.3  # fraction of the total capacity that is never evacuated
    tries: _Ms = 20.0  # trial reads per second to an unreachable zone, of all edges together
    tells: _Ms = 40.0  # reports per second, of all edges together, while a zone is accused
    calm_ms: _Ms = 10000.0  # report interval of each edge while no zone is accused
    stay_ms: _Ms = 1000.0  # retry delay of a shed read if no better estimate is known
    look_ms: _Ms = 250.0  # interval at which the consensus leader evaluates the evidence

    def __post_init__(self) -> None:
        """Check constraints between fields.  Raises ValueError naming the field."""
        if self.half_share >= self.bad_share:
            raise ValueError("half_share: has to be below bad_share")
        if self.usual > self.bears:
            raise ValueError("usual: is above bears, so that a zone would bear nothing beside its own work")
        if self.fresh_ms < self.calm_ms:
            raise ValueError("fresh_ms: is below calm_ms, so that in calm no evidence would count")
        for step, share in enumerate(self.recovery_shares()):
            warmed = self.safe_start + (1 - self.safe_start) * min(1.0, step * self.step_ms / self.warm_ms)
            if share > FULL_SHARE * warmed + 1e-9:
                growth = (share / FULL_SHARE - self.safe_start) / (1 - self.safe_start)
                raise ValueError(
                    f"step_ms: {self.step_ms:g} brings nodes that are still cold to {share}/{FULL_SHARE} of "
                    f"their work; at least {growth * self.warm_ms / step:g}"
                )

    def recovery_shares(self) -> tuple[int, ...]:
        """Return a recovery ramp's shares in 64ths, doubling from the largest that cold nodes can serve."""
        first = 1
        while first * 2 <= FULL_SHARE * self.safe_start:
            first *= 2
        shares = [first]
        while shares[-1] < FULL_SHARE:
            shares.append(shares[-1] * 2)
        return tuple(shares)

    def regions(self) -> dict[str, str]:
        """Return a mapping of zone name to region."""
        return {name: zone.region for name, zone in self.zones.items()}
