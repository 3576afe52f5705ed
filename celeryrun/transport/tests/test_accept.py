"""Planned stops: connections that the system has accepted and the process has not."""

import asyncio
import socket
import threading
import time

import pytest

from celeryrun.front._listener import serve
from celeryrun.settings import Address
from celeryrun.transport import has_unaccepted, ignore_new_connections
from standins.ports import lease_ports
from standins.site import Site, run

GET = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
CALLERS = 20


def test_filtered_listener_still_accepts_the_connections_that_wait():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        waiting = socket.create_connection(listener.getsockname())
        if not ignore_new_connections(listener):
            pytest.skip("no packet filter for sockets on this system")
        with pytest.raises(TimeoutError):
            socket.create_connection(listener.getsockname(), 0.2)
        assert has_unaccepted(listener)
        accepted, _ = listener.accept()
        assert not has_unaccepted(listener)
        accepted.sendall(b"x")
        assert waiting.recv(1) == b"x"
        accepted.close()
        waiting.close()


def test_gateway_answers_connections_that_wait_to_be_accepted_when_it_stops():
    """The event loop is busy while callers connect, and closes its listener next."""

    async def scenario():
        async with Site(apps=1) as site:
            callers = site.gateways[0].kernel.find("callers")
            address = site.gateways[0].settings.node.caller_address
            connections = []
            for _ in range(CALLERS):
                connection = socket.create_connection((address.host, address.port))
                connection.sendall(site.format_request("/calls/a"))
                connection.setblocking(False)
                connections.append(connection)
            await callers.close()
            loop = asyncio.get_running_loop()
            for connection in connections:
                async with asyncio.timeout(5):
                    assert (await loop.sock_recv(connection, 4096)).startswith(b"HTTP/1.1 200")
                connection.close()

    run(scenario())


def test_node_loses_no_caller_that_connects_after_its_last_accept():
    """A caller either gets an answer or learns that it was never connected."""
    address = Address("127.0.0.1", lease_ports(1)[0])
    results = []

    def app(environ, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    def call():
        try:
            with socket.create_connection((address.host, address.port), 10) as connection:
                connection.sendall(GET)
                results.append(connection.recv(100)[:12] or b"closed")
        except ConnectionRefusedError:
            results.append(b"refused")
        except OSError as error:
            results.append(repr(error).encode())

    server = serve(address, "caller_address", app, 4, 5)
    manager = server._connections
    accept = manager._from_server_socket
    callers = []

    def accept_then_lose_the_processor(listener):
        connection = accept(listener)
        if connection is None and not callers:
            caller = threading.Thread(target=call)
            callers.append(caller)
            caller.start()
            time.sleep(0.2)
        return connection

    manager._from_server_socket = accept_then_lose_the_processor
    server.finish(lambda: True)
    callers[0].join(15)
    assert results and results[0] in (b"HTTP/1.1 200", b"refused")
