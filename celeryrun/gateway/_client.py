"""Client that acquires slots from the fleet's scheduler, or from the node's own as a fallback."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from dataclasses import dataclass

from celeryrun.catalog import TargetRun
from celeryrun.gateway._crash_tracker import CrashTracker
from celeryrun.gateway._discovery import Discovery
from celeryrun.gateway._events import EventLog
from celeryrun.gateway._intervals import MAX_MISSED_HEARTBEATS, heartbeat_interval
from celeryrun.gateway._links import (
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
from celeryrun.gateway._members import SCHEDULER_KEY, Members
from celeryrun.gateway._paths import Paths
from celeryrun.gateway._server import Reply, SchedulerServer, TargetNotice
from celeryrun.gateway._stream_origins import RecordedOrigin, StreamOrigins
from celeryrun.history import Position
from celeryrun.kernel import Kernel, now
from celeryrun.platform import Store
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

HEARTBEATS_KEPT = 16  # latest heartbeats whose replies are accepted, a few seconds
DIAL_INTERVAL = 1.0  # s between attempts to connect to a node
MAX_DIALS = 2  # concurrent attempts, so that starting nodes do not all dial each other
DIAL_TIMEOUT = 0.3  # s
FIRST_REQUEST_ID_BITS = 62  # ids are sent as signed 64-bit numbers and count up from a random one
MAX_STARTUP_WAIT = 0.4  # s after the start that slot requests wait for a scheduler


@dataclass(slots=True)
class PendingRequest:
    """A slot request whose reply has not come."""

    slot_request: SlotRequest
    sent_at: float
    future: asyncio.Future[Reply]
    scheduler: str


@dataclass(slots=True)
class ActiveGrant:
    """A slot in use by this node."""

    scheduler: str
    grant: Grant
    slot_request: SlotRequest
    granted_at: float


class SchedulerClient:
    """Service that acquires and releases slots for this node's requests."""

    __slots__ = (
        "_dialing",
        "_events",
        "_active_grants_by_id",
        "_crash_tracker",
        "_discovery",
        "_current_scheduler",
        "_request_ids",
        "_leaving",
        "_links_by_node",
        "_local_server",
        "_name",
        "_heartbeat_number",
        "_pending_by_request_id",
        "_members",
        "_origins",
        "_paths",
        "_sent_at_by_number",
        "_startup_done",
        "_store",
        "_started_at",
        "_task",
        "_dialed_at_by_node",
    )

    def __init__(self, kernel: Kernel, settings: GatewaySettings) -> None:
        self._local_server: SchedulerServer = kernel.find("scheduler")
        self._members: Members = kernel.find("members")
        self._events: EventLog = kernel.find("events")
        self._store: Store = kernel.find("store")
        self._discovery: Discovery = kernel.find("discovery")
        self._crash_tracker: CrashTracker = kernel.find("crash-tracker")
        self._paths: Paths = kernel.find("paths")
        self._origins: StreamOrigins = kernel.find("stream-origins")
        self._crash_tracker.forward = self._forward
        self._crash_tracker.is_scheduler = self._is_scheduler
        self._name = settings.node.name
        self._current_scheduler = self._name
        # Replies to a former process of this node must not fit requests of this one.
        self._request_ids = itertools.count(secrets.randbits(FIRST_REQUEST_ID_BITS))
        self._heartbeat_number = 0
        self._sent_at_by_number: dict[int, float] = {}
        self._links_by_node: dict[str, Link] = {}
        self._leaving: set[str] = set()
        self._dialing: set[str] = set()
        self._dialed_at_by_node: dict[str, float] = {}
        self._pending_by_request_id: dict[int, PendingRequest] = {}
        self._active_grants_by_id: dict[int, ActiveGrant] = {}
        self._task: asyncio.Task[None] | None = None
        self._startup_done = asyncio.Event()
        self._started_at = 0.0
        self._local_server.has_local_requests = True
        self._local_server.set_local_reply_handler(self._on_local_reply)

    def start(self) -> None:
        """Start choosing the fleet's scheduler."""
        self._started_at = now()
        self._members.on_change = self._update_scheduler
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop and close all links."""
        if self._task is not None:
            self._task.cancel()
        for link in list(self._links_by_node.values()):
            link.close()

    def leave(self) -> None:
        """Stop scheduling, so that another node takes over."""
        self._leaving.add(self._name)
        self._local_server.leave()

    async def acquire(self, slot_request: SlotRequest) -> Reply:
        """Wait for a slot.

        Returns
        -------
        Grant or Denial
            Every grant must be returned with ``release``.
        """
        if not self._startup_done.is_set():
            await self._startup_done.wait()
        slot_request.id = next(self._request_ids)
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._pending_by_request_id[slot_request.id] = PendingRequest(
            slot_request, now(), future, self._current_scheduler
        )
        self._send(self._current_scheduler, slot_request)
        try:
            return await future
        except asyncio.CancelledError:
            if future.cancelled():
                self._send(
                    self._pending_by_request_id[slot_request.id].scheduler, Cancel(slot_request.id)
                )
            elif isinstance(reply := future.result(), Grant):
                # The grant came in the same event loop iteration as the cancellation.
                self.release(reply, UNUSED)
            raise
        finally:
            del self._pending_by_request_id[slot_request.id]

    def report_first_byte(
        self, grant: Grant, seconds: float, origin: RecordedOrigin | None = None
    ) -> None:
        """Report the first byte of a response to the scheduler, and the origin of a stream."""
        active_grant = self._active_grants_by_id.get(grant.grant_id)
        scheduler = active_grant.scheduler if active_grant is not None else None
        if scheduler is not None:
            message = FirstByte(grant.grant_id, seconds)
            if origin is not None:
                message.stream, message.version = origin.stream, origin.version
                message.lifetime = origin.lifetime
            self._send(scheduler, message)
        if origin is not None and scheduler != self._current_scheduler:
            self.report_origin(origin)

    def report_origin(self, origin: RecordedOrigin) -> None:
        """Report the origin of a stream to the scheduler."""
        self._send_origins(OriginReport(origin.version, (origin.stream,), (int(origin.lifetime),)))

    def _send_origins(self, report: OriginReport) -> None:
        self._send(self._current_scheduler, report)

    def report_limit(self, target: str, rate: float | None, sent_at: float) -> None:
        """Report what a response says of its target's limit to all nodes, if it is news."""
        rate_limits = self._local_server.scheduler.rate_limits
        if rate is None and target not in rate_limits:
            return
        notice = TargetLimit(target, rate, now() - sent_at)
        if self._local_server.apply_limit(notice):
            self._forward(notice)

    def report_leaving(self, run: TargetRun) -> None:
        """Report to all nodes that a response says that its target leaves, if it is news."""
        notice = TargetLeaving(run, 0.0)
        if self._local_server.apply_leaving(notice, self._name):
            self._forward(notice)

    def report_pause(self, run: TargetRun, seconds: float) -> None:
        """Report to all nodes that a target wants no requests for some time."""
        if self._local_server.apply_pause(TargetPaused(run, seconds), self._name):
            self._forward(TargetPaused(run, self.pause_left(run)))

    def pause_left(self, run: TargetRun) -> float:
        """Return the seconds for which a target wants no requests, 0 if it takes them."""
        return self._local_server.scheduler.pauses.remaining(run, now())

    def repeat_pause(self, run: TargetRun) -> None:
        """Tell a scheduler again, which has granted a slot of a paused target."""
        seconds = self.pause_left(run)
        if seconds and self._current_scheduler in self._links_by_node:
            self._send(self._current_scheduler, TargetPaused(run, seconds))

    def release(self, grant: Grant, outcome: str, seconds: float = 0.0, events: int = 0) -> None:
        """Release a slot and report its outcome."""
        active_grant = self._active_grants_by_id.pop(grant.grant_id, None)
        if active_grant is None:
            return
        message = SlotReleased(grant.grant_id, outcome, seconds, events)
        self._send(active_grant.scheduler, message)
        if self._current_scheduler != active_grant.scheduler:
            self._send(self._current_scheduler, message)

    def _send(self, scheduler: str, message: Message) -> None:
        if scheduler == self._name:
            self._local_server.handle_message(self._name, message)
        elif scheduler in self._links_by_node:
            self._links_by_node[scheduler].send(message)

    def _is_scheduler(self) -> bool:
        return self._current_scheduler == self._name

    def _forward(self, message: CrashReport | TargetNotice | TraitsCompleted) -> None:
        """Send news to the scheduler and to the nodes that use this one."""
        if self._current_scheduler in self._links_by_node:
            self._links_by_node[self._current_scheduler].send(message)
        self._local_server.send_to_nodes(message)

    def _on_local_reply(self, reply: Reply) -> None:
        self._apply_reply(self._name, reply)

    def _apply_reply(self, scheduler: str, reply: Reply) -> None:
        pending = self._pending_by_request_id.get(reply.slot_request_id)
        is_expected = (
            pending is not None and pending.scheduler == scheduler and not pending.future.done()
        )
        match reply:
            case Grant():
                if not is_expected or pending is None:
                    self._send(scheduler, SlotReleased(reply.grant_id, UNUSED))
                    return
                self._active_grants_by_id[reply.grant_id] = ActiveGrant(
                    scheduler, reply, pending.slot_request, now()
                )
                pending.future.set_result(reply)
            case Denial():
                if is_expected and pending is not None:
                    pending.future.set_result(reply)

    async def _run(self) -> None:
        while True:
            self._update_scheduler()
            await asyncio.sleep(self._heartbeat_interval())

    def _heartbeat(self) -> Heartbeat:
        freshness = (self._discovery.targets.freshness(),)
        return Heartbeat(
            self._heartbeat_number,
            freshness,
            *self._discovery.version_in_force(),
            lost_paths=self._paths.lost,
        )

    def _heartbeat_interval(self) -> float:
        return heartbeat_interval(len(self._members.address_by_node))

    def _update_scheduler(self) -> None:
        """Send heartbeats, drop silent schedulers, and switch to the best candidate."""
        time = now()
        self._heartbeat_number += 1
        self._sent_at_by_number[self._heartbeat_number] = time
        self._sent_at_by_number.pop(self._heartbeat_number - HEARTBEATS_KEPT, None)
        for node, link in list(self._links_by_node.items()):
            if time - link.last_received_at > MAX_MISSED_HEARTBEATS * self._heartbeat_interval():
                self._events.emit(
                    "scheduler-silent", peer=node, silent=time - link.last_received_at
                )
                link.close()
            else:
                link.send(self._heartbeat())
        candidates = self._members.scheduler_candidates(SCHEDULER_KEY, self._name)
        chosen = self._select_scheduler(candidates, time)
        self._switch_to(chosen)
        self._resend_orphaned()
        self._close_unused_links(candidates[candidates.index(chosen) + 1 :])
        is_late = time - self._started_at > MAX_STARTUP_WAIT
        if is_late or (self._members.is_known() and not self._dialing):
            self._startup_done.set()

    def _select_scheduler(self, candidates: list[str], time: float) -> str:
        """Return the first available candidate, and dial those ranked before it."""
        dials = 0
        for node in candidates:
            if node == self._name:
                if node not in self._leaving:
                    break
            elif node in self._links_by_node:
                if node not in self._leaving:
                    return node
            elif dials < MAX_DIALS and self._dial(node, time):
                dials += 1
        return self._name

    def _close_unused_links(self, nodes: list[str]) -> None:
        """Close links to lower-ranked nodes without pending requests or active grants."""
        used = {pending.scheduler for pending in self._pending_by_request_id.values()}
        used |= {active_grant.scheduler for active_grant in self._active_grants_by_id.values()}
        for node in nodes:
            link = self._links_by_node.get(node)
            if link is not None and node not in used:
                del self._links_by_node[node]
                link.close()

    def _switch_to(self, scheduler: str) -> None:
        if scheduler == self._current_scheduler:
            return
        former, self._current_scheduler = self._current_scheduler, scheduler
        self._local_server.has_local_requests = scheduler == self._name
        share = round(self._local_server.fleet_share(), 4)
        self._events.emit("scheduler-chosen", peer=scheduler, former=former, share=share)
        if scheduler == self._name:
            self._local_server.add_held_slots(self._name, self._build_held_slots())
            for follower in self._local_server.followers:
                follower.resume_reading()
        else:
            absent = self._links_by_node[scheduler].absent
            if absent is not None:
                self._local_server.fleet_view.replace_absent(absent)
            # What this node knows must precede the slot requests of callers that come back.
            for report in self._origins.reports():
                self._send(scheduler, report)
            if (versions := self._origins.version_report()) is not None:
                self._send(scheduler, versions)

    def _resend_orphaned(self) -> None:
        """Resend slot requests to the current scheduler if theirs is gone or leaving."""
        for pending in list(self._pending_by_request_id.values()):
            scheduler = pending.scheduler
            is_available = scheduler in self._links_by_node and scheduler not in self._leaving
            if scheduler != self._name and not is_available:
                self._resend(pending)

    def _resend(self, pending: PendingRequest) -> None:
        if pending.future.done():
            return
        waited = now() - pending.sent_at
        pending.sent_at += waited
        pending.scheduler = self._current_scheduler
        slot_request = pending.slot_request
        slot_request.objective -= waited
        slot_request.patience -= waited
        slot_request.deadline -= waited
        self._events.emit(
            "asked-again",
            ask=slot_request.id,
            pool=slot_request.pool,
            peer=self._current_scheduler,
            waited=waited,
        )
        self._send(self._current_scheduler, slot_request)

    def _build_held_slots(self) -> tuple[HeldSlot, ...]:
        time = now()
        return tuple(
            HeldSlot(
                active_grant.grant.grant_id,
                active_grant.slot_request.pool,
                active_grant.grant.target,
                active_grant.slot_request.prompt_tokens,
                active_grant.slot_request.expected_events,
                time - active_grant.granted_at,
            )
            for active_grant in self._active_grants_by_id.values()
        )

    def _dial(self, node: str, time: float) -> bool:
        """Dial a node unless tried within ``DIAL_INTERVAL``; return whether it is being dialled."""
        if node in self._dialing:
            return True
        if time - self._dialed_at_by_node.get(node, float("-inf")) < DIAL_INTERVAL:
            return False
        self._dialed_at_by_node[node] = time
        self._dialing.add(node)
        address = self._members.address_by_node[node]
        task = asyncio.get_running_loop().create_task(self._connect(node, address))
        task.add_done_callback(lambda _: self._on_dial_done(node))
        return True

    def _on_dial_done(self, node: str) -> None:
        self._dialing.discard(node)
        self._update_scheduler()

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
        link.last_received_at = now()
        self._leaving.discard(node)
        link.send(Hello(self._name, self._build_held_slots()))
        link.send(self._heartbeat())
        for report in self._crash_tracker.reports():
            link.send(report)
        for notice in self._local_server.target_notices():
            link.send(notice)
        self._links_by_node[node] = link

    def _on_message(self, link: Link, message: Message) -> None:
        link.last_received_at = now()
        if link.node == self._current_scheduler:
            self._local_server.fleet_view.record_in_touch(link.last_received_at)
        match message:
            case Grant() | Denial():
                self._apply_reply(link.node, message)
            case Heartbeat():
                self._apply_absent_nodes(link, message)
                self._apply_freshness(link, message)
                self._local_server.compare_versions(link, message)
            case NewerConfiguration():
                self._local_server.apply_newer_configuration(link, message)
            case Feed():
                self._apply_feed(link, message)
            case CrashReport() | TraitsCompleted():
                if self._crash_tracker.apply(message):
                    self._local_server.send_to_nodes(message)
            case TargetLeaving():
                if self._local_server.apply_leaving(message, link.node):
                    self._local_server.send_to_nodes(message)
            case TargetPaused():
                # Not passed on: with each link that it takes, the end of a pause comes later.
                self._local_server.apply_pause(message, link.node)
            case TargetLimit():
                if self._local_server.apply_limit(message):
                    self._local_server.send_to_nodes(message)
            case OriginReport():
                self._origins.merge(message)
            case VersionReport():
                self._origins.merge_versions(message)
            case Leaving():
                self._leaving.add(link.node)
                self._update_scheduler()
            case _:
                pass

    def _apply_absent_nodes(self, link: Link, heartbeat: Heartbeat) -> None:
        if heartbeat.absent is not None:
            link.absent = frozenset(heartbeat.absent)
            if link.node == self._current_scheduler:
                self._local_server.fleet_view.replace_absent(link.absent)

    def _apply_freshness(self, link: Link, heartbeat: Heartbeat) -> None:
        """Apply the freshness of the scheduler's data, counted from the heartbeat's send time."""
        sent_at = self._sent_at_by_number.get(heartbeat.number)
        if link.node != self._current_scheduler or sent_at is None:
            return
        interval = self._heartbeat_interval()
        for follower, (age, era, offset) in zip(
            self._local_server.followers, heartbeat.freshness, strict=False
        ):
            self._store.advance_era(era)
            if age < 0:
                follower.resume_reading()
            else:
                follower.confirm_fresh(sent_at - age, Position(era, offset), interval)

    def _apply_feed(self, link: Link, feed: Feed) -> None:
        followers = self._local_server.followers
        if link.node != self._current_scheduler or not 0 <= feed.topic < len(followers):
            return
        try:
            page = feed.page
        except ValueError as error:
            self._events.emit("feed-unreadable", peer=link.node, why=str(error))
            return
        followers[feed.topic].apply_page(feed.first, page)
        self._store.advance_era(feed.era)

    def _on_closed(self, link: Link) -> None:
        if self._links_by_node.get(link.node) is not link:
            return
        del self._links_by_node[link.node]
        self._events.emit("scheduler-lost", peer=link.node)
        self._update_scheduler()
