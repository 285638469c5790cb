"""The experiment runner: scenario files, policy overrides and result tables."""

from pathlib import Path

import pytest

from bench.experiment import Run, play_run, rows, runs, table
from bench.leased_load import play
from bench.processes import ROOT
from bench.scenario import USUAL, read_experiment
from gentianmux.leased import admission_policy

SCENARIOS = sorted((ROOT / "bench" / "scenarios").glob("*.toml"))
SHORT_SCENARIO = USUAL._replace(seconds=1.0, burst=(0.2, 0.8))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario_files_parse_and_override_existing_constants(path: Path) -> None:
    experiment = read_experiment(path)
    assert len(experiment.scenario.rooms) == len(experiment.scenario.speeds)
    assert len(list(runs(experiment))) == (
        len(experiment.policies) * len(experiment.loads) * experiment.seeds
    )
    short_scenario = experiment.scenario._replace(seconds=0.2, power=None)
    for policy, constants in experiment.policies.items():
        assert play_run(Run(policy, constants, 1.0, 0, short_scenario)).in_time > 0


def test_policy_overrides_are_restored_after_the_run() -> None:
    original = admission_policy.WAIT_FACTOR
    baseline = play(3.0, 1, SHORT_SCENARIO)
    overridden = play_run(
        Run("once", {"admission_policy.WAIT_FACTOR": 0.01}, 3.0, 1, SHORT_SCENARIO)
    )
    assert overridden.refused < baseline.refused
    assert original == admission_policy.WAIT_FACTOR
    assert play(3.0, 1, SHORT_SCENARIO) == baseline


def test_the_table_has_a_row_for_each_policy_and_load(tmp_path: Path) -> None:
    path = tmp_path / "x.toml"
    path.write_text(
        'loads = [1.0, 2.0]\nseeds = 2\n[policies.one]\n"admission_policy.WAIT_FACTOR" = 1.0\n'
    )
    experiment = read_experiment(path)
    results = [play(run.load, run.seed, SHORT_SCENARIO) for run in runs(experiment)]
    table_rows = list(rows(experiment, results))
    assert [(row.policy, row.load) for row in table_rows] == [
        ("as it is", 1.0),
        ("as it is", 2.0),
        ("one", 1.0),
        ("one", 2.0),
    ]
    assert len(list(table(table_rows))) == 5


@pytest.mark.parametrize(
    "text",
    ["[scenario]\nroms = [1]\n", "[power]\nat = 1\n", "[[kinds]]\nname = 'a'\n", "loads = x"],
)
def test_invalid_file_raises_an_error_that_names_it(tmp_path: Path, text: str) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(text)
    with pytest.raises(ValueError, match=r"bad\.toml"):
        read_experiment(path)
