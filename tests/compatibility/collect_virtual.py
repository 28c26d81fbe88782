"""An event loop with virtual time, for the recorded simulations of evidence channels."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import anyio

_T = TypeVar("_T")


class _Selector(selectors.DefaultSelector):
    """A selector that never blocks; it advances the loop's clock by the time it would have waited."""

    def __init__(self) -> None:
        """Start the virtual clock at 0 s."""
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return the ready events; if there are none, advance the clock by `timeout` seconds."""
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
    """Return the loop's time in ms, rounded so that it does not depend on how many steps were summed."""
    return round(asyncio.get_running_loop().time() * 1000, 3)


def run(main: Callable[[], Coroutine[Any, Any, _T]]) -> _T:
    """Run an asynchronous function in a new event loop with virtual time and return its result."""
    return anyio.run(main, backend="asyncio", backend_options={"loop_factory": _Loop})
