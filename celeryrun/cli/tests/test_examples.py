"""Example files, validated and served with the number of targets they are meant for."""

from pathlib import Path

import pytest

from celeryrun.cli._publish import read_lists
from celeryrun.configuration import hash_key
from celeryrun.settings import load_settings
from celeryrun.tests.builders import build_idempotency_key
from standins.fleet import Fleet, FleetConfig

EXAMPLES = Path(__file__).parents[3] / "examples"
ZONES = {"cajas": 3, "cordillera": 4}
TARGET_COUNTS = {
    "cajas": {"contracts": 5, "warehouse": 3},
    "cordillera": {"tally": 6, "ledger": 4},
}


def read_site_lists(site):
    return read_lists(str(EXAMPLES / site / "plans.ini"), str(EXAMPLES / site / "uses.ini"))


class SiteFleet(Fleet):
    """One node with a site's configuration and number of targets."""

    def __init__(self, site):
        super().__init__(FleetConfig(nodes=1, zones=ZONES[site], engines=0, applications=0))
        self.site = site

    def start_standins(self):
        super().start_standins()
        for pool in read_site_lists(self.site).pools:
            for number in range(TARGET_COUNTS[self.site][pool.name]):
                name = f"{pool.name}-{number}"
                self.add_standin(name, f"standins.{pool.kind}", [])
                self.add_target(name, pool.name, number)

    def write_lists(self):
        return EXAMPLES / self.site / "plans.ini", EXAMPLES / self.site / "uses.ini"


@pytest.mark.parametrize("site", ZONES)
def test_example_files_are_valid(site):
    settings = load_settings(EXAMPLES / site / "node.ini")
    configuration = read_site_lists(site)
    assert len(configuration.plans) == 5
    assert {pool.name for pool in configuration.pools} == set(TARGET_COUNTS[site])
    for plan in configuration.plans:
        assert plan.key_hash == hash_key(f"example-key-{plan.workspace}")
    max_outstanding = sum(
        plan.max_outstanding
        for plan in configuration.plans
        for pool in configuration.pools
        if plan.plan in pool.plans
    )
    assert max_outstanding <= settings.node.threads


@pytest.mark.parametrize("site", ZONES)
def test_example_lists_serve_every_workspace(site):
    with SiteFleet(site) as fleet:
        for plan in read_site_lists(site).plans:
            for pool in read_site_lists(site).pools:
                response = call(fleet, plan.workspace, pool)
                assert response.status == (200 if plan.plan in pool.plans else 403)


def call(fleet, workspace, pool):
    key = {"Authorization": f"Bearer example-key-{workspace}"}
    node = fleet.nodes[0]
    if pool.kind == "engine":
        body = {"prompt": "graze?", "max_tokens": 1}
        return fleet.request(node, workspace, "POST", f"/{pool.name}/v1/generate", body, **key)
    path = pool.non_idempotent[0].path
    headers = {**key, "Idempotency_Key": build_idempotency_key()}
    return fleet.request(node, workspace, "POST", f"/{pool.name}{path}", {}, **headers)
