"""An event loop whose time passes without waiting, for recorded streams of the carriers."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import anyio

_T = TypeVar("_T")


class _Selector(selectors.DefaultSelector):
    """A selector that never waits: the time for which it would is added to the loop's clock."""

    def __init__(self) -> None:
        """Begin at 0 s."""
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Let `timeout` pass at once."""
        ready = super().select(0)
        if timeout is not None and timeout > 0 and not ready:
            self.now_s += timeout
        return ready


class _Loop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now_s


def now_ms() -> float:
    """Return the loop's time, rounded so that it does not depend on how often it was added up."""
    return round(asyncio.get_running_loop().time() * 1000, 3)


def run(main: Callable[[], Coroutine[Any, Any, _T]]) -> _T:
    """Run an asynchronous function in a loop of its own whose time does not wait; return its result."""
    return anyio.run(main, backend="asyncio", backend_options={"loop_factory": _Loop})
