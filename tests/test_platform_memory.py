"""What the platform's dispatcher holds for clients: with the order of events forced, and by plays."""

import asyncio
import signal
import sys
from dataclasses import replace

import pytest

from cressrock.dispatch.ledger import Verdict
from cressrock.lab.memory_drill import MemoryDrill, MemoryPlay, Requests, Trouble
from cressrock.lab.platform import answer
from cressrock.resp import codec
from cressrock.resp.client_connection import MAX_IMMEDIATE_BYTES
from cressrock.resp.codec import ErrorReply
from cressrock.resp.memory_account import MIB, MIN_STUCK_MS, MemoryBounds, ServiceRate
from cressrock.resp.memory_admission import SHORT_READ_BYTES, SMALL_INPUT_BYTES
from tests.test_platform import DISPATCHER_BYTES, async_test, read, request_id, running_program, write
from tests.test_platform_connections import as_client, connect_raw, front_client
from tests.test_platform_disconnects import LEAVING, disable_sweep

VALUE = b"v" * 65536


class Servers:
    """Two scripts: server 0 answers when it is told to, server 1 at once."""

    def __init__(self):
        self.withheld = []

    def slow(self, words):
        self.withheld.append(words[2])

    def quick(self, words):
        return answer(words[2] + VALUE)

    def answer_withheld(self, s):
        for writer in list(s.servers[0].open):
            if self.withheld:
                writer.write(answer(self.withheld.pop(0) + VALUE))


async def write_at_once(s, *, clients, writes, value):
    """Send writes to the quick server on several connections at once; fails unless all are served."""
    connected = [await s.client() for _ in range(clients)]
    for index, client in enumerate(connected):
        client.parser = codec.ReplyParser(1 << 20)
        client.send(*(write(100 * index + n, value, shard=1) for n in range(writes)))
    for index, client in enumerate(connected):
        for n in range(writes):
            assert await client.reply() == request_id(100 * index + n) + VALUE


def bound_memory(s, total_bytes):
    account = s.program.front.admission.account
    account.bounds = MemoryBounds.of_total(total_bytes)
    return account


@async_test
async def test_the_bound_of_a_program_under_test_does_not_depend_on_the_memory_of_the_test_process():
    """Regression: a worker that had run many tests left its program 2 MiB, and requests were refused."""
    async with running_program() as s:
        limit_bytes = int(s.program.config.memory_mb * MIB)
        bounds = MemoryBounds.of_process(limit_bytes, DISPATCHER_BYTES)
        assert s.program.front.admission.account.bounds == bounds


@async_test
async def test_answers_behind_a_hung_server_stay_within_the_bound_and_all_arrive():
    """Regression (review/2): answers that waited behind others had no bound, and the process was killed."""
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        account = bound_memory(s, 2 * MIB)
        client = await s.client()
        client.parser = codec.ReplyParser(1 << 20)
        numbers = range(1, 61)
        client.send(read(1), *(read(number, shard=1) for number in numbers[1:]))
        admission = s.program.front.admission
        await s.until(lambda: admission.waiting_count and not s.program.transport.active_count - 1)
        assert account.highest_bytes <= account.bounds.total_bytes
        assert len(s.servers[1].seen) < len(numbers) / 2  # the others wait for room, unsent
        servers.answer_withheld(s)
        for number in numbers:
            assert await client.reply() == request_id(number) + VALUE
        assert account.highest_bytes <= account.bounds.total_bytes
        assert admission.waiting_count == 0
        assert account.waiting_bytes == 0


@async_test
async def test_one_connection_leaves_room_for_the_requests_of_others():
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        bound_memory(s, 4 * MIB)
        crowd, other = await s.client(), await s.client()
        crowd.send(read(1), *(read(number, shard=1) for number in range(2, 61)))
        await s.until(lambda: s.program.front.admission.waiting_count)
        other.parser = codec.ReplyParser(1 << 20)
        for number in range(100, 110):
            assert await other.ask(read(number, shard=1)) == request_id(number) + VALUE


