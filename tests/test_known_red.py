"""Only tests listed in ``KNOWN-RED.txt`` may fail, and their entries are printed."""

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]

CONFTEST = (Path(__file__).parent / "conftest.py").read_text()
TESTS = """
def test_listed():
    assert False

def test_other():
    assert False
"""


def test_only_listed_tests_may_fail_and_their_entries_are_printed(
    pytester: pytest.Pytester,
) -> None:
    folder = pytester.mkdir("tests")
    (folder / "conftest.py").write_text(CONFTEST)
    (folder / "test_it.py").write_text(TESTS)
    line = "tests/test_it.py::test_listed | cause: a fault"
    (pytester.path / "KNOWN-RED.txt").write_text(line)
    result = pytester.runpytest_subprocess("-p", "no:cacheprovider")
    result.assert_outcomes(xfailed=1, failed=1)
    result.stdout.fnmatch_lines([f"known red: {line}"])


def test_without_a_list_every_failure_counts(pytester: pytest.Pytester) -> None:
    folder = pytester.mkdir("tests")
    (folder / "conftest.py").write_text(CONFTEST)
    (folder / "test_it.py").write_text(TESTS)
    pytester.runpytest_subprocess("-p", "no:cacheprovider").assert_outcomes(failed=2)
