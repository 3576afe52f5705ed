"""Client of the nodes' operator listeners."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

import msgspec
import urllib3

from celeryrun.exception import CeleryrunError, NoResponseError
from celeryrun.front import Status
from celeryrun.settings import Address, Settings
from celeryrun.streams import fetch_vms

__all__ = ["drain_node", "fetch_statuses", "find_operator_address"]

STATUS_TIMEOUT = 2.0  # s
DRAIN_TIMEOUT = 5.0  # s
MAX_CONNECTIONS = 16


def fetch_statuses(settings: Settings) -> dict[str, Status | None]:
    """Return the status of each node by name, None for a node that does not respond.

    Raises
    ------
    CeleryrunError
        If neither the platform's VM list nor the node of the settings can be read.
    """
    http = urllib3.PoolManager(retries=False, num_pools=MAX_CONNECTIONS)
    address_by_node = _find_operator_addresses(http, settings)
    with ThreadPoolExecutor(MAX_CONNECTIONS) as pool:
        statuses = pool.map(lambda address: _fetch_status(http, address), address_by_node.values())
        return dict(zip(address_by_node, statuses, strict=True))


def find_operator_address(settings: Settings, name: str) -> str:
    """Return the address of a node's operator listener.

    Raises
    ------
    NoResponseError
        If no node has that name.
    """
    address_by_node = _find_operator_addresses(urllib3.PoolManager(retries=False), settings)
    if name not in address_by_node:
        known = ", ".join(sorted(address_by_node)) or "none"
        raise NoResponseError(f"no node {name!r}; known are {known}")
    return address_by_node[name]


def drain_node(address: str) -> str:
    """Start draining the node with this operator listener, and return its response.

    Raises
    ------
    NoResponseError
        If no operator listener responds at the address.
    """
    http = urllib3.PoolManager(retries=False)
    try:
        response = http.request("POST", f"http://{address}/drain", timeout=DRAIN_TIMEOUT)
    except urllib3.exceptions.HTTPError as error:
        raise NoResponseError(f"no response from {address}; check the address") from error
    if response.status != 202:
        raise NoResponseError(f"{address} is not an operators' listener; use the operator_address")
    return response.data.decode().strip()


def _find_operator_addresses(http: urllib3.PoolManager, settings: Settings) -> dict[str, str]:
    try:
        vms = fetch_vms(http, settings.platform.list_url, settings.platform.timeout)
    except CeleryrunError:
        return _fetch_member_addresses(http, settings.node.operator_address)
    return {vm.name: vm.operator for vm in vms if vm.role == "node"}


def _fetch_member_addresses(http: urllib3.PoolManager, address: Address) -> dict[str, str]:
    status = _fetch_status(http, str(address))
    if status is None:
        reason = f"neither the list of VMs nor the node at {address} responds"
        raise NoResponseError(f"{reason}; wait for the list, or start the node")
    return {member.name: member.operator for member in status.members}


def _fetch_status(http: urllib3.PoolManager, address: str) -> Status | None:
    try:
        response = http.request("GET", f"http://{address}/status", timeout=STATUS_TIMEOUT)
        return msgspec.json.decode(response.data, type=Status)
    except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
        return None
