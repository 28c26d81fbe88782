"""Rules as a document: the part of the settings that routes, in versions that live side by side.  Pure.

A document holds classes' match and patience, plans' weights and reserves, and two parts that the zones' room
reads (spill, placement of new objects).  All else stays the settings': what a rule's argument counts on
cannot be written here, or is refused by `compare` with its place.

`Tables` puts the classes and plans of all versions behind one another.  So a request's class and plan are
numbers that name its version as well, and one decision module holds the requests of several versions at once:
they share nodes, windows and limits, and each is decided by its own figures from its coming to its answer.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from cressrock import interface
from cressrock.errors.rollout import IncompatibleRulesError, InvalidRulesError, UnknownRulesVersionError
from cressrock.rollout.plan import MAX_DOCUMENT_BYTES, RolloutPlan, document_digest
from cressrock.settings.types import METHODS, Gateway, Positive, interface_settings

VERSION = 1
SLOTS = 8  # versions that a process can hold; one in use, one tried, and former ones until their requests end
SETTLE_MS = 60000.0  # beyond the longest request: a version's place is given to another only after that

Milliseconds = Annotated[float, Meta(ge=0, le=1e9)]
Text = Annotated[str, Meta(max_length=256)]
Figures = Annotated[dict[Annotated[str, Meta(max_length=64)], float], Meta(max_length=256)]


class ClassRules(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A class's match and patience; its effect, group, window, order and worth stay the settings'."""

    name: Annotated[str, Meta(max_length=64)]
    methods: list[str]
    max_bytes: Annotated[int, Meta(ge=0, le=2**40)] | None = None
    aim_ms: Positive
    deadline_ms: Positive


