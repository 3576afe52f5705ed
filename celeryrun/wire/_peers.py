"""Message links between nodes: one inbox, and one outbox for each peer."""

from __future__ import annotations

import queue
import random
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import logbook
import pynng

from celeryrun.exception import ListenError
from celeryrun.settings import Settings
from celeryrun.wire._envelope import Envelope, ForeignMessageError, Sealer
from celeryrun.wire._messages import Ack, KeeperHeartbeat, PingAck
from celeryrun.wire._replay_window import ReplayWindow

__all__ = ["Peers"]

INBOX_MESSAGES = 1024
OUTBOX_MESSAGES = 128
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
POLL_INTERVAL_MS = 500
ACK_TIMEOUT = 1.5  # s without an acknowledgement until an outbox dials again
IDLE_TIMEOUT = 60.0  # s until an unused outbox is closed
WINDOW_RETENTION = 600.0  # s after the last message until a sender's replay window is discarded
WARNING_INTERVAL = 10.0  # s between warnings of foreign messages
TYPES_WITHOUT_ACK = (Ack, KeeperHeartbeat, PingAck)  # replies, whose loss the requester notices

Handler = Callable[[str, Any], None]

log = logbook.Logger("peers")


class _Outbox:
    """Socket to one peer, with its sequence numbers and acknowledgements.

    Attributes
    ----------
    seq, acked_seq : int
        Sequence number of the last message sent and of the last one acknowledged.
    opened_at, last_sent_at : float
        Monotonic times in seconds.
    unacked_since : float or None
        Monotonic time since which an acknowledgement is outstanding, in seconds.
    """

    __slots__ = (
        "acked_seq",
        "address",
        "last_sent_at",
        "opened_at",
        "seq",
        "socket",
        "unacked_since",
    )

    def __init__(self, address: str, seq: int) -> None:
        self.address = address
        self.socket = pynng.Push0(
            dial=f"tcp://{address}",
            block_on_dial=False,
            send_buffer_size=OUTBOX_MESSAGES,
            reconnect_time_min=50,
            reconnect_time_max=500,
        )
        self.seq = seq
        self.acked_seq = seq
        self.opened_at = time.monotonic()
        self.last_sent_at = self.opened_at
        self.unacked_since: float | None = None

    def on_ack(self, acked_seq: int) -> None:
        """Record the highest sequence number that the peer has received."""
        if acked_seq > self.acked_seq:
            self.acked_seq = acked_seq
            self.unacked_since = None if acked_seq >= self.seq else time.monotonic()

    def on_sent(self, without_ack: bool) -> None:
        """Count a message; one that is not acknowledged gets no sequence number of its own."""
        self.last_sent_at = time.monotonic()
        if without_ack:
            return
        self.seq += 1
        if self.unacked_since is None:
            self.unacked_since = self.last_sent_at


