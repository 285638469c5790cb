"""The endpoint beside an agent, as the platform's page says it is spoken to."""

import json
from time import monotonic
from typing import Any

from loguru import logger

from ..leased.entry_leases import CLOCK_DRIFT_RATIO
from ..leased.model import (
    ActiveRun,
    EndpointGone,
    EndpointReport,
    EndpointStartedAgain,
    EndRecord,
    HoldReply,
    NoAnswer,
    RunOutcome,
    StartResult,
)
from ..leased.resources import Resources
from ..typed_json import get_int, get_number, get_object, get_str, get_str_list, read_object
from .http_client import HttpCaller, HttpReply

START_S = 0.08
"""Seconds for the answer to a start or stop; it takes some 2 ms, and 15 on a slowed machine. One
that is late only costs a look, since what the endpoint lists decides."""

LOOKS = 2
"""Looks at once: one that waits for an end, and one that does not wait."""

ORDERS = 3
"""Starts and stops at once, apart from looks, so that orders without answers hold up no renewal.
More gain nothing, as an order takes 2 ms of the agent's processor, and connections are paid for:
with 24 for all calls each agent opened 9 on a quiet day."""

EXPECT_INSTANCE = "Gentianmux-Expect-Instance"
"""Header that names the life of the endpoint a call is meant for."""

REPLACED = 421
"""Status by which another life of the endpoint answers."""

UNTOLD = 0
"""Stands for the time of an endpoint's start where it does not tell it; its id then is new."""

FENCE_LEAP = 2
"""Factor by which a fence rises that an endpoint has seen a higher one of: its clock may have begun
anew, anywhere, since an earlier agent took it as its fence. Ten calls of some 2 ms make up a
thousandfold."""

_STATES = ("ready", "draining")

_HOW = {
    "done": RunOutcome.DONE,
    "failed": RunOutcome.FAILED,
    "stopped": RunOutcome.STOPPED,
    "lapsed": RunOutcome.LOST,
    "broken": RunOutcome.STOPPED,
    "alone": RunOutcome.STOPPED,
}

_REFUSED = {
    "old": StartResult.OLD_RUN,
    "room": StartResult.NO_ROOM,
}


def decode_heartbeat(endpoint: str, content: dict[str, Any], address: str) -> EndpointReport:
    """Decode a heartbeat.

    Raises
    ------
    ValueError
        When a field is missing or of another type, or the state is not known: its writer speaks
        something else, and what it means by the rest cannot be relied on.
    """
    room = get_object(content, "capacity")
    state = get_str(content, "state")
    if state not in _STATES:
        raise ValueError(f"state {state[:40]!r} is not known")
    return EndpointReport(
        endpoint=endpoint,
        address=get_str(content, "address", address),
        service=get_str(content, "service"),
        # ``zone`` is what this project calls a failure domain.
        failure_domain=get_str(content, "zone"),
        capacity=Resources(get_int(room, "cpu"), get_int(room, "mem_mb"), get_int(room, "gpu", 0)),
        labels=get_str_list(content, "labels"),
        draining=state == "draining",
        drain_remaining_s=get_number(content, "drain_remaining_ms", 0) / 1000,
        sequence=get_int(content, "seq"),
        born=get_int(content, "born", UNTOLD),
    )


def decode_shutdown_notice(body: bytes) -> int:
    """When the endpoint that says it ends was started, in Unix milliseconds; 0 when untold.

    Raises
    ------
    ValueError
        When there is a body that cannot be read.
    """
    return get_int(read_object(body), "born", UNTOLD) if body else UNTOLD


