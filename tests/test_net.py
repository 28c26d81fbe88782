"""TCP listeners over loopback sockets."""

import asyncio

import anyio
import pytest
import uvloop

from cressrock import net


async def serve(_stream):
    """Serve nothing: the tests need a connection only."""


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run], ids=["asyncio", "uvloop"])
def test_a_connection_accepted_after_the_task_group_has_ended_is_closed(run):
    """Regression: a process that ended left a trace, and its peer waited for the end of the process."""

    async def scenario():
        reported = []
        asyncio.get_running_loop().set_exception_handler(lambda _loop, context: reported.append(context))
        async with anyio.create_task_group() as tasks:
            address, close = await net.listen("127.0.0.1:0", serve, tasks)
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        async with asyncio.timeout(30):  # only ends a test that hangs
            assert await reader.read() == b""
        assert not reported
        writer.close()
        await close()

    run(scenario())
