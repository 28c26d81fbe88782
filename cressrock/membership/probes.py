"""SWIM's failure detector: ping members in turn, then indirectly through helpers, then suspect."""

from __future__ import annotations

from dataclasses import dataclass

from cressrock.membership.member_table import MemberRecord
from cressrock.membership.outbox import Outbox
from cressrock.membership.packets import MemberState
from cressrock.membership.state import MembershipState
from cressrock.membership.timers import TimerKind
from cressrock.membership.transitions import StateTransitions

CANDIDATES_PER_HELPER = 3  # sampled for each helper, as suspected candidates are skipped


@dataclass(slots=True)
class _Probe:
    """An unanswered probe, with the target's incarnations at the time that it was sent."""

    name: str
    process_incarnation: int
    incarnation: int
    helpers: int = 0
    nacks: int = 0


class Prober:
    """Probes members, more slowly when this process is unhealthy, and suspects those that do not answer."""

    def __init__(self, state: MembershipState, outbox: Outbox, transitions: StateTransitions) -> None:
        """Start without open probes."""
        self._state = state
        self._settings = state.settings
        self._outbox = outbox
        self._transitions = transitions
        self._probes: dict[int, _Probe] = {}

    def __len__(self) -> int:
        """Return the number of open probes."""
        return len(self._probes)

    def start_next(self, now_ms: float) -> None:
        """Probe the next member in the probe order, and schedule the probe after it."""
        settings, state = self._settings, self._state
        scaled_period_ms = settings.protocol_period_ms * state.health.probe_multiplier
        schedule = state.timers.schedule
        interval_ms = settings.protocol_period_ms / settings.probes_per_period
        schedule(now_ms + interval_ms * state.health.probe_multiplier, TimerKind.PROBE)
        name = state.table.probe_order.next_name(state.table.live)
        if name is None or len(self._probes) >= settings.max_members:
            return
        number, record = self._outbox.next_number(), state.table.records[name]
        self._probes[number] = _Probe(name, record.process_incarnation, record.incarnation)
        self._outbox.send_ping(name, state.table.address_of(name), number)
        timeout_ms = settings.protocol_period_ms * settings.ping_timeout_fraction
        schedule(now_ms + timeout_ms * state.health.probe_multiplier, TimerKind.INDIRECT_PROBE, number=number)
        schedule(now_ms + scaled_period_ms, TimerKind.PROBE_DEADLINE, number=number)

    def probe_indirectly(self, number: int) -> None:
        """Ping an unresponsive member again, and ask helpers to ping it."""
        table = self._state.table
        probe = self._probes.get(number)
        if probe is None or probe.name not in table.live:
            return
        address = table.address_of(probe.name)
        self._outbox.send_ping(probe.name, address, number)  # the first ping may have been lost
        max_helpers = self._settings.indirect_probes
        candidates = table.live.sample(self._state.rng, max_helpers * CANDIDATES_PER_HELPER, (probe.name,))
        # Suspected members may not answer: a missing Nack from them in a partition would wrongly raise the
        # local health score.
        alive = [name for name in candidates if table.records[name].state is MemberState.ALIVE]
        helpers = alive[:max_helpers]
        for helper in helpers:
            self._outbox.send_ping_request(helper, number, probe.name, address)
        probe.helpers = len(helpers)

    def receive_ack(self, number: int) -> bool:
        """Close the probe with this number; returns False if there is no such open probe."""
        if self._probes.pop(number, None) is None:
            return False
        self._state.health.adjust(-1)
        return True

    def receive_nack(self, number: int) -> None:
        """Count a helper that is alive but got no answer from the target."""
        probe = self._probes.get(number)
        if probe is not None:
            probe.nacks += 1

    def conclude(self, now_ms: float, number: int) -> None:
        """Suspect the target of a probe that is still unanswered at its deadline."""
        probe = self._probes.pop(number, None)
        if probe is None:
            return
        # Lifeguard: a missing Nack from a helper indicates that the fault may be on this side.
        self._state.health.adjust(probe.helpers - probe.nacks if probe.helpers else 1)
        record = self._state.table.records.get(probe.name)
        if record is None or not self._transitions.may_suspect(now_ms) or _has_changed(record, probe):
            return
        accuser = self._state.local.name
        if record.state is MemberState.ALIVE:
            self._transitions.suspect(now_ms, record, record.incarnation, accuser)
        elif record.state is MemberState.SUSPECT:
            self._transitions.confirm(now_ms, record, accuser)

    def abandon_all(self) -> None:
        """Drop all open probes after a pause of this process, as their answers may be lost."""
        self._probes.clear()


def _has_changed(record: MemberRecord, probe: _Probe) -> bool:
    """Whether the member restarted or refuted a suspicion since, which makes the probe's result obsolete."""
    return record.process_incarnation != probe.process_incarnation or record.incarnation != probe.incarnation