class PlatformEndpoint:
    """Starts, stops and looks at runs; keeps the endpoint's clock and the agent's fence.

    Parameters
    ----------
    address : str
        ``ip:port`` of the endpoint on this machine.
    stop_s : float
        Longest time that a stop takes there, in seconds.
    """

    def __init__(self, address: str, stop_s: float) -> None:
        self._poll_client = HttpCaller(address, LOOKS)
        self._command_client = HttpCaller(address, ORDERS)
        self._stop_s = stop_s
        self._headers: dict[str, str] = {}
        self._fence = 0
        self._clock_ms = 0.0
        self._clock_at = 0.0
        self._lease_end = 0.0
        self._endpoint = ""
        self._born = UNTOLD
        self._lives = 0
        self._lowest_fence = 0

    def attach(self, report: EndpointReport) -> None:
        """Turn to another life of the endpoint; the first look fixes a new fence.

        A life under the same id may have seen this agent's last fence in a call that was meant for
        the one before, and hold a run of it: the new fence is higher, the leases last as long.
        """
        is_same_id = report.endpoint == self._endpoint
        self._lowest_fence = self._fence + 1 if is_same_id else 0
        self._lease_end = self._lease_end if is_same_id else 0.0
        self._endpoint = report.endpoint
        self._born = report.born
        self._lives += 1
        self._headers = {EXPECT_INSTANCE: report.endpoint}
        self._fence = 0
        self._clock_ms = 0.0

    def is_present(self, report: EndpointReport) -> bool | None:
        """Whether the life that a heartbeat came from is the one that answers."""
        headers = {EXPECT_INSTANCE: report.endpoint}
        is_same_id = report.endpoint == self._endpoint
        # Another endpoint must not see a fence of this one's clock.
        fence = self._fence if is_same_id else 0
        body = json.dumps({"fence": fence, "acknowledged": 0, "wait_ms": 0}).encode()
        try:
            # It renews and acknowledges nothing; only who answers counts.
            reply = self._poll_client.call("POST", "/v1/hold", body, START_S, headers)
            if reply.status == REPLACED:
                return False
            if reply.status != 200:
                # Refused for the fence: of a known id it stays open which life it is.
                return None if is_same_id and report.born else True
            return _born_of(reply.json()) in (UNTOLD, report.born) or not report.born
        except NoAnswer as exc:
            logger.bind(endpoint=report.endpoint, reason=str(exc)).info("no answer to a probe")
            return None

    def lease_end(self) -> float:
        """When every lease ever asked for has run out, on the monotonic clock."""
        return self._lease_end

    def start(
        self, task: str, run: int, payload: str, lease_s: float, asked_at: float
    ) -> StartResult:
        """Start a run under a lease that counts from ``asked_at``."""
        until_ms = self._until(lease_s, asked_at)
        content = {"task": task, "run": run, "spec": payload, "until_ms": until_ms}
        try:
            reply = self._call(self._command_client, "/v1/run-start", content, START_S)
            if reply.status == 200:
                return StartResult.STARTED
            if reply.status == REPLACED:
                return StartResult.REPLACED
            if reply.status in (429, 503):
                return StartResult.UNHEALTHY
            if reply.status == 400:
                return StartResult.REFUSED
            if reply.status == 409:
                reason = str(reply.json().get("reason"))
                return _REFUSED.get(reason, StartResult.REFUSED)
        except NoAnswer as exc:
            logger.bind(task=task, run=run, reason=str(exc)).debug("no answer to a start")
            return StartResult.NO_ANSWER
        logger.bind(task=task, run=run, status=reply.status).warning("foreign answer to a start")
        return StartResult.NO_ANSWER

    def stop(self, task: str, run: int) -> bool:
        """Stop a run, present or still on its way; whether the endpoint confirmed it."""
        try:
            content = {"task": task, "run": run}
            reply = self._call(self._command_client, "/v1/run-stop", content, START_S)
        except NoAnswer:
            return False
        return reply.status in (200, REPLACED)

    def hold(self, acknowledged: int, wait_s: float, lease_s: float, timeout_s: float) -> HoldReply:
        """Renew the lease of all runs (0: only look) and wait for an end."""
        if not self._fence:
            self._raise_fence()
        asked_at = monotonic()
        content: dict[str, Any] = {"acknowledged": acknowledged, "wait_ms": int(wait_s * 1000)}
        if lease_s:
            content["until_ms"] = self._until(lease_s, asked_at)
        reply = self._call(self._poll_client, "/v1/hold", content, timeout_s)
        if reply.status == REPLACED:
            raise EndpointGone
        if reply.status == 409:
            self._lowest_fence = max(self._lowest_fence, self._fence * FENCE_LEAP)
            self._fence = 0
            raise NoAnswer("the endpoint has seen a higher fence")
        if reply.status != 200:
            raise NoAnswer(f"status {reply.status} to a look")
        content = reply.json()
        self._check_life(_born_of(content))
        return _read_look(content, asked_at)

    def _check_life(self, born: int) -> None:
        """Raise unless a look was answered by the life that this agent has turned to.

        Who answers is at work, whatever its time of start: a time of day may have been set back.
        """
        if UNTOLD not in (born, self._born) and born != self._born:
            raise EndpointStartedAgain(born)

    def _raise_fence(self) -> None:
        """Learn the endpoint's clock, and make it the fence.

        It rises through one life of the endpoint, so orders of earlier agents, even those
        carried out late, are refused from the next call on. Where the endpoint has started again
        meanwhile, its clock may be lower than a fence that it has seen.
        """
        content = {"acknowledged": 0, "wait_ms": 0}
        reply = self._call(self._poll_client, "/v1/hold", content, START_S)
        if reply.status == REPLACED:
            raise EndpointGone
        if not self._clock_ms:
            raise NoAnswer(f"status {reply.status} without a clock")
        self._fence = max(int(self._clock_ms), self._lowest_fence)

    def _until(self, lease_s: float, asked_at: float) -> int:
        self._lease_end = max(
            self._lease_end, asked_at + lease_s * CLOCK_DRIFT_RATIO + self._stop_s
        )
        return int(self._clock_ms + (asked_at - self._clock_at) * 1000 + lease_s * 1000)

    def _call(
        self, caller: HttpCaller, path: str, content: dict[str, Any], timeout_s: float
    ) -> HttpReply:
        body = json.dumps({**content, "fence": self._fence}).encode()
        lives = self._lives
        reply = caller.call("POST", path, body, timeout_s, self._headers)
        # A late answer of an earlier life tells nothing of the present one's clock.
        if reply.body and reply.status != REPLACED and lives == self._lives:
            clock_ms = reply.json().get("clock_ms")
            if isinstance(clock_ms, int | float) and clock_ms >= self._clock_ms:
                self._clock_ms, self._clock_at = float(clock_ms), monotonic()
        return reply


def _born_of(content: dict[str, Any]) -> int:
    """When the life that lists its runs began, in Unix milliseconds."""
    try:
        return get_int(content, "born", UNTOLD)
    except ValueError as exc:
        raise NoAnswer(f"a look that cannot be read: {exc}") from exc


def _read_look(content: dict[str, Any], asked_at: float) -> HoldReply:
    try:
        # A row's third field is its checkpoint; no job served here asks for any.
        active = tuple(ActiveRun(str(r[0]), int(r[1]), float(r[3])) for r in content["active"])
        ended = tuple(
            EndRecord(int(r[0]), str(r[1]), int(r[2]), _HOW.get(r[3], RunOutcome.STOPPED))
            for r in content["ended_runs"]
        )
    except (KeyError, TypeError, ValueError, IndexError) as exc:
        raise NoAnswer(f"a look that cannot be read: {exc!r}") from exc
    return HoldReply(asked_at, active, ended)
