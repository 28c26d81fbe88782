"""Print what changes in a room.  Usage: watch.py ROOM ADMIN_ADDRESS... [--events N]"""

import sys

import anyio

from cressrock.presence import Presence


async def main(room: str, addresses: list[str], most: int) -> None:
    """Watch until so many events were seen (0: for ever)."""
    async with Presence.connect(*addresses) as presence:
        watched = await presence.room(room)
        print(f"watching {watched.path} at {watched.gateway}: {len(watched.members)} there", flush=True)
        seen = 0
        async for event in watched.watch():
            if event.event == "resync":
                print(f"resync: {len(watched.members)} there", flush=True)
            else:
                print(f"{event.event} {event.member or event.gateway} {event.why}".rstrip(), flush=True)
            seen += 1
            if seen == most:
                break


if __name__ == "__main__":
    given = sys.argv[1:]
    events = 0
    if "--events" in given:
        at = given.index("--events")
        events = int(given[at + 1])
        del given[at : at + 2]
    anyio.run(main, given[0], given[1:], events)
