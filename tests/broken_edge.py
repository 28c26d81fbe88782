"""An edge that is broken on purpose, as a process: it takes a node's answer to a PUT for a refusal."""

from dataclasses import replace

from cressrock.cli.main import app
from cressrock.dispatch.node_client import NodeClient

exchange = NodeClient.exchange


async def misread(self, node, op, extra, progress, *, may_stream):
    reply, payload = await exchange(self, node, op, extra, progress, may_stream=may_stream)
    if op.method == b"PUT":
        reply = replace(reply, status=503, headers=[*reply.headers, (b"retry-after", b"1")])
    return reply, payload


NodeClient.exchange = misread

if __name__ == "__main__":
    app()
