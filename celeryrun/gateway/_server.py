"""The scheduler of this node, for itself and for the nodes that ask it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from celeryrun.gateway._discovery import Discovery
from celeryrun.gateway._events import EventLog
from celeryrun.gateway._follow import Follower
from celeryrun.gateway._links import (
    MAX_FRAME,
    PROTOCOL,
    Beat,
    Feed,
    Hello,
    Leaving,
    Link,
    Message,
)
from celeryrun.gateway._members import Members
from celeryrun.gateway._pace import LOST_BEATS, beat_period
from celeryrun.kernel import Kernel, now
from celeryrun.platform import KeyedPage
from celeryrun.scheduling import (
    Cancel,
    Denial,
    FirstByte,
    FleetLimits,
    Grant,
    HeldSlot,
    Scheduler,
    SlotReleased,
    SlotRequest,
)
from celeryrun.settings import GatewaySettings

__all__ = ["Reply", "SchedulerServer"]

TICK = 0.05  # s between two looks at what waits
PLAN_REST = 2.0  # times a plan's own duration until the next, so that planning takes a third
MAX_FED = 2 * 1024 * 1024  # bytes of records that are packed for the nodes
SWEEP = 1.0  # s between two looks for what nobody freed
SLACK_BEATS = 1.0  # heartbeats more than its nodes that a scheduler waits for a silent one
ABSENCE = 30.0  # s after which a silent node's part of the limits is given to the others
FORMED = 6.0  # s from a process's start to the fleet's own, long before the first callers
UNKNOWN_WAIT = 2.0  # s for which a node may be missing from the list of nodes, some reads
UNKNOWN_MESSAGES = 1000  # of such a node that are kept, more than it sends in that time

Reply = Grant | Denial


@dataclass(slots=True)
class Unknown:
    """A link whose node is not on the list of nodes yet, and what it has sent."""

    link: Link
    hello: Hello
    since: float
    messages: list[Message] = field(default_factory=list)


class SchedulerServer:
    """Service that schedules for all nodes that ask this one.

    Attributes
    ----------
    followers : tuple of Follower
        What its node reads for the others, in the order in which they number it.
    has_own_asks : bool
        Whether its own node asks it.
    """

    __slots__ = (
        "_events",
        "_last_heard",
        "_leaving",
        "_links_by_node",
        "_local",
        "_name",
        "_discovery",
        "_plan_allowed",
        "_planned_later",
        "_members",
        "_server",
        "_settings",
        "_started",
        "_tasks",
        "_unknown",
        "_work",
        "followers",
        "has_own_asks",
        "scheduler",
    )

    def __init__(self, kernel: Kernel, settings: GatewaySettings) -> None:
        self._discovery: Discovery = kernel.find("discovery")
        self._events: EventLog = kernel.find("events")
        self._members: Members = kernel.find("members")
        self._settings = settings
        self._name = settings.node.name
        self._links_by_node: dict[str, Link] = {}
        self._last_heard: dict[str, float] = {}
        self._leaving = False
        self._plan_allowed = 0.0
        self._planned_later: set[str] = set()
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._unknown: list[Unknown] = []
        self._work = asyncio.Event()
        self._started = now()
        self._local: Callable[[Reply], None] = lambda reply: None
        self.followers: tuple[Follower, ...] = (
            self._discovery.configuration,
            self._discovery.targets,
            self._members.follower,
        )
        self.has_own_asks = False
        self.scheduler = Scheduler(
            _bounds(settings),
            self._discovery.of_pool,
            self._discovery.pool,
            self.share,
            no_prior_usage=settings.node.first_start == "yes",
        )

    def start(self) -> None:
        """Listen for nodes and begin to plan."""
        for topic, follower in enumerate(self.followers):
            follower.on_page = partial(self._feed, topic)
            follower.fleet = self._count_readers
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._listen()),
            loop.create_task(self._run()),
        ]

    def stop(self) -> None:
        """End."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for link in list(self._links_by_node.values()):
            link.close()

    def apply(self, settings: GatewaySettings) -> None:
        """Use changed settings."""
        self._settings = settings
        self.scheduler.set_limits(_bounds(settings))

    def serve_locally(self, reply: Callable[[Reply], None]) -> None:
        """Set what takes the replies to this node's own asks."""
        self._local = reply

    def leave(self) -> None:
        """Tell all nodes to ask another."""
        self._leaving = True
        for link in self._links_by_node.values():
            link.send(Leaving())

    def share(self) -> float:
        """Return the part of the fleet's limits that belongs to the nodes that ask this one.

        The parts of silent nodes are kept back, since they may be cut off and use them.
        """
        time = now()
        asking = len(self._links_by_node) + (1 if self.has_own_asks else 0)
        silent = sum(
            1
            for node in self._members.address_by_node
            if node != self._name
            and node not in self._links_by_node
            and time - self._last_heard.setdefault(node, time) < ABSENCE
        )
        if not self.has_own_asks:
            silent += 1
        return max(1, asking) / max(1, asking + silent)

    def take(self, node: str, message: Message) -> None:
        """Take a message of a node, or of this one."""
        time = now()
        match message:
            case SlotRequest():
                if node == self._name and not self._links_by_node:
                    self._note_late_begin()
                denial = self.scheduler.submit(node, message, time)
                if denial is not None:
                    self._reply(node, denial)
                else:
                    self._work.set()
                    self._plan_soon(message.pool)
            case Cancel():
                self.scheduler.cancel(node, message.slot_request_id)
            case FirstByte():
                self.scheduler.report_first_byte(message.grant_id, message.seconds, time)
            case SlotReleased():
                pool = self.scheduler.release(message, time)
                if pool is not None:
                    self._plan_soon(pool)

    def adopt(self, node: str, holds: tuple[HeldSlot, ...]) -> None:
        """Count what a node holds by grants of another scheduler."""
        for hold in holds:
            self.scheduler.add_held_slot(node, hold, now())

    def _feed(self, topic: int, start: int, page: KeyedPage) -> None:
        """Tell the nodes that ask this one what it has read; too much they read by themselves."""
        records = tuple((record.key, record.value) for record in page.records)
        if not self._links_by_node or sum(len(value or b"") for _, value in records) > MAX_FED:
            return
        feed = Feed.from_records(topic, start, page.next, records)
        if len(feed.packed) > MAX_FRAME // 2:
            return
        for link in self._links_by_node.values():
            link.send(feed)

    def _count_readers(self) -> int:
        """Return how many nodes try a store that is down; the one that feeds others is alone."""
        return 1 if self._links_by_node else len(self._members.address_by_node)

    def _plan_soon(self, pool: str) -> None:
        """Plan now, or together with what else comes until planning has had its share of time."""
        if pool in self._planned_later:
            return
        wait = self._plan_allowed - now()
        if wait <= 0:
            self._plan(pool)
        else:
            self._planned_later.add(pool)
            asyncio.get_running_loop().call_later(wait, self._plan, pool)

    def _plan(self, pool: str, whole: bool = False) -> None:
        self._planned_later.discard(pool)
        began = now()
        grants, denials = self.scheduler.plan(pool, began, whole)
        ended = now()
        self._plan_allowed = ended + PLAN_REST * (ended - began)
        for node, grant in grants:
            self._reply(node, grant)
        for node, denial in denials:
            self._reply(node, denial)

    def _reply(self, node: str, reply: Reply) -> None:
        if node == self._name:
            self._local(reply)
        elif node in self._links_by_node:
            self._links_by_node[node].send(reply)

    async def _listen(self) -> None:
        loop = asyncio.get_running_loop()
        address = self._settings.node.peer_address
        self._server = await loop.create_server(
            lambda: Link(self._on_message, self._on_closed), address.host, address.port
        )

    async def _run(self) -> None:
        swept = now()
        while True:
            if not self._has_work():
                # Most nodes schedule for nobody and need not wake.
                self._work.clear()
                await self._work.wait()
            await asyncio.sleep(TICK)
            time = now()
            for pool, queue in list(self.scheduler.queues_by_pool.items()):
                if queue:
                    self._plan(pool, whole=True)
            silence = (LOST_BEATS + SLACK_BEATS) * beat_period(len(self._members.address_by_node))
            for node, link in list(self._links_by_node.items()):
                if time - link.heard > silence:
                    self._events.emit("node-silent", peer=node, silent=time - link.heard)
                    link.close()
            self._look_at_unknown(time)
            if time - swept > SWEEP:
                swept = time
                self.scheduler.expire_grants(time)
                self.scheduler.forget_targets(set(self._discovery.targets_by_id))

    def _has_work(self) -> bool:
        return bool(
            self._links_by_node
            or self._unknown
            or any(self.scheduler.queues_by_pool.values())
            or any(load.active_grants_by_id for load in self.scheduler.loads_by_target.values())
        )

    def _on_message(self, link: Link, message: Message) -> None:
        link.heard = now()
        if any(unknown.link is link for unknown in self._unknown):
            self._keep(link, message)
            return
        match message:
            case Hello() if message.protocol != PROTOCOL:
                self._reject(link, message.node, f"speaks protocol {message.protocol}")
            case Hello() if self._is_listed(link, message.node):
                self._join(link, message)
            case Hello():
                self._unknown.append(Unknown(link, message, link.heard))
                self._work.set()
            case Beat() if link.node:
                self._last_heard[link.node] = link.heard
                proofs = tuple(follower.proof() for follower in self.followers)
                link.send(Beat(message.number, proofs))
            case _ if link.node:
                self.take(link.node, message)
            case _:
                link.close()

    def _join(self, link: Link, hello: Hello) -> None:
        link.node = hello.node
        if not self._links_by_node:
            self._note_late_begin()
        former = self._links_by_node.get(hello.node)
        self._links_by_node[hello.node] = link
        self._work.set()
        if former is not None and former is not link:
            former.close()
        self._last_heard[hello.node] = link.heard
        self.adopt(hello.node, hello.holds)
        self._events.emit("node-joined", peer=hello.node, holds=len(hello.holds))
        if self._leaving:
            link.send(Leaving())

    def _note_late_begin(self) -> None:
        """Know nothing of quotas if others may have scheduled since the system's first start."""
        if now() - self._started > FORMED and len(self._members.address_by_node) > 1:
            self.scheduler.mark_usage_unknown(now())

    def _is_listed(self, link: Link, node: str) -> bool:
        """Tell whether a node is on the list with this address, or there is no list yet."""
        known = self._members.address_by_node.get(node)
        return not self._members.is_known() or (known is not None and known.host == link.host)

    def _reject(self, link: Link, node: str, why: str) -> None:
        self._events.emit("node-rejected", peer=node, address=link.host, why=why)
        link.close()

    def _keep(self, link: Link, message: Message) -> None:
        for unknown in self._unknown:
            if unknown.link is link and len(unknown.messages) < UNKNOWN_MESSAGES:
                unknown.messages.append(message)

    def _look_at_unknown(self, time: float) -> None:
        """Let nodes in that are listed by now, and end the links of those that never were."""
        waiting, self._unknown = self._unknown, []
        for unknown in waiting:
            link, hello = unknown.link, unknown.hello
            if link.closed:
                continue
            if self._is_listed(link, hello.node):
                self._join(link, hello)
                for message in unknown.messages:
                    self._on_message(link, message)
            elif time - unknown.since > UNKNOWN_WAIT:
                self._reject(link, hello.node, "is not on the list of nodes")
            else:
                self._unknown.append(unknown)

    def _on_closed(self, link: Link) -> None:
        if not link.node or self._links_by_node.get(link.node) is not link:
            return
        del self._links_by_node[link.node]
        pools = self.scheduler.drop_node(link.node)
        self._events.emit("node-left", peer=link.node)
        for pool in pools:
            self._plan(pool)


def _bounds(settings: GatewaySettings) -> FleetLimits:
    bounds = settings.bounds
    return FleetLimits(
        bounds.retry_ratio,
        bounds.retry_slack,
        bounds.retry_window,
        bounds.quota_over,
        bounds.quota_slack,
        bounds.quota_window,
    )
