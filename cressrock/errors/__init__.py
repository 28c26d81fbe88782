"""Error types: each has a code and a remedy for the operator.

Each package's errors are in a module of this package.  docs/errors.md lists them all; `python -m
cressrock.errors` generates that page, and a test compares the two.  No module here imports other parts of the
program.
"""

from __future__ import annotations

from typing import ClassVar


class CressrockError(Exception):
    """Base class of all error types.

    The class attribute `code` identifies the type and never changes; `remedy` is advice to operators.
    The text of an instance describes the failure.  `str` returns text, code and remedy in one line.
    """

    code: ClassVar[str] = "error"
    remedy: ClassVar[str] = "look at the log lines before this one"

    def __init__(self, text: str) -> None:
        """`text` names what failed, where and with which value."""
        super().__init__(text)
        self.text = text

    def __str__(self) -> str:
        """Return text, code and remedy, as printed and logged."""
        return f"{self.text} [{self.code}: {self.remedy}]"

    def fields(self) -> dict[str, str]:
        """Return code, text and remedy under the field names of a log line."""
        return {"error": self.code, "text": self.text, "remedy": self.remedy}


def known() -> list[type[CressrockError]]:
    """Return every error type whose module is imported, sorted by code."""
    types: list[type[CressrockError]] = []
    unvisited = [CressrockError]
    while unvisited:
        for kind in unvisited.pop().__subclasses__():
            types.append(kind)
            unvisited.append(kind)
    return sorted(types, key=lambda kind: kind.code)
