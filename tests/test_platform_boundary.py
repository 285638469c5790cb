"""Names of the platform's protocol that leak out of the adapter package."""

import re
from pathlib import Path

import pytest

SOURCE = Path(__file__).parent.parent / "src" / "gentianmux"
ADAPTER = "platform"
PROTOCOL_NAMES = re.compile(
    r"run-start|run-stop|/v1/hold|log-append|log-newest|log-read|until_ms|ended_runs|wait_ms"
    r"|hold_max_ms|path_prefix|target_latency_ms|best_effort|keyed\.|gentianmux-(expect|deadline)"
    r"|clock_ms|drain_remaining_ms|enforces_capacity|port_range|resend_ms|GENTIANMUX_CONFIG"
    r"|heartbeat_ms|log-join|machine-move|deregister|anti_affinity|long_running|speculative",
    re.IGNORECASE,
)
PLATFORM_TERMS = re.compile(r"\b(tenants?|executors?|fleetbench|liveness report)\b", re.IGNORECASE)


def protocol_names(text: str) -> list[str]:
    return [found[0] for found in PROTOCOL_NAMES.finditer(text)]


def modules_outside_adapter() -> list[Path]:
    files = sorted(SOURCE.rglob("*.py"))
    return [path for path in files if ADAPTER not in path.relative_to(SOURCE).parts]


def test_protocol_names_appear_only_in_the_adapter() -> None:
    assert {
        path.name: found
        for path in modules_outside_adapter()
        if (found := protocol_names(path.read_text()))
    } == {}


@pytest.mark.parametrize("name", ['row["until_ms"]', "'/v1/run-start'", "keyed.agents"])
def test_protocol_name_is_detected(name: str) -> None:
    assert protocol_names(f"x = {name}")


def test_modules_use_no_platform_terms() -> None:
    modules = [*SOURCE.joinpath("leased").glob("*.py"), *SOURCE.joinpath(ADAPTER).glob("*.py")]
    assert {path.name: PLATFORM_TERMS.findall(path.read_text()) for path in modules} == {
        path.name: [] for path in modules
    }


def test_adapter_is_under_a_tenth_of_the_product() -> None:
    def lines(paths: list[Path]) -> int:
        return sum(len(path.read_text().splitlines()) for path in paths)

    adapter = lines(sorted(SOURCE.joinpath(ADAPTER).glob("*.py")))
    assert adapter < 0.1 * lines(modules_outside_adapter())
