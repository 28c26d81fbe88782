"""Hold a name in a room alone, for a while.  Usage: agreed.py ROOM NAME ADMIN_ADDRESS..."""

import sys

import anyio

from cressrock.errors.presence import NameHeldError
from cressrock.presence import Presence


async def main(room: str, name: str, addresses: list[str]) -> None:
    """Two sessions want one name: the second has to take it, with a greater token."""
    async with Presence.connect(*addresses) as presence:
        first = await presence.join(room, meaning="agreed", name=name)
        assert first.agreed_name is not None
        print(f"{first.member} holds {name} by token {first.agreed_name.number}")
        second = await presence.join(room)
        try:
            await second.agreed(name)
        except NameHeldError as held:
            print(f"refused: {held.text}")
        taken = await second.agreed(name, take=True)
        print(f"{second.member} holds {name} by token {taken.number}, greater: "
              f"{taken.number > first.agreed_name.number}")  # fmt: skip
        await first.leave()
        await second.leave()


if __name__ == "__main__":
    anyio.run(main, sys.argv[1], sys.argv[2], sys.argv[3:])
