"""Payloads in memory and in temporary files, beside disks that hang, are full or fail."""

import errno
import os
import threading

import anyio
import pytest

from cressrock.dispatch import spill_file
from cressrock.dispatch.operation import PayloadTruncatedError
from cressrock.dispatch.spill_file import ThreadCalls
from cressrock.dispatch.spool import PayloadStore, Spool
from tests.rig import run as run_with_rig

CHUNK = bytes(range(256)) * 16
TIMEOUT_S = 30  # only ends a test that hangs


def run(program):
    async def bounded():
        with anyio.fail_after(TIMEOUT_S):
            await program()

    anyio.run(bounded)


def small_store():
    """Return a store whose payloads of more than two chunks are written to files, by threads."""
    return PayloadStore(memory_bytes=1 << 20, spill_bytes=2 * len(CHUNK), blocking_calls=ThreadCalls())


async def read_whole(spool):
    data = b""
    while chunk := await spool.read_chunk(len(data)):
        data += chunk
    return data


class Disk:
    """A disk whose writes hang until they may end."""

    def __init__(self, monkeypatch):
        self.begun = threading.Event()
        self.may_end = threading.Event()
        self.handles = []
        self._write = os.pwrite
        monkeypatch.setattr(spill_file.os, "pwrite", self.pwrite)

    def pwrite(self, handle, data, offset):
        self.handles.append(handle)
        self.begun.set()
        assert self.may_end.wait(TIMEOUT_S)
        return self._write(handle, data, offset)

    async def has_begun(self):
        assert await anyio.to_thread.run_sync(self.begun.wait, TIMEOUT_S)

    async def is_released(self):
        """Wait until the file of the last write is closed."""
        while True:
            try:
                os.fstat(self.handles[-1])
            except OSError:
                return
            await anyio.sleep(0.001)


async def append(spool, *chunks):
    for chunk in chunks:
        await spool.append(chunk)


def test_a_payload_is_read_whole_by_several_readers_while_it_is_written():
    async def program():
        spool, found = Spool(small_store(), None), []

        async def read():
            found.append(await read_whole(spool))

        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(read)
            for number in range(20):
                await spool.append(bytes([number]) + CHUNK)
            spool.finish()
        assert found == [b"".join(bytes([number]) + CHUNK for number in range(20))] * 3
        assert spool.store.spilled_payloads == 1
        assert spool.store.memory_used_bytes == 0
        spool.close()

    run(program)


def test_a_disk_that_hangs_holds_up_its_payload_alone(monkeypatch):
    """Regression: payloads were written in the event loop, and no client was answered meanwhile."""

    async def program():
        store, disk = small_store(), Disk(monkeypatch)
        large, small = Spool(store, None), Spool(store, None)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(append, large, CHUNK, CHUNK, CHUNK)
            await disk.has_begun()
            await small.append(CHUNK)
            small.finish()
            assert await read_whole(small) == CHUNK
            # What is not written yet is read from memory.
            assert await large.read_chunk(0) == CHUNK
            disk.may_end.set()
        assert large.size == 3 * len(CHUNK)
        large.close()
        await disk.is_released()

    run(program)


def test_whoever_is_cancelled_does_not_wait_for_a_disk_and_the_file_is_closed_after_its_last_use(monkeypatch):
    async def program():
        spool, disk = Spool(small_store(), None), Disk(monkeypatch)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(append, spool, CHUNK, CHUNK, CHUNK)
            await disk.has_begun()
            tasks.cancel_scope.cancel()
        spool.close()
        os.fstat(disk.handles[-1])  # another file must not get the handle while it is written to
        disk.may_end.set()
        await disk.is_released()
        assert spool.store.memory_used_bytes == 0

    run(program)


def test_a_payload_that_is_closed_while_it_is_written_ends_for_its_writer_and_its_readers(monkeypatch):
    async def program():
        spool, disk = Spool(small_store(), None), Disk(monkeypatch)
        ended = []

        async def write():
            with pytest.raises(OSError, match="closed"):
                await append(spool, CHUNK, CHUNK, CHUNK)
            ended.append("writer")

        async def read():
            with pytest.raises(PayloadTruncatedError):
                await spool.read_chunk(2 * len(CHUNK))
            ended.append("reader")

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write)
            tasks.start_soon(read)
            await disk.has_begun()
            spool.close()
            disk.may_end.set()
        assert sorted(ended) == ["reader", "writer"]
        await disk.is_released()

    run(program)


def test_a_full_disk_is_an_error_of_its_payload(monkeypatch):
    def full(*_args):
        raise OSError(errno.ENOSPC, "no space left")

    async def program():
        spool = Spool(small_store(), None)
        monkeypatch.setattr(spill_file.os, "pwrite", full)
        with pytest.raises(OSError, match="no space left"):
            await append(spool, CHUNK, CHUNK, CHUNK)
        assert spool.size == 2 * len(CHUNK)
        spool.close()
        assert spool.store.memory_used_bytes == 0

    run(program)


class HungCalls:
    """Calls that never end."""

    async def run(self, _call):
        await anyio.sleep_forever()

    def start(self, call):
        call()


@pytest.mark.parametrize("size", [2000, 200_000], ids=["gathered", "streamed"])
def test_a_request_whose_payload_waits_for_a_disk_is_answered_in_time_and_others_are_served(size):
    """A small payload, which is read whole first, waits for a disk where the memory of all is in use."""

    async def program(rig):
        assert (await rig.ask("PUT", "/demo/other", b"x")).status == 201
        store = rig.gateway.payload_store
        store.blocking_calls, store.memory_bytes = HungCalls(), 0
        found = []

        async def put():
            found.append(await rig.ask("PUT", "/demo/large", b"y" * size))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(put)
            await anyio.sleep(0.1)
            assert (await rig.ask("GET", "/demo/other")).body == b"x"
        assert found[0].status in (503, 504)
        assert rig.gateway.driver.ledger.entries == {}

    run_with_rig(program)
