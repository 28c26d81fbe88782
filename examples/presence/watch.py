"""Print what changes in a room.  Usage: watch.py ROOM ADMIN_ADDRESS... [--events N]"""

import sys

import anyio

from cressrock.presence import Presence


async def main(room: str, addresses: list[str], max_events: int) -> None:
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
            if seen == max_events:
                break


if __name__ == "__main__":
    arguments = sys.argv[1:]
    events = 0
    if "--events" in arguments:
        index = arguments.index("--events")
        events = int(arguments[index + 1])
        del arguments[index : index + 2]
    anyio.run(main, arguments[0], arguments[1:], events)
