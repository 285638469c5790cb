"""Connections between entries and agents over real sockets."""

from collections.abc import Iterator
from contextlib import contextmanager

import gevent
import pytest
from nodes import free_port
from platform_deployment import served
from relay import Relay

from gentianmux.clock import Clock
from gentianmux.leased.links import RECONNECT_AFTER_S, Links
from gentianmux.leased.model import NoAnswer
from gentianmux.leased.settings import LeasedSettings
from gentianmux.messages import PROTOCOL_VERSION, Hello, LoadEcho, Message
from gentianmux.metrics import Metrics
from gentianmux.platform.http_client import DOUBTED_AFTER, HttpCaller
from gentianmux.settings import Settings


@contextmanager
def links_of(role: str, name: str) -> Iterator[tuple[Links, list[Message]]]:
    """Links of a process that listens, and what it receives."""
    address = f"127.0.0.1:{free_port()}"
    cfg = LeasedSettings(role, name, "fd", address, "")
    me = Hello(PROTOCOL_VERSION, f"{name}.1", role, address)
    links = Links(cfg, me, Metrics(Settings()), Clock())
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


def test_a_silent_connection_is_replaced_by_one_that_works() -> None:
    with links_of("entry", "e") as (entry, _), links_of("agent", "a") as (agent, received):
        relay = Relay(entry._me.address)
        agent.dial(relay.address)
        wait_for(lambda: entry.processes() == ["a.1"] and agent.processes() == ["e.1"])
        # Or it would dial the relay's address anew, at which no peer says it listens.
        agent.undial(relay.address)
        assert entry.send("a.1", LoadEcho(1, 1, False, []))
        wait_for(lambda: received == [LoadEcho(1, 1, False, [])])
        relay.silence()
        entry.send("a.1", LoadEcho(2, 1, False, []))
        agent.renew("e.1")
        gevent.sleep(RECONNECT_AFTER_S + 0.05)
        assert len(received) == 1
        # Just after a frame the connection counted as slow, and was left alone.
        assert agent._metrics.total("links_renewed") == 0
        for _ in range(20):
            # Asked again and again, it opens one connection in 0.3 s.
            agent.renew("e.1")
        wait_for(lambda: entry._metrics.total("bad_frames") or len(entry._open) == 1)
        wait_for(
            lambda: entry.send("a.1", LoadEcho(3, 1, False, []))
            and LoadEcho(3, 1, False, []) in received
        )
        assert agent._metrics.total("links_renewed") == 1
        assert entry.processes() == ["a.1"]
        relay.stop()


def test_idle_connections_are_doubted_once_calls_get_no_answer() -> None:
    def app(environ: dict, start_response: object) -> list[bytes]:
        gevent.sleep(0.02)
        start_response("200 OK", [("Content-Length", "2")])  # type: ignore[operator]
        return [b"{}"]

    with served(app) as address:
        relay = Relay(address)
        caller = HttpCaller(relay.address, 6)
        calls = [gevent.spawn(caller.call, "POST", "/", b"x", 2.0) for _ in range(6)]
        assert [call.get(timeout=10).status for call in calls] == [200] * 6
        assert relay.connections == 6
        relay.silence()
        lost = 0
        for _ in range(8):
            try:
                caller.call("POST", "/", b"x", 0.5)
            except NoAnswer:
                lost += 1
        assert lost == DOUBTED_AFTER
        relay.stop()


def test_one_lost_answer_costs_no_other_connection() -> None:
    answers = iter([200, 0] + [200] * 20)

    def app(environ: dict, start_response: object) -> list[bytes]:
        gevent.sleep(0.02)
        if not next(answers):
            environ["gentianmux.socket"].close()
            return []
        start_response("200 OK", [("Content-Length", "2")])  # type: ignore[operator]
        return [b"{}"]

    with served(app) as address:
        relay = Relay(address)
        caller = HttpCaller(relay.address, 2)
        caller.call("POST", "/", b"x", 2.0)
        with pytest.raises(NoAnswer):
            caller.call("POST", "/", b"x", 0.5)
        for _ in range(5):
            caller.call("POST", "/", b"x", 2.0)
        assert relay.connections == 2
        relay.stop()
