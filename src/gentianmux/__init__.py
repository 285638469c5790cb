"""Dispatcher for sub-second tasks, shared by a federation of organisations."""

__version__ = "0.1.0"
