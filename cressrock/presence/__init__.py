"""Presence and rooms: who is there, over all gateways.  For programs, the client library:

    async with Presence.connect("127.0.0.1:9901", "127.0.0.1:9902") as presence:
        room = await presence.join("docs/handbook", meaning="near", data=b"chapter 3")
        async for event in room.watch():
            print(event.event, event.member)

It speaks the JSON of a gateway's admin port (`docs/presence.md`).  Every answer has a stated meaning:
`here`, `near` or `agreed`; what is not sure says so; after an event `resync` the room's `members` are a new
snapshot. Errors are those of `cressrock.errors.presence`, by the gateway's own words;
GatewayUnreachableError where none came.
"""

from cressrock.presence.client import Agreed, Event, Member, NotHeard, Presence, Room

__all__ = ["Agreed", "Event", "Member", "NotHeard", "Presence", "Room"]
