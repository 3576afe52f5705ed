"""What connections of callers keep, whatever they are sent and however it is split."""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrun.catalog import CallerLimits
from celeryrun.transport import ByteBudget
from celeryrun.transport._caller import READ_BYTES
from celeryrun.transport.tests.connections import Caller, settle

LIMITS = CallerLimits(header_bytes=16_384, body_bytes=65_536)
ENDS = st.sampled_from([b"\r\n", b"\r\n", b"\r\n", b"\n"])
NAMES = st.sampled_from([b"a", b"Long-Name", b"~", b"x_y"])
VALUES = st.sampled_from([b"", b" b", b"\t", b" \xff", b" a,b,,c"])


@st.composite
def requests(draw):
    """Return the bytes of a request, mostly a valid one."""
    end = draw(ENDS)
    line = draw(NAMES) + b":" + draw(VALUES) + end
    head = b"POST /" + b"t" * draw(st.integers(0, 500)) + b" HTTP/1.1" + end + b"Host: h" + end
    head += line * draw(st.one_of(st.integers(0, 5), st.integers(0, 4000)))
    body = b"b" * draw(st.one_of(st.integers(0, 20), st.integers(0, 70_000)))
    match draw(st.sampled_from(["none", "length", "chunks"])):
        case "none":
            return head + end
        case "length":
            return head + b"Content-Length: %d" % len(body) + end + end + body
    size = draw(st.sampled_from([1, 2, 1000, 70_000]))
    body = body[: 3000 * size]
    mark = b"%x" + draw(st.sampled_from([b"", b";e=1"])) + b"\r\n"
    parts = [body[start : start + size] for start in range(0, len(body), size)]
    chunks = b"".join(mark % len(part) + part + b"\r\n" for part in parts)
    trailers = (draw(NAMES) + b":" + draw(VALUES) + b"\r\n") * draw(st.integers(0, 6000))
    return head + b"Transfer-Encoding: chunked" + end + end + chunks + b"0\r\n" + trailers + b"\r\n"


@settings(max_examples=150, deadline=None)
@given(
    st.lists(st.one_of(requests(), requests(), st.binary(max_size=50)), min_size=1, max_size=4),
    st.lists(st.integers(1, 20_000), min_size=1, max_size=8),
    st.booleans(),
)
def test_connection_keeps_no_more_than_it_has_reserved(messages, sizes, is_served):
    async def scenario():
        caller = Caller(limits=LIMITS)
        if not is_served:
            caller.hold.clear()
        for part in split(b"".join(messages), sizes):
            caller.feed(part)
            assert caller.kept() <= caller.held + READ_BYTES
            await asyncio.sleep(0)
        caller.close()
        await settle()
        assert caller.budget.reserved == 0

    asyncio.run(scenario())


@settings(max_examples=150, deadline=None)
@given(
    st.lists(st.one_of(requests(), requests(), st.binary(max_size=50)), min_size=1, max_size=4),
    st.lists(st.integers(1, 20_000), min_size=1, max_size=8),
)
def test_what_is_parsed_does_not_depend_on_the_splits(messages, sizes):
    limits = CallerLimits(header_bytes=1 << 20, body_bytes=1 << 20)
    data = b"".join(messages)

    async def parse(parts):
        caller = Caller(limits=limits)
        for part in parts:
            caller.feed(part)
            await settle()
        statuses = [part[:3] for part in caller.transport.written.split(b"HTTP/1.1 ")[1:]]
        caller.close()
        return caller.requests, statuses

    assert asyncio.run(parse(split(data, sizes))) == asyncio.run(parse([data]))


def split(data, sizes):
    """Return the parts of data whose sizes repeat; those after the first 300 are large."""
    parts = []
    while data:
        size = sizes[len(parts) % len(sizes)] if len(parts) < 300 else READ_BYTES
        parts.append(data[:size])
        data = data[size:]
    return parts


