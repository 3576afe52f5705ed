"""Responses that are none in HTTP/1.1, or of which a part is missing, reach no caller as whole."""

import pytest

from celeryrun.gateway.tests.raw_targets import SEAL, RawTarget, responder
from standins.site import Site, run

SERVICE_BY_PATH = {
    "/calls/a": "app",
    "/bookings/a": "app",
    "/drafts/a": "model",
    "/chats/a": "model",
}
PATHS = list(SERVICE_BY_PATH)
EVENT = b"id: 1\ndata: a\n\n"
BODY = EVENT * 4


async def response_to(path, raw, body=b""):
    """Return what a caller gets if the only target responds with these bytes."""
    service = SERVICE_BY_PATH[path]
    async with (
        Site(apps=0, models=0) as site,
        RawTarget(site, service, responder(raw)) as target,
    ):
        response = await site.send_request(path, body=body)
        assert target.attempt_ids
        return response


async def check_not_passed_on(path, raw):
    """Check that a caller gets no complete response but one that states a failure."""
    response = await response_to(path, raw)
    assert not response.complete or response.status == 502, response


async def check_whole(path, raw):
    response = await response_to(path, raw)
    assert response.complete and response.status == 200 and response.body == BODY, response


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("space", [b" ", b"\t", b" \t "])
def test_cut_body_is_not_whole_whatever_space_follows_its_length(path, space):
    """A length with a space behind it counted as none, so that the body ended where it was cut."""
    length = b"%d" % (len(BODY) + len(EVENT)) + space
    head = b"HTTP/1.1 200 OK\r\n{seal}Content-Length: %b\r\n\r\n" % length
    run(check_not_passed_on(path, head + BODY))


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("space", [b"", b" ", b"\t"])
def test_sound_body_is_whole_whatever_space_follows_its_length(path, space):
    length = b"%d" % len(BODY) + space
    run(check_whole(path, b"HTTP/1.1 200 OK\r\n{seal}Content-Length: %b\r\n\r\n" % length + BODY))


def test_space_behind_a_value_of_a_request_or_response_is_no_part_of_it():
    """A host, or an attempt id that either side sends, was compared with the space behind it."""

    async def scenario():
        head = b"HTTP/1.1 200 OK\r\n{seal}Content-Length: %d\r\n\r\n" % len(BODY)
        head = head.replace(b"{seal}", SEAL.replace("\r\n", " \t\r\n").encode())

        async def respond(reader, writer, attempt_id):
            writer.write(head.replace(b"{id}", attempt_id.encode()) + BODY)

        async with Site(apps=0, models=0) as site, RawTarget(site, "app", respond):
            request = site.format_request("/calls/a").replace(b"\r\n", b" \r\n")
            request = request.replace(b"HTTP/1.1 ", b"HTTP/1.1").removesuffix(b" \r\n") + b"\r\n"
            response = await site.send_bytes(request)
            assert response.complete and response.status == 200 and response.body == BODY

    run(scenario())
