"""Parsers and evaluation of request headers, without I/O: If (RFC 4918 section 10.4), ETags and dates
(RFC 9110 section 13), Range (section 14), Depth, Overwrite, Timeout, Lock-Token.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from datetime import UTC, datetime
from email.utils import format_datetime, parsedate_to_datetime

NO_LOCK = "DAV:no-lock"


class InvalidHeaderError(ValueError):
    """A header that cannot be parsed; the text names it."""


@dataclass(frozen=True, slots=True)
class Condition:
    """One condition: a state token or an entity tag, optionally negated."""

    negated: bool
    token: str = ""
    etag: str = ""


@dataclass(frozen=True, slots=True)
class StateList:
    """Conditions that must all hold for `resource`; None stands for the resource of the request."""

    resource: str | None
    conditions: tuple[Condition, ...]


@dataclass(frozen=True, slots=True)
class State:
    """A resource's current strong ETag (empty if it does not exist) and lock tokens."""

    etag: str
    tokens: frozenset[str]


_IF = re.compile(
    r"\s*(?:(?P<tag><[^<>\s]+>)|(?P<open>\()|(?P<close>\))|(?P<not>Not\b)"
    r"|\[(?P<etag>(?:W/)?\"[^\"\[\]]*\")\])",
    re.IGNORECASE,
)


def parse_if(value: str, *, max_lists: int = 64, max_conditions: int = 256) -> tuple[StateList, ...]:
    """Parse an If header whose lists are all tagged or all untagged; else raises InvalidHeaderError."""
    lists: list[StateList] = []
    resource: str | None = None
    open_list: list[Condition] | None = None
    negated = False
    total = position = 0
    tagged = False
    while position < len(value):
        match = _IF.match(value, position)
        if match is None:
            if value[position:].strip():
                raise InvalidHeaderError(f"If: cannot be read at character {position}")
            break
        position = match.end()
        token_kind = match.lastgroup
        if open_list is None:
            if token_kind == "tag":
                if lists and not tagged:
                    raise InvalidHeaderError("If: tagged and untagged lists are mixed")
                resource, tagged = match["tag"][1:-1], True
            elif token_kind == "open":
                open_list = []
            else:
                raise InvalidHeaderError("If: a list was expected")
            continue
        if token_kind == "close":
            if not open_list or negated:
                raise InvalidHeaderError("If: a list is empty or ends after Not")
            lists.append(StateList(resource, tuple(open_list)))
            open_list = None
            if len(lists) > max_lists:
                raise InvalidHeaderError(f"If: more than {max_lists} lists")
        elif token_kind == "not":
            if negated:
                raise InvalidHeaderError("If: Not is doubled")
            negated = True
        elif token_kind == "tag":
            open_list.append(Condition(negated, token=match["tag"][1:-1]))
            negated = False
        elif token_kind == "etag":
            open_list.append(Condition(negated, etag=match["etag"]))
            negated = False
        else:
            raise InvalidHeaderError("If: a list within a list")
        total += 1
        if total > max_conditions:
            raise InvalidHeaderError(f"If: more than {max_conditions} conditions")
    if open_list is not None or not lists:
        raise InvalidHeaderError("If: a list is not closed or missing")
    return tuple(lists)


def holds(lists: tuple[StateList, ...], states: dict[str | None, State]) -> bool:
    """Whether all conditions of at least one list hold; `states` has the state of each list's resource."""
    return any(_list_holds(state_list, states[state_list.resource]) for state_list in lists)


def _list_holds(state_list: StateList, state: State) -> bool:
    for condition in state_list.conditions:
        if condition.token:
            found = condition.token in state.tokens
        else:
            found = bool(state.etag) and condition.etag == state.etag
        if found is condition.negated:
            return False
    return True


def submitted(lists: tuple[StateList, ...]) -> frozenset[str]:
    """Return the lock tokens that a request submits in any of its lists (RFC 4918 section 6.4)."""
    return frozenset(
        c.token for state_list in lists for c in state_list.conditions if c.token and c.token != NO_LOCK
    )


def always_true_if(tokens: frozenset[str]) -> str:
    """Format an If header that submits the tokens and evaluates to true in any state."""
    return " ".join(f"(<{token}>)" for token in sorted(tokens)) + f" (Not <{NO_LOCK}>)"


# --- entity tags and dates


def etags(value: str) -> list[str]:
    """Split an If-Match or If-None-Match header into entity tags; ["*"] for a wildcard."""
    if value.strip() == "*":
        return ["*"]
    found = re.findall(r'(?:W/)?"[^"]*"', value)
    if not found:
        raise InvalidHeaderError("an entity tag was expected")
    return found