def test_trailers_are_no_headers():
    async def scenario():
        caller = Caller()
        caller.feed(b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
        caller.feed(b"1\r\na\r\n0\r\nAuthorization: Bearer key\r\n\r\n")
        await settle()
        ((*_, headers, _, body),) = caller.requests
        assert (headers, body) == (((b"transfer-encoding", b"chunked"),), b"a")
        caller.close()

    asyncio.run(scenario())


HEAD = b"POST /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n"


def feed_body(caller, size):
    """Let a caller send all but the last byte of a body."""
    caller.feed(HEAD % (size + 1) + b"a" * size)


def test_caller_that_holds_most_for_longest_makes_room_for_others(monkeypatch):
    async def scenario():
        clock = 100.0
        monkeypatch.setattr("celeryrun.transport._caller.now", lambda: clock)
        monkeypatch.setattr("celeryrun.transport._budget.now", lambda: clock)
        budget = ByteBudget(1_000_000)
        large, small, late, last = (Caller(budget) for _ in range(4))
        feed_body(large, 500_000)
        feed_body(small, 200_000)
        clock += 0.5
        feed_body(late, 200_000)
        await settle()
        # For less than a second nobody has to give up what moves.
        assert late.transport.written.startswith(b"HTTP/1.1 503")
        clock += 1.0
        feed_body(last, 200_000)
        await settle()
        assert large.transport.written.startswith(b"HTTP/1.1 503") and not large.held
        assert not small.transport.written and not last.transport.written
        for caller in (small, last):
            caller.feed(b"a")
        await settle()
        assert [len(caller.requests) for caller in (large, small, late, last)] == [0, 1, 0, 1]
        for caller in (large, small, late, last):
            caller.close()
        assert budget.reserved == 0

    asyncio.run(scenario())


def test_callers_of_little_have_a_part_of_their_own():
    async def scenario():
        budget = ByteBudget(1_000_000)
        crowd = [Caller(budget) for _ in range(10)]
        for caller in crowd:
            feed_body(caller, 200_000)
        ordinary = Caller(budget)
        ordinary.feed(HEAD % 5 + b"hello")
        await settle()
        assert len(ordinary.requests) == 1
        for caller in (*crowd, ordinary):
            caller.close()

    asyncio.run(scenario())


def test_caller_that_reads_nothing_loses_its_connection_when_memory_is_short(monkeypatch):
    async def scenario():
        clock = 100.0
        monkeypatch.setattr("celeryrun.transport._caller.now", lambda: clock)
        monkeypatch.setattr("celeryrun.transport._budget.now", lambda: clock)
        budget = ByteBudget(400_000)
        deaf = Caller(budget, reads=False)
        deaf.connection.write(b"a" * 300_000)
        assert deaf.held == 300_000 and not deaf.connection.drop_if_unread()
        clock += 2.0
        other = Caller(budget)
        feed_body(other, 200_000)
        assert deaf.dropped and deaf.transport.closed and not deaf.held
        assert other.held > 200_000
        deaf.close()
        other.close()

    asyncio.run(scenario())


def test_caller_that_reads_nothing_for_the_idle_timeout_makes_room(monkeypatch):
    async def scenario():
        clock = 100.0
        monkeypatch.setattr("celeryrun.transport._caller.now", lambda: clock)
        deaf = Caller(reads=False)
        deaf.connection.write(b"aa")
        clock += LIMITS.idle_timeout + 1.0
        deaf.transport.unread = 0
        deaf.connection.write(b"a")
        assert deaf.held == 1 and not deaf.connection.drop_if_unread()
        clock += LIMITS.idle_timeout + 1.0
        assert deaf.connection.drop_if_unread() and deaf.dropped
        deaf.close()

    asyncio.run(scenario())


def test_next_request_waits_until_the_caller_reads():
    async def scenario():
        caller = Caller(reads=False)
        caller.connection.pause_writing()
        caller.feed(HEAD % 0 * 2)
        await settle()
        assert not caller.requests
        caller.connection.resume_writing()
        await settle()
        assert len(caller.requests) == 2
        caller.close()

    asyncio.run(scenario())


def test_pipelined_requests_are_bounded_and_those_before_are_served():
    async def scenario():
        caller = Caller(ByteBudget(1_000_000))
        caller.hold.clear()
        caller.feed(HEAD % 0 * 300)
        assert caller.held <= 200_000
        caller.hold.set()
        await settle()
        statuses = caller.transport.written.split(b"HTTP/1.1 ")[1:]
        assert [status[:3] for status in statuses] == [b"204"] * len(caller.requests) + [b"503"]
        caller.close()

    asyncio.run(scenario())
