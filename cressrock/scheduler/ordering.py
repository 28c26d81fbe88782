"""Per-key ordering: requests of an ordered class with the same key run one at a time, in arrival order."""

from __future__ import annotations

from cressrock.scheduler.request import Request


class KeyQueue:
    """Open requests with one key, in arrival order."""

    def __init__(self) -> None:
        """Start empty and not paused."""
        self.requests: list[Request] = []
        self.paused_until_ms = 0.0


class KeyOrder:
    """The queues of all keys that have open requests or are paused."""

    def __init__(self) -> None:
        """Start without keys."""
        self.keys: dict[str, KeyQueue] = {}

    def add(self, request: Request) -> None:
        """Queue a request behind the earlier ones with its key."""
        self.keys.setdefault(request.arrival.key, KeyQueue()).requests.append(request)

    def may_run(self, request: Request, now_ms: float) -> bool:
        """Return whether a request is first for its key; a pause of the key blocks only first attempts."""
        key = self.keys[request.arrival.key]
        return key.requests[0] is request and (request.attempts > 0 or now_ms >= key.paused_until_ms)

    def pause(self, request: Request, until_ms: float) -> None:
        """Pause the key after an attempt ended that may still run on the node."""
        key = self.keys.get(request.arrival.key)
        if key is not None:
            key.paused_until_ms = until_ms

    def remove(self, request: Request) -> None:
        """Remove a finished request, so that the next one can run."""
        key = self.keys.get(request.arrival.key)
        if key is not None and request in key.requests:
            key.requests.remove(request)

    def drop_unused(self, now_ms: float) -> None:
        """Drop keys without open requests whose pause is over."""
        for name in [n for n, key in self.keys.items() if not key.requests and key.paused_until_ms <= now_ms]:
            del self.keys[name]
