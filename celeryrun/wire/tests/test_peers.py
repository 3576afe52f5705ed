"""Links between nodes: silent ones, strangers, and messages that come again."""

import socket
import threading
import time

import pynng
import pytest

from celeryrun.wire import ConfigurationPull, Envelope, Peers, Sealer
from standins.fleet import free_ports
from standins.forwarder import Forwarder

KEY = "0123456789abcdef"
PATIENCE = 20.0  # s


class Inbox:
    """Peers service that notes the versions it is asked for."""

    def __init__(self, name):
        (port,) = free_ports(1)
        self.port = port
        self.versions = []
        self.came = threading.Condition()
        self.peers = Peers(name, f"127.0.0.1:{port}", KEY)
        self.peers.set_handler(ConfigurationPull, self.take)
        self.peers.start()

    def take(self, sender, message):
        with self.came:
            self.versions.append(message.version)
            self.came.notify_all()

    def wait_for(self, version):
        with self.came:
            assert self.came.wait_for(lambda: version in self.versions, PATIENCE)


@pytest.fixture
def pair():
    sender, receiver = Inbox("a"), Inbox("b")
    forwarder = Forwarder(receiver.port)
    sender.peers.address_by_name["b"] = forwarder.address
    yield sender, receiver, forwarder
    sender.peers.stop()
    receiver.peers.stop()
    forwarder.close()


def send_until(sender, receiver, version):
    until = time.monotonic() + PATIENCE
    while version not in receiver.versions:
        assert time.monotonic() < until
        sender.peers.send("b", ConfigurationPull(version))
        time.sleep(0.05)


def test_link_that_went_silent_is_dialled_again(pair):
    sender, receiver, forwarder = pair
    send_until(sender, receiver, 1)
    forwarder.swallow()
    send_until(sender, receiver, 2)
    assert sender.peers.counts["redialled"] >= 1
    assert forwarder.connections >= 2


def test_receiver_that_has_nothing_to_say_is_not_dialled_again(pair):
    sender, receiver, forwarder = pair
    for version in range(1, 4):
        send_until(sender, receiver, version)
        until = time.monotonic() + PATIENCE
        while sender.peers._outbox_by_name["b"].unheard_since is not None:
            assert time.monotonic() < until
            time.sleep(0.05)
    assert sender.peers.counts["redialled"] == 0
    assert sender.versions == []


def push(port, *messages):
    with pynng.Push0(dial=f"tcp://127.0.0.1:{port}", block_on_dial=True) as stranger:
        for message in messages:
            stranger.send(message)
        time.sleep(0.1)


def sealed(seq, version, key=KEY, receiver="b", boot=7):
    envelope = Envelope("c", "127.0.0.1:1", receiver, boot, seq, 0, 0, ConfigurationPull(version))
    return Sealer(key).seal(envelope)


def test_stranger_and_repeated_messages_are_dropped(pair):
    _, receiver, _ = pair
    good = sealed(1, 1)
    push(
        receiver.port,
        sealed(1, 99, key="another-key-0123"),
        sealed(1, 99, receiver="d"),
        good[:-1],
        b"",
        good,
        good,
        sealed(2, 2),
    )
    receiver.wait_for(2)
    assert receiver.versions == [1, 2]
    counts = receiver.peers.counts
    assert (counts["foreign"], counts["misdirected"], counts["repeated"]) == (2, 1, 1)
    assert counts["unreadable"] == 1


def test_garbage_and_oversize_on_the_port_leave_it_working(pair):
    sender, receiver, _ = pair
    for garbage in (b"GET / HTTP/1.1\r\n\r\n", b"\x00SP\x00\x00\x50\x00\x00" + b"\xff" * 4096):
        with socket.create_connection(("127.0.0.1", receiver.port)) as connection:
            connection.sendall(garbage)
    push(receiver.port, b"x" * (9 * 1024 * 1024))
    send_until(sender, receiver, 5)
    assert receiver.versions == [5] * len(receiver.versions)