@async_test
async def test_the_beginnings_of_many_commands_do_not_fill_the_memory():
    """Regression: 16 KiB of each connection's next command were read while there was no room for any."""
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        account, front = bound_memory(s, 2 * MIB), s.program.front
        taken = account.bounds.max_bytes // 2 + 1
        account.change(taken)
        clients = [await s.client() for _ in range(64)]
        for number, client in enumerate(clients):
            client.send(write(number, VALUE, shard=0))
        await s.until(lambda: front.admission.counts.paused + len(servers.withheld) >= len(clients))
        held_by_input = sum(client.input_bytes for client in front.clients)
        assert held_by_input <= len(clients) * SHORT_READ_BYTES


async def stop_half_way(s, *, clients, size=60_000):
    """Let clients send half of a large write each and stay; return when the front has read what it will."""
    front = s.program.front
    connected = [await s.client() for _ in range(clients)]
    for index, client in enumerate(connected):
        command = write(5000 + index, VALUE[:size], shard=1)
        client.send(command[: len(command) // 2])
    await s.until(lambda: sum(c.parser.is_partial for c in front.clients) == clients)
    await s.until(lambda: all(c.granted_bytes or c.waiting.input_bytes for c in front.clients))
    return connected


@async_test
async def test_clients_that_stop_half_way_through_a_command_keep_no_room_from_others():
    """Regression: room for all of a large command was set aside as its first bytes came, without end.

    Clients that stopped half way held all room, and large requests of others were refused.
    """
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        disable_sweep(s)  # it would end the others after some time
        account, admission = bound_memory(s, 2 * MIB), s.program.front.admission
        await stop_half_way(s, clients=64)
        await write_at_once(s, clients=4, writes=4, value=VALUE)
        assert admission.counts.refused == 0
        assert account.highest_bytes <= account.bounds.total_bytes


@async_test
async def test_a_command_whose_room_was_given_to_others_is_refused_once_it_arrives():
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        disable_sweep(s)
        bound_memory(s, 2 * MIB)
        admission = s.program.front.admission
        stopped = await stop_half_way(s, clients=64)
        await s.until(lambda: admission.counts.revoked)
        late = next(client for client in stopped if front_client(s, client).parser.is_discarding)
        whole = write(5000 + stopped.index(late), VALUE[:60_000], shard=1)
        late.send(whole[len(whole) // 2 :])
        assert (await late.reply()).text.startswith("BUSY")
        late.parser = codec.ReplyParser(1 << 20)
        assert await late.ask(write(1, VALUE, shard=1)) == request_id(1) + VALUE


@async_test
async def test_a_command_that_waits_for_room_and_is_not_sent_on_is_ended_in_time():
    """Regression: it waited for room as if its client had sent it, and was ended 2 s later than others."""
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        account, front = bound_memory(s, 2 * MIB), s.program.front
        account.change(account.bounds.max_bytes)  # no room
        half, whole = await s.client(), await s.client()
        command = write(1, VALUE)
        half.send(command[:40_000])
        whole.send(write(2, VALUE))
        await s.until(lambda: front.admission.counts.paused == 2)
        await s.until(lambda: front_client(s, half).unread_input_bytes() + SMALL_INPUT_BYTES >= 40_000)
        await s.until(lambda: front_client(s, whole).has_arrived())
        clock = front.clock
        front.clock = lambda: clock() + front.bounds.idle_timeout_ms
        front.sweep()
        front.clock = clock
        reply = await half.reply()
        assert reply.text.startswith("ERR")
        assert not front_client(s, whole).is_ending  # its client has done what it can
        account.change(-account.bounds.max_bytes)


@async_test
async def test_small_values_wait_in_the_kernel_where_the_room_for_commands_is_short():
    """Regression: commands filled the room for commands that wait, and all others were refused at once."""
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        account = bound_memory(s, 2 * MIB)
        await write_at_once(s, clients=16, writes=40, value=VALUE[:8192])
        assert account.highest_bytes <= account.bounds.total_bytes + 16 * SMALL_INPUT_BYTES


@async_test
async def test_values_of_writes_wait_in_the_kernel_while_there_is_no_room():
    """Regression (review/2, earlier form): values of waiting writes had no bound."""
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        account = bound_memory(s, 2 * MIB)
        await write_at_once(s, clients=8, writes=20, value=VALUE)
        assert s.program.front.admission.counts.paused
        # Beside the bound, each connection may have a small part of its next command in the parser.
        assert account.highest_bytes <= account.bounds.total_bytes + 8 * SMALL_INPUT_BYTES


@async_test
async def test_answers_of_a_few_bytes_count_with_what_they_take():
    """Regression: only the bytes of an answer were accounted for, not the entry that holds it."""
    servers, ping = Servers(), codec.command(b"PING")
    async with running_program(servers.slow, servers.quick) as s:
        account, front = bound_memory(s, 2 * MIB), s.program.front
        clients = [await s.client() for _ in range(8)]
        for number, client in enumerate(clients):
            client.send(write(number, b"x"), ping, read(100 + number), ping * 1000)
        await s.until(lambda: sum(client.immediate_bytes for client in front.clients) == 8 * 1001 * 7)
        entries = [pending for client in front.clients for pending in client.queue]
        open_bytes = sum(pending.held_bytes for pending in entries if not pending.is_immediate)
        taken = [sys.getsizeof(pending) + sys.getsizeof(pending.data) for pending in entries if pending.data]
        assert len(taken) >= 16
        assert account.held_bytes - open_bytes >= sum(taken)


@async_test
async def test_answers_known_at_once_are_bounded_behind_a_request_that_has_none():
    """A connection is read on behind its open requests; what this holds must not grow without end."""
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        client = await s.client()
        client.send(read(1), codec.command(b"PING") * 100_000)
        await s.until(lambda: any(not c.is_reading and c.has_unread_input() for c in s.program.front.clients))
        (mine,) = s.program.front.clients
        assert mine.immediate_bytes == sum(len(pending.data) for pending in mine.queue if pending.data)
        assert mine.immediate_bytes <= MAX_IMMEDIATE_BYTES + s.program.front.bounds.max_pipeline * 7
        assert mine.held_bytes <= 2 * MAX_IMMEDIATE_BYTES


@async_test
async def test_a_request_whose_client_waits_shortly_gets_room_that_is_released_at_once():
    """Regression: with 250 ms or less it was refused as it came, although room became free right after."""
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        account, front = bound_memory(s, 2 * MIB), s.program.front
        account.change(account.bounds.max_bytes)
        # Time stands still for what waits, and its deadline is far off for the rest of the program.
        arrival = front.clock() + 20_000
        front.clock = front.admission.clock = lambda: arrival
        client = await s.client()
        client.parser = codec.ReplyParser(1 << 20)
        client.send(read(1, shard=1, d=240))
        await s.until(lambda: front.admission.waiting_count or front.admission.counts.refused)
        account.change(-account.bounds.max_bytes)
        front.admission.on_release()
        assert await client.reply() == request_id(1) + VALUE


@async_test
async def test_what_waits_for_room_is_refused_before_its_time_is_over():
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        bound_memory(s, 2 * MIB)
        client = await s.client()
        client.parser = codec.ReplyParser(1 << 20)
        # A keyed write that may have run cannot be rejected to let the others go on.
        client.send(write(1, b"x"), *(read(number, shard=1, d=600) for number in range(2, 41)))
        admission = s.program.front.admission
        await s.until(lambda: admission.counts.refused and not admission.waiting_count)
        servers.answer_withheld(s)
        replies = [await client.reply() for _ in range(40)]
        assert replies[0] == request_id(1) + VALUE
        assert all(
            reply == request_id(number) + VALUE or reply == ErrorReply("BUSY")
            for number, reply in enumerate(replies[1:], start=2)
        )
        assert ErrorReply("BUSY") in replies


@async_test
async def test_input_that_waits_too_long_is_read_and_refused_without_its_value():
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        account = bound_memory(s, 2 * MIB)
        account.change(account.bounds.max_bytes)  # no room at all
        client = await s.client()
        client.send(*(write(n, VALUE, shard=1, d=400) for n in range(1, 6)))
        assert [await client.reply() for _ in range(5)] == [ErrorReply("BUSY")] * 5
        assert not s.servers[1].seen
        account.change(-account.bounds.max_bytes)
        client.parser = codec.ReplyParser(1 << 20)
        assert await client.ask(write(9, VALUE, shard=1)) == request_id(9) + VALUE


@async_test
async def test_time_in_the_kernel_counts_for_a_request():
    """A request that was left in the kernel has no more time than its client gave it."""
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        account = bound_memory(s, 2 * MIB)
        front = s.program.front
        account.change(account.bounds.max_bytes)
        client = await s.client()
        client.send(write(1, VALUE, shard=0, d=4000))
        await s.until(lambda: front.admission.counts.paused)
        paused_at = next(iter(front.clients)).backlog_since
        await asyncio.sleep(0.2)
        account.change(-account.bounds.max_bytes)
        front.admission.on_release()
        await s.until(lambda: servers.withheld)
        (call,) = s.program.driver.in_flight.values()
        assert call.pending.deadline_ms <= paused_at + 4000


@pytest.mark.parametrize("ending", ["reset", "unread"])
@async_test
async def test_all_room_is_released_when_clients_leave(ending):
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        account, front = bound_memory(s, 2 * MIB), s.program.front
        sock = connect_raw(s, SO_RCVBUF=4096)
        sock.sendall(b"".join([read(1), *(read(number, shard=1) for number in range(2, 61))]))
        await s.until(lambda: front.admission.waiting_count)
        if ending == "unread":
            servers.answer_withheld(s)
            await s.until(lambda: any(c.blocked_since is not None for c in front.clients))
        sock.close()
        await s.until(lambda: not front.clients)
        assert (account.held_bytes, account.waiting_bytes) == (0, 0)
        assert not front.admission.waiting_count
        assert not front.open_ids


@pytest.mark.parametrize("leave", LEAVING, ids=lambda leave: leave.__name__)
@async_test
async def test_a_client_that_leaves_while_its_input_waits_is_noticed(leave):
    """Regression: its reading was paused, so its end was not read, and its requests and room were kept."""
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        account, front = bound_memory(s, 2 * MIB), s.program.front
        taken = account.bounds.max_bytes - 2 * len(VALUE)  # room for one request
        account.change(taken)
        # A keyed write that may have run cannot be rejected to let the others go on.
        sock = connect_raw(s)
        sock.sendall(write(1, b"x") + write(2, VALUE, shard=1))
        await s.until(lambda: servers.withheld and front.admission.counts.paused)
        leave(sock)
        front.sweep()
        assert not front.open_ids
        await s.until(lambda: not front.clients)
        await s.until(lambda: account.held_bytes == taken)  # the attempt for it is cancelled first
        assert s.program.driver.ledger.answer_counts[Verdict.LEFT] >= 1
        sock.close()


@pytest.mark.parametrize("reason", ["left", "rejected"])
@async_test
async def test_a_value_is_held_until_its_attempt_has_ended(reason):
    """Regression: what is sent for a client that has left, or a rejected request, was in no account."""
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        account, driver = bound_memory(s, 4 * MIB), s.program.driver
        s.program.scheduler.settings = replace(s.program.scheduler.settings, may_cancel=False)
        client = await s.client()
        client.send(write(1, VALUE))
        await s.until(lambda: servers.withheld)
        if reason == "left":
            client.writer.transport.abort()
            await s.until(lambda: not s.program.front.clients)
        else:
            driver.ledger.may_reject = lambda _: True
            (name,) = driver.pending
            assert driver.shed(name)
            assert isinstance(await client.reply(), ErrorReply)
        assert driver.in_flight
        assert account.held_bytes >= len(VALUE)
        servers.answer_withheld(s)
        await s.until(lambda: not driver.in_flight)
        s.program.front.sweep()
        assert account.held_bytes == 0


@async_test
async def test_a_command_that_never_ends_holds_no_room_after_its_connection_was_ended():
    """Regression: room for the rest of the command was kept until the peer had closed too."""
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        account, front = bound_memory(s, 2 * MIB), s.program.front
        client = await s.client()
        client.send(write(1, VALUE)[:40000])
        await s.until(lambda: account.held_bytes > len(VALUE))
        clock = front.clock
        front.clock = lambda: clock() + front.bounds.idle_timeout_ms + 1
        front.sweep()
        front.clock = clock
        assert isinstance(await client.reply(), ErrorReply)
        assert len(front.lingering) == 1
        assert account.held_bytes == 0


@async_test
async def test_what_waits_at_the_end_of_the_process_is_answered():
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        account = bound_memory(s, 2 * MIB)
        client = await as_client(s, connect_raw(s))
        client.send(read(1), *(read(number, shard=1) for number in range(2, 41)))
        client.send(*(write(n, VALUE, shard=0) for n in range(100, 110)))
        await s.until(lambda: s.program.front.admission.waiting_count)
        signal.raise_signal(signal.SIGTERM)
        replies = [await client.reply() for _ in range(50)]
        assert all(isinstance(reply, bytes | ErrorReply) for reply in replies)
        assert account.highest_bytes <= account.bounds.total_bytes + SMALL_INPUT_BYTES


@async_test
async def test_one_stuck_request_after_another_is_counted_as_needed_time():
    """Regression: few could be served while the process ended, though the rate alone would have sufficed."""
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        bound_memory(s, 2 * MIB)
        admission = s.program.front.admission
        client = await s.client()
        client.send(*(read(number, shard=number % 2) for number in range(60)))
        await s.until(lambda: admission.waiting_count > 40)
        admission.rate.answers_per_ms = 1000.0  # all the others at once
        (waiting_client,) = s.program.front.clients
        deadline = waiting_client.waiting.requests[0].deadline
        assert not admission._is_waiting_too_long(deadline - 100_000)
        assert admission._is_waiting_too_long(deadline - 1000)


def test_a_long_calm_time_says_nothing_of_the_rate_in_a_shortage():
    """Regression: all answers since the last shortage were counted into its first interval."""
    rate = ServiceRate()
    for _ in range(100_000):
        rate.record_answer(1.0)
    rate.begin_interval()
    for _ in range(50):
        rate.record_answer(1.0)
    rate.end_interval(50.0)
    assert rate.answers_per_ms == 1.0


@async_test
async def test_a_shortage_begins_with_what_is_known_of_it():
    """Regression: a shortage was judged by the end of the one before, and by all answers since."""
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        bound_memory(s, 2 * MIB)
        admission = s.program.front.admission
        client = await s.client()
        client.parser = codec.ReplyParser(1 << 20)
        for number in range(50):
            assert await client.ask(read(number, shard=1)) == request_id(number) + VALUE
        admission._is_behind = True  # as a shortage may have left it
        client.send(read(100), *(read(number, shard=1) for number in range(101, 160)))
        await s.until(lambda: admission.waiting_count)
        assert not admission._is_behind
        rate = admission.rate.answers_per_ms
        await asyncio.sleep(0.2)
        assert admission.rate.answers_per_ms <= max(rate, 1.0)


@async_test
async def test_requests_to_a_shard_that_is_stuck_make_room_for_others_at_once():
    """Regression: each waited in turn until it counted as stuck, and the others' time was over by then."""
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        bound_memory(s, 2 * MIB)
        admission = s.program.front.admission
        admission.rate.answers_per_ms = 1e-6  # so little that what waits cannot be in time
        clients = [await s.client() for _ in range(4)]
        for index, client in enumerate(clients):
            client.parser = codec.ReplyParser(1 << 20)
            client.send(*(read(100 * index + n, shard=n % 2) for n in range(50)))
        for index, client in enumerate(clients):
            for n in range(50):
                reply = await client.reply()
                if n % 2:
                    assert reply == request_id(100 * index + n) + VALUE
                else:
                    assert isinstance(reply, ErrorReply)
                    assert reply.text.startswith("BUSY")
        # Of a hundred, few were sent to the server that hangs: the first ones, and one now and then.
        assert len(servers.withheld) < 25


@async_test
async def test_nothing_is_rejected_while_all_servers_are_held_up_alike():
    """Regression: as all servers were held up for a moment, nearly all that waited was refused at once."""
    servers = Servers()
    async with running_program(servers.quick, servers.quick) as s:
        bound_memory(s, 2 * MIB)
        admission = s.program.front.admission
        admission.rate.answers_per_ms = 1e-6  # so little that what waits cannot be in time
        for server in s.servers:
            server.held_until = asyncio.Event()
        client = await s.client()
        client.parser = codec.ReplyParser(1 << 20)
        client.send(*(read(n, shard=n % 2) for n in range(50)))
        await s.until(lambda: all(server.seen for server in s.servers))
        await asyncio.sleep(3 * MIN_STUCK_MS / 1000)
        for server in s.servers:
            server.held_until.set()
        assert [await client.reply() for _ in range(50)] == [request_id(n) + VALUE for n in range(50)]
        assert admission.counts.shed == 0


@async_test
async def test_answers_larger_than_expected_stay_with_their_servers():
    """Regression: room is set aside for answers as large as earlier ones, and larger ones had no bound."""
    servers = Servers()
    async with running_program(servers.slow, servers.quick) as s:
        account = bound_memory(s, 3 * MIB)
        admission = s.program.front.admission
        admission.answer_sizes._sizes = [64.0, 64.0]
        client = await s.client()
        client.parser = codec.ReplyParser(1 << 20)
        numbers = range(1, 61)
        # A keyed write that may have run cannot be rejected to let the others go on.
        client.send(write(1, b"x"), *(read(number, shard=1) for number in numbers[1:]))
        await s.until(lambda: admission.counts.limited)
        assert not admission.waiting_count
        await asyncio.sleep(0.3)  # the answers are with the kernel now
        # What one iteration of the loop has read already is not held up.
        assert account.highest_bytes <= account.bounds.total_bytes + 4 * len(VALUE)
        assert any(connection.is_paused for connection in s.program.transport.open_connections)
        servers.answer_withheld(s)
        for number in numbers:
            assert await client.reply() == request_id(number) + VALUE
        assert s.program.transport.may_read is None
        assert s.program.transport.invalid_answer_count == 0


PLAYS = [
    MemoryPlay(96, 18, Requests.READS, Trouble.HANG),
    MemoryPlay(32, 40, Requests.READS, Trouble.HANG),
    MemoryPlay(32, 40, Requests.WRITES, Trouble.SLOW),
    MemoryPlay(32, 40, Requests.BOTH, Trouble.TERM),
    MemoryPlay(64, 24, Requests.BOTH, Trouble.UNREAD),
]


@pytest.mark.parametrize("play", PLAYS, ids=lambda play: f"{play.memory_mb}-{play.requests}-{play.trouble}")
def test_a_crowd_beside_trouble_does_not_take_the_process_over_its_limit(play):
    """Regression (review/2): the process went over its memory limit and was killed."""
    result = asyncio.run(MemoryDrill(play).run())
    assert not result.is_killed, result.evidence()
    answers = [*result.batches, result.quick]
    assert sum(found.unanswered for found in answers) == 0, result.evidence()
    assert sum(found.foreign for found in answers) == 0
    assert result.exit_code in (None, 0)
