"""The tool of experiments: scenario files, policies, tables."""

from pathlib import Path

import pytest

from bench.experiment import Run, play_run, rows, runs, table
from bench.leased_load import play
from bench.processes import ROOT
from bench.scenario import USUAL, read_experiment
from gentianmux.leased import admission_policy

SCENARIOS = sorted((ROOT / "bench" / "scenarios").glob("*.toml"))
BRIEF = USUAL._replace(seconds=1.0, burst=(0.2, 0.8))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_every_scenario_file_can_be_read_and_names_constants_that_exist(path: Path) -> None:
    experiment = read_experiment(path)
    assert len(experiment.scenario.rooms) == len(experiment.scenario.speeds)
    assert len(list(runs(experiment))) == (
        len(experiment.policies) * len(experiment.loads) * experiment.seeds
    )
    brief = experiment.scenario._replace(seconds=0.2, power=None)
    for policy, constants in experiment.policies.items():
        assert play_run(Run(policy, constants, 1.0, 0, brief)).in_time > 0


def test_a_policy_holds_for_its_run_alone() -> None:
    before = admission_policy.WAIT_FACTOR
    plain = play(3.0, 1, BRIEF)
    changed = play_run(Run("once", {"admission_policy.WAIT_FACTOR": 0.01}, 3.0, 1, BRIEF))
    assert changed.refused < plain.refused
    assert before == admission_policy.WAIT_FACTOR
    assert play(3.0, 1, BRIEF) == plain


def test_the_table_has_a_row_for_each_policy_and_load(tmp_path: Path) -> None:
    path = tmp_path / "x.toml"
    path.write_text(
        'loads = [1.0, 2.0]\nseeds = 2\n[policies.one]\n"admission_policy.WAIT_FACTOR" = 1.0\n'
    )
    experiment = read_experiment(path)
    results = [play(run.load, run.seed, BRIEF) for run in runs(experiment)]
    found = list(rows(experiment, results))
    assert [(row.policy, row.load) for row in found] == [
        ("as it is", 1.0),
        ("as it is", 2.0),
        ("one", 1.0),
        ("one", 2.0),
    ]
    assert len(list(table(found))) == 5


@pytest.mark.parametrize(
    "text",
    ["[scenario]\nroms = [1]\n", "[power]\nat = 1\n", "[[kinds]]\nname = 'a'\n", "loads = x"],
)
def test_a_bad_file_is_refused_with_its_name(tmp_path: Path, text: str) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(text)
    with pytest.raises(ValueError, match=r"bad\.toml"):
        read_experiment(path)
