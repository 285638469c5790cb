"""Entry point of ``python -m gentianmux``, which runs the daemon."""

from .daemon import main

main()
