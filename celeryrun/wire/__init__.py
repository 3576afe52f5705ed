"""Messages between nodes and the sockets that carry them."""

from celeryrun.wire._envelope import Envelope, Sealer
from celeryrun.wire._messages import (
    Ask,
    ConfigurationPull,
    ConfigurationState,
    Done,
    Grant,
    Hold,
    KeeperBeat,
    Message,
    News,
    Ping,
    PingAck,
    PingRequest,
    PoolBeat,
    Shed,
    Withdraw,
)
from celeryrun.wire._peers import Peers

__all__ = [
    "Ask",
    "ConfigurationPull",
    "ConfigurationState",
    "Done",
    "Envelope",
    "Grant",
    "Hold",
    "KeeperBeat",
    "Message",
    "News",
    "Peers",
    "Ping",
    "PingAck",
    "PingRequest",
    "PoolBeat",
    "Sealer",
    "Shed",
    "Withdraw",
]
