"""Scenarios that run at a time, each on a site of its own."""

import asyncio

SITES = 8  # sites at a time


def grouped(names):
    """Return names in groups of as many as sites run at a time."""
    names = list(names)
    return [names[start : start + SITES] for start in range(0, len(names), SITES)]


def run_each(scenario, names):
    """Run a scenario for each name, and report the exception of each that fails."""

    async def run_all():
        tasks = {name: asyncio.create_task(scenario(name)) for name in names}
        await asyncio.wait(tasks.values())
        return {name: task.exception() for name, task in tasks.items() if task.exception()}

    assert not asyncio.run(run_all())
