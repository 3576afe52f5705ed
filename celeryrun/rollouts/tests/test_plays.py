"""Every kind of roll-out, played around a scheduler; the module of the plays plays more seeds."""

import pytest

from celeryrun.rollouts.tests.plays import PLAYS, is_right, run_play


@pytest.mark.parametrize("seed", [0, 1])
@pytest.mark.parametrize("name", PLAYS)
def test_bad_versions_are_stopped_and_good_ones_completed_in_time(name, seed):
    outcome = run_play(name, seed)
    assert is_right(name, outcome), outcome


def test_version_that_is_slow_later_on_one_route_keeps_its_exposure():
    """Its answers take as long as the last stage, so few of them are known before."""
    outcome = run_play("slow later, one route", 7)
    assert is_right("slow later, one route", outcome), outcome
