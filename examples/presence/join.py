"""Join a room, say who is there, leave.  Usage: join.py ROOM ADMIN_ADDRESS... [--near]"""

import sys

import anyio

from cressrock.presence import Presence


async def main(room: str, addresses: list[str], meaning: str) -> None:
    """Join and list."""
    async with Presence.connect(*addresses) as presence:
        joined = await presence.join(room, meaning=meaning, data=b"joined by the example")
        print(f"joined {joined.path} at {joined.gateway}, meaning {joined.meaning}: {joined.member}")
        for member in joined.members.values():
            print(
                f"  {member.member} at {member.gateway}{'' if member.sure else ' (unsure)'}: {member.data!r}"
            )
        for gateway in joined.not_heard:
            print(f"  not heard: {gateway.gateway}, {gateway.why}, since {gateway.since_ms_ago} ms")
        await joined.leave()


if __name__ == "__main__":
    arguments = [word for word in sys.argv[1:] if word != "--near"]
    anyio.run(main, arguments[0], arguments[1:], "near" if "--near" in sys.argv else "here")
