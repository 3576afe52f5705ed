"""Dispatch through node processes, with callers that disconnect."""

import json
import socket
import time

TIMEOUT = 10.0  # s


def send_and_disconnect(fleet, workspace, content, read_bytes):
    """Send a draft on a raw socket, read some bytes and close the connection.

    Without bytes to read, close it once an engine runs the draft.
    """
    body = json.dumps(content).encode()
    head = (
        "POST /drafts/v1/generate HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer key-{workspace}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    address = ("127.0.0.1", fleet.port_by_name[fleet.nodes[0]])
    with socket.create_connection(address) as connection:
        connection.sendall(head.encode() + body)
        connection.settimeout(TIMEOUT)
        if read_bytes:
            assert connection.recv(read_bytes)
        else:
            wait_for(lambda: count_running(fleet) > 0)


def count_running(fleet):
    return sum(
        fleet.call_standin("GET", f"engine-{number}", "/record")["running"] for number in (0, 1)
    )


def wait_for(condition):
    deadline = time.monotonic() + TIMEOUT
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.02)


def test_caller_disconnect_during_a_stream_cancels_the_engine_request(fleet):
    draft = {"prompt": "a long draft", "max_tokens": 100_000, "stream": True}
    send_and_disconnect(fleet, "routes", draft, 100)
    wait_for(lambda: count_running(fleet) == 0)


def test_caller_disconnect_before_a_response_cancels_the_engine_request(fleet):
    draft = {"prompt": "a long draft", "max_tokens": 100_000}
    send_and_disconnect(fleet, "routes", draft, 0)
    wait_for(lambda: count_running(fleet) == 0)


def test_path_reaches_the_application_unchanged(fleet):
    path = "/stock/a%20crate%2Fsmall%0D%0A?size=%41&x=a:b"
    response = fleet.request(fleet.nodes[0], "bookings", "GET", "/warehouse" + path)
    assert json.loads(response.data)["path"] == path


def test_response_to_head_has_no_body(fleet):
    response = fleet.request(fleet.nodes[0], "bookings", "HEAD", "/warehouse/stock/a")
    assert response.status == 200
    assert response.headers["Celeryrun-Outcome"] == "complete"
    refused = fleet.request(fleet.nodes[0], "nobody", "HEAD", "/warehouse/stock/a")
    assert refused.status == 401
    assert refused.data == b""


def test_dot_segments_are_refused(fleet):
    response = fleet.request(fleet.nodes[0], "bookings", "POST", "/warehouse/stock/%2e%2e/bookings")
    assert response.status == 400
