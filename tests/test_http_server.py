"""The HTTP server over loopback sockets: one client must not keep others from their answers."""

import socket

import anyio

from cressrock import net
from cressrock.http.server import Server, ServerBounds

PIPELINED = 1500  # requests of one client, all in the kernel before the event loop runs


def request(target):
    return b"GET %b HTTP/1.1\r\nHost: gw\r\n\r\n" % target


def test_requests_of_one_client_at_full_speed_leave_turns_to_others():
    """Regression (issue 61, picture (b)): all that a read had brought was answered in one turn."""
    targets = []

    async def main():
        all_answered = anyio.Event()

        async def handle(exchange):
            targets.append(exchange.head.target)
            await exchange.respond(404, [], b"")
            if len(targets) == PIPELINED + 1:
                all_answered.set()

        server = Server(handle, ServerBounds(), max_connections=10, failed=print)
        async with anyio.create_task_group() as tasks:
            address, _ = await net.listen("127.0.0.1:0", server.serve, tasks)
            with socket.socket() as crowd, socket.socket() as other:
                for client, data in ((crowd, request(b"/many") * PIPELINED), (other, request(b"/one"))):
                    client.connect(("127.0.0.1", int(address.rpartition(":")[2])))
                    client.sendall(data)
                await all_answered.wait()
            tasks.cancel_scope.cancel()

    anyio.run(main)
    assert targets.index(b"/one") < PIPELINED / 10
    assert targets.count(b"/many") == PIPELINED