class Peers:
    """Service that sends and receives messages between nodes; delivery may fail or be late.

    A connection can stop delivering without an error. Every message therefore acknowledges the
    highest sequence number received from its receiver, and a sender whose messages stay
    unacknowledged for a while dials again. A node with no other message to send acknowledges
    with `Ack`. Repeated messages are dropped.

    Parameters
    ----------
    name : str
        Name of this node.
    address : str
        ``IP:PORT`` to listen on.
    key : str
        Secret that all nodes share.

    Attributes
    ----------
    address_by_name : dict
        Peer address of each known node.
    counts : Counter
        Messages and bytes by what became of them.
    """

    __slots__ = (
        "_ack_due_to",
        "_boot_id",
        "_handlers_by_type",
        "_inbox",
        "_last_warning_at",
        "_local_messages",
        "_lock",
        "_outboxes_by_name",
        "_sealer",
        "_stopped",
        "_threads",
        "_windows_by_sender",
        "address",
        "address_by_name",
        "counts",
        "name",
    )

    def __init__(self, name: str, address: str, key: str) -> None:
        self.name = name
        self.address = address
        self.address_by_name: dict[str, str] = {}
        self.counts: Counter[str] = Counter()
        self._sealer = Sealer(key)
        self._boot_id = random.SystemRandom().getrandbits(32)
        self._handlers_by_type: dict[type, Handler] = {}
        self._outboxes_by_name: dict[str, _Outbox] = {}
        self._ack_due_to: set[str] = set()
        self._windows_by_sender: dict[str, ReplayWindow] = {}
        self._threads: list[threading.Thread] = []
        self._last_warning_at = 0.0
        self._local_messages: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._inbox: Any = None

    @classmethod
    def from_config(cls, settings: Settings) -> Peers:
        """Build the service from settings."""
        return cls(settings.node.name, str(settings.node.peer_address), settings.peers.key)

    def set_handler(self, message_type: type, handler: Handler) -> None:
        """Set the function that handles messages of a type.

        Parameters
        ----------
        handler : callable
            Called with the sender's name and the message, one call at a time for messages from
            peers; it must not block.
        """
        self._handlers_by_type[message_type] = handler

    def start(self) -> None:
        """Listen for peers and start delivering messages.

        Raises
        ------
        ListenError
            If the address can't be listened on.
        """
        self._inbox = pynng.Pull0(
            recv_timeout=POLL_INTERVAL_MS,
            recv_buffer_size=INBOX_MESSAGES,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        try:
            self._inbox.listen(f"tcp://{self.address}")
        except pynng.NNGException as error:
            self._inbox.close()
            raise ListenError(self.address, "peer_address", str(error)) from error
        for loop in (self._receive, self._deliver_local, self._maintain_links):
            thread = threading.Thread(target=loop, name=f"peers{loop.__name__}", daemon=True)
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Close every socket and wait for the threads to end."""
        self._stopped.set()
        self._local_messages.put(None)
        with self._lock:
            for outbox in self._outboxes_by_name.values():
                outbox.socket.close()
            self._outboxes_by_name.clear()
        # pynng aborts the process if it exits while a thread waits on a socket.
        for thread in self._threads:
            thread.join()

    def send(self, name: str, message: Any) -> bool:
        """Send a message; return False if it was dropped before it left this node."""
        if name == self.name:
            self._local_messages.put(message)
            return True
        with self._lock:
            return self._send_locked(name, message)

    def _send_locked(self, name: str, message: Any) -> bool:
        address = self.address_by_name.get(name)
        if address is None or self._stopped.is_set():
            self.counts["unknown peer"] += 1
            return False
        outbox = self._outboxes_by_name.get(name)
        if outbox is None or outbox.address != address:
            outbox = self._open_outbox(name, address)
        outbox.on_sent(isinstance(message, TYPES_WITHOUT_ACK))
        self._ack_due_to.discard(name)
        window = self._windows_by_sender.get(name)
        acked_boot_id, acked_seq = (
            (window.boot_id, window.highest) if window is not None else (0, 0)
        )
        envelope = Envelope(
            self.name,
            self.address,
            name,
            self._boot_id,
            outbox.seq,
            acked_boot_id,
            acked_seq,
            message,
        )
        data = self._sealer.seal(envelope)
        self.counts["sent"] += 1
        self.counts["sent bytes"] += len(data)
        try:
            outbox.socket.send(data, block=False)
        except pynng.NNGException:
            self.counts["dropped"] += 1
            return False
        return True

    def _open_outbox(self, name: str, address: str) -> _Outbox:
        previous = self._outboxes_by_name.get(name)
        if previous is not None:
            previous.socket.close()
        outbox = _Outbox(address, previous.seq if previous is not None else 0)
        self._outboxes_by_name[name] = outbox
        return outbox

    def _receive(self) -> None:
        while not self._stopped.is_set():
            try:
                data = self._inbox.recv()
            except pynng.Timeout:
                continue
            except (pynng.NNGException, RuntimeError) as error:
                # pynng 0.9 raises RuntimeError for a message without any byte.
                self.counts["unreadable"] += 1
                log.debug("receiving from the inbox failed: {}", error)
                continue
            self._on_data(data)
        self._inbox.close()

    def _on_data(self, data: bytes) -> None:
        try:
            envelope = self._sealer.open(data)
        except ForeignMessageError as error:
            self._on_foreign_message(error)
            return
        if envelope.receiver != self.name:
            self.counts["misdirected"] += 1
            return
        if not self._accept(envelope):
            self.counts["repeated"] += 1
            return
        self.counts["received"] += 1
        self.counts["received bytes"] += len(data)
        if not isinstance(envelope.message, Ack):
            self._call_handler(envelope.sender, envelope.message)

    def _on_foreign_message(self, error: ForeignMessageError) -> None:
        self.counts["foreign"] += 1
        if time.monotonic() - self._last_warning_at > WARNING_INTERVAL:
            self._last_warning_at = time.monotonic()
            log.warning(
                "{} foreign messages dropped since start, the last one: {}",
                self.counts["foreign"],
                error,
            )

    def _accept(self, envelope: Envelope) -> bool:
        """Record the sequence number and acknowledgement; return False for a repeated message."""
        sender = envelope.sender
        with self._lock:
            self.address_by_name.setdefault(sender, envelope.address)
            window = self._windows_by_sender.get(sender)
            if window is None or window.boot_id != envelope.boot_id:
                window = self._windows_by_sender[sender] = ReplayWindow(envelope.boot_id)
            if not isinstance(envelope.message, TYPES_WITHOUT_ACK):
                if not window.accept(envelope.seq):
                    return False
                self._ack_due_to.add(sender)
            outbox = self._outboxes_by_name.get(sender)
            if outbox is not None and envelope.acked_boot_id == self._boot_id:
                outbox.on_ack(envelope.acked_seq)
            return True

    def _call_handler(self, sender: str, message: Any) -> None:
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            self.counts["unhandled"] += 1
            return
        try:
            handler(sender, message)
        except Exception:
            self.counts["handler failed"] += 1
            log.exception("handler of {} from {} failed", type(message).__name__, sender)

    def _deliver_local(self) -> None:
        while True:
            message = self._local_messages.get()
            if self._stopped.is_set():
                return
            self._call_handler(self.name, message)

    def _maintain_links(self) -> None:
        while not self._stopped.wait(POLL_INTERVAL_MS / 1000):
            with self._lock:
                self._redial_unacknowledged()
                self._discard_old_windows()
                for name in list(self._ack_due_to):
                    self._send_locked(name, Ack())
                self._ack_due_to.clear()

    def _discard_old_windows(self) -> None:
        oldest = time.monotonic() - WINDOW_RETENTION
        for name, window in list(self._windows_by_sender.items()):
            if window.last_received < oldest:
                del self._windows_by_sender[name]

    def _redial_unacknowledged(self) -> None:
        now = time.monotonic()
        for name, outbox in list(self._outboxes_by_name.items()):
            if now - outbox.last_sent_at > IDLE_TIMEOUT:
                outbox.socket.close()
                del self._outboxes_by_name[name]
                continue
            since = outbox.unacked_since
            if since is not None and now - max(since, outbox.opened_at) > ACK_TIMEOUT:
                self.counts["redialled"] += 1
                self._open_outbox(name, self.address_by_name.get(name, outbox.address))
