"""Translates between the users' platform and gentianmux; decides nothing."""
