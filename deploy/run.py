"""Runs an entry or agent from a checkout: ``python3 deploy/run.py entry``."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "src"))

from gentianmux.platform.boot import boot

if __name__ == "__main__":
    sys.exit(boot(sys.argv[1]))
