"""Clients of the services that the platform gives."""

from celeryrun.platform._log import LogClient, Page, Record, TooManyAppendsError
from celeryrun.platform._vms import Vm, VmList, fetch_vms

__all__ = ["LogClient", "Page", "Record", "TooManyAppendsError", "Vm", "VmList", "fetch_vms"]
