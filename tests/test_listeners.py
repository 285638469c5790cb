"""Connections that are refused because a process listens only after its slow imports."""

import subprocess
import sys
from contextlib import suppress

import gevent
from geventhttpclient import HTTPClient
from nodes import free_port

from gentianmux.http_server import HttpServer
from gentianmux.leased.config_feed import ConfigFeed, ConfigSource
from gentianmux.leased.model import JobConfig, RequestLimits
from gentianmux.listeners import Listeners
from gentianmux.metrics import Metrics
from gentianmux.platform_log import MemoryKeyedLog
from gentianmux.settings import Settings


def test_request_sent_before_the_server_starts_is_answered():
    address = f"127.0.0.1:{free_port()}"
    listeners = Listeners([address])
    ip, _, port = address.partition(":")
    client = HTTPClient(ip, int(port), connection_timeout=1, network_timeout=5)
    request = gevent.spawn(client.get, "/")
    gevent.sleep(0.1)
    assert not request.ready()

    def app(environ, start_response):
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    server = HttpServer(address, app, Settings(max_connections=10), listeners=listeners)
    server.start()
    try:
        assert request.get(timeout=5).status_code == 200
    finally:
        client.close()
        server.stop(timeout=0)


def test_listening_socket_is_taken_once():
    address = f"127.0.0.1:{free_port()}"
    listeners = Listeners([address])
    taken = listeners.take(address)
    assert taken.getsockname() == ("127.0.0.1", int(address.partition(":")[2]))
    taken.close()
    assert listeners.take(address) == ("127.0.0.1", int(address.partition(":")[2]))


def test_boot_imports_no_slow_modules():
    code = "import sys, gentianmux.platform.boot; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, text=True
    )
    slow = {"gevent", "loguru", "capnp", "asyncio", "geventhttpclient", "ssl"}
    # Site packages may load some of them when the interpreter starts.
    bare = subprocess.run(
        [sys.executable, "-c", "import sys; print(*sys.modules)"],
        capture_output=True,
        check=True,
        text=True,
    )
    added = set(loaded.stdout.split()) - set(bare.stdout.split())
    assert not slow & added


def test_request_waits_for_the_first_configuration():
    config = JobConfig(1, (), RequestLimits(), b"1")
    source = ConfigSource("config", "config", lambda raw: config, "evacuate/")
    feed = ConfigFeed(source, MemoryKeyedLog(), Metrics(Settings()), None)  # type: ignore[arg-type]
    assert feed.wait_for_config(0.01) is None
    waiting = gevent.spawn(feed.wait_for_config, 5.0)
    gevent.sleep(0)
    feed.apply_if_newer(b"1", "store")
    with suppress(gevent.Timeout):
        assert waiting.get(timeout=1) is config
    assert waiting.ready()
    assert feed.wait_for_config(0.0) is config
