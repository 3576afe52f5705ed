"""Responses that are none in HTTP/1.1, or of which a part is missing, reach no caller as whole."""

import asyncio
import socket
import struct

import pytest

from celeryrun.gateway.tests.raw_targets import SEAL, RawTarget, responder
from celeryrun.transport import LAST_CHUNK, format_chunk
from standins.site import Site, build_config, run

PATHS = ["/calls/a", "/bookings/a", "/drafts/a", "/chats/a"]
EVENT = b"id: 1\ndata: a\n\n"
BODY = EVENT * 4
CHUNKS = format_chunk(BODY) + LAST_CHUNK


async def responses_to(respond):
    """Return what callers get on all kinds of routes if all targets respond in the same way."""
    async with (
        Site(apps=0, models=0) as site,
        RawTarget(site, "app", respond) as app,
        RawTarget(site, "model", respond) as model,
    ):
        responses = await asyncio.gather(*map(site.send_request, PATHS))
        assert app.attempt_ids and model.attempt_ids
        return dict(zip(PATHS, responses, strict=True))


def check_not_passed_on(raw):
    """Check that no caller gets a complete response but one that states a failure."""

    async def scenario():
        responses = await responses_to(responder(raw))
        passed_on = {path: r for path, r in responses.items() if r.complete and r.status != 502}
        assert not passed_on

    run(scenario())


def check_whole(raw):
    """Check that every caller gets the body of the target."""

    async def scenario():
        responses = await responses_to(responder(raw))
        spoiled = {
            path: response
            for path, response in responses.items()
            if not response.complete or response.status != 200 or response.body != BODY
        }
        assert not spoiled

    run(scenario())


@pytest.mark.parametrize("space", [b" ", b"\t", b" \t "])
def test_cut_body_is_not_whole_whatever_space_follows_its_length(space):
    """A length with a space behind it counted as none, so that the body ended where it was cut."""
    length = b"%d" % (len(BODY) + len(EVENT)) + space
    check_not_passed_on(b"HTTP/1.1 200 OK\r\n{seal}Content-Length: %b\r\n\r\n" % length + BODY)


@pytest.mark.parametrize("space", [b"", b" ", b"\t"])
def test_sound_body_is_whole_whatever_space_follows_its_length(space):
    length = b"%d" % len(BODY) + space
    check_whole(b"HTTP/1.1 200 OK\r\n{seal}Content-Length: %b\r\n\r\n" % length + BODY)


def test_space_behind_a_value_of_a_request_or_response_is_no_part_of_it():
    """A host, or an attempt id that either side sends, was compared with the space behind it."""
    raw = b"HTTP/1.1 200 OK\r\n{seal}Content-Length: %d\r\n\r\n" % len(BODY) + BODY

    async def respond(reader, writer, attempt_id):
        lines = SEAL.format(id=attempt_id).replace("\r\n", " \t\r\n")
        writer.write(raw.replace(b"{seal}", lines.encode()))

    async def scenario():
        async with Site(apps=0, models=0) as site, RawTarget(site, "app", respond):
            start, *lines = site.format_request("/calls/a").split(b"\r\n")[:-2]
            data = b"".join([start, b"\r\n", *(line + b" \t\r\n" for line in lines), b"\r\n"])
            response = await site.send_bytes(data)
            assert response.complete and response.status == 200 and response.body == BODY

    run(scenario())


@pytest.mark.parametrize(
    "codings", [b"gzip", b"chunke", b"xchunked", b"chunked, gzip", b"chunked;a=b", b"chunked,"]
)
def test_body_in_another_transfer_coding_is_not_passed_on(codings):
    """The line that names the coding was dropped, so the coded bytes counted as the body."""
    check_not_passed_on(b"HTTP/1.1 200 OK\r\n{seal}Transfer-Encoding: %b\r\n\r\n" % codings + BODY)


