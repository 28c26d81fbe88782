"""Detects silent gateways: their members become unsure, and are removed only after `gone_ms`."""

from __future__ import annotations

from cressrock.presence.causal_delivery import CausalDelivery
from cressrock.presence.feed import Reason
from cressrock.presence.liveness import Certainty, Verdict, assess
from cressrock.presence.messages import Origin
from cressrock.presence.settings import RoomSettings
from cressrock.presence.view import Replica, RoomView
from cressrock.presence.view_table import ViewTable


class SuspicionMonitor:
    """Periodically checks all replicas that are not confirmed."""

    def __init__(self, table: ViewTable, delivery: CausalDelivery, settings: RoomSettings) -> None:
        """`delivery` releases the changes that were waiting for a gateway that is given up."""
        self._table, self._delivery, self._settings = table, delivery, settings

    def tick(self, now_ms: float) -> None:
        """Suspect gateways that are silent for more than `silent_ms`; give up those silent for `gone_ms`."""
        for origin, source in self._table.sources.items():
            if (
                source.connected
                and not source.silent
                and now_ms - source.last_contact_ms > self._settings.silent_ms
            ):
                source.silent = True
                for room in source.rooms:
                    self._table.unconfirmed[(room, origin)] = None
        for room, origin in list(self._table.unconfirmed):
            self._check(now_ms, self._table.views[room], origin)

    def _check(self, now_ms: float, view: RoomView, origin: Origin) -> None:
        replica = view.replicas[origin]
        verdict = self.verdict(now_ms, origin, replica)
        if verdict.certainty is Certainty.DEAD:
            self._remove_origin(now_ms, view, origin, replica)
        elif verdict.certainty is Certainty.SUSPECTED and not replica.suspected:
            if now_ms - verdict.since_ms > self._settings.silent_ms:
                self._table.suspect(view, origin)

    def _remove_origin(self, now_ms: float, view: RoomView, origin: Origin, replica: Replica) -> None:
        view.mark_origin_lost(origin)
        for member_id in list(replica.members):
            view.set_entry(origin, replica, member_id, None, Reason.TIME)
        self._table.unfollow(view, origin)
        # If the origin comes back, changes up to this version are old: watchers get them in a snapshot, not
        # as events.
        view.skipped_causes[origin] = replica.version
        self._delivery.release(now_ms, view)

    def verdict(self, now_ms: float, origin: Origin, replica: Replica) -> Verdict:
        """Return how certain an origin's members in a room are; this gateway's own are always confirmed."""
        if origin == self._table.origin:
            return Verdict(Certainty.CONFIRMED, now_ms)
        source = self._table.sources.get(origin)
        known_until_ms = (
            source.last_contact_ms if replica.synced and source is not None else replica.synced_until_ms
        )
        synced = replica.synced and source is not None and not source.silent
        return assess(
            known_until_ms,
            now_ms,
            synced=synced,
            suspect_after_ms=self._settings.silent_ms,
            dead_after_ms=self._settings.gone_ms,
        )

    def unsure_gateways(self, now_ms: float, view: RoomView) -> dict[str, float]:
        """Return the gateways whose members in a room are unsure, with the earliest time (ms) since when."""
        suspect_since_ms: dict[str, float] = {}
        for origin, replica in view.replicas.items():
            if replica.suspected:
                since_ms = self.verdict(now_ms, origin, replica).since_ms
                suspect_since_ms[origin[0]] = min(since_ms, suspect_since_ms.get(origin[0], since_ms))
        return suspect_since_ms

    def as_of_ms(self, now_ms: float, view: RoomView) -> float:
        """Return the time (ms) up to which everything from the room's confirmed gateways has arrived."""
        contacts = [
            self._table.sources[origin].last_contact_ms
            for origin, replica in view.replicas.items()
            if origin != self._table.origin and replica.synced and not replica.suspected
        ]
        return min(contacts, default=now_ms)
