"""A deliberately faulty edge process: it treats a node's answer to a PUT as a 503 rejection."""

from dataclasses import replace

from cressrock.cli.main import app
from cressrock.dispatch.node_client import NodeClient

exchange = NodeClient.exchange


async def exchange_and_reject_puts(self, node, op, extra, progress, *, may_stream):
    reply, payload = await exchange(self, node, op, extra, progress, may_stream=may_stream)
    if op.method == b"PUT":
        reply = replace(reply, status=503, headers=[*reply.headers, (b"retry-after", b"1")])
    return reply, payload


NodeClient.exchange = exchange_and_reject_puts

if __name__ == "__main__":
    app()
