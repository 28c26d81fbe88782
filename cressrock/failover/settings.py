"""Settings of zone failover: the zones, and when one is evacuated and taken back.

A field is named as the operators' settings key, so that the page, a file and the code have one name to search
for; `docs/settings.md` is made from the classes' docstrings and the comments behind their fields.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

FULL_SHARE = 64  # shares of a zone's traffic are counted in 64ths

ZoneName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
_Ms = Annotated[float, Meta(gt=0, le=1e9)]
_Share = Annotated[float, Meta(gt=0, le=1)]
_Count = Annotated[int, Meta(ge=1, le=65535)]


class ZoneSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One zone: its region, and the units a second that its nodes bear, of all edges together."""

    region: ZoneName
    capacity: Annotated[float, Meta(gt=0, le=1e9)]


class FailoverSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Near while that is safe: zones, and when one is given up and taken back (`docs/zones.md`)."""

    zones: Annotated[dict[ZoneName, ZoneSettings], Meta(min_length=2, max_length=64)]
    edges: _Count  # that there are, in all zones together
    bears: _Share = 0.95  # of a zone's capacity, its own work and what is spilled to it together
    usual: _Share = 0.6  # of a zone's capacity that its own work takes, where nobody tells
    alone: _Share = 0.85  # of the room elsewhere, that edges may take without a decree
    reserve: Annotated[float, Meta(ge=0, le=1)] = 0.2  # of an edge's room, kept for reads with a reserve
    safe_start: _Share = 0.125  # of its capacity, that a zone bears whose nodes are all cold
    warm_ms: _Ms = 10000.0  # until they bear all of it
    beat_ms: Annotated[float, Meta(ge=20, le=60000)] = 500.0  # attempts are counted by beats
    window: Annotated[int, Meta(ge=1, le=64)] = 4  # beats that a word rests on
    slow_ms: _Ms = 1000.0  # an answer that took longer is a slow one
    least: _Count = 3  # attempts that a bad word needs
    bad_share: _Share = 0.8  # of attempts that do not reach a zone: it is away
    half_share: _Share = 0.25  # and of those: a part of it is
    slow_share: _Share = 0.5  # of answers that are slow
    witnesses: _Count = 3  # that are needed at least, where there are so many
    fresh_ms: _Ms = 10000.0  # older evidence counts no more
    recent_ms: _Ms = 2000.0  # who has not reached a zone for so long does not contradict who cannot
    own_share: _Share = 0.1  # of a zone's own edges that have to accuse it, where nobody else goes there
    confirm_ms: _Ms = 500.0  # a zone must stand accused so long
    split_ms: _Ms = 2000.0  # and where some can reach it, so long: the others may only be late
    rest_ms: _Ms = 3000.0  # a zone that was given up stays so at least, and longer with each loss
    step_ms: _Ms = 3500.0  # from one part of the way back to the next
    fade_ms: _Ms = 300000.0  # in which one loss is forgotten
    most_losses: Annotated[int, Meta(ge=1, le=16)] = 6  # remembered; each doubles the rest
    least_left: _Share = 0.3  # of all capacity that is never given up
    tries: _Ms = 20.0  # reads a second, of all edges, that look whether a zone is back
    tells: _Ms = 40.0  # pieces of evidence a second, of all edges, while something is wrong
    calm_ms: _Ms = 10000.0  # how often each edge tells while all is well
    stay_ms: _Ms = 1000.0  # what a refusal names where nothing better is known
    look_ms: _Ms = 250.0  # how often the council's leader looks at the evidence

    def __post_init__(self) -> None:
        """Check what no single field can tell.  Raises ValueError naming the field."""
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
        """Return the shares of a recovery ramp in 64ths, doubled from the greatest that cold nodes bear."""
        first = 1
        while first * 2 <= FULL_SHARE * self.safe_start:
            first *= 2
        shares = [first]
        while shares[-1] < FULL_SHARE:
            shares.append(shares[-1] * 2)
        return tuple(shares)

    def regions(self) -> dict[str, str]:
        """Return each zone's region."""
        return {name: zone.region for name, zone in self.zones.items()}