class PlanRules(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A plan's share; its limit and price stay the settings'."""

    weight: Positive
    reserve: Milliseconds = 0.0


class Rules(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What routes."""

    classes: Annotated[list[ClassRules], Meta(min_length=1, max_length=64)]  # in the settings' order
    plans: Annotated[dict[str, PlanRules], Meta(max_length=256)]
    spill: Figures = {}  # bounds of each tier, for the zones' room
    placement: Figures = {}  # shares of new objects, for the zones' room


class Document(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A version of the rules, and how it is to be rolled out."""

    version: Annotated[int, Meta(ge=1, le=65535)] = VERSION
    note: Text = ""
    rules: Rules
    course: RolloutPlan


_json = msgspec.json.Decoder(Document)


def read(data: bytes) -> Document:
    """Read a document's JSON.  Raises RulesWrong with the place, RulesNewer for another version."""
    if len(data) > MAX_DOCUMENT_BYTES:
        raise InvalidRulesError(f"a document of {len(data)} bytes; one decree takes {MAX_DOCUMENT_BYTES}")
    try:
        found = _json.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as wrong:
        try:
            head = msgspec.json.decode(data)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
            head = None
        version = head.get("version", VERSION) if isinstance(head, dict) else VERSION
        if not isinstance(version, int) or version <= VERSION:
            raise InvalidRulesError(f"document: {str(wrong)[:300]}") from None
    else:
        if found.version <= VERSION:
            return found
        version = found.version
    raise UnknownRulesVersionError(f"a document of version {version}; version {VERSION} is known")


def canonical(document: Document) -> bytes:
    """Return a document's bytes: the same for the same content, however it was written down."""
    # Read once more: a whole number in a place for any is then written as one of these.
    return msgspec.json.encode(_json.decode(msgspec.json.encode(document)), order="sorted")


def of_settings(settings: Gateway, course: RolloutPlan, note: str = "") -> Document:
    """Return the settings' own rules as a document, to begin from."""
    classes = [
        ClassRules(
            name=c.name,
            methods=list(c.methods),
            max_bytes=c.max_bytes,
            aim_ms=c.aim_ms,
            deadline_ms=c.deadline_ms,
        )
        for c in settings.classes
    ]
    plans = {name: PlanRules(weight=p.weight, reserve=p.reserve) for name, p in settings.plans.items()}
    return Document(note=note, rules=Rules(classes=classes, plans=plans), course=course)


def apply(rules: Rules, settings: Gateway) -> Gateway:
    """Return the settings with these rules in them.  Raises RulesWrong, RulesDiffer with the place."""
    names = [c.name for c in settings.classes]
    given = [c.name for c in rules.classes]
    if given != names:
        raise IncompatibleRulesError(f"rules.classes: {given} are not the settings' {names}, in their order")
    if sorted(rules.plans) != sorted(settings.plans):
        known = sorted(settings.plans)
        raise IncompatibleRulesError(f"rules.plans: {sorted(rules.plans)} are not the settings' {known}")
    classes = [
        msgspec.structs.replace(
            own, methods=c.methods, max_bytes=c.max_bytes, aim_ms=c.aim_ms, deadline_ms=c.deadline_ms
        )
        for own, c in zip(settings.classes, rules.classes, strict=True)
    ]
    plans = {
        name: msgspec.structs.replace(own, weight=rules.plans[name].weight, reserve=rules.plans[name].reserve)
        for name, own in settings.plans.items()
    }
    try:
        return msgspec.structs.replace(settings, classes=classes, plans=plans)
    except ValueError as wrong:
        raise InvalidRulesError(f"rules.{wrong}") from None


def compare(good: Gateway, rules: Rules, settings: Gateway) -> Gateway:
    """Return the settings under a candidate that may live beside `good`.

    Refused is what a safety rule counts on and would be two things at once: a method (of some size) whose
    class has another effect, group, window or order; a deadline beyond what keys are remembered for, or
    beyond what any request may take.  Not refused, but held by the stricter of both while both live: a
    volume's reserve (`Tables`).  Limits, shards and windows are no part of a document at all.

    Raises RulesWrong, RulesDiffer, naming the place.
    """
    found = apply(rules, settings)
    longest = settings.front.longest_wait_s * 1000
    for index, cls in enumerate(found.classes):
        place = f"rules.classes[{index}].deadline_ms"
        if cls.deadline_ms > longest:
            raise InvalidRulesError(
                f"{place}: {cls.deadline_ms:g} is above front.longest_wait_s ({longest:g} ms)"
            )
        if cls.effect == "keyed" and cls.deadline_ms > settings.front.key_memory_ms:
            raise IncompatibleRulesError(
                f"{place}: {cls.deadline_ms:g} is above front.key_memory_ms; a key would be forgotten before"
            )
        if cls.aim_ms > cls.deadline_ms:
            raise InvalidRulesError(f"rules.classes[{index}].aim_ms: {cls.aim_ms:g} is above the deadline")
    for method, size in _samples(good, found):
        one, other = (s.classes[s.class_of(method, size)] for s in (good, found))
        for field in ("effect", "group", "repeat_window_ms", "in_turn"):
            if getattr(one, field) != getattr(other, field):
                what = "of any size" if size is None else f"of {size} bytes"
                raise IncompatibleRulesError(
                    f"rules.classes: {method} {what} is {other.name!r} with {field} "
                    f"{getattr(other, field)!r}; under the good version {getattr(one, field)!r}"
                )
    return found


def _samples(good: Gateway, other: Gateway) -> Iterator[tuple[str, int | None]]:
    """Return a method and size for each stretch in which both versions' classes are constant."""
    ends = {c.max_bytes for s in (good, other) for c in s.classes if c.max_bytes is not None}
    sizes: list[int | None] = [None, 0, *sorted(ends), *sorted(e + 1 for e in ends)]
    for method in METHODS:
        for size in sizes:
            yield method, size


@dataclass(frozen=True, slots=True)
class Version:
    """Rules as they stand in a process's tables: settings to look classes up in, and where its rows begin."""

    settings: Gateway
    digest: str = ""  # "": the settings' own
    classes_at: int = 0
    plans_at: int = 0


class Tables:
    """One process's versions, behind one another.  The settings' own are the first and never leave.

    A place is given to another document only once its former one was out of use for longer than any request
    lives; with none free a new document is not held, and this process serves by what it holds.
    """

    def __init__(self, settings: Gateway, slots: int = SLOTS) -> None:
        """Start with the settings' own rules alone."""
        self.settings = settings
        self.own = Version(settings)
        self.slots: list[Version | None] = [self.own, *[None] * (slots - 1)]
        self.left: list[float] = [0.0] * slots  # when each slot was last in use
        self.used = 1  # slots that the tables reach to: they never get shorter
        self.reserves: dict[str, dict[str, float]] = {}  # by digest and plan, where two versions live
        self.keep_ms = settings.front.longest_wait_s * 1000 + SETTLE_MS

    def get(self, digest: str) -> Version | None:
        """Return a version that is held."""
        return next((v for v in self.slots if v is not None and v.digest == digest), None)

    def held(self) -> tuple[str, ...]:
        """Return the digests of all versions that are held, the settings' own apart."""
        return tuple(v.digest for v in self.slots[1:] if v is not None)

    def check(self, data: bytes, good: str) -> tuple[bytes, RolloutPlan]:
        """Return a new document's canonical bytes and its course, if it may live beside the good version.

        Raises RulesWrong, RulesNewer, RulesDiffer.
        """
        document, beside = read(data), self.get(good)
        if beside is None:
            raise InvalidRulesError(f"the good version {good} is not known here yet")
        compare(beside.settings, document.rules, self.settings)
        found = canonical(document)
        if len(found) > MAX_DOCUMENT_BYTES:
            raise InvalidRulesError(
                f"a document of {len(found)} bytes; one decree takes {MAX_DOCUMENT_BYTES}"
            )
        return found, document.course

    def course(self, data: bytes) -> RolloutPlan:
        """Return a document's course.  Raises RulesWrong, RulesNewer."""
        return read(data).course

    def aim_ms(self, version: Version, cls: int) -> float:
        """Return the aim of a class, by its number in one version."""
        return version.settings.classes[cls].aim_ms

    def hold(self, now: float, documents: dict[str, bytes], good: str) -> list[str]:
        """Hold these documents, by digest, of which one is the good one; returns why some are not held.

        The reserves of two that live together become the lesser of both for each plan.
        """
        wrong = []
        for digest, data in sorted(documents.items(), key=lambda item: item[0] != good):
            if self.get(digest) is None:
                beside = self.get(good) or self.own
                try:
                    self._place(now, digest, compare(beside.settings, read(data).rules, self.settings))
                except (InvalidRulesError, UnknownRulesVersionError, IncompatibleRulesError) as why:
                    wrong.append(f"{digest}: {why.text}")
        good = good if self.get(good) is not None else ""
        live = [v for v in self.slots if v is not None and (v.digest in documents or v.digest == good)]
        for index, slot in enumerate(self.slots):
            if slot is not None and (slot in live or index == 0):
                self.left[index] = now
        self.reserves = {}
        if len(live) > 1:
            least = {n: min(v.settings.plans[n].reserve for v in live) for n in self.settings.plans}
            self.reserves = {v.digest: least for v in live}
        return wrong

    def _place(self, now: float, digest: str, settings: Gateway) -> None:
        for index in range(1, len(self.slots)):
            if self.slots[index] is None or now >= self.left[index] + self.keep_ms:
                self.slots[index] = Version(
                    settings, digest, index * len(settings.classes), index * len(settings.plans)
                )
                self.used = max(self.used, index + 1)
                return
        raise InvalidRulesError(
            f"all {len(self.slots)} places are in use; one is free in {self.keep_ms:g} ms"
        )

    def rows(self, base: interface.Settings) -> interface.Settings:
        """Return a decision module's settings with all versions' classes and plans in them."""
        classes: list[interface.RequestClass] = []
        plans: list[interface.Plan] = []
        for version in self.slots[: self.used]:
            # A place that was never used keeps the settings' own rows: the later ones must not move.
            found = interface_settings((version or self.own).settings)
            least = self.reserves.get(version.digest) if version is not None else None
            classes += found.classes
            for name, plan in zip(sorted(self.settings.plans), found.plans, strict=True):
                plans.append(replace(plan, reserve=least[name]) if least is not None else plan)
        return replace(base, classes=tuple(classes), plans=tuple(plans))

    def told(self, request_class: int, plan: int) -> tuple[str, int, int]:
        """Return the version of a class and plan of these tables, and their numbers in that version."""
        slot, cls = divmod(request_class, len(self.settings.classes))
        version = self.slots[slot]
        return version.digest if version is not None else "", cls, plan % len(self.settings.plans)

    def places(self) -> dict[str, tuple[int, int]]:
        """Return where each version's classes and plans begin, by digest."""
        return {v.digest: (v.classes_at, v.plans_at) for v in self.slots if v is not None}


def digest(document: Document) -> str:
    """Return a document's name."""
    return document_digest(canonical(document))
