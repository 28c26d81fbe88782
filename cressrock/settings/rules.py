"""Rules documents: the routing part of the settings, of which several versions can be active.  Pure.

A document holds how requests match classes, the times of each class, the plans' weights and reserves, and two
parts for zone failover (spill, and placement of new objects).  Everything else comes from the settings.  What
safety relies on cannot be written in a document, or `compare` refuses it and names the field.

`Tables` concatenates the classes and plans of all versions.  The index of a request's class or plan therefore
identifies its version too, and one decision module can hold requests of several versions: they share nodes,
windows and limits, and each is scheduled by its own version's values from arrival to response.
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

FORMAT_VERSION = 1
MAX_VERSIONS = 8  # the active one, a candidate, and former ones until their requests have ended
SLOT_REUSE_DELAY_MS = 60000.0  # added to the longest request time before another version may reuse a slot

NonNegative = Annotated[float, Meta(ge=0, le=1e9)]
Text = Annotated[str, Meta(max_length=256)]
NumbersByName = Annotated[dict[Annotated[str, Meta(max_length=64)], float], Meta(max_length=256)]


class ClassRules(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A class's matching rule and times; effect, group, window, order and worth come from the settings."""

    name: Annotated[str, Meta(max_length=64)]
    methods: list[str]
    max_bytes: Annotated[int, Meta(ge=0, le=2**40)] | None = None
    aim_ms: Positive
    deadline_ms: Positive


