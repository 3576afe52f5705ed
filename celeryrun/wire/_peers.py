"""Sockets between nodes: one inbox, and one outbox for each peer."""

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

from celeryrun.settings import Settings
from celeryrun.wire._envelope import Envelope, ForeignMessageError, Sealer
from celeryrun.wire._messages import Ack, KeeperHeartbeat, PingAck
from celeryrun.wire._replay_window import ReplayWindow

__all__ = ["Peers"]

INBOX_MESSAGES = 1024
OUTBOX_MESSAGES = 128
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
POLL_PERIOD_MS = 500
SILENCE_LIMIT = 1.5  # s without a sign that our messages arrive
IDLE_LIMIT = 60.0  # s until an unused outbox is closed
FORGET_AFTER = 600.0  # s until a sender that is not heard any more is forgotten
WARNING_PERIOD = 10.0  # s between two warnings of strangers
UNCOUNTED = (Ack, KeeperHeartbeat, PingAck)  # answers; whoever asked misses them

Handler = Callable[[str, Any], None]

log = logbook.Logger("peers")


class _Outbox:
    """Socket towards one peer, and what is known of its being heard."""

    __slots__ = ("address", "heard_seq", "last_sent", "opened", "seq", "socket", "unheard_since")

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
        self.heard_seq = seq
        self.opened = time.monotonic()
        self.last_sent = self.opened
        self.unheard_since: float | None = None

    def note_heard(self, seen: int) -> None:
        """Take in which message the peer has."""
        if seen > self.heard_seq:
            self.heard_seq = seen
            self.unheard_since = None if seen >= self.seq else time.monotonic()

    def note_sent(self, uncounted: bool) -> None:
        """Number a message, unless it is one that nobody need hear."""
        self.last_sent = time.monotonic()
        if uncounted:
            return
        self.seq += 1
        if self.unheard_since is None:
            self.unheard_since = self.last_sent


