"""Clients of the platform's append-only log and of its list of VMs."""

from celeryrun.streams._log import LogClient, Page, Record, TooManyAppendsError
from celeryrun.streams._vms import Vm, VmList, fetch_vms

__all__ = ["LogClient", "Page", "Record", "TooManyAppendsError", "Vm", "VmList", "fetch_vms"]
