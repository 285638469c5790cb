"""Stalled connections that are not replaced, and idle ones that are reused after failures."""

from collections.abc import Iterator
from contextlib import contextmanager

import gevent
import pytest
from nodes import free_port
from platform_deployment import served
from relay import Relay

from gentianmux.clock import Clock
from gentianmux.leased.links import RECONNECT_AFTER_S, Links
from gentianmux.leased.messages import LoadEcho
from gentianmux.leased.model import NoAnswer
from gentianmux.leased.settings import LeasedSettings
from gentianmux.messages import PROTOCOL_VERSION, Hello, Message
from gentianmux.metrics import Metrics
from gentianmux.platform.http_client import STALE_AFTER_FAILURES, HttpClient
from gentianmux.settings import Settings


@contextmanager
def links_of(role: str, name: str) -> Iterator[tuple[Links, list[Message]]]:
    """Links of a listening process, and the messages that it receives."""
    address = f"127.0.0.1:{free_port()}"
    cfg = LeasedSettings(role, name, "fd", address, "")
    identity = Hello(PROTOCOL_VERSION, f"{name}.1", role, address)
    links = Links(cfg, identity, Metrics(Settings()), Clock())
    received: list[Message] = []
    links.on_message = lambda msg, process: received.append(msg)
    links.start()
    try:
        yield links, received
    finally:
        links.stop()


def wait_for(condition: object) -> None:
    with gevent.Timeout(10):
        while not condition():  # type: ignore[operator]
            gevent.sleep(0.005)


def test_stalled_connection_is_replaced() -> None:
    with links_of("entry", "e") as (entry, _), links_of("agent", "a") as (agent, received):
        relay = Relay(entry.me.address)
        agent.dial(relay.address)
        wait_for(lambda: entry.processes() == ["a.1"] and agent.processes() == ["e.1"])
        # Otherwise it reconnects to the relay, whose address differs from the one in the hello.
        agent.stop_dialing(relay.address)
        assert entry.send("a.1", LoadEcho(1, 1, False, []))
        wait_for(lambda: received == [LoadEcho(1, 1, False, [])])
        relay.silence()
        entry.send("a.1", LoadEcho(2, 1, False, []))
        agent.reconnect("e.1")
        gevent.sleep(RECONNECT_AFTER_S + 0.05)
        assert len(received) == 1
        # Shortly after a frame the connection is considered slow, and is not replaced.
        assert agent._metrics.total("links_renewed") == 0
        for _ in range(20):
            # Repeated calls open one connection per RECONNECT_INTERVAL_S.
            agent.reconnect("e.1")
        wait_for(lambda: entry._metrics.total("bad_frames") or len(entry._open) == 1)
        wait_for(
            lambda: entry.send("a.1", LoadEcho(3, 1, False, []))
            and LoadEcho(3, 1, False, []) in received
        )
        assert agent._metrics.total("links_renewed") == 1
        assert entry.processes() == ["a.1"]
        relay.stop()


class SettableClock(Clock):
    """Clock of a machine that a test suspends."""

    asleep_s = 0.0

    def suspended_s(self) -> float:
        return self.asleep_s


def test_frames_on_a_connection_from_before_a_suspension_are_dropped() -> None:
    """Guards against frames that waited in a socket and tell what was true before the resume."""
    with links_of("entry", "e") as (entry, _), links_of("agent", "a") as (agent, received):
        clock = agent._clock = SettableClock()
        agent.dial(entry.me.address)
        wait_for(lambda: entry.processes() == ["a.1"] and agent.processes() == ["e.1"])
        entry.send("a.1", LoadEcho(1, 1, False, []))
        wait_for(lambda: len(received) == 1)
        entry.send("a.1", LoadEcho(2, 1, False, []))
        clock.asleep_s = 2.0
        wait_for(lambda: not agent.processes())
        wait_for(lambda: entry.processes() == ["a.1"] and agent.processes() == ["e.1"])
        wait_for(lambda: entry.send("a.1", LoadEcho(3, 1, False, [])) and len(received) > 1)
        assert LoadEcho(2, 1, False, []) not in received
        clock.asleep_s = 4.0
        agent.close_idle()
        assert not agent.processes()


def test_idle_connections_are_closed_after_repeated_failures() -> None:
    def app(environ: dict, start_response: object) -> list[bytes]:
        gevent.sleep(0.02)
        start_response("200 OK", [("Content-Length", "2")])  # type: ignore[operator]
        return [b"{}"]

    with served(app) as address:
        relay = Relay(address)
        client = HttpClient(relay.address, 6)
        calls = [gevent.spawn(client.call, "POST", "/", b"x", 2.0) for _ in range(6)]
        assert [call.get(timeout=10).status for call in calls] == [200] * 6
        assert relay.connections == 6
        relay.silence()
        lost = 0
        for _ in range(8):
            try:
                client.call("POST", "/", b"x", 0.5)
            except NoAnswer:
                lost += 1
        assert lost == STALE_AFTER_FAILURES
        relay.stop()


def test_single_failure_keeps_other_connections() -> None:
    replies = iter([200, 0] + [200] * 20)

    def app(environ: dict, start_response: object) -> list[bytes]:
        gevent.sleep(0.02)
        if not next(replies):
            environ["gentianmux.socket"].close()
            return []
        start_response("200 OK", [("Content-Length", "2")])  # type: ignore[operator]
        return [b"{}"]

    with served(app) as address:
        relay = Relay(address)
        client = HttpClient(relay.address, 2)
        client.call("POST", "/", b"x", 2.0)
        with pytest.raises(NoAnswer):
            client.call("POST", "/", b"x", 0.5)
        for _ in range(5):
            client.call("POST", "/", b"x", 2.0)
        assert relay.connections == 2
        relay.stop()
