"""Scheduler service of a node, for its own requests and those of connected nodes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import islice

from celeryrun.catalog import TargetRun
from celeryrun.gateway._crash_tracker import CrashTracker
from celeryrun.gateway._discovery import Discovery
from celeryrun.gateway._events import EventLog
from celeryrun.gateway._fleet_view import MAJORITY_SHARE, FleetView
from celeryrun.gateway._intervals import MAX_MISSED_HEARTBEATS, heartbeat_interval
from celeryrun.gateway._links import (
    MAX_FRAME,
    PROTOCOL,
    Carry,
    CrashReport,
    Feed,
    Heartbeat,
    Hello,
    Leaving,
    Link,
    Message,
    NewerConfiguration,
    OriginReport,
    TargetLeaving,
    TargetLimit,
    TargetPaused,
    TraitsCompleted,
    VersionReport,
)
from celeryrun.gateway._listen import listen
from celeryrun.gateway._members import SCHEDULER_KEY, Members
from celeryrun.gateway._origin_records import OriginRecords
from celeryrun.gateway._paths import Paths
from celeryrun.gateway._registry_copy import RegistryCopy
from celeryrun.gateway._rollouts import Rollouts
from celeryrun.gateway._stream_origins import StreamOrigins, merge_reports
from celeryrun.gateway._topic_follower import MAX_REASON_CHARS, TopicFollower
from celeryrun.gateway._version_records import VersionRecords
from celeryrun.history import Position
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

__all__ = ["Reply", "SchedulerServer", "TargetNotice"]

PLANNING_INTERVAL = 0.05  # s between planning rounds over whole queues
PLANNING_REST_FACTOR = 2.0  # pause in durations of a round; planning takes a third of the time
MAX_FEED_BYTES = 2 * 1024 * 1024  # bytes of records in one page that is forwarded to nodes
REPLICATION_INTERVAL = 0.1  # s between reports of new origins to the replicas
REPLICAS = 3  # nodes ranked next that know the origins of all streams
SWEEP_INTERVAL = 1.0  # s between sweeps for grants that were not released
EXTRA_HEARTBEATS = 1.0  # heartbeats; a scheduler waits this much longer for a node than vice versa
FLEET_START_TIMEOUT = 6.0  # s after process start; a new fleet is up long before its first callers
UNLISTED_NODE_TIMEOUT = 2.0  # s that a node may be missing from the registry, several reads of it
MAX_UNLISTED_MESSAGES = (
    1000  # buffered per unlisted node, more than it sends in UNLISTED_NODE_TIMEOUT
)

Reply = Grant | Denial
TargetNotice = TargetLeaving | TargetLimit | TargetPaused
MIN_VERSION_AGE = 0.3  # s; a version is usually forwarded to all nodes within it
UNKNOWN_FLEET_RETRY = 0.5  # s, in which the registry or its copy is usually read
CONFIGURATION_INTERVAL = 1.0  # s between two sendings of a configuration to one peer


@dataclass(slots=True)
class UnlistedNode:
    """A link whose node is not in the registry yet, and its buffered messages."""

    link: Link
    hello: Hello
    since: float
    messages: list[Message] = field(default_factory=list)


class SchedulerServer:
    """Service that schedules for this node and the connected nodes.

    Attributes
    ----------
    fleet_view : FleetView
        What this node knows of the others.
    followers : tuple of TopicFollower
        Followers whose pages are forwarded to connected nodes, in the order of topic numbers.
    has_local_requests : bool
        Whether this node's own requests use this scheduler.
    """

    __slots__ = (
        "_events",
        "_leaving",
        "_links_by_node",
        "_local_reply_handler",
        "_name",
        "_nodes_without_store",
        "_discovery",
        "_next_plan_at",
        "_crash_tracker",
        "_delayed_pools",
        "_members",
        "_origin_records",
        "_origins",
        "_paths",
        "_replicas",
        "_replicas_are_stale",
        "_replicated_at",
        "_server",
        "_settings",
        "_started_at",
        "_tasks",
        "_unlisted_nodes",
        "_unreplicated",
        "_version_records",
        "_work_available",
        "fleet_view",
        "followers",
        "has_local_requests",
        "scheduler",
    )

    def __init__(self, kernel: Kernel, settings: GatewaySettings) -> None:
        self._discovery: Discovery = kernel.find("discovery")
        self._events: EventLog = kernel.find("events")
        self._members: Members = kernel.find("members")
        self._crash_tracker: CrashTracker = kernel.find("crash-tracker")
        self._origins: StreamOrigins = kernel.find("stream-origins")
        self._paths: Paths = kernel.find("paths")
        self._version_records: VersionRecords = kernel.find("version-records")
        self._version_records.is_scheduler = self._has_majority
        registry_copy: RegistryCopy = kernel.find("registry-copy")
        registry_copy.is_writer = self._schedules_for_most
        rollouts: Rollouts = kernel.find("rollouts")
        rollouts.is_decider = self._schedules_for_most
        self._origin_records: OriginRecords = kernel.find("origin-records")
        self._origin_records.is_needed = self._must_store_origins
        self._origins.broken_at = self._broken_at
        self._origins.is_store_down = self._is_store_down
        self._origins.on_contradiction = self._apply_origins
        self._replicas: list[Link] = []
        self._replicas_are_stale = False
        self._replicated_at = 0.0
        self._unreplicated: list[OriginReport] = []
        self._settings = settings
        self._name = settings.node.name
        self.fleet_view = FleetView(self._name)
        self._members.on_registration = self._on_registration
        self._links_by_node: dict[str, Link] = {}
        self._leaving = False
        self._next_plan_at = 0.0
        self._delayed_pools: set[str] = set()
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._unlisted_nodes: list[UnlistedNode] = []
        self._work_available = asyncio.Event()
        self._started_at = now()
        self._nodes_without_store: set[str] = set()
        self._local_reply_handler: Callable[[Reply], None] = lambda reply: None
        self.followers: tuple[TopicFollower, ...] = (
            self._discovery.configuration,
            self._discovery.targets,
            self._members.follower,
        )
        self.has_local_requests = False
        self.scheduler = Scheduler(
            _fleet_limits(settings),
            self._discovery.ready_targets,
            self._discovery.find_pool,
            self.fleet_share,
            no_prior_usage=settings.node.first_start == "yes",
            crash_history=self._crash_tracker.requests,
            resolve_origin=self._origins.resolve,
            list_confirmed_at=self._origins.list_confirmed_at,
            confirm_list=self._discovery.targets.hurry,
            gate=rollouts.gate,
        )
        self.scheduler.hedge_gate.budget.share = settings.hedging.extra_work

    def start(self) -> None:
        """Start planning; ``listen`` opens the listener."""
        for topic, follower in enumerate(self.followers):
            follower.on_page = partial(self._send_feed, topic)
            follower.count_readers = self._count_store_readers
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._run())]

    async def listen(self) -> None:
        """Start accepting links of other nodes."""
        self._server = await listen(
            self._settings.node.peer_address,
            "peer_address",
            lambda: Link(self._on_message, self._on_closed),
        )

    def stop(self) -> None:
        """Stop listening and close all links."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for link in list(self._links_by_node.values()):
            link.close()

    def apply(self, settings: GatewaySettings) -> None:
        """Apply reloaded settings."""
        self._settings = settings
        self.scheduler.set_limits(_fleet_limits(settings))
        self.scheduler.hedge_gate.budget.share = settings.hedging.extra_work

    def set_local_reply_handler(self, reply: Callable[[Reply], None]) -> None:
        """Set the handler of replies to this node's own slot requests."""
        self._local_reply_handler = reply

    def leave(self) -> None:
        """Notify all connected nodes that another node must schedule."""
        self._leaving = True
        for link in self._links_by_node.values():
            link.send(Leaving())

    def fleet_share(self) -> float:
        """Return the portion of the fleet's limits for the nodes that use this scheduler.

        Portions of silent nodes stay reserved, since cut-off nodes may still use them.
        """
        return self.fleet_view.share(
            self._members.address_by_node, self._users(), now(), self._members.is_known()
        )

    def _users(self) -> set[str]:
        """Return the nodes that use this scheduler."""
        own = {self._name} if self.has_local_requests else set()
        return own | self._links_by_node.keys()

    def _on_registration(self, node: str) -> None:
        self.fleet_view.record_seen(node, now())

    def handle_message(self, node: str, message: Message) -> None:
        """Handle a message of a connected node or of this one."""
        time = now()
        match message:
            case SlotRequest():
                if node == self._name and not self._links_by_node:
                    self._mark_usage_unknown_if_late()
                denial = self.scheduler.submit(node, message, time)
                if denial is not None:
                    self._shorten_return(denial)
                    self._reply(node, denial)
                else:
                    self._work_available.set()
                    self._schedule_plan(message.pool)
            case Cancel():
                self.scheduler.cancel(node, message.slot_request_id)
            case FirstByte():
                self.scheduler.report_first_byte(message.grant_id, message.seconds, time)
                if message.stream:
                    self._apply_origins(
                        OriginReport(message.version, (message.stream,), (int(message.lifetime),))
                    )
                    target = self.scheduler.target_of(message.grant_id, time)
                    if self.scheduler.may_be_unlisted_run(message.grant_id):
                        self._origins.give_up(message.stream)
                    elif target is not None:
                        self._origins.note_target(message.stream, *target)
            case OriginReport():
                self._apply_origins(message)
            case VersionReport():
                self._origins.merge_versions(message)
            case SlotReleased():
                pool = self.scheduler.release(message, time)
                if pool is not None:
                    self._schedule_plan(pool)

    def _shorten_return(self, denial: Denial) -> None:
        """Let callers return soon if their quota grows once the fleet is known."""
        if denial.kind == "quota" and not self._members.is_known():
            longest = random.uniform(UNKNOWN_FLEET_RETRY, 2 * UNKNOWN_FLEET_RETRY)
            denial.retry_after = min(denial.retry_after, longest)

    def _has_majority(self) -> bool:
        return self.fleet_share() > MAJORITY_SHARE

    def _schedules_for_most(self) -> bool:
        """Return whether this is the scheduler of most nodes, not merely the last that is up.

        Silent nodes lose their share in time; a node that has lost the store besides may be the
        one that is cut off.
        """
        users = self._users()
        is_cut_off = self._discovery.targets.is_store_lost and not self.fleet_view.are_most(
            self._members.address_by_node, users
        )
        return bool(users) and self._has_majority() and not is_cut_off

    def _must_store_origins(self) -> bool:
        return self._has_majority() and self._version_records.has_several()

    def _note_store_of_node(self, node: str, heartbeat: Heartbeat) -> None:
        self._nodes_without_store.discard(node)
        if heartbeat.freshness and heartbeat.freshness[0][0] < 0:
            self._nodes_without_store.add(node)

    def _is_store_down(self) -> bool:
        """Return whether neither this node nor any that uses this scheduler reaches the store."""
        return (
            self._discovery.targets.is_store_lost
            and self._schedules_for_most()
            and self._links_by_node.keys() <= self._nodes_without_store
        )

    def _broken_at(self, target: str) -> float:
        load = self.scheduler.loads_by_target.get(target)
        return load.broken_at if load is not None else float("-inf")

    def _apply_origins(self, report: OriginReport) -> None:
        """Record origins and note them for the replicas."""
        self._origins.merge(report)
        self._origin_records.add(report)
        if self._links_by_node:
            self._unreplicated.append(report)

    def _replicate_origins(self) -> None:
        """Report new origins to the nodes that would schedule next, all of them to new ones."""
        reports = merge_reports(self._unreplicated)
        self._unreplicated = []
        if self._replicas_are_stale:
            self._replicas_are_stale = False
            former = self._replicas
            candidates = self._members.scheduler_candidates(SCHEDULER_KEY, self._name)
            linked = (node for node in candidates if node in self._links_by_node)
            self._replicas = [self._links_by_node[node] for node in islice(linked, REPLICAS)]
            for link in self._replicas:
                if link not in former:
                    for report in self._origins.reports():
                        link.send(report)
        for link in self._replicas:
            for report in reports:
                link.send(report)

    def send_to_nodes(self, message: Message, sender: Link | None = None) -> None:
        """Send a message to all connected nodes but its sender."""
        for link in list(self._links_by_node.values()):
            if link is not sender:
                link.send(message)

    def compare_versions(self, link: Link, heartbeat: Heartbeat) -> None:
        """Note the configuration that a peer has in force, or send it the one that it lacks."""
        self._discovery.note_version(heartbeat.version, now() - heartbeat.version_age)
        version, age = self._discovery.version_in_force()
        record = self._discovery.configuration_record
        if (
            record is None
            or heartbeat.version >= version
            or age < MIN_VERSION_AGE
            or now() - link.configuration_sent_at < CONFIGURATION_INTERVAL
        ):
            return
        message = NewerConfiguration.from_record(record)
        if len(message.compressed) <= MAX_FRAME // 2:
            link.configuration_sent_at = now()
            link.send(message)

    def apply_newer_configuration(self, link: Link, message: NewerConfiguration) -> None:
        """Put the configuration of a peer in force if it is newer."""
        try:
            self._discovery.apply_configuration_record(message.record)
        except ValueError as error:
            self._events.emit("feed-unreadable", peer=link.node, why=str(error))

    def apply_limit(self, notice: TargetLimit) -> bool:
        """Apply a target's limit; return whether it has changed."""
        time = now()
        rate_limits = self.scheduler.rate_limits
        if not rate_limits.apply(notice.target, notice.rate, time - notice.age, time):
            return False
        self._events.emit("target-limit", target=notice.target, rate=notice.rate)
        return True

    def apply_leaving(self, notice: TargetLeaving, source: str) -> bool:
        """Take a leaving target out of use; return whether this is news.

        Parameters
        ----------
        source : str
            Name of the node that has read it in a response.
        """
        if not self._discovery.mark_leaving(notice.run, now() - notice.age):
            return False
        self._events.emit(
            "target-leaving",
            target=notice.run.id,
            address=f"{notice.run.host}:{notice.run.port}",
            source=source,
            age=notice.age,
        )
        return True

    def apply_pause(self, notice: TargetPaused, source: str) -> bool:
        """Apply a target's pause; return whether it ends later than known.

        Parameters
        ----------
        source : str
            Name of the node that has read it in a response.
        """
        run, seconds = notice.run, notice.seconds
        pauses = self.scheduler.pauses
        if not pauses.apply(run, seconds, now()):
            return False
        seconds = pauses.remaining(run, now())
        self._events.emit("target-paused", target=run.id, seconds=round(seconds, 3), source=source)
        loop = asyncio.get_running_loop()
        loop.call_later(seconds + PLANNING_INTERVAL, self._on_pause_end, run)
        return True

    def _on_pause_end(self, run: TargetRun) -> None:
        """Log the end of a pause unless it was extended."""
        if not self.scheduler.pauses.remaining(run, now()):
            self._events.emit("target-resumed", target=run.id)

    def target_notices(self) -> list[TargetNotice]:
        """Return what targets have stated, for a node that may have missed it."""
        time = now()
        notices: list[TargetNotice] = [
            TargetLimit(target, limit.rate, time - limit.named_at)
            for target, limit in self.scheduler.rate_limits.limits()
        ]
        notices += [
            TargetLeaving(run, time - stated_at) for run, stated_at in self._discovery.leaving
        ]
        notices += [TargetPaused(*paused) for paused in self.scheduler.pauses.pauses(time)]
        return notices

    def add_held_slots(self, node: str, held_slots: tuple[HeldSlot, ...]) -> None:
        """Count the slots that a node uses by grants of another scheduler."""
        for held_slot in held_slots:
            self.scheduler.add_held_slot(node, held_slot, now())

    def _send_feed(self, topic: int, start: Position | None, page: KeyedPage) -> None:
        """Forward a page to the connected nodes, which read pages that are too large themselves."""
        size = sum(len(record.value or b"") for record in page.records)
        if not self._links_by_node or size > MAX_FEED_BYTES:
            return
        feed = Feed.from_page(topic, start, page)
        if len(feed.compressed) > MAX_FRAME // 2:
            return
        for link in self._links_by_node.values():
            link.send(feed)

    def _count_store_readers(self) -> int:
        """Return how many nodes call a store that is down, 1 if this node reads for others."""
        return 1 if self._links_by_node else len(self._members.address_by_node)

    def _schedule_plan(self, pool: str) -> None:
        """Plan a pool now, or after the delay that bounds the time spent on planning."""
        if pool in self._delayed_pools:
            return
        wait = self._next_plan_at - now()
        if wait <= 0:
            self._plan(pool)
        else:
            self._delayed_pools.add(pool)
            asyncio.get_running_loop().call_later(wait, self._plan, pool)

    def _plan(self, pool: str, full_scan: bool = False) -> None:
        self._delayed_pools.discard(pool)
        began = now()
        try:
            grants, denials = self.scheduler.plan(pool, began, full_scan)
        except Exception as error:
            # The requests stay in the queue until the next plan or their deadline.
            reason = repr(error)[:MAX_REASON_CHARS]
            self._events.emit("plan-failed", pool=pool, why=reason)
            grants, denials = [], []
        ended = now()
        self._next_plan_at = ended + PLANNING_REST_FACTOR * (ended - began)
        for node, grant in grants:
            self._reply(node, grant)
        for node, denial in denials:
            self._reply(node, denial)

    def _reply(self, node: str, reply: Reply) -> None:
        if node == self._name:
            self._local_reply_handler(reply)
        elif node in self._links_by_node:
            self._links_by_node[node].send(reply)

    async def _run(self) -> None:
        swept_at = now()
        while True:
            if not self._has_work():
                # Most nodes schedule for no other node and sleep until there is work.
                self._work_available.clear()
                await self._work_available.wait()
            await asyncio.sleep(PLANNING_INTERVAL)
            time = now()
            for pool, queue in list(self.scheduler.queues_by_pool.items()):
                if queue:
                    self._plan(pool, full_scan=True)
            max_silence = (MAX_MISSED_HEARTBEATS + EXTRA_HEARTBEATS) * heartbeat_interval(
                len(self._members.address_by_node)
            )
            for node, link in list(self._links_by_node.items()):
                if time - link.last_received_at > max_silence:
                    self._events.emit("node-silent", peer=node, silent=time - link.last_received_at)
                    link.close()
            self._process_unlisted_nodes(time)
            if time - self._replicated_at >= REPLICATION_INTERVAL:
                self._replicated_at = time
                self._replicate_origins()
            if time - swept_at > SWEEP_INTERVAL:
                swept_at = time
                self.scheduler.note_lost_paths(self._name, self._paths.lost)
                self._update_absent_nodes(time)
                self.scheduler.expire(time)
                self.scheduler.forget_targets(set(self._discovery.targets_by_id))

    def _has_work(self) -> bool:
        return bool(
            self._links_by_node
            or self._unlisted_nodes
            or any(self.scheduler.queues_by_pool.values())
            or any(load.active_grants_by_id for load in self.scheduler.loads_by_target.values())
        )

    def _on_message(self, link: Link, message: Message) -> None:
        link.last_received_at = now()
        if any(unlisted.link is link for unlisted in self._unlisted_nodes):
            self._buffer_message(link, message)
            return
        match message:
            case Hello() if message.protocol != PROTOCOL:
                self._reject(link, message.node, f"protocol {message.protocol} is not supported")
            case Hello() if self._is_listed(link, message.node):
                self._add_node(link, message)
            case Hello():
                self._unlisted_nodes.append(UnlistedNode(link, message, link.last_received_at))
                self._work_available.set()
            case Carry() if not link.node:
                self._paths.carry(link, message)
            case Heartbeat() if link.node:
                self.scheduler.note_lost_paths(link.node, message.lost_paths)
                self.fleet_view.record_seen(link.node, link.last_received_at)
                self._note_store_of_node(link.node, message)
                link.send(self._reply_to_heartbeat(link, message))
                self.compare_versions(link, message)
            case NewerConfiguration() if link.node:
                self.apply_newer_configuration(link, message)
            case CrashReport() | TraitsCompleted() if link.node:
                if self._crash_tracker.apply(message):
                    self.send_to_nodes(message, link)
            case TargetLeaving() if link.node:
                if self.apply_leaving(message, link.node):
                    self.send_to_nodes(message, link)
            case TargetLimit() if link.node:
                if self.apply_limit(message):
                    self.send_to_nodes(message, link)
            case TargetPaused() if link.node:
                if self.apply_pause(message, link.node):
                    self.send_to_nodes(message, link)
            case _ if link.node:
                self.handle_message(link.node, message)
            case _:
                link.close()

    def _reply_to_heartbeat(self, link: Link, heartbeat: Heartbeat) -> Heartbeat:
        freshness = tuple(follower.freshness() for follower in self.followers)
        reply = Heartbeat(heartbeat.number, freshness, *self._discovery.version_in_force())
        absent = self.fleet_view.absent
        if absent != link.absent:
            link.absent = absent
            reply.absent = tuple(absent)
        return reply

    def _update_absent_nodes(self, time: float) -> None:
        listed = self._members.address_by_node
        for node in self.fleet_view.update_absent(listed, self._users(), time):
            self._events.emit("node-absent", peer=node)

    def _add_node(self, link: Link, hello: Hello) -> None:
        link.node = hello.node
        if not self._links_by_node:
            self._mark_usage_unknown_if_late()
        previous = self._links_by_node.get(hello.node)
        self._links_by_node[hello.node] = link
        self._replicas_are_stale = True
        self._work_available.set()
        if previous is not None and previous is not link:
            previous.close()
        self.fleet_view.record_seen(hello.node, link.last_received_at)
        self.add_held_slots(hello.node, hello.held_slots)
        self._events.emit("node-joined", peer=hello.node, holds=len(hello.held_slots))
        for report in self._crash_tracker.reports():
            link.send(report)
        for notice in self.target_notices():
            link.send(notice)
        if (versions := self._origins.version_report()) is not None:
            link.send(versions)
        if self._leaving:
            link.send(Leaving())

    def _mark_usage_unknown_if_late(self) -> None:
        """Mark quota use as unknown if another node may have scheduled before this one."""
        # The registry may lack this node, which reads it only now and then.
        others = self._members.address_by_node.keys() - {self._name}
        if now() - self._started_at > FLEET_START_TIMEOUT and others:
            self.scheduler.mark_usage_unknown(now())

    def _is_listed(self, link: Link, node: str) -> bool:
        """Return whether a node is registered with the link's host, or no registry was read yet."""
        known = self._members.address_by_node.get(node)
        return not self._members.is_loaded() or (known is not None and known.host == link.host)

    def _reject(self, link: Link, node: str, why: str) -> None:
        self._events.emit("node-rejected", peer=node, address=link.host, why=why)
        link.close()

    def _buffer_message(self, link: Link, message: Message) -> None:
        for unlisted in self._unlisted_nodes:
            if unlisted.link is link and len(unlisted.messages) < MAX_UNLISTED_MESSAGES:
                unlisted.messages.append(message)

    def _process_unlisted_nodes(self, time: float) -> None:
        """Add nodes that are registered by now, and reject those missing past the timeout."""
        unlisted_nodes, self._unlisted_nodes = self._unlisted_nodes, []
        for unlisted in unlisted_nodes:
            link, hello = unlisted.link, unlisted.hello
            if link.closed:
                continue
            if self._is_listed(link, hello.node):
                self._add_node(link, hello)
                for message in unlisted.messages:
                    self._on_message(link, message)
            elif time - unlisted.since > UNLISTED_NODE_TIMEOUT:
                self._reject(link, hello.node, "is not in the registry of nodes")
            else:
                self._unlisted_nodes.append(unlisted)

    def _on_closed(self, link: Link) -> None:
        if not link.node or self._links_by_node.get(link.node) is not link:
            return
        del self._links_by_node[link.node]
        self._nodes_without_store.discard(link.node)
        self._replicas_are_stale = True
        pools = self.scheduler.drop_node(link.node, now())
        self._events.emit("node-left", peer=link.node)
        for pool in pools:
            self._plan(pool)


def _fleet_limits(settings: GatewaySettings) -> FleetLimits:
    bounds = settings.bounds
    return FleetLimits(
        bounds.retry_ratio,
        bounds.retry_slack,
        bounds.retry_window,
        bounds.quota_over,
        bounds.quota_slack,
        bounds.quota_window,
    )
