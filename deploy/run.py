"""Runs a role of gentianmux from a checkout: ``python3 deploy/run.py entry``."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from gentianmux.platform.main import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
