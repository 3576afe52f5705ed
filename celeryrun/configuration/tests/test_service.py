"""Messages of peers that can't be read."""

from celeryrun.configuration import ConfigurationService
from celeryrun.wire import ConfigurationState


def test_unreadable_snapshot_of_a_peer_is_dropped():
    """An exception would end the thread that delivers all messages of peers."""
    service = ConfigurationService.__new__(ConfigurationService)
    service._on_state("node-1", ConfigurationState(b"\xff\x00"))
