"""Runs of targets that leave, without a network."""

from hypothesis import given
from hypothesis import strategies as st

from celeryrun.catalog import TargetRun
from celeryrun.scheduling import LeavingTargets
from celeryrun.scheduling._leaving import MAX_UNLISTED, UNLISTED_RETENTION

RUNS = [TargetRun(f"t{n % 3}", "10.0.0.1", 8000 + n % 2, n // 3) for n in range(12)]


def test_other_start_or_address_under_the_same_id_is_another_run():
    leaving = LeavingTargets()
    leaving.add(TargetRun("t", "a", 1, 5), 0.0, set(), 0.0)
    assert TargetRun("t", "a", 1, 5) in leaving
    for run in (TargetRun("t", "a", 1, 6), TargetRun("t", "a", 2, 5), TargetRun("t", "b", 1, 5)):
        assert run not in leaving


@given(
    st.lists(
        st.tuples(
            st.sampled_from(RUNS),
            st.sets(st.sampled_from(RUNS)),
            st.floats(0, UNLISTED_RETENTION / 10),
        )
    )
)
def test_listed_run_stays_and_is_news_once(notices):
    leaving, now, known = LeavingTargets(), 0.0, {}
    for run, listed, pause in notices:
        now += pause
        listed.add(run)
        assert leaving.add(run, now, listed, now) == (run not in known)
        known.setdefault(run, now)
        kept = {run for run, _ in leaving}
        assert kept >= known.keys() & listed
        for other in known.keys() - kept:
            assert now - known.pop(other) > UNLISTED_RETENTION


def test_number_of_unlisted_runs_is_bounded():
    leaving = LeavingTargets()
    listed = {TargetRun("listed", "a", 1, 1)}
    for run in listed:
        leaving.add(run, 0.0, listed, 0.0)
    for number in range(MAX_UNLISTED + 50):
        leaving.add(TargetRun(f"t{number}", "a", 1, 1), 1.0, listed, 1.0)
    assert len(leaving) == MAX_UNLISTED + 1
    assert listed <= {run for run, _ in leaving}
    now = 2.0 + UNLISTED_RETENTION
    assert leaving.add(RUNS[0], 1.0, listed, now)
    assert {run for run, _ in leaving} == listed | {RUNS[0]}
    # An old statement is kept until the node has read the list.
    assert leaving.add(RUNS[1], 1.0, listed, now)
    assert not leaving.add(RUNS[0], 1.0, listed, now)
