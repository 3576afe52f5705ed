"""Links between nodes: lost connections, foreign messages and repeated messages."""

import socket
import threading
import time

import pynng
import pytest

from celeryrun.wire import ConfigurationPull, Envelope, Peers, Sealer
from standins.forwarder import Forwarder
from standins.ports import lease_ports

KEY = "0123456789abcdef"
TIMEOUT = 20.0  # s


class RecordingPeer:
    """Peers service that records the versions in the pulls that it receives."""

    def __init__(self, name):
        (port,) = lease_ports(1)
        self.port = port
        self.versions = []
        self.received = threading.Condition()
        self.peers = Peers(name, f"127.0.0.1:{port}", KEY)
        self.peers.set_handler(ConfigurationPull, self.on_pull)
        self.peers.start()

    def on_pull(self, sender, message):
        with self.received:
            self.versions.append(message.version)
            self.received.notify_all()

    def wait_for(self, version):
        with self.received:
            assert self.received.wait_for(lambda: version in self.versions, TIMEOUT)


@pytest.fixture
def pair():
    sender, receiver = RecordingPeer("a"), RecordingPeer("b")
    forwarder = Forwarder(receiver.port)
    sender.peers.address_by_name["b"] = forwarder.address
    yield sender, receiver, forwarder
    sender.peers.stop()
    receiver.peers.stop()
    forwarder.close()


def send_until(sender, receiver, version):
    deadline = time.monotonic() + TIMEOUT
    while version not in receiver.versions:
        assert time.monotonic() < deadline
        sender.peers.send("b", ConfigurationPull(version))
        time.sleep(0.05)


def test_link_without_acknowledgements_is_dialled_again(pair):
    sender, receiver, forwarder = pair
    send_until(sender, receiver, 1)
    forwarder.blackhole_open_connections()
    send_until(sender, receiver, 2)
    assert sender.peers.counts["redialled"] >= 1
    assert forwarder.connection_count >= 2


def test_receiver_that_sends_only_acks_is_not_dialled_again(pair):
    sender, receiver, forwarder = pair
    for version in range(1, 4):
        send_until(sender, receiver, version)
        deadline = time.monotonic() + TIMEOUT
        while sender.peers._outboxes_by_name["b"].unacked_since is not None:
            assert time.monotonic() < deadline
            time.sleep(0.05)
    assert sender.peers.counts["redialled"] == 0
    assert sender.versions == []


def push(port, *messages):
    with pynng.Push0(dial=f"tcp://127.0.0.1:{port}", block_on_dial=True) as foreign_sender:
        for message in messages:
            foreign_sender.send(message)
        time.sleep(0.1)


def seal_pull(seq, version, key=KEY, receiver="b", boot_id=7):
    envelope = Envelope(
        "c", "127.0.0.1:1", receiver, boot_id, seq, 0, 0, ConfigurationPull(version)
    )
    return Sealer(key).seal(envelope)


def test_foreign_and_repeated_messages_are_dropped(pair):
    _, receiver, _ = pair
    valid = seal_pull(1, 1)
    push(
        receiver.port,
        seal_pull(1, 99, key="another-key-0123"),
        seal_pull(1, 99, receiver="d"),
        valid[:-1],
        b"",
        valid,
        valid,
        seal_pull(2, 2),
    )
    receiver.wait_for(2)
    assert receiver.versions == [1, 2]
    counts = receiver.peers.counts
    assert (counts["foreign"], counts["misdirected"], counts["repeated"]) == (2, 1, 1)
    assert counts["unreadable"] == 1


def test_garbage_and_oversized_messages_do_not_stop_the_inbox(pair):
    sender, receiver, _ = pair
    for garbage in (b"GET / HTTP/1.1\r\n\r\n", b"\x00SP\x00\x00\x50\x00\x00" + b"\xff" * 4096):
        with socket.create_connection(("127.0.0.1", receiver.port)) as connection:
            connection.sendall(garbage)
    push(receiver.port, b"x" * (9 * 1024 * 1024))
    send_until(sender, receiver, 5)
    assert receiver.versions == [5] * len(receiver.versions)
