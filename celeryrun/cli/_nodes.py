"""Finding the nodes and asking them."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

import msgspec
import urllib3

from celeryrun.exception import CeleryrunError, NoAnswerError
from celeryrun.front import Status
from celeryrun.settings import Address, Settings
from celeryrun.streams import fetch_vms

__all__ = ["drain_node", "fetch_statuses", "find_operator"]

STATUS_TIMEOUT = 2.0  # s
DRAIN_TIMEOUT = 5.0  # s
CONNECTIONS = 16


def fetch_statuses(settings: Settings) -> dict[str, Status | None]:
    """Return the status by node, None where a node does not answer.

    Raises
    ------
    CeleryrunError
        If neither the platform's list nor the node of these settings tells which nodes there are.
    """
    http = urllib3.PoolManager(retries=False, num_pools=CONNECTIONS)
    operators = _find_operators(http, settings)
    with ThreadPoolExecutor(CONNECTIONS) as pool:
        statuses = pool.map(lambda operator: _fetch_status(http, operator), operators.values())
        return dict(zip(operators, statuses, strict=True))


def find_operator(settings: Settings, name: str) -> str:
    """Return the operators' address of a node.

    Raises
    ------
    NoAnswerError
        If no node has that name.
    """
    operators = _find_operators(urllib3.PoolManager(retries=False), settings)
    if name not in operators:
        known = ", ".join(sorted(operators)) or "none"
        raise NoAnswerError(f"no node {name!r}; known are {known}")
    return operators[name]


def drain_node(address: str) -> str:
    """Tell the node behind an operators' address to leave, and return its answer.

    Raises
    ------
    NoAnswerError
        If no node answers there.
    """
    http = urllib3.PoolManager(retries=False)
    try:
        response = http.request("POST", f"http://{address}/drain", timeout=DRAIN_TIMEOUT)
    except urllib3.exceptions.HTTPError as error:
        raise NoAnswerError(f"no answer from {address}; check the address") from error
    if response.status != 202:
        raise NoAnswerError(f"{address} is no operators' listener; use the operator_address")
    return response.data.decode().strip()


def _find_operators(http: urllib3.PoolManager, settings: Settings) -> dict[str, str]:
    try:
        vms = fetch_vms(http, settings.platform.list_url, settings.platform.timeout)
    except CeleryrunError:
        return _ask_node(http, settings.node.operator_address)
    return {vm.name: vm.operator for vm in vms if vm.role == "node"}


def _ask_node(http: urllib3.PoolManager, address: Address) -> dict[str, str]:
    status = _fetch_status(http, str(address))
    if status is None:
        reason = f"neither the list of VMs nor the node at {address} answers"
        raise NoAnswerError(f"{reason}; wait for the list, or start the node")
    return {member.name: member.operator for member in status.members}


def _fetch_status(http: urllib3.PoolManager, operator: str) -> Status | None:
    try:
        response = http.request("GET", f"http://{operator}/status", timeout=STATUS_TIMEOUT)
        return msgspec.json.decode(response.data, type=Status)
    except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
        return None
