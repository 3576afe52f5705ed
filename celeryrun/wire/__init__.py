"""Messages between nodes and the sockets that carry them."""

from celeryrun.wire._envelope import Envelope, Sealer
from celeryrun.wire._messages import (
    Ask,
    ConfigurationDelta,
    ConfigurationNotice,
    ConfigurationPull,
    ConfigurationState,
    Done,
    Grant,
    Hold,
    KeeperBeat,
    LogRecord,
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
    "ConfigurationDelta",
    "ConfigurationNotice",
    "ConfigurationPull",
    "ConfigurationState",
    "Done",
    "Envelope",
    "Grant",
    "Hold",
    "KeeperBeat",
    "LogRecord",
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
