"""Bounds on lateness and refusals in the simulated deployment load."""

import json
from statistics import mean

import pytest

from bench.leased_load import RESULT, Result, play
from bench.scenario import USUAL, Power


@pytest.mark.parametrize("seed", [0, 1])
def test_normal_load_is_served_in_time(seed: int) -> None:
    result = play(1.0, seed)
    assert result.in_time > 0.99
    assert result.wasted_runs == 0


@pytest.mark.parametrize("seed", [0, 1])
def test_under_overload_jobs_are_refused_early_rather_than_late(seed: int) -> None:
    """Guards against admission that underestimates the work queued ahead of a job."""
    result = play(1.9, seed)
    assert result.late < 0.05
    assert result.worst_window > 0.68
    assert result.worst_kind > 0.7
    assert result.refused < 0.2


def test_under_light_overload_few_jobs_are_refused_or_late() -> None:
    """Guards against refusing every job that is predicted to miss its deadline."""
    runs = [play(1.2, seed) for seed in range(2)]
    assert mean(run.refused for run in runs) < 0.01
    assert mean(run.in_time for run in runs) > 0.978


def test_after_a_loss_of_power_more_jobs_are_served() -> None:
    """Guards against refusing every job that is predicted to miss its deadline."""
    scenario = USUAL._replace(power=Power(lost_at_s=4.0))
    runs = [play(1.0, seed, scenario) for seed in range(3)]
    assert mean(run.refused for run in runs) < 0.22
    assert mean(run.in_time for run in runs) > 0.72


def test_results_stored_by_earlier_versions_can_be_read() -> None:
    stored = json.loads(RESULT.read_text())
    rows = [Result(**row) for results in stored.values() for row in results]
    assert rows
    assert all(0 < row.credit <= 1 for row in rows)
