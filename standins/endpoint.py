"""Runs a stand-in for an endpoint: ``python -m standins.endpoint --address 127.0.0.1:7501``."""

import argparse
import json
from time import time
from typing import Any

from gentianmux.http_server import HttpServer
from gentianmux.sample_endpoint import SampleEndpoint
from gentianmux.settings import Settings


class Journal:
    """Appends each start and end of a task to a file, as JSON lines.

    Parameters
    ----------
    path : str
        Path of the file; empty to write nothing.
    """

    def __init__(self, path: str) -> None:
        self._file = open(path, "a", buffering=1) if path else None  # noqa: SIM115

    def __call__(self, event: dict[str, Any]) -> None:
        if self._file is not None:
            self._file.write(json.dumps({**event, "at": time()}) + "\n")


def main() -> None:
    """Serve until stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:7501")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--journal", default="")
    args = parser.parse_args()
    app = SampleEndpoint(args.slots, Journal(args.journal))
    HttpServer(args.address, app, Settings(max_connections=10_000)).serve_forever()


if __name__ == "__main__":
    main()
