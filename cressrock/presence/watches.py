"""Long polls: local requests that wait for a room's members or its next event."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from contextlib import contextmanager

import anyio

from cressrock.errors.presence import PresenceLimitError
from cressrock.presence.environment import ServiceContext
from cressrock.presence.view import RoomView


class Watches:
    """The requests that wait for events, by room, and the number of watchers."""

    def __init__(self, context: ServiceContext) -> None:
        """`context` supplies the rooms, the clock and the settings."""
        self.watchers = 0
        self._settings, self._context = context.settings, context
        self._waiting: dict[str, list[anyio.Event]] = {}

    def notify(self, rooms: Iterable[str]) -> None:
        """Wake all requests that wait for events of these rooms."""
        for room in rooms:
            for event in self._waiting.pop(room, ()):
                event.set()

    def check_capacity(self) -> None:
        """Raise PresenceLimitError if there are `max_watchers` watchers already."""
        if self.watchers >= self._settings.max_watchers:
            raise PresenceLimitError(
                f"limit of {self._settings.max_watchers} concurrent watchers reached (presence.max_watchers)"
            )

    @contextmanager
    def watching(self, view: RoomView) -> Iterator[None]:
        """Count a watcher of a room; a view with watchers is not closed."""
        self.watchers += 1
        view.watchers += 1
        try:
            yield
        finally:
            self.watchers -= 1
            view.watchers -= 1
            waiting = self._waiting.get(view.room)
            if waiting is not None:
                waiting[:] = [event for event in waiting if not event.is_set()]

    async def wait_for_events(self, room: str, timeout_ms: float) -> None:
        """Wait until a room's feed has changed, for at most `timeout_ms`."""
        event = anyio.Event()
        self._waiting.setdefault(room, []).append(event)
        with anyio.move_on_after(timeout_ms / 1000):
            await event.wait()

    async def synced_view(self, room: str) -> RoomView:
        """Return the view of a room once all followed gateways are in sync, or after `sync_ms`.

        Raises PresenceLimitError if too many rooms are followed.
        """
        context = self._context
        view = context.rooms.open_view(context.now_ms(), room)
        context.carry_out()
        if view.pending_gateways():
            context.wake()
            view.watchers += 1
            try:
                with anyio.move_on_after(self._settings.sync_ms / 1000):
                    while view.pending_gateways():
                        await anyio.sleep(self._settings.tell_ms / 1000)
            finally:
                view.watchers -= 1
        return view
