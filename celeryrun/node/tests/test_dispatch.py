"""Dispatch through real processes, with callers that hang up."""

import json
import socket
import time

PATIENCE = 10.0  # s


def send_and_hang_up(fleet, workspace, content, read_bytes):
    """Send a draft on a bare socket, read some bytes and close."""
    body = json.dumps(content).encode()
    head = (
        "POST /drafts/v1/generate HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer key-{workspace}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    address = ("127.0.0.1", fleet.port_by_name[fleet.nodes[0]])
    with socket.create_connection(address) as connection:
        connection.sendall(head.encode() + body)
        connection.settimeout(PATIENCE)
        if read_bytes:
            assert connection.recv(read_bytes)
        else:
            wait_for(lambda: running(fleet) > 0)


def running(fleet):
    return sum(
        fleet.call_standin("GET", f"engine-{number}", "/record")["running"] for number in (0, 1)
    )


def wait_for(condition):
    until = time.monotonic() + PATIENCE
    while not condition():
        assert time.monotonic() < until
        time.sleep(0.02)


def test_caller_that_hangs_up_in_a_stream_is_cancelled_at_the_engine(fleet):
    draft = {"prompt": "a long draft", "max_tokens": 100_000, "stream": True}
    send_and_hang_up(fleet, "routes", draft, 100)
    wait_for(lambda: running(fleet) == 0)


def test_caller_that_hangs_up_over_a_plain_draft_is_cancelled_at_the_engine(fleet):
    draft = {"prompt": "a long draft", "max_tokens": 100_000}
    send_and_hang_up(fleet, "routes", draft, 0)
    wait_for(lambda: running(fleet) == 0)


def test_path_reaches_the_application_as_the_caller_sent_it(fleet):
    path = "/stock/a%20crate%2Fsmall%0D%0A?size=%41&x=a:b"
    answer = fleet.request(fleet.nodes[0], "bookings", "GET", "/warehouse" + path)
    assert json.loads(answer.data)["path"] == path


def test_head_has_no_body(fleet):
    answer = fleet.request(fleet.nodes[0], "bookings", "HEAD", "/warehouse/stock/a")
    assert answer.status == 200
    assert answer.headers["Celeryrun-Outcome"] == "complete"
    refused = fleet.request(fleet.nodes[0], "nobody", "HEAD", "/warehouse/stock/a")
    assert refused.status == 401
    assert refused.data == b""


def test_dot_segments_are_refused(fleet):
    answer = fleet.request(fleet.nodes[0], "bookings", "POST", "/warehouse/stock/%2e%2e/bookings")
    assert answer.status == 400
