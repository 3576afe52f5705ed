"""Subcommand that counts, for each part of a prompt, the crashes and the responses with it."""

from __future__ import annotations

import sys
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

import click

from celeryrun.cli._explain import decode_event
from celeryrun.exception import NoResponseError

__all__ = ["TraitCrashes", "count_crashes", "crashes"]

SECOND_LENGTH = len("2026-01-01T00:00:00")


@dataclass(slots=True)
class TraitCrashes:
    """Crashes with a prompt part, or with a whole request, in flight.

    Parameters
    ----------
    trait : str
        Id of the part, or fingerprint of the request.
    crashes : set of (str, str)
        Target and second of each crash.
    answered : int
        Requests with it that were answered with 200 since the first crash.
    """

    trait: str
    crashes: set[tuple[str, str]] = field(default_factory=set)
    answered: int = 0
    refused: int = 0


def count_crashes(lines: Iterable[str]) -> list[TraitCrashes]:
    """Return the traits of requests that were in flight on crashed targets, most crashes first.

    Parameters
    ----------
    lines : iterable of str
        Log lines of any nodes, in any order.

    Examples
    --------
    >>> down = '{"time":"t1","event":"target-down","request":"x","target":"e-0","parts":["5c1e"]}'
    >>> found, = count_crashes([down])
    >>> found.trait, found.crashes, found.answered
    ('5c1e', {('e-0', 't1')}, 0)
    """
    events = [event for event in map(decode_event, lines) if event is not None]
    events.sort(key=lambda event: str(event.get("time")))
    crashes_by_trait: dict[str, TraitCrashes] = {}
    traits_by_request: dict[str, list[str]] = defaultdict(list)
    for event in events:
        request = str(event.get("request"))
        traits = [str(part) for part in event.get("parts") or ()]
        if "fingerprint" in event:
            traits.append(str(event["fingerprint"]))
        if event.get("event") == "target-down":
            for trait in traits:
                found = crashes_by_trait.setdefault(trait, TraitCrashes(trait))
                second = str(event.get("time"))[:SECOND_LENGTH]
                found.crashes.add((str(event.get("target")), second))
        known = [crashes_by_trait[trait] for trait in traits if trait in crashes_by_trait]
        match event.get("event"):
            case "placed":
                traits_by_request[request] = traits
            case "answered" if event.get("status") == 200:
                for trait in traits_by_request.pop(request, ()):
                    if trait in crashes_by_trait:
                        crashes_by_trait[trait].answered += 1
            case "refused" if event.get("kind") == "suspect":
                for trait_crashes in known:
                    trait_crashes.refused += 1
    return sorted(
        crashes_by_trait.values(), key=lambda found: (-len(found.crashes), found.answered)
    )


@click.command()
@click.option("--most", default=20, help="rows printed")
def crashes(most: int) -> None:
    """Print what requests on crashed targets had in common; standard input holds logs of nodes.

    The cause has crashes and no responses since the first of them; bystanders have responses.
    """
    rows = count_crashes(sys.stdin)
    if not rows:
        raise NoResponseError(
            "no log line reports a crash (target-down); give the logs of all nodes"
        )
    click.echo("crashes  answered  refused  part or fingerprint")
    for row in rows[:most]:
        click.echo(f"{len(row.crashes):7}  {row.answered:8}  {row.refused:7}  {row.trait}")
