"""Adapter between the users' platform and gentianmux; contains no decision logic."""