@pytest.mark.parametrize("codings", [b"gzip, chunked", b"chunked, chunked"])
def test_chunks_of_a_body_in_another_transfer_coding_are_not_passed_on(codings):
    """Only the chunks were decoded, and the name of the other coding was dropped."""
    head = b"HTTP/1.1 200 OK\r\n{seal}Transfer-Encoding: %b\r\n\r\n" % codings
    check_not_passed_on(head + CHUNKS)


@pytest.mark.parametrize(
    "codings", [b"chunked", b"Chunked ", b"chunked\t", b", chunked", b"identity, chunked"]
)
def test_sound_chunks_are_whole_however_their_coding_is_written(codings):
    check_whole(b"HTTP/1.1 200 OK\r\n{seal}Transfer-Encoding: %b\r\n\r\n" % codings + CHUNKS)


@pytest.mark.parametrize("lines", [b"", b"Transfer-Encoding: identity\r\n"])
def test_sound_body_that_ends_with_its_connection_is_whole(lines):
    check_whole(b"HTTP/1.1 200 OK\r\n{seal}%b\r\n" % lines + BODY)


@pytest.mark.parametrize(
    "line",
    [
        *(b"HTTP/1.1 %b OK" % status for status in (b"000", b"001", b"099", b"600", b"999")),
        *(
            b"%b 200 OK" % version
            for version in (b"HTTP/2.0", b"HTTP/0.9", b"RTSP/1.0", b"ICE/1.0")
        ),
        *(b"HTTP/1.1 200 O%cK" % control for control in b"\x00\x01\x0b\x1b\x7f"),
        b"HTTP/1.1 103 Early Hints\r\n\r\nRTSP/1.0 200 OK",
    ],
)
def test_status_line_that_is_none_is_not_passed_on(line):
    """Statuses below 100 or above 599, other protocols and control characters were let through."""
    check_not_passed_on(line + b"\r\n{seal}Content-Length: %d\r\n\r\n" % len(BODY) + BODY)


@pytest.mark.parametrize(
    "line",
    [
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 ",
        b"HTTP/1.0 200 All \tright \xe9",
        b"\r\nHTTP/1.1 200 OK",
        b"HTTP/1.1 100 \r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK",
    ],
)
def test_sound_status_line_is_passed_on(line):
    check_whole(line + b"\r\n{seal}Content-Length: %d\r\n\r\n" % len(BODY) + BODY)


@pytest.mark.parametrize(
    "name", [b"Bad Name", b"Name ", b" Name", b"Na\x01me", b"\x7f", b"", b"Na\x00me"]
)
def test_head_with_a_malformed_name_is_not_passed_on(name):
    """Other systems pass such a line on, or take the lines behind it for the body."""
    lines = b"{seal}%b: a\r\nContent-Length: %d\r\n\r\n" % (name, len(BODY))
    check_not_passed_on(b"HTTP/1.1 200 OK\r\n" + lines + BODY)


def test_head_with_a_name_of_all_token_characters_is_passed_on():
    lines = b"{seal}!#$%&'*+-.^_`|~0aZ: a\r\nContent-Length: 60\r\n\r\n"
    check_whole(b"HTTP/1.1 200 OK\r\n" + lines + BODY)