class PlanRules(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A plan's weight and reserve (units per second); its limit and price come from the settings."""

    weight: Positive
    reserve: NonNegative = 0.0


class Rules(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The routing rules of one version."""

    classes: Annotated[list[ClassRules], Meta(min_length=1, max_length=64)]  # ordered as in the settings
    plans: Annotated[dict[str, PlanRules], Meta(max_length=256)]
    spill: NumbersByName = {}  # limits of each tier, for zone failover
    placement: NumbersByName = {}  # shares of new objects, for zone failover


class Document(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A version of the rules and the plan of its rollout."""

    version: Annotated[int, Meta(ge=1, le=65535)] = FORMAT_VERSION
    note: Text = ""
    rules: Rules
    course: RolloutPlan


_decoder = msgspec.json.Decoder(Document)


def read(data: bytes) -> Document:
    """Decode a document's JSON.

    Raises InvalidRulesError naming the field, UnknownRulesVersionError for a newer format version.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        raise InvalidRulesError(
            f"document has {len(data)} bytes; one decision carries at most {MAX_DOCUMENT_BYTES}"
        )
    try:
        document = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        try:
            untyped = msgspec.json.decode(data)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
            untyped = None
        version = untyped.get("version", FORMAT_VERSION) if isinstance(untyped, dict) else FORMAT_VERSION
        if not isinstance(version, int) or version <= FORMAT_VERSION:
            raise InvalidRulesError(f"document: {str(error)[:300]}") from None
    else:
        if document.version <= FORMAT_VERSION:
            return document
        version = document.version
    raise UnknownRulesVersionError(
        f"document has format version {version}; this program reads version {FORMAT_VERSION}"
    )


def canonical(document: Document) -> bytes:
    """Return a document's canonical JSON, which is the same for equal content in any notation."""
    # Decoding converts integers in float fields to floats, so that 1 and 1.0 encode alike.
    return msgspec.json.encode(_decoder.decode(msgspec.json.encode(document)), order="sorted")


def of_settings(settings: Gateway, course: RolloutPlan, note: str = "") -> Document:
    """Return a document with the settings' own rules, as a starting point for changes."""
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


def _apply_rules(rules: Rules, settings: Gateway) -> Gateway:
    """Return the settings with these rules instead of their own.

    Raises InvalidRulesError, IncompatibleRulesError naming the field.
    """
    expected_names = [c.name for c in settings.classes]
    names = [c.name for c in rules.classes]
    if names != expected_names:
        raise IncompatibleRulesError(
            f"rules.classes: {names} must be the classes of the settings in the same order, {expected_names}"
        )
    if sorted(rules.plans) != sorted(settings.plans):
        expected_plans = sorted(settings.plans)
        raise IncompatibleRulesError(
            f"rules.plans: {sorted(rules.plans)} must be the plans of the settings, {expected_plans}"
        )
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
    except ValueError as error:
        raise InvalidRulesError(f"rules.{error}") from None


def compare(good: Gateway, rules: Rules, settings: Gateway) -> Gateway:
    """Return the settings with a candidate's rules, if it may be active together with `good`.

    A candidate is refused where both versions would give different values to something that safety relies on:
    a method (of some size) whose class has another effect, group, window or order.  Also refused are
    deadlines longer than keys are remembered, or longer than any request may take.  Reserves may differ:
    while both are active, the lower of both applies (`Tables`).  Limits, shards and windows are not part of
    a document.

    Raises InvalidRulesError, IncompatibleRulesError, naming the field.
    """
    candidate = _apply_rules(rules, settings)
    max_wait_ms = settings.front.longest_wait_s * 1000
    for index, cls in enumerate(candidate.classes):
        place = f"rules.classes[{index}].deadline_ms"
        if cls.deadline_ms > max_wait_ms:
            raise InvalidRulesError(
                f"{place}: {cls.deadline_ms:g} is above front.longest_wait_s ({max_wait_ms:g} ms)"
            )
        if cls.effect == "keyed" and cls.deadline_ms > settings.front.key_memory_ms:
            raise IncompatibleRulesError(
                f"{place}: {cls.deadline_ms:g} is above front.key_memory_ms; keys would expire first"
            )
        if cls.aim_ms > cls.deadline_ms:
            raise InvalidRulesError(f"rules.classes[{index}].aim_ms: {cls.aim_ms:g} is above deadline_ms")
    for method, size in _sample_operations(good, candidate):
        good_class, new_class = (s.classes[s.class_of(method, size)] for s in (good, candidate))
        for field in ("effect", "group", "repeat_window_ms", "in_turn"):
            if getattr(good_class, field) != getattr(new_class, field):
                size_text = "of any size" if size is None else f"of {size} bytes"
                raise IncompatibleRulesError(
                    f"rules.classes: {method} {size_text} is in class {new_class.name!r} with {field} "
                    f"{getattr(new_class, field)!r}; the good version has {getattr(good_class, field)!r}"
                )
    return candidate


def _sample_operations(good: Gateway, candidate: Gateway) -> Iterator[tuple[str, int | None]]:
    """Yield each method with a size from every range in which neither version changes its class."""
    ends = {c.max_bytes for s in (good, candidate) for c in s.classes if c.max_bytes is not None}
    sizes: list[int | None] = [None, 0, *sorted(ends), *sorted(e + 1 for e in ends)]
    for method in METHODS:
        for size in sizes:
            yield method, size


@dataclass(frozen=True, slots=True)
class Version:
    """A version of the rules in a process's tables: settings, and offsets of its classes and plans."""

    settings: Gateway
    digest: str = ""  # "": the rules of the settings
    classes_at: int = 0
    plans_at: int = 0


class Tables:
    """The versions of the rules that one process holds, in slots.

    Slot 0 always holds the settings' own rules.  A slot is reused only after its version was unused for
    longer than any request can take.  With no slot free, a new document is refused and the process continues
    with the versions that it holds.
    """

    def __init__(self, settings: Gateway, slots: int = MAX_VERSIONS) -> None:
        """Hold only the settings' own rules; `slots` is the number of versions that fit."""
        self.settings = settings
        self.own = Version(settings)
        self.slots: list[Version | None] = [self.own, *[None] * (slots - 1)]
        self.last_active_ms: list[float] = [0.0] * slots  # by slot
        self.used = 1  # slots included in the tables; never decreases
        self.reserves: dict[str, dict[str, float]] = {}  # by digest and plan, while two versions are active
        self.keep_ms = settings.front.longest_wait_s * 1000 + SLOT_REUSE_DELAY_MS

    def get(self, digest: str) -> Version | None:
        """Return the version with this digest, None if it is not held; "" is the settings' own."""
        return next((v for v in self.slots if v is not None and v.digest == digest), None)

    def held(self) -> tuple[str, ...]:
        """Return the digests of all versions held, without the settings' own."""
        return tuple(v.digest for v in self.slots[1:] if v is not None)

    def check(self, data: bytes, good: str) -> tuple[bytes, RolloutPlan]:
        """Return a new document's canonical JSON and rollout plan, if it is compatible with the good version.

        Raises InvalidRulesError, UnknownRulesVersionError, IncompatibleRulesError.
        """
        document, good_version = read(data), self.get(good)
        if good_version is None:
            raise InvalidRulesError(
                f"the good version {good} is not known to this process yet; try again later"
            )
        compare(good_version.settings, document.rules, self.settings)
        encoded = canonical(document)
        if len(encoded) > MAX_DOCUMENT_BYTES:
            raise InvalidRulesError(
                f"document has {len(encoded)} bytes; one decision carries at most {MAX_DOCUMENT_BYTES}"
            )
        return encoded, document.course

    def course(self, data: bytes) -> RolloutPlan:
        """Return a document's rollout plan.  Raises InvalidRulesError, UnknownRulesVersionError."""
        return read(data).course

    def aim_ms(self, version: Version, cls: int) -> float:
        """Return the latency objective of a class, given its index in one version."""
        return version.settings.classes[cls].aim_ms

    def hold(self, now: float, documents: dict[str, bytes], good: str) -> list[str]:
        """Hold these documents, given by digest; `good` is the digest of the good version.  `now` is in ms.

        While several versions are active, the reserve of each plan is the lowest of theirs.  Returns a text
        with the reason for each document that could not be held.
        """
        problems = []
        for digest, data in sorted(documents.items(), key=lambda item: item[0] != good):
            if self.get(digest) is None:
                good_version = self.get(good) or self.own
                try:
                    self._assign_slot(
                        now, digest, compare(good_version.settings, read(data).rules, self.settings)
                    )
                except (InvalidRulesError, UnknownRulesVersionError, IncompatibleRulesError) as error:
                    problems.append(f"{digest}: {error.text}")
        good = good if self.get(good) is not None else ""
        active = [v for v in self.slots if v is not None and (v.digest in documents or v.digest == good)]
        for index, slot in enumerate(self.slots):
            if slot is not None and (slot in active or index == 0):
                self.last_active_ms[index] = now
        self.reserves = {}
        if len(active) > 1:
            lowest = {n: min(v.settings.plans[n].reserve for v in active) for n in self.settings.plans}
            self.reserves = {v.digest: lowest for v in active}
        return problems

    def _assign_slot(self, now: float, digest: str, settings: Gateway) -> None:
        for index in range(1, len(self.slots)):
            if self.slots[index] is None or now >= self.last_active_ms[index] + self.keep_ms:
                self.slots[index] = Version(
                    settings, digest, index * len(settings.classes), index * len(settings.plans)
                )
                self.used = max(self.used, index + 1)
                return
        raise InvalidRulesError(
            f"all {len(self.slots)} places are in use; each is freed {self.keep_ms:g} ms after its last use"
        )

    def rows(self, base: interface.Settings) -> interface.Settings:
        """Return `base` with the classes and plans of all versions, in the order of their slots."""
        classes: list[interface.RequestClass] = []
        plans: list[interface.Plan] = []
        for version in self.slots[: self.used]:
            # An empty slot gets the settings' own rows, so that the rows of later slots do not move.
            converted = interface_settings((version or self.own).settings)
            reserves = self.reserves.get(version.digest) if version is not None else None
            classes += converted.classes
            for name, plan in zip(sorted(self.settings.plans), converted.plans, strict=True):
                plans.append(replace(plan, reserve=reserves[name]) if reserves is not None else plan)
        return replace(base, classes=tuple(classes), plans=tuple(plans))

    def told(self, request_class: int, plan: int) -> tuple[str, int, int]:
        """Return the digest of the version of a class, and the indexes of class and plan in that version."""
        slot, cls = divmod(request_class, len(self.settings.classes))
        version = self.slots[slot]
        return version.digest if version is not None else "", cls, plan % len(self.settings.plans)

    def places(self) -> dict[str, tuple[int, int]]:
        """Return the offsets of each version's classes and plans in the tables, by digest."""
        return {v.digest: (v.classes_at, v.plans_at) for v in self.slots if v is not None}


def digest(document: Document) -> str:
    """Return the digest that identifies a document."""
    return document_digest(canonical(document))
