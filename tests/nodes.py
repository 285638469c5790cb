"""Starts a whole standalone node for tests, ready for work."""

import socket
from pathlib import Path
from typing import Any

import gevent

from gentianmux.api_client import ApiClient
from gentianmux.config_state import Change
from gentianmux.inventory import read_rules
from gentianmux.settings import Settings
from gentianmux.standalone import Standalone

RULES = Path(__file__).parent.parent / "examples" / "rules.json"


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def start_standalone(**changes: Any) -> Standalone:
    ports = [f"127.0.0.1:{free_port()}" for _ in range(4)]
    cfg = Settings(
        peer_address=ports[0],
        http_address=ports[1],
        endpoint=ports[2],
        log_url=f"http://{ports[3]}",
        tail_ms=20,
    )
    node = Standalone(cfg._replace(**changes))
    node.start()
    change = Change("c1", -1, read_rules(RULES.read_text()).items, [])
    node.node.ctx.log.append("config", change.to_json())
    client = ApiClient(f"http://{ports[1]}")
    with gevent.Timeout(20):
        while client.call("GET", "/readyz").status != 200:
            gevent.sleep(0.02)
    return node
