"""What strangers may send to the ports of a node and to the log."""

import random
import socket

import msgspec

from celeryrun.tests.builders import fresh_key
from celeryrun.wire import Envelope, Grant, Sealer, SlotRequest
from celeryrun.wire.tests.test_peers import push
from standins.fleet import PEER_KEY

MESSAGES = 200


def peer_port(fleet, node):
    (vm,) = [vm for vm in fleet.vms if vm["name"] == node]
    return int(vm["address"].rpartition(":")[2])


def answers_are_whole(fleet):
    for node in fleet.nodes:
        draft = {"prompt": "a draft", "max_tokens": 3}
        for answer in (
            fleet.request(node, "routes", "POST", "/drafts/v1/generate", draft),
            fleet.request(
                node,
                "bookings",
                "POST",
                "/warehouse/bookings",
                {},
                Idempotency_Key=fresh_key(),
            ),
        ):
            assert answer.headers["Celeryrun-Outcome"] == "complete", answer.data
    for node in fleet.nodes:
        assert fleet.process_by_name[node].poll() is None


def test_strangers_on_the_peer_port(fleet):
    choices = random.Random(1)
    port = peer_port(fleet, fleet.nodes[0])
    push(port, *[choices.randbytes(choices.randrange(300)) for _ in range(MESSAGES)])
    for length in (1, 8, 4096, 200_000):
        with socket.create_connection(("127.0.0.1", port)) as connection:
            connection.sendall(choices.randbytes(length))
    answers_are_whole(fleet)


def test_odd_messages_that_are_signed(fleet):
    node = fleet.nodes[0]
    sealer = Sealer(PEER_KEY)
    odd = [
        SlotRequest("nowhere", 1, 1, "nobody", -1.0, (), float("nan")),
        SlotRequest("drafts", 2**63, -5, "w" * 10_000, 1e300, (0,) * 1000, -1.0),
        Grant("drafts", 99, 99, "no such target"),
    ]
    messages = [
        sealer.seal(Envelope("stranger", "127.0.0.1:1", node, 1, seq, 0, 0, message))
        for seq, message in enumerate(odd, 1)
    ]
    garbled = msgspec.msgpack.encode(["a", 1, "b"])
    messages.append(sealer._mac(garbled) + garbled)
    push(peer_port(fleet, node), *messages)
    answers_are_whole(fleet)


def test_garbage_in_the_log(fleet):
    choices = random.Random(2)
    for stream in ("claims", "configuration"):
        path = f"/v1/streams/{stream}/records"
        records = [choices.randbytes(choices.randrange(400)) for _ in range(20)]
        for record in [*records, b"", b"[", b"{}", b"[[[]],[]]", b"x" * 1_000_000]:
            fleet.http.request("POST", fleet.url("platform") + path, body=record)
    answers_are_whole(fleet)
