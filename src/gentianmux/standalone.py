"""Everything in one process, for trying gentianmux out: log, sample endpoint, entry, agent."""

from .http_server import HttpServer
from .log_app import LogApp
from .node import Node
from .platform_log import MemoryLog
from .sample_endpoint import SampleEndpoint
from .settings import Settings

SAMPLE_SERVICES = ("intake", "roster")


class Standalone:
    """A node with an in-memory log and a sample endpoint beside it.

    Parameters
    ----------
    cfg : Settings
        The settings; ``log_url`` and ``endpoint`` say where the two listen.
    """

    def __init__(self, cfg: Settings) -> None:
        if not cfg.services:
            cfg = cfg._replace(services=SAMPLE_SERVICES)
        log = MemoryLog()
        log_address = cfg.log_url.removeprefix("http://")
        self.log_server = HttpServer(log_address, LogApp(log), cfg)
        self.endpoint = HttpServer(cfg.endpoint, SampleEndpoint(cfg.slots), cfg)
        self.node = Node(cfg, log)

    def start(self) -> None:
        """Start all three."""
        self.log_server.start()
        self.endpoint.start()
        self.node.start()

    def drain(self) -> bool:
        """Finish what is in flight."""
        return self.node.drain()

    def stop(self) -> None:
        """Close everything at once."""
        self.node.stop()
        self.endpoint.stop(timeout=1)
        self.log_server.stop(timeout=1)
