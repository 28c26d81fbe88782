"""Prints docs/errors.md from the error types: `python -m cressrock.errors > docs/errors.md`."""

from __future__ import annotations

import importlib
import pkgutil

import cressrock.errors as errors


def page() -> str:
    """Return the page that lists every error type."""
    for module in pkgutil.iter_modules(errors.__path__):
        if module.name != "__main__":
            importlib.import_module(f"cressrock.errors.{module.name}")
    lines = [
        "# Errors",
        "",
        "Every error of its own type, what it means, and what an operator can do. Written by",
        "`python -m cressrock.errors`; a test compares this page with the types.",
        "",
        "| code | what failed | what an operator can do |",
        "| --- | --- | --- |",
    ]
    for kind in errors.known():
        what = " ".join((kind.__doc__ or "").split("\n\n")[0].split())
        lines.append(f"| `{kind.code}` | {what} | {kind.remedy} |")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(page(), end="")
