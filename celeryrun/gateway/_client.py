"""Asks for slots at the scheduler of the fleet, or at this node's own while no other answers."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass

from celeryrun.gateway._events import EventLog
from celeryrun.gateway._links import Beat, Feed, Hello, Leaving, Link, Message
from celeryrun.gateway._members import Members
from celeryrun.gateway._pace import LOST_BEATS, beat_period
from celeryrun.gateway._server import Reply, SchedulerServer
from celeryrun.kernel import Kernel, now
from celeryrun.platform import KeyedPage, KeyedRecord
from celeryrun.scheduling import (
    UNUSED,
    Cancel,
    Denial,
    FirstByte,
    Grant,
    HeldSlot,
    SlotReleased,
    SlotRequest,
)
from celeryrun.settings import Address, GatewaySettings

__all__ = ["SchedulerClient"]

DUTY = "scheduler"
BEATS_KEPT = 16  # heartbeats whose answers are still believed, a few seconds
DIAL_PERIOD = 1.0  # s between two tries to reach a node
DIALS = 2  # nodes dialled at a time, so that a fleet that starts does not dial all of itself
DIAL_TIMEOUT = 0.3  # s
SETTLE = 0.4  # s after the start for which asks wait until a scheduler is found


@dataclass(slots=True)
class Pending:
    """An ask without an answer."""

    ask: SlotRequest
    asked: float
    future: asyncio.Future[Reply]
    scheduler: str


@dataclass(slots=True)
class Held:
    """A slot that this node uses."""

    scheduler: str
    grant: Grant
    ask: SlotRequest
    granted: float


class SchedulerClient:
    """Service by which this node's requests get their slots."""

    __slots__ = (
        "_dialing",
        "_events",
        "_held_by_grant",
        "_chosen",
        "_ids",
        "_leaving",
        "_links_by_node",
        "_local",
        "_name",
        "_number",
        "_pending_by_ask",
        "_members",
        "_sent_by_number",
        "_settled",
        "_started",
        "_task",
        "_tried",
    )

    def __init__(self, kernel: Kernel, settings: GatewaySettings) -> None:
        self._local: SchedulerServer = kernel.find("scheduler")
        self._members: Members = kernel.find("members")
        self._events: EventLog = kernel.find("events")
        self._name = settings.node.name
        self._chosen = self._name
        self._ids = itertools.count(1)
        self._number = 0
        self._sent_by_number: dict[int, float] = {}
        self._links_by_node: dict[str, Link] = {}
        self._leaving: set[str] = set()
        self._dialing: set[str] = set()
        self._tried: dict[str, float] = {}
        self._pending_by_ask: dict[int, Pending] = {}
        self._held_by_grant: dict[int, Held] = {}
        self._task: asyncio.Task[None] | None = None
        self._settled = asyncio.Event()
        self._started = 0.0
        self._local.has_own_asks = True
        self._local.serve_locally(self._on_reply)

    def start(self) -> None:
        """Begin to look for the fleet's scheduler."""
        self._started = now()
        self._members.on_change = self._look_around
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.cancel()
        for link in list(self._links_by_node.values()):
            link.close()

    def leave(self) -> None:
        """Give the duty of scheduling to another node."""
        self._leaving.add(self._name)
        self._local.leave()

    async def place(self, ask: SlotRequest) -> Reply:
        """Wait for a slot.

        Returns
        -------
        Grant or Denial
            Every grant must be given back by ``done``.
        """
        if not self._settled.is_set():
            await self._settled.wait()
        ask.id = next(self._ids)
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._pending_by_ask[ask.id] = Pending(ask, now(), future, self._chosen)
        self._send(self._chosen, ask)
        try:
            return await future
        except asyncio.CancelledError:
            if future.cancelled():
                self._send(self._pending_by_ask[ask.id].scheduler, Cancel(ask.id))
            elif isinstance(reply := future.result(), Grant):
                # The grant came in the same turn in which the caller left.
                self.done(reply, UNUSED)
            raise
        finally:
            del self._pending_by_ask[ask.id]

    def first(self, grant: Grant, seconds: float) -> None:
        """Tell that the first byte of an answer came."""
        held = self._held_by_grant.get(grant.grant_id)
        if held is not None:
            self._send(held.scheduler, FirstByte(grant.grant_id, seconds))

    def done(self, grant: Grant, outcome: str, seconds: float = 0.0, events: int = 0) -> None:
        """Give a slot back."""
        held = self._held_by_grant.pop(grant.grant_id, None)
        if held is None:
            return
        message = SlotReleased(grant.grant_id, outcome, seconds, events)
        self._send(held.scheduler, message)
        if self._chosen != held.scheduler:
            self._send(self._chosen, message)

    def _send(self, scheduler: str, message: Message) -> None:
        if scheduler == self._name:
            self._local.take(self._name, message)
        elif scheduler in self._links_by_node:
            self._links_by_node[scheduler].send(message)

    def _on_reply(self, reply: Reply) -> None:
        self._take_reply(self._name, reply)

    def _take_reply(self, scheduler: str, reply: Reply) -> None:
        pending = self._pending_by_ask.get(reply.slot_request_id)
        wanted = (
            pending is not None and pending.scheduler == scheduler and not pending.future.done()
        )
        match reply:
            case Grant():
                if not wanted or pending is None:
                    self._send(scheduler, SlotReleased(reply.grant_id, UNUSED))
                    return
                self._held_by_grant[reply.grant_id] = Held(scheduler, reply, pending.ask, now())
                pending.future.set_result(reply)
            case Denial():
                if wanted and pending is not None:
                    pending.future.set_result(reply)

    async def _run(self) -> None:
        while True:
            self._look_around()
            await asyncio.sleep(self._beat_period())

    def _beat_period(self) -> float:
        return beat_period(len(self._members.address_by_node))

    def _look_around(self) -> None:
        """Send heartbeats, give up silent schedulers, and turn to the one of highest rank."""
        time = now()
        self._number += 1
        self._sent_by_number[self._number] = time
        self._sent_by_number.pop(self._number - BEATS_KEPT, None)
        for node, link in list(self._links_by_node.items()):
            if time - link.heard > LOST_BEATS * self._beat_period():
                self._events.emit("scheduler-silent", peer=node, silent=time - link.heard)
                link.close()
            else:
                link.send(Beat(self._number))
        ranked = self._members.ranked(DUTY, self._name)
        chosen = self._best_of(ranked, time)
        self._turn_to(chosen)
        self._ask_stranded()
        self._drop_needless(ranked[ranked.index(chosen) + 1 :])
        is_late = time - self._started > SETTLE
        if is_late or (self._members.is_known() and not self._dialing):
            self._settled.set()

    def _best_of(self, ranked: list[str], time: float) -> str:
        """Return the first node that schedules for this one, and dial those before it."""
        dials = 0
        for node in ranked:
            if node == self._name:
                if node not in self._leaving:
                    break
            elif node in self._links_by_node:
                if node not in self._leaving:
                    return node
            elif dials < DIALS and self._dial(node, time):
                dials += 1
        return self._name

    def _drop_needless(self, nodes: list[str]) -> None:
        """Close links to nodes that would not be asked, once nothing is held by their grants."""
        used = {pending.scheduler for pending in self._pending_by_ask.values()}
        used |= {held.scheduler for held in self._held_by_grant.values()}
        for node in nodes:
            link = self._links_by_node.get(node)
            if link is not None and node not in used:
                del self._links_by_node[node]
                link.close()

    def _turn_to(self, scheduler: str) -> None:
        if scheduler == self._chosen:
            return
        self._events.emit("scheduler-chosen", peer=scheduler, former=self._chosen)
        self._chosen = scheduler
        self._local.has_own_asks = scheduler == self._name
        if scheduler == self._name:
            self._local.adopt(self._name, self._holds())
            for follower in self._local.followers:
                follower.resume_reading()

    def _ask_stranded(self) -> None:
        """Ask the chosen scheduler for what another one was asked that can't answer any more."""
        for pending in list(self._pending_by_ask.values()):
            asked = pending.scheduler
            answers = asked in self._links_by_node and asked not in self._leaving
            if asked != self._name and not answers:
                self._ask_again(pending)

    def _ask_again(self, pending: Pending) -> None:
        if pending.future.done():
            return
        waited = now() - pending.asked
        pending.asked += waited
        pending.scheduler = self._chosen
        ask = pending.ask
        ask.objective -= waited
        ask.patience -= waited
        ask.deadline -= waited
        self._events.emit(
            "asked-again", ask=ask.id, pool=ask.pool, peer=self._chosen, waited=waited
        )
        self._send(self._chosen, ask)

    def _holds(self) -> tuple[HeldSlot, ...]:
        time = now()
        return tuple(
            HeldSlot(
                held.grant.grant_id,
                held.ask.pool,
                held.grant.target,
                held.ask.prompt_tokens,
                held.ask.expected_events,
                time - held.granted,
            )
            for held in self._held_by_grant.values()
        )

    def _dial(self, node: str, time: float) -> bool:
        """Dial a node unless it was tried just now; tell whether it is being dialled."""
        if node in self._dialing:
            return True
        if time - self._tried.get(node, float("-inf")) < DIAL_PERIOD:
            return False
        self._tried[node] = time
        self._dialing.add(node)
        address = self._members.address_by_node[node]
        task = asyncio.get_running_loop().create_task(self._connect(node, address))
        task.add_done_callback(lambda _: self._end_dial(node))
        return True

    def _end_dial(self, node: str) -> None:
        self._dialing.discard(node)
        self._look_around()

    async def _connect(self, node: str, address: Address) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(DIAL_TIMEOUT):
                _, link = await loop.create_connection(
                    lambda: Link(self._on_message, self._on_closed), address.host, address.port
                )
        except (OSError, TimeoutError) as error:
            self._events.emit("peer-unreachable", peer=node, why=str(error) or "timeout")
            return
        link.node = node
        link.heard = now()
        self._leaving.discard(node)
        link.send(Hello(self._name, self._holds()))
        link.send(Beat(self._number))
        self._links_by_node[node] = link

    def _on_message(self, link: Link, message: Message) -> None:
        link.heard = now()
        match message:
            case Grant() | Denial():
                self._take_reply(link.node, message)
            case Beat():
                self._take_proofs(link, message)
            case Feed():
                self._take_feed(link, message)
            case Leaving():
                self._leaving.add(link.node)
                self._look_around()
            case _:
                pass

    def _take_proofs(self, link: Link, beat: Beat) -> None:
        """Believe what the scheduler's node has proved, no later than the heartbeat was sent."""
        sent = self._sent_by_number.get(beat.number)
        if link.node != self._chosen or sent is None:
            return
        period = self._beat_period()
        for follower, (age, position) in zip(self._local.followers, beat.proofs, strict=False):
            if age < 0:
                follower.resume_reading()
            else:
                follower.prove(sent - age, position, period)

    def _take_feed(self, link: Link, feed: Feed) -> None:
        followers = self._local.followers
        if link.node != self._chosen or not 0 <= feed.topic < len(followers):
            return
        try:
            records = tuple(KeyedRecord(key, value) for key, value in feed.records)
        except ValueError as error:
            self._events.emit("feed-unreadable", peer=link.node, why=str(error))
            return
        followers[feed.topic].feed(feed.start, KeyedPage(records, feed.next, False, False))

    def _on_closed(self, link: Link) -> None:
        if self._links_by_node.get(link.node) is not link:
            return
        del self._links_by_node[link.node]
        self._events.emit("scheduler-lost", peer=link.node)
        self._look_around()
