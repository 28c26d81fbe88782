"""Maps a storage server's reply to the outcome of the attempt.  Pure; nothing here can be configured.

An array is an answer: the value, the usage fields or null, the load report or null.  `-BUSY` proves that the
request never ran.  After any other error line, or a reply that cannot be read, the request may have run.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from cressrock.interface import Outcome
from cressrock.resp.codec import ErrorReply, Reply

_USAGE_FIELD = re.compile(r"(?:^|[ ,])(used|cost)=([0-9]{1,9}(?:\.[0-9]{1,6})?)(?=$|[ ,])")


@dataclass(slots=True)
class Answer:
    """A storage server's reply to a request; see `parse_outcome` and `parse_load` for the fields."""

    outcome: Outcome
    value: bytes | None
    text: str
    used: int
    units_elsewhere: float
    is_malformed: bool  # complete, but not a reply that a server may send


def parse_answer(reply: Reply) -> Answer:
    """Return a reply as an answer."""
    outcome, value, text = parse_outcome(reply)
    used, units_elsewhere = parse_load(reply)
    is_malformed = outcome is Outcome.ERROR and not isinstance(reply, ErrorReply)
    return Answer(outcome, value, text, used, units_elsewhere, is_malformed)


def parse_outcome(reply: Reply) -> tuple[Outcome, bytes | None, str]:
    """Return the outcome, the value (only with OK), and a text for the log (empty with OK)."""
    if isinstance(reply, list):
        if len(reply) == 3 and isinstance(reply[0], bytes):
            return Outcome.OK, reply[0], ""
        return Outcome.ERROR, None, "an answer without value"
    if isinstance(reply, ErrorReply):
        if reply.text.split(" ", 1)[0] == "BUSY":
            return Outcome.FULL, None, reply.text
        return Outcome.ERROR, None, reply.text
    return Outcome.ERROR, None, "a reply that is no answer"


def parse_load(reply: Reply) -> tuple[int, float]:
    """Return (used, units_elsewhere) as the scheduler counts them: 1 + percent of the plan's rate, and units.

    0 means not reported.  A field that cannot be parsed counts as not reported, so that a bad load report
    does not fail the client's request.
    """
    if isinstance(reply, list):
        usage = reply[1] if len(reply) > 1 else None
        text = usage.decode("ascii", "replace") if isinstance(usage, bytes) else ""
    elif isinstance(reply, ErrorReply):
        text = reply.text
    else:
        text = ""
    if len(text) > 256:
        return 0, 0.0
    fields = dict(_USAGE_FIELD.findall(text))
    used = int(float(fields["used"])) + 1 if "used" in fields else 0
    return used, float(fields.get("cost", 0))
