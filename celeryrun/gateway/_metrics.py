"""Counters and latency histograms of a gateway by workspace and tier."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from celeryrun.gateway._admission import Admission
from celeryrun.gateway._topic_follower import TopicFollower
from celeryrun.kernel import now
from celeryrun.observe import WorkspaceLabels, seconds_histogram
from celeryrun.platform import Store

if TYPE_CHECKING:
    from celeryrun.gateway._response_relay import ResponseRelay

__all__ = ["GatewayMetrics"]


ROLLOUT_GAUGES = {
    "exposed": "Requests granted to the new version by this node's scheduler since the order",
    "results": "Responses of the new version that count as evidence",
    "bad": "Responses of the new version that failed or were slow",
}


class GatewayMetrics:
    """Service that holds the Prometheus metrics.

    The first workspaces have their own label values; all later ones share one value, which bounds
    memory.
    """

    __slots__ = (
        "_labels",
        "_registry",
        "_store_era",
        "_topic_era",
        "_topic_offset",
        "aborts",
        "carried",
        "answers",
        "first_byte",
        "hedges",
        "lost_paths",
        "hedge_seconds",
        "refusals",
        "resumed_streams",
        "rollouts",
        "target_crashes",
        "whole_answer",
    )

    def __init__(self) -> None:
        self._labels = WorkspaceLabels()
        self._registry = CollectorRegistry()
        labels = ("workspace", "tier")
        self.first_byte = seconds_histogram(
            self._registry, "first_byte", "Seconds: arrival to first byte", labels
        )
        self.whole_answer = seconds_histogram(
            self._registry, "whole_answer", "Seconds: arrival to end of answer", labels
        )
        self.answers = Counter(
            "celeryrun_answers",
            "Answers by status; 0 where the connection ended without one",
            (*labels, "status"),
            registry=self._registry,
        )
        self.refusals = Counter(
            "celeryrun_refusals", "Requests not served", ("kind",), registry=self._registry
        )

        self.aborts = Counter(
            "celeryrun_aborts",
            "Connections closed in the middle of a response",
            ("why",),
            registry=self._registry,
        )

        self.target_crashes = Counter(
            "celeryrun_target_crashes",
            "Requests in flight on a target when it crashed",
            registry=self._registry,
        )

        self.lost_paths = Gauge(
            "celeryrun_lost_paths",
            "Targets that are reached by way of other nodes only",
            registry=self._registry,
        )
        self.carried = Counter(
            "celeryrun_carried_connections",
            "Connections to targets that another node carried",
            registry=self._registry,
        )

        self.resumed_streams = Counter(
            "celeryrun_resumed_streams",
            "Streams that callers took up again, by how their version was found",
            ("origin",),
            registry=self._registry,
        )

        self.rollouts = {
            name: Gauge(
                f"celeryrun_rollout_{name}", text, ("pool", "version"), registry=self._registry
            )
            for name, text in ROLLOUT_GAUGES.items()
        }
        self.hedges = Counter(
            "celeryrun_hedges",
            "Second attempts at slow requests, by what became of them",
            ("result",),
            registry=self._registry,
        )

        self.hedge_seconds = Counter(
            "celeryrun_hedge_seconds",
            "Seconds for which targets worked on attempts that lost",
            registry=self._registry,
        )

        self._store_era = Gauge(
            "celeryrun_store_era",
            "Latest era of the store that this node knows; it rises when a copy is restored",
            registry=self._registry,
        )
        self._topic_era = Gauge(
            "celeryrun_topic_era", "Era of the records in use", ("topic",), registry=self._registry
        )
        self._topic_offset = Gauge(
            "celeryrun_topic_offset",
            "Offset after the records in use, within their era",
            ("topic",),
            registry=self._registry,
        )

    def watch_store(self, store: Store, followers: Iterable[TopicFollower]) -> None:
        """Export the era of the store and how far its topics have been read."""
        self._store_era.set_function(lambda: store.era)
        for follower in followers:
            self._topic_era.labels(follower.topic).set_function(partial(_era_of, follower))
            self._topic_offset.labels(follower.topic).set_function(partial(_offset_of, follower))

    def start(self) -> None:
        """Do nothing; the service has no task."""

    def stop(self) -> None:
        """Do nothing; the service has nothing to close."""

    def observe(
        self, admission: Admission, arrived_at: float, response_relay: ResponseRelay
    ) -> None:
        """Record a request that has ended."""
        labels = (self._labels.label(admission.workspace.name), str(admission.tier))
        self.answers.labels(*labels, str(response_relay.status)).inc()
        if response_relay.first_byte is not None:
            self.first_byte.labels(*labels).observe(response_relay.first_byte - arrived_at)
            self.whole_answer.labels(*labels).observe(now() - arrived_at)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


def _era_of(follower: TopicFollower) -> int:
    return follower.position.era if follower.position is not None else 0


def _offset_of(follower: TopicFollower) -> int:
    return follower.position.offset if follower.position is not None else -1
