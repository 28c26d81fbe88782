"""How a storage server's reply reads as an outcome.  Pure, and a fixed reading: no tuned choice.

An array is an answer: the value, the figures on use or null, the load report or null.  `-BUSY` proves that
the request never ran.  Everything else may have run: an error line, and whatever cannot be read.
"""

from __future__ import annotations

import re

from cressrock.interface import Outcome
from cressrock.resp.codec import ErrorLine, Reply

_FIGURE = re.compile(r"(?:^|[ ,])(used|cost)=([0-9]{1,9}(?:\.[0-9]{1,6})?)(?=$|[ ,])")


def outcome_of(reply: Reply) -> tuple[Outcome, bytes | None, str]:
    """Return the outcome, the value with OK, and a text for the log with all others."""
    if isinstance(reply, list):
        if len(reply) == 3 and isinstance(reply[0], bytes):
            return Outcome.OK, reply[0], ""
        return Outcome.ERROR, None, "an answer without value"
    if isinstance(reply, ErrorLine):
        if reply.text.split(" ", 1)[0] == "BUSY":
            return Outcome.FULL, None, reply.text
        return Outcome.ERROR, None, reply.text
    return Outcome.ERROR, None, "a reply that is no answer"


def load_of(reply: Reply) -> tuple[int, float]:
    """Return (used, elsewhere) as the scheduler counts them: 1 + percent of the plan's rate, and units.

    0 stands for untold.  A figure that cannot be read counts as none: it must not cost a client its answer.
    """
    if isinstance(reply, list):
        told = reply[1] if len(reply) > 1 else None
        text = told.decode("ascii", "replace") if isinstance(told, bytes) else ""
    elif isinstance(reply, ErrorLine):
        text = reply.text
    else:
        text = ""
    if len(text) > 256:
        return 0, 0.0
    figures = dict(_FIGURE.findall(text))
    used = int(float(figures["used"])) + 1 if "used" in figures else 0
    return used, float(figures.get("cost", 0))
