"""A deployment on the platform for tests: real processes and stand-ins on loopback."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import gevent
from geventhttpclient import HTTPClient
from nodes import free_port

from gentianmux.http_server import HttpServer
from gentianmux.settings import Settings
from standins.platform_endpoint import PlatformEndpointApp
from standins.platform_store import PlatformStoreApp

ROOT = Path(__file__).parent.parent
CONFIG = """{"version": %d, "routes": [{"name": "r1", "host": "h.example", "path_prefix": "/q/",
"kind": "unsafe", "timeout_ms": 5000, "target_latency_ms": 60, "priority": 0, "service": "svc",
"max_attempts": 2, "stretch": 1.6}], "services": [{"name": "svc"}], "limits":
{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
"idle_timeout_ms": 15000}}"""
START_TIMEOUT_S = 20.0


@contextmanager
def served(app: Any) -> Iterator[str]:
    """Serve an application on a free loopback port."""
    address = f"127.0.0.1:{free_port()}"
    server = HttpServer(address, app, Settings(max_connections=100))
    server.start()
    try:
        yield address
    finally:
        server.stop(timeout=0)


class Deployment:
    """A store, endpoints, an entry and agents, all on loopback.

    Examples
    --------
    ``deployment.start_all()``, then ``deployment.submit("00000000000000a1", job_body())``.
    """

    def __init__(self, folder: Path, agents: int = 2) -> None:
        self.folder = folder
        self.store = PlatformStoreApp()
        self.store.put("keyed.op", "config", (CONFIG % 1).encode())
        self._taken: set[int] = set()
        self.ports = {name: self._port() for name in ("front", "ready", "control", "peer")}
        self._servers: list[HttpServer] = []
        self.store_address = self._serve(self.store, "127.0.0.1")
        self.endpoints: dict[str, PlatformEndpointApp] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.apps: dict[str, str] = {}
        for number in range(agents):
            name = f"side-{number}"
            self.endpoints[name] = PlatformEndpointApp(f"i-{number}")
            self.apps[name] = self._serve(self.endpoints[name], self.ip_of(name))
        self._heartbeats = gevent.spawn(self._send_heartbeats)

    def _port(self) -> int:
        """A free port that is not yet used in this deployment."""
        while (port := free_port()) in self._taken:
            pass
        self._taken.add(port)
        return port

    def _serve(self, app: Any, ip: str) -> str:
        address = f"{ip}:{self._port()}"
        server = HttpServer(address, app, Settings(max_connections=100))
        server.start()
        self._servers.append(server)
        return address

    def ip_of(self, name: str) -> str:
        """Loopback address of an instance; all instances use the same ports."""
        kind, _, number = name.partition("-")
        base = 50 if kind == "front" else 100
        # Concurrent test runs need distinct addresses, as the metrics port is fixed.
        return f"127.0.{1 + os.getpid() % 250}.{base + int(number)}"

    def start(self, name: str, role: str) -> None:
        """Start the process of an instance, with its own settings file."""
        ip = self.ip_of(name)
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings(name, ip))
        # A pipe that nobody reads would block the process once it is full.
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, str(ROOT / "deploy" / "run.py"), role],
                env={**os.environ, "GENTIANMUX_CONFIG": str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _settings(self, name: str, ip: str) -> str:
        seeds = f'"{self.ip_of("front-0")}:{self.ports["control"]}"'
        app = f'app = "{self.apps[name]}"\nservice = "svc"' if name in self.apps else ""
        return f"""node = "{name}"
zone = "z1"
ip = "{ip}"
port_range = [{self.ports["peer"]}, {self.ports["peer"] + 9}]
seeds = [{seeds}]
{app}
[listen]
front = "{ip}:{self.ports["front"]}"
readiness = "{ip}:{self.ports["ready"]}"
control = "{ip}:{self.ports["control"]}"
[bounds]
hold_max_ms = 1000
stop_ms = 50
grace_s = 6
resend_ms = 1300
[platform]
address = "{self.store_address}"
keep_s = 20
"""

    def start_all(self) -> None:
        """Start an entry and every agent, and wait until the entry is ready."""
        self.start("front-0", "entry")
        for name in self.endpoints:
            self.start(name, "agent")
        self.wait_ready()

    def wait_ready(self, entry: str = "front-0") -> None:
        """Wait until an entry is ready and every endpoint has been polled."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            polled = all(endpoint.fence for endpoint in self.endpoints.values())
            if polled and self.get(entry, "ready", "/v1/ready")[0] == 200:
                gevent.sleep(0.3)
                return
            gevent.sleep(0.05)
        raise AssertionError((self.folder / f"{entry}.log").read_text()[-2000:])

    def wait_logged(self, name: str, *words: str, after: int) -> None:
        """Wait until a line of an instance's log, past an offset, holds all of some words."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            lines = self.log_of(name)[after:].splitlines()
            if any(all(word in line for word in words) for line in lines):
                return
            gevent.sleep(0.05)
        raise AssertionError(self.log_of(name)[after:][-2000:])

    def _send_heartbeats(self) -> None:
        while True:
            for name, endpoint in self.endpoints.items():
                with suppress(OSError):
                    endpoint.send_heartbeat(f"{self.ip_of(name)}:{self.ports['control']}")
            gevent.sleep(0.3)

    def get(self, name: str, port: str, path: str) -> tuple[int, bytes]:
        """Send a GET request to an instance; status 0 when it does not respond."""
        return self.call(name, port, "GET", path)

    def call(
        self, name: str, port: str, method: str, path: str, body: bytes = b"", **headers: str
    ) -> tuple[int, bytes]:
        """Send a request to an instance; status 0 when it does not respond."""
        number = 9464 if port == "metrics" else self.ports[port]
        client = HTTPClient(self.ip_of(name), number, connection_timeout=1, network_timeout=10)
        sent = {"Host": "h.example", **{k.replace("_", "-"): v for k, v in headers.items()}}
        try:
            response = client.request(method, path, body=body, headers=sent)
            return int(response.status_code), bytes(response.read())
        except OSError:
            return 0, b""
        finally:
            client.close()

    def submit(self, job_id: str, body: str, entry: str = "front-0") -> tuple[int, bytes]:
        """Submit a job and wait for its response."""
        path = f"/q/{job_id}"
        return self.call(entry, "front", "POST", path, body.encode(), Gentianmux_Deadline_Ms="8000")

    def log_of(self, name: str) -> str:
        """Output of the process of an instance."""
        return (self.folder / f"{name}.log").read_text()

    def log_lines(self, *words: str) -> str:
        """Lines of all logs that hold one of some words, to explain a failure by them."""
        lines = [line for name in self.processes for line in self.log_of(name).splitlines()]
        return "\n".join(line for line in lines if any(word in line for word in words))

    def stop(self) -> None:
        """Stop all processes and servers."""
        self._heartbeats.kill()
        for process in self.processes.values():
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGKILL)
            process.wait()
        for server in self._servers:
            server.stop(timeout=0)


def job_body(tasks: int = 4, run_ms: int = 100, fail: bool = False) -> str:
    """Body of a job with one step, whose tasks run for ``run_ms`` at the stand-in."""
    spec = f'{{\\"ms\\": {run_ms}, \\"fail\\": {"true" if fail else "false"}}}'
    step = f'{{"count": {tasks}, "cpu": 1600, "mem_mb": 64, "estimate_ms": {run_ms}}}'
    return f'{{"spec": "{spec}", "best_effort": true, "steps": [{step}]}}'