class Peers:
    """Service that carries messages between nodes; delivery may fail or come late.

    A link may go silent for good without an error. Every message says which was the last one
    heard from its receiver, so a sender whose messages are not heard for a while redials. A
    receiver with nothing to say sends `Ack` instead. A message that comes twice is dropped.

    Parameters
    ----------
    name : str
        This node.
    address : str
        ``IP:PORT`` to listen on.
    key : str
        Secret shared by all nodes.
    """

    __slots__ = (
        "_boot",
        "_handlers_by_type",
        "_inbox",
        "_local",
        "_lock",
        "_outbox_by_name",
        "_sealer",
        "_owed",
        "_received_by_name",
        "_stopped",
        "_tasks",
        "_warned",
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
        self._boot = random.SystemRandom().getrandbits(32)
        self._handlers_by_type: dict[type, Handler] = {}
        self._outbox_by_name: dict[str, _Outbox] = {}
        self._owed: set[str] = set()
        self._received_by_name: dict[str, ReplayWindow] = {}
        self._tasks: list[threading.Thread] = []
        self._warned = 0.0
        self._local: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._inbox: Any = None

    @classmethod
    def from_config(cls, settings: Settings) -> Peers:
        """Build the service from settings."""
        return cls(settings.node.name, str(settings.node.peer_address), settings.peers.key)

    def set_handler(self, message_type: type, handler: Handler) -> None:
        """Choose what is called with the sender's name and the message; it must not block."""
        self._handlers_by_type[message_type] = handler

    def start(self) -> None:
        """Listen, and begin to deliver."""
        self._inbox = pynng.Pull0(
            listen=f"tcp://{self.address}",
            recv_timeout=POLL_PERIOD_MS,
            recv_buffer_size=INBOX_MESSAGES,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        for task in (self._receive, self._deliver_local, self._watch):
            thread = threading.Thread(target=task, name=f"peers{task.__name__}", daemon=True)
            self._tasks.append(thread)
            thread.start()

    def stop(self) -> None:
        """Close every socket."""
        self._stopped.set()
        self._local.put(None)
        with self._lock:
            for outbox in self._outbox_by_name.values():
                outbox.socket.close()
            self._outbox_by_name.clear()
        # The library aborts the process if it ends while a task waits in a socket.
        for thread in self._tasks:
            thread.join()

    def send(self, name: str, message: Any) -> bool:
        """Send a message; return False if it was dropped at once."""
        if name == self.name:
            self._local.put(message)
            return True
        with self._lock:
            return self._send_locked(name, message)

    def _send_locked(self, name: str, message: Any) -> bool:
        address = self.address_by_name.get(name)
        if address is None or self._stopped.is_set():
            self.counts["unknown peer"] += 1
            return False
        outbox = self._outbox_by_name.get(name)
        if outbox is None or outbox.address != address:
            outbox = self._open(name, address)
        outbox.note_sent(isinstance(message, UNCOUNTED))
        self._owed.discard(name)
        received = self._received_by_name.get(name)
        seen_boot, seen = (received.boot, received.highest) if received is not None else (0, 0)
        envelope = Envelope(
            self.name, self.address, name, self._boot, outbox.seq, seen_boot, seen, message
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

    def _open(self, name: str, address: str) -> _Outbox:
        old = self._outbox_by_name.get(name)
        if old is not None:
            old.socket.close()
        outbox = _Outbox(address, old.seq if old is not None else 0)
        self._outbox_by_name[name] = outbox
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
                log.debug("inbox: {}", error)
                continue
            self._take(data)
        self._inbox.close()

    def _take(self, data: bytes) -> None:
        try:
            envelope = self._sealer.open(data)
        except ForeignMessageError as error:
            self._note_stranger(error)
            return
        if envelope.receiver != self.name:
            self.counts["misdirected"] += 1
            return
        if not self._note_link(envelope):
            self.counts["repeated"] += 1
            return
        self.counts["received"] += 1
        self.counts["received bytes"] += len(data)
        if not isinstance(envelope.message, Ack):
            self._call(envelope.sender, envelope.message)

    def _note_stranger(self, error: ForeignMessageError) -> None:
        self.counts["foreign"] += 1
        if time.monotonic() - self._warned > WARNING_PERIOD:
            self._warned = time.monotonic()
            log.warning("{} foreign messages, the last: {}", self.counts["foreign"], error)

    def _note_link(self, envelope: Envelope) -> bool:
        """Learn from an envelope; returns False if the same one came before."""
        sender = envelope.sender
        with self._lock:
            self.address_by_name.setdefault(sender, envelope.address)
            received = self._received_by_name.get(sender)
            if received is None or received.boot != envelope.boot_id:
                received = self._received_by_name[sender] = ReplayWindow(envelope.boot_id)
            if not isinstance(envelope.message, UNCOUNTED):
                if not received.accept(envelope.seq):
                    return False
                self._owed.add(sender)
            outbox = self._outbox_by_name.get(sender)
            if outbox is not None and envelope.acked_boot_id == self._boot:
                outbox.note_heard(envelope.acked_seq)
            return True

    def _call(self, sender: str, message: Any) -> None:
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            self.counts["unhandled"] += 1
            return
        try:
            handler(sender, message)
        except Exception:
            self.counts["handler failed"] += 1
            log.exception("handling {} from {}", type(message).__name__, sender)

    def _deliver_local(self) -> None:
        while True:
            message = self._local.get()
            if self._stopped.is_set():
                return
            self._call(self.name, message)

    def _watch(self) -> None:
        while not self._stopped.wait(POLL_PERIOD_MS / 1000):
            with self._lock:
                self._redial_unheard()
                self._forget_silent()
                for name in list(self._owed):
                    self._send_locked(name, Ack())
                self._owed.clear()

    def _forget_silent(self) -> None:
        oldest = time.monotonic() - FORGET_AFTER
        for name, received in list(self._received_by_name.items()):
            if received.last < oldest:
                del self._received_by_name[name]

    def _redial_unheard(self) -> None:
        now = time.monotonic()
        for name, outbox in list(self._outbox_by_name.items()):
            if now - outbox.last_sent > IDLE_LIMIT:
                outbox.socket.close()
                del self._outbox_by_name[name]
                continue
            since = outbox.unheard_since
            if since is not None and now - max(since, outbox.opened) > SILENCE_LIMIT:
                self.counts["redialled"] += 1
                self._open(name, self.address_by_name.get(name, outbox.address))
