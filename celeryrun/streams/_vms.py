"""Client of the platform's list of live and leaving VMs, which lags behind their state."""

from __future__ import annotations

import threading
from collections.abc import Callable

import logbook
import msgspec
import urllib3

from celeryrun.exception import CeleryrunError
from celeryrun.settings import PlatformSettings

__all__ = ["Vm", "VmList", "fetch_vms"]

HTTP_OK = 200

log = logbook.Logger("vms")


class Vm(msgspec.Struct, frozen=True):
    """One VM of the list.

    Parameters
    ----------
    name, zone : str
        Name of the VM and its availability zone.
    address : str
        ``IP:PORT`` for requests (target) or peer messages (node).
    state : str
        ``live`` or ``leaving``.
    role : str
        ``node`` or ``target``.
    pool : str
        The pool that a target serves.
    operator : str
        ``IP:PORT`` of a node's health and status.
    """

    name: str
    zone: str
    address: str
    state: str
    role: str
    pool: str = ""
    operator: str = ""


class _VmListBody(msgspec.Struct):
    vms: list[Vm]


def fetch_vms(http: urllib3.PoolManager, url: str, timeout: float) -> list[Vm]:
    """Read the list once.

    Raises
    ------
    CeleryrunError
        If there is no readable response with status 200.
    """
    try:
        response = http.request("GET", f"{url}/v1/vms", timeout=timeout)
        if response.status != HTTP_OK:
            raise CeleryrunError(
                f"VM list returned status {response.status}; wait for the platform"
            )
        return msgspec.json.decode(response.data, type=_VmListBody).vms
    except (urllib3.exceptions.HTTPError, msgspec.MsgspecError, RecursionError) as error:
        raise CeleryrunError(
            f"no readable VM list ({type(error).__name__}); wait for the platform"
        ) from error


class VmList:
    """Service that polls the list of VMs and passes each result to its watchers.

    While the list is unavailable, ``vms`` keeps the last result.
    """

    __slots__ = ("_http", "_period", "_stopped", "_thread", "_timeout", "_url", "vms", "watchers")

    def __init__(self, url: str, period: float, timeout: float) -> None:
        self._url = url
        self._period = period
        self._timeout = timeout
        self._http = urllib3.PoolManager(maxsize=1, retries=False)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="vms", daemon=True)
        self.vms: list[Vm] = []
        self.watchers: list[Callable[[list[Vm]], None]] = []

    @classmethod
    def from_config(cls, settings: PlatformSettings) -> VmList:
        """Build the service from settings."""
        return cls(settings.list_url, settings.list_period, settings.timeout)

    def start(self) -> None:
        """Start the polling thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the polling thread."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._poll()
            self._stopped.wait(self._period)

    def _poll(self) -> None:
        try:
            self.vms = fetch_vms(self._http, self._url, self._timeout)
        except CeleryrunError as error:
            log.warning("{}", error)
            return
        for watcher in self.watchers:
            watcher(self.vms)
