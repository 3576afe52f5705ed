"""Malformed input on the peer port and in the log leaves the nodes able to serve."""

import random
import socket

import msgspec

from celeryrun.tests.builders import build_idempotency_key
from celeryrun.wire import Envelope, Grant, Sealer, SlotRequest
from celeryrun.wire.tests.test_peers import push
from standins.fleet import PEER_KEY

MESSAGE_COUNT = 200


def peer_port(fleet, node):
    (vm,) = [vm for vm in fleet.vms if vm["name"] == node]
    return int(vm["address"].rpartition(":")[2])


def assert_requests_complete(fleet):
    for node in fleet.nodes:
        draft = {"prompt": "a draft", "max_tokens": 3}
        for response in (
            fleet.request(node, "routes", "POST", "/drafts/v1/generate", draft),
            fleet.request(
                node,
                "bookings",
                "POST",
                "/warehouse/bookings",
                {},
                Idempotency_Key=build_idempotency_key(),
            ),
        ):
            assert response.headers["Celeryrun-Outcome"] == "complete", response.data
    for node in fleet.nodes:
        assert fleet.process_by_name[node].poll() is None


def test_random_bytes_on_the_peer_port(fleet):
    generator = random.Random(1)
    port = peer_port(fleet, fleet.nodes[0])
    push(port, *[generator.randbytes(generator.randrange(300)) for _ in range(MESSAGE_COUNT)])
    for length in (1, 8, 4096, 200_000):
        with socket.create_connection(("127.0.0.1", port)) as connection:
            connection.sendall(generator.randbytes(length))
    assert_requests_complete(fleet)


def test_signed_messages_with_invalid_content(fleet):
    node = fleet.nodes[0]
    sealer = Sealer(PEER_KEY)
    invalid_messages = [
        SlotRequest("nowhere", 1, 1, "nobody", -1.0, (), float("nan")),
        SlotRequest("drafts", 2**63, -5, "w" * 10_000, 1e300, (0,) * 1000, -1.0),
        Grant("drafts", 99, 99, "no such target"),
    ]
    sealed_messages = [
        sealer.seal(Envelope("stranger", "127.0.0.1:1", node, 1, seq, 0, 0, message))
        for seq, message in enumerate(invalid_messages, 1)
    ]
    malformed = msgspec.msgpack.encode(["a", 1, "b"])
    sealed_messages.append(sealer._mac(malformed) + malformed)
    push(peer_port(fleet, node), *sealed_messages)
    assert_requests_complete(fleet)


def test_malformed_records_in_the_log(fleet):
    generator = random.Random(2)
    for stream in ("claims", "configuration"):
        path = f"/v1/streams/{stream}/records"
        records = [generator.randbytes(generator.randrange(400)) for _ in range(20)]
        for record in [*records, b"", b"[", b"{}", b"[[[]],[]]", b"x" * 1_000_000]:
            fleet.http.request("POST", fleet.url("platform") + path, body=record)
    assert_requests_complete(fleet)