class EarlyTarget:
    """Target that responds before it has read the body of a request.

    Parameters
    ----------
    head : bytes
        Headers of the response besides the seal.
    pause : float or None
        Seconds from the end of its side of the connection to the reset, None to read the body.
    """

    def __init__(self, head, pause):
        self.head = head
        self.pause = pause

    async def respond(self, reader, writer, attempt_id):
        if self.pause is None:
            await reader.readexactly(UPLOAD_BYTES)
        lines = SEAL.format(id=attempt_id).encode() + self.head
        writer.write(b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n" + BODY)
        if self.pause is not None:
            writer.write_eof()
            await asyncio.sleep(self.pause)
            linger = struct.pack("ii", 1, 0)  # closing sends a reset
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()


UPLOAD_BYTES = 1_000_000


async def responses_to_uploads(respond, upload_bytes=UPLOAD_BYTES):
    """Return what callers get who upload a long body."""
    config = build_config()
    config["limits"]["maxBodyBytes"] = 4 * UPLOAD_BYTES
    async with (
        Site(apps=0, models=0, config=config) as site,
        RawTarget(site, "app", respond),
        RawTarget(site, "model", respond),
    ):
        body = b"u" * upload_bytes
        return await asyncio.gather(*(site.send_request(path, body=body) for path in PATHS))


@pytest.mark.parametrize(
    ("pause", "upload_bytes"),
    [
        *((pause, size) for pause in (0.0, 0.01, 0.05, 0.3) for size in (300_000, UPLOAD_BYTES)),
        # The target's system has received all of it, so that only the reset tells.
        (0.0, 40_000),
        (0.01, 40_000),
    ],
)
def test_body_that_ends_with_its_connection_while_its_request_is_written_is_not_whole(
    pause, upload_bytes
):
    """A part of a body was passed on as whole if the target reset the upload a moment later."""

    async def scenario():
        responses = await responses_to_uploads(EarlyTarget(b"", pause).respond, upload_bytes)
        assert not [r for r in responses if r.complete and r.status != 502]

    run(scenario())


@pytest.mark.parametrize(
    ("head", "pause"), [(b"", None), (b"Content-Length: %d\r\n" % len(BODY), 0.3)]
)
def test_sound_response_to_a_long_upload_is_passed_on(head, pause):
    async def scenario():
        responses = await responses_to_uploads(EarlyTarget(head, pause).respond)
        assert all(r.complete and r.status == 200 and r.body == BODY for r in responses)

    run(scenario())


@pytest.mark.parametrize("name", ["Content-Encoding", "Server-Leaving", "Set-Cookie"])
def test_trailer_is_no_header(name):
    """Trailers were added to the headers of a body that was held back until its end."""
    trailers = b"0\r\n%b: gzip\r\n\r\n" % name.encode()
    head = b"HTTP/1.1 200 OK\r\n{seal}Transfer-Encoding: chunked\r\n\r\n"

    async def scenario():
        responses = await responses_to(responder(head + format_chunk(BODY) + trailers))
        assert all(r.complete and r.body == BODY for r in responses.values())
        assert not [r for r in responses.values() if name.lower() in r.headers]

    run(scenario())


@pytest.mark.parametrize("path", ["/calls/a", "/bookings/a"])
def test_body_that_is_not_known_to_be_whole_at_the_deadline_is_not_passed_on(monkeypatch, path):
    """It was sent as complete while its target was being asked whether it was up (review/11)."""

    async def never_returns(*_):
        await asyncio.sleep(3600)

    async def scenario():
        respond = responder(b"HTTP/1.1 200 OK\r\n{seal}\r\n" + BODY[: len(BODY) // 2])
        async with Site(apps=0, models=0) as site, RawTarget(site, "app", respond) as app:
            response = await site.send_request(path, deadline=400)
            assert app.attempt_ids
            assert response.status == 504

    monkeypatch.setattr("celeryrun.gateway._relay.accepts_connections", never_returns)
    run(scenario())


def test_response_is_not_whole_if_its_target_is_up_again_when_another_node_is_asked(monkeypatch):
    """A second opinion on whether a target was up came after its restart."""

    async def scenario():
        respond = responder(b"HTTP/1.1 200 OK\r\n{seal}\r\n" + BODY[: len(BODY) // 2])
        async with (
            Site(apps=0, models=0, gateways=2) as site,
            RawTarget(site, "app", respond) as app,
        ):
            response = await site.send_request("/bookings/a")
            assert app.attempt_ids
            assert response.status == 502

    async def is_down(*_):
        return False

    monkeypatch.setattr("celeryrun.gateway._relay.accepts_connections", is_down)
    run(scenario())
