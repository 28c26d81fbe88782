"""Presence and rooms: which members are connected, over all gateways.  Use of the client library:

    async with Presence.connect("127.0.0.1:9901", "127.0.0.1:9902") as presence:
        room = await presence.join("docs/handbook", meaning="near", data=b"chapter 3")
        async for event in room.watch():
            print(event.event, event.member)

It uses the JSON API of a gateway's admin port (`docs/presence.md`).  Every answer states its level of
agreement (`here`, `near` or `agreed`) and marks members and gateways whose state is uncertain.  After a
`resync` event the room's `members` are a new snapshot.  Errors are those of `cressrock.errors.presence` with
the text from the gateway's response; GatewayUnreachableError if no gateway responded.
"""

from cressrock.presence.client import Agreed, Event, Member, NotHeard, Presence, Room

__all__ = ["Agreed", "Event", "Member", "NotHeard", "Presence", "Room"]