def precondition(method: str, headers: dict[str, str], etag: str, modified: datetime | None) -> int | None:
    """Evaluate preconditions in the order of RFC 9110 section 13.2.2; returns 304, 412 or None to proceed.

    `etag` is empty if the resource does not exist.
    """
    if (match := headers.get("if-match")) is not None:
        tags = etags(match)
        if not etag or (tags != ["*"] and etag not in tags):
            return 412
    elif (since := headers.get("if-unmodified-since")) is not None and modified is not None:
        limit = http_date(since)
        if limit is not None and modified > limit:
            return 412
    safe = method in ("GET", "HEAD")
    if (none := headers.get("if-none-match")) is not None:
        tags = [tag.removeprefix("W/") for tag in etags(none)]
        if etag and (tags == ["*"] or etag.removeprefix("W/") in tags):
            return 304 if safe else 412
    elif safe and (since := headers.get("if-modified-since")) is not None and modified is not None:
        limit = http_date(since)
        if limit is not None and modified <= limit:
            return 304
    return None


def http_date(value: str) -> datetime | None:
    """Parse an HTTP date; None if invalid, so that the header is ignored (RFC 9110 section 13.1.3)."""
    try:
        found = parsedate_to_datetime(value)
    except (TypeError, ValueError, OverflowError):
        return None
    return found if found.tzinfo else found.replace(tzinfo=UTC)


def write_date(when: datetime) -> str:
    """Format an HTTP date (IMF-fixdate)."""
    return format_datetime(when.astimezone(UTC).replace(microsecond=0), usegmt=True)


_RANGE = re.compile(r"bytes=(\d{0,18})-(\d{0,18})$")


def byte_range(value: str, size: int) -> tuple[int, int] | None:
    """Parse a single byte range into (first, one past the last), for a payload of `size` bytes.

    None if the header is to be ignored: another unit, several ranges, or invalid syntax.  Raises ValueError
    if the range cannot be satisfied (416).
    """
    match = _RANGE.match(value.strip())
    if match is None or match.group(0) == "bytes=-":
        return None
    first, last = match.groups()
    if not first:
        length = int(last)
        if length == 0 or size == 0:
            raise ValueError("not satisfiable")
        return max(0, size - length), size
    begin = int(first)
    end = int(last) if last else size - 1
    if last and end < begin:
        return None
    if begin >= size:
        raise ValueError("not satisfiable")
    return begin, min(end, size - 1) + 1


# --- Depth, Overwrite, Timeout, Lock-Token, Prefer


def depth(value: str | None, default: str) -> str:
    """Parse Depth into "0", "1" or "infinity"; raises InvalidHeaderError for other values."""
    found = default if value is None else value.strip().lower()
    if found not in ("0", "1", "infinity"):
        raise InvalidHeaderError(f"Depth: {value!r} is none of 0, 1, infinity")
    return found


def overwrite(value: str | None) -> bool:
    """Parse Overwrite, which defaults to T; raises InvalidHeaderError for values other than T and F."""
    found = "T" if value is None else value.strip().upper()
    if found not in ("T", "F"):
        raise InvalidHeaderError(f"Overwrite: {value!r} is neither T nor F")
    return found == "T"


def lock_seconds(value: str | None, *, longest: int) -> int:
    """Parse Timeout (RFC 4918 section 10.7): seconds of the first valid entry, at most `longest`."""
    for part in (value or "").split(","):
        part = part.strip()
        if part.lower() == "infinite":
            return longest
        if part.lower().startswith("second-") and part[7:].isdigit():
            return max(1, min(longest, int(part[7:][:10])))
    return longest


def coded_url(value: str, name: str) -> str:
    """Return the URL inside angle brackets; raises InvalidHeaderError, which names header `name`."""
    text = value.strip()
    if not (text.startswith("<") and text.endswith(">")) or len(text) < 3 or re.search(r"\s", text):
        raise InvalidHeaderError(f"{name}: <URL> was expected")
    return text[1:-1]


def wait_seconds(value: str | None) -> float | None:
    """Parse `wait=` of a Prefer header (RFC 7240 section 4.3) into seconds; None if absent or invalid."""
    for part in (value or "").split(","):
        name, _, figure = part.strip().partition("=")
        figure = figure.split(";")[0].strip().strip('"')
        if name.strip().lower() == "wait" and figure.isdigit() and len(figure) < 7:
            return float(figure)
    return None
