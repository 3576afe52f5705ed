"""Signed envelopes around messages."""

from __future__ import annotations

import hashlib
import hmac

import msgspec

from celeryrun.exception import CeleryrunError
from celeryrun.wire._messages import Message

__all__ = ["Envelope", "ForeignMessageError", "Sealer"]

MAC_BYTES = 16


class ForeignMessageError(CeleryrunError):
    """Bytes on the peer port that are not a valid message signed with ``[peers] key``."""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with addressing, sequence number and acknowledgement.

    Parameters
    ----------
    sender : str
        Name of the sending node.
    address : str
        The sender's peer address, ``IP:PORT``.
    receiver : str
        Name of the node that the message is addressed to.
    boot_id : int
        Random number that the sender draws each time it starts.
    seq : int
        Sequence number on the link from the sender to the receiver; a message that is not
        acknowledged repeats the last one.
    acked_boot_id, acked_seq : int
        The receiver's ``boot_id`` and the highest ``seq`` that the sender has received from it;
        0 and 0 if there is none.
    """

    sender: str
    address: str
    receiver: str
    boot_id: int
    seq: int
    acked_boot_id: int
    acked_seq: int
    message: Message


class Sealer:
    """Encodes and signs envelopes, checks and decodes them.

    Parameters
    ----------
    key : str
        Secret that all nodes share.

    Examples
    --------
    >>> from celeryrun.wire import ConfigurationPull
    >>> sealer = Sealer("0123456789abcdef")
    >>> envelope = Envelope("a", "127.0.0.1:1", "b", 1, 1, 0, 0, ConfigurationPull(7))
    >>> sealer.open(sealer.seal(envelope)).message.version
    7
    """

    __slots__ = ("_decoder", "_encoder", "_key")

    def __init__(self, key: str) -> None:
        self._key = hashlib.blake2b(key.encode()).digest()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)

    def seal(self, envelope: Envelope) -> bytes:
        """Return an envelope encoded and signed."""
        body = self._encoder.encode(envelope)
        return self._mac(body) + body

    def open(self, data: bytes) -> Envelope:
        """Return the envelope decoded after its signature is checked.

        Raises
        ------
        ForeignMessageError
            If the signature does not match or the content is not a known message.
        """
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body)):
            raise ForeignMessageError("signature does not match; check [peers] key on both nodes")
        try:
            return self._decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise ForeignMessageError(f"unknown message ({error}); upgrade this node") from error

    def _mac(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, key=self._key[:64], digest_size=MAC_BYTES).digest()
