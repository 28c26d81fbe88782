"""Join at one gateway, go on at another by the token.  Usage: resume.py ROOM FIRST_ADMIN SECOND_ADMIN"""

import sys

import anyio

from cressrock.presence import Presence


async def main(room: str, first: str, second: str) -> None:
    """Join, resume elsewhere, leave there."""
    async with Presence.connect(first) as one, Presence.connect(second) as other:
        joined = await one.join(room, data=b"on the way")
        print(f"joined at {joined.gateway}: {joined.member}")
        resumed = await other.resume(joined.token)
        print(f"resumed at {resumed.gateway}: {resumed.member}, {len(resumed.members)} there")
        await resumed.leave()


if __name__ == "__main__":
    anyio.run(main, *sys.argv[1:4])
