"""Order per key: requests of an ordered class on one key run one at a time, in the order of their arrival."""

from __future__ import annotations

from cressrock.scheduler.request import Request


class KeyQueue:
    """Requests on one key, the one whose turn it is first."""

    def __init__(self) -> None:
        """Nobody waits, nothing rests."""
        self.requests: list[Request] = []
        self.rests_until_ms = 0.0


class KeyOrder:
    """The turns of all keys on which something is held or rests."""

    def __init__(self) -> None:
        """No key is in use."""
        self.keys: dict[str, KeyQueue] = {}

    def join(self, request: Request) -> None:
        """Queue a request behind the earlier ones on its key."""
        self.keys.setdefault(request.arrival.key, KeyQueue()).requests.append(request)

    def is_next(self, request: Request, now_ms: float) -> bool:
        """Whether a request is the first on its key, and the key does not rest before its first attempt."""
        key = self.keys[request.arrival.key]
        return key.requests[0] is request and (request.attempts > 0 or now_ms >= key.rests_until_ms)

    def rest(self, request: Request, until_ms: float) -> None:
        """Have the key rest: an attempt on it ended that may still run."""
        key = self.keys.get(request.arrival.key)
        if key is not None:
            key.rests_until_ms = until_ms

    def leave(self, request: Request) -> None:
        """Let a request that is over give way to the next one."""
        key = self.keys.get(request.arrival.key)
        if key is not None and request in key.requests:
            key.requests.remove(request)

    def forget_unused(self, now_ms: float) -> None:
        """Drop keys on which nothing is held and nothing rests."""
        for name in [n for n, key in self.keys.items() if not key.requests and key.rests_until_ms <= now_ms]:
            del self.keys[name]
