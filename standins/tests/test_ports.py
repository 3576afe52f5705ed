"""Ports of test processes: one process each, also where several test runs share a machine."""

import os
import socket
import subprocess
import sys

from standins import ports
from standins.fleet import Fleet, FleetConfig
from standins.ports import PortLease, lease_ports

NARROW_FIRST = 20_000 + os.getpid() % 250 * 40  # so that test runs beside each other differ
NARROW_RANGE = (NARROW_FIRST, NARROW_FIRST + 40)


def test_port_is_given_once_before_anybody_listens(monkeypatch, tmp_path):
    monkeypatch.setattr(ports, "PORT_RANGE", NARROW_RANGE)
    lease = PortLease(tmp_path / "locks")
    given = [port for _ in range(10) for port in lease.take(3)]
    assert len(set(given)) == len(given)


def test_port_leased_by_another_process_is_not_given(tmp_path):
    path = tmp_path / "locks"
    code = (
        "import sys; from pathlib import Path; from standins.ports import PortLease\n"
        "lease = PortLease(Path(sys.argv[1])); print(lease.take(1)[0], flush=True)\n"
        "sys.stdin.read()"
    )
    command = [sys.executable, "-c", code, str(path)]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as other:
        port = int(other.stdout.readline())
        lease = PortLease(path)
        assert not lease.try_take(port)
        other.stdin.close()
        other.wait(10)
    assert lease.try_take(port)


def test_port_in_use_is_not_given(tmp_path):
    (port,) = lease_ports(1)
    with socket.socket() as listener:
        listener.bind((ports.HOST, port))
        listener.listen()
        assert not PortLease(tmp_path / "locks").try_take(port)


def test_fleet_gives_each_of_its_processes_ports_of_its_own(monkeypatch):
    """With 40 ports to choose from, ports that are only probed soon repeat."""
    monkeypatch.setattr(ports, "PORT_RANGE", NARROW_RANGE)
    fleet = Fleet(FleetConfig())
    fleet.port_by_name["platform"] = 1
    monkeypatch.setattr(fleet, "start_process", lambda name, command: None)
    for number in range(9):
        fleet.add_node(f"node-{number}")
    given = [*fleet.port_by_name.values(), *fleet.operator_port_by_name.values()]
    given += [int(vm["address"].rpartition(":")[2]) for vm in fleet.vms]
    assert len(set(given)) == len(given) == 9 * 3 + 1
