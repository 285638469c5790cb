"""Behave hooks: disable logging and stop the system after each scenario."""

from typing import Any

from loguru import logger


def before_all(_context: Any) -> None:
    """Disable logging."""
    logger.remove()


def after_scenario(context: Any, _scenario: Any) -> None:
    """Stop the system that the scenario started."""
    if "system" in context:
        context.system.stop()
