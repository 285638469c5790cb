"""The platform's wire is known to the adapter alone."""

import re
from pathlib import Path

import pytest

SOURCE = Path(__file__).parent.parent / "src" / "gentianmux"
ADAPTER = "platform"
WIRE = re.compile(
    r"run-start|run-stop|/v1/hold|log-append|log-newest|log-read|until_ms|ended_runs|wait_ms"
    r"|hold_max_ms|path_prefix|target_latency_ms|best_effort|keyed\.|gentianmux-(expect|deadline)"
    r"|clock_ms|drain_remaining_ms|enforces_capacity|port_range|resend_ms|GENTIANMUX_CONFIG"
    r"|heartbeat_ms|log-join|machine-move|deregister|anti_affinity|long_running|speculative",
    re.IGNORECASE,
)
PAGES = re.compile(r"\b(tenants?|executors?|fleetbench|liveness report)\b", re.IGNORECASE)


def wire_names(text: str) -> list[str]:
    return [found[0] for found in WIRE.finditer(text)]


def outside() -> list[Path]:
    files = sorted(SOURCE.rglob("*.py"))
    return [path for path in files if ADAPTER not in path.relative_to(SOURCE).parts]


def test_no_module_outside_the_adapter_names_the_wire() -> None:
    assert {path.name: found for path in outside() if (found := wire_names(path.read_text()))} == {}


@pytest.mark.parametrize("planted", ['row["until_ms"]', "'/v1/run-start'", "keyed.agents"])
def test_a_planted_name_is_found(planted: str) -> None:
    assert wire_names(f"x = {planted}")


def test_new_modules_use_the_projects_words() -> None:
    new = [*SOURCE.joinpath("leased").glob("*.py"), *SOURCE.joinpath(ADAPTER).glob("*.py")]
    assert {path.name: PAGES.findall(path.read_text()) for path in new} == {
        path.name: [] for path in new
    }


def test_the_adapter_is_under_a_tenth_of_the_product() -> None:
    def lines(paths: list[Path]) -> int:
        return sum(len(path.read_text().splitlines()) for path in paths)

    adapter = lines(sorted(SOURCE.joinpath(ADAPTER).glob("*.py")))
    assert adapter < 0.1 * lines(outside())
