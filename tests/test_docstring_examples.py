"""Examples in docstrings run as they stand."""

import doctest
from collections.abc import Iterator
from importlib import import_module
from pkgutil import walk_packages

import pytest

import bench
import gentianmux

RUN_ON_IMPORT = {"gentianmux.__main__"}
PATCH_ON_IMPORT = {"bench.faults", "bench.idle", "bench.speed"}
"""Modules that replace the standard library's sockets for the whole process."""

LEAST_EXAMPLES = 40


def module_names() -> Iterator[str]:
    for package in (gentianmux, bench):
        for found in walk_packages(package.__path__, f"{package.__name__}."):
            if found.name not in RUN_ON_IMPORT | PATCH_ON_IMPORT:
                yield found.name


@pytest.mark.parametrize("name", sorted(module_names()))
def test_docstring_examples_hold(name: str) -> None:
    """Guards against examples that are false, and teach a reader wrongly."""
    assert doctest.testmod(import_module(name)).failed == 0


def test_examples_are_found() -> None:
    """Guards against a search that finds none and so always passes."""
    finder = doctest.DocTestFinder()
    found = [test for name in module_names() for test in finder.find(import_module(name))]
    assert sum(1 for test in found if test.examples) >= LEAST_EXAMPLES
