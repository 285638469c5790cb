"""Runs a stand-in for the platform's log: ``python -m standins.log --address 127.0.0.1:7300``."""

import argparse

from gentianmux.http_server import HttpServer
from gentianmux.log_app import LogApp
from gentianmux.platform_log import MemoryLog
from gentianmux.settings import Settings


def main() -> None:
    """Serve until stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:7300")
    parser.add_argument("--retain", type=int, default=1_000_000, help="records kept per stream")
    args = parser.parse_args()
    HttpServer(args.address, LogApp(MemoryLog(args.retain)), Settings()).serve_forever()


if __name__ == "__main__":
    main()
