"""Client of an agent's endpoint in the platform's protocol."""

import json
from typing import Any

from loguru import logger

from ..clock import awake_time, boot_time, suspended_s
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
from .http_client import HttpClient, HttpReply

COMMAND_TIMEOUT_S = 0.08
"""Time allowed for the response to a command, or to a poll that does not wait. A late response to a
command only costs one poll, since the runs listed by the endpoint are authoritative."""

POLL_CONNECTIONS = 2
"""One poll that waits for a run to end, and one that does not wait."""

COMMAND_CONNECTIONS = 3
"""Concurrent starts and stops. They are separate from polls, so that commands without a response
cannot delay the renewal of leases. More gain nothing, since a command takes 2 ms of the agent's
processor."""

EXPECT_INSTANCE = "Gentianmux-Expect-Instance"
"""Header with the id of the endpoint that a call is meant for."""

REPLACED_STATUS = 421
"""Status with which an endpoint of another id responds."""

UNKNOWN_START_MS = 0
"""Start time of an endpoint that does not report it; such an endpoint restarts under a new id."""

FENCE_FACTOR = 2
"""Factor by which the fencing token rises after an endpoint has rejected it as too low. Tokens come
from the endpoint's clock, which may restart at any value, below the token of an earlier agent; ten
calls make up for a factor of a thousand."""

MIN_FENCE = 1
"""Lowest fencing token; a missing one counts as 0."""

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
        When a field is missing or of another type, or the state is unknown: the sender then uses
        another protocol, and its other fields cannot be trusted either.
    """
    amounts = get_object(content, "capacity")
    state = get_str(content, "state")
    if state not in _STATES:
        raise ValueError(f"state {state[:40]!r} is unknown")
    return EndpointReport(
        endpoint=endpoint,
        address=get_str(content, "address", address),
        service=get_str(content, "service"),
        # The platform's term for a failure domain is zone.
        failure_domain=get_str(content, "zone"),
        capacity=Resources(
            get_int(amounts, "cpu"), get_int(amounts, "mem_mb"), get_int(amounts, "gpu", 0)
        ),
        labels=get_str_list(content, "labels"),
        draining=state == "draining",
        drain_remaining_s=get_number(content, "drain_remaining_ms", 0) / 1000,
        sequence=get_int(content, "seq"),
        born=get_int(content, "born", UNKNOWN_START_MS),
    )


def decode_shutdown_notice(body: bytes) -> int:
    """Decode the start time of an endpoint that shuts down, in Unix milliseconds; 0 if unknown.

    Raises
    ------
    ValueError
        When the body is not empty and malformed.
    """
    return get_int(read_object(body), "born", UNKNOWN_START_MS) if body else UNKNOWN_START_MS


class PlatformEndpoint:
    """Starts, stops and polls runs; tracks the endpoint's clock and the agent's fencing token.

    Parameters
    ----------
    address : str
        ``ip:port`` of the endpoint.
    stop_s : float
        Longest time that the endpoint takes to stop a run, in seconds.

    Examples
    --------
    ``endpoint.attach(report)``, then ``endpoint.hold(0, 0.1, 0.5, 1.0)`` renews leases and lists
    the runs; ``endpoint.start("task", 1, payload, 0.5, boot_time())`` starts one.
    """

    def __init__(self, address: str, stop_s: float) -> None:
        self._poll_client = HttpClient(address, POLL_CONNECTIONS)
        self._command_client = HttpClient(address, COMMAND_CONNECTIONS)
        self._stop_s = stop_s
        self._headers: dict[str, str] = {}
        self._fence = 0
        # None until the attached incarnation has answered; its clock may read 0 at its start.
        self._clock_ms: float | None = None
        self._clock_at = 0.0
        self._lease_end = 0.0
        self._endpoint = ""
        self._born = UNKNOWN_START_MS
        self._attach_count = 0
        self._lowest_fence = 0

    def attach(self, report: EndpointReport) -> None:
        """Switch to another incarnation of the endpoint; the first poll sets a new fencing token.

        An incarnation with the same id may have received this agent's last token in a call that
        was meant for the previous one, and hold a run of that call. Hence the new token must be
        higher, and the end of the requested leases is kept.
        """
        is_same_id = report.endpoint == self._endpoint
        if self._endpoint and not self._may_be_same(report):
            # They ended with the previous incarnation, which may not have closed them.
            self._poll_client.renew_connections()
            self._command_client.renew_connections()
        self._lowest_fence = self._fence + 1 if is_same_id else 0
        self._lease_end = self._lease_end if is_same_id else 0.0
        self._endpoint = report.endpoint
        self._born = report.born
        self._attach_count += 1
        self._headers = {EXPECT_INSTANCE: report.endpoint}
        self._fence = 0
        self._clock_ms = None

    def _may_be_same(self, report: EndpointReport) -> bool:
        """Whether a report may be of the attached incarnation, by its id and what starts tell."""
        starts = {self._born, report.born}
        return report.endpoint == self._endpoint and (
            len(starts) == 1 or UNKNOWN_START_MS in starts
        )

    def is_present(self, report: EndpointReport) -> bool | None:
        """Whether the incarnation that sent a heartbeat is the one responding; None if unknown."""
        headers = {EXPECT_INSTANCE: report.endpoint}
        is_same_id = report.endpoint == self._endpoint
        # Another endpoint must not receive a token derived from this one's clock.
        fence = self._fence if is_same_id else 0
        body = json.dumps({"fence": fence, "acknowledged": 0, "wait_ms": 0}).encode()
        try:
            # Renews and acknowledges nothing: only the identity of the responder matters.
            reply = self._poll_client.call("POST", "/v1/hold", body, COMMAND_TIMEOUT_S, headers)
            if reply.status == REPLACED_STATUS:
                return False
            if reply.status == 409:
                # Rejected for the token: with the same id the incarnation remains unknown.
                return None if is_same_id and report.born else True
            if reply.status != 200:
                # An overloaded or failing endpoint may respond before it compares the id.
                return None
            return _born_of(reply.json()) in (UNKNOWN_START_MS, report.born) or not report.born
        except NoAnswer as exc:
            logger.bind(endpoint=report.endpoint, reason=str(exc)).info(
                "endpoint did not answer a probe"
            )
            return None

    def lease_end(self) -> float:
        """Monotonic time at which every lease requested so far has expired.

        An endpoint's clock may stand still while the machine is suspended, and its leases with it.
        """
        return self._lease_end + suspended_s()

    def start(
        self, task: str, run: int, payload: str, lease_s: float, asked_at: float
    ) -> StartResult:
        """Start a run under a lease that begins at ``asked_at``, monotonic time."""
        until_ms = self._lease_until_ms(lease_s, asked_at)
        content = {"task": task, "run": run, "spec": payload, "until_ms": until_ms}
        try:
            reply = self._call(self._command_client, "/v1/run-start", content, COMMAND_TIMEOUT_S)
            if reply.status == 200:
                return StartResult.STARTED
            if reply.status == REPLACED_STATUS:
                return StartResult.REPLACED
            if reply.status in (429, 503):
                return StartResult.UNHEALTHY
            if reply.status == 400:
                return StartResult.REFUSED
            if reply.status == 409:
                reason = str(reply.json().get("reason"))
                return _REFUSED.get(reason, StartResult.REFUSED)
        except NoAnswer as exc:
            logger.bind(task=task, run=run, reason=str(exc)).debug(
                "endpoint did not answer a start"
            )
            return StartResult.NO_ANSWER
        logger.bind(task=task, run=run, status=reply.status).warning(
            "unexpected status in answer to a start"
        )
        return StartResult.NO_ANSWER

    def stop(self, task: str, run: int) -> bool:
        """Stop a run, even if its start is still in flight; whether the endpoint confirmed it."""
        try:
            content = {"task": task, "run": run}
            reply = self._call(self._command_client, "/v1/run-stop", content, COMMAND_TIMEOUT_S)
        except NoAnswer:
            return False
        return reply.status in (200, REPLACED_STATUS)

    def hold(
        self,
        acknowledged: int,
        wait_s: float,
        lease_s: float,
        timeout_s: float,
        lease_from: float | None = None,
    ) -> HoldReply:
        """Renew the lease of all runs (none if ``lease_s`` is 0) and wait for a run to end."""
        asked_at = boot_time()
        if not self._fence:
            self._acquire_fence()
        content: dict[str, Any] = {"acknowledged": acknowledged, "wait_ms": int(wait_s * 1000)}
        if lease_s:
            begins_at = asked_at if lease_from is None else lease_from
            content["until_ms"] = self._lease_until_ms(lease_s, begins_at)
        reply = self._call(self._poll_client, "/v1/hold", content, timeout_s)
        if reply.status == REPLACED_STATUS:
            raise EndpointGone
        if reply.status == 409:
            self._lowest_fence = max(self._lowest_fence, self._fence * FENCE_FACTOR)
            self._fence = 0
            raise NoAnswer("the endpoint has received a higher fencing token")
        if reply.status != 200:
            raise NoAnswer(f"status {reply.status} to a poll")
        content = reply.json()
        self._check_incarnation(_born_of(content))
        return _decode_hold_reply(content, asked_at)

    def _check_incarnation(self, born: int) -> None:
        """Raise unless a poll was answered by the incarnation that this agent is attached to.

        Start times are compared for equality only, as the wall clock may have been set back.
        """
        if UNKNOWN_START_MS not in (born, self._born) and born != self._born:
            raise EndpointStartedAgain(born)

    def _acquire_fence(self) -> None:
        """Read the endpoint's clock and use it as the fencing token.

        The clock rises during one incarnation of the endpoint, so that commands of earlier agents,
        even delayed ones, are rejected from the next call on. After a restart the clock may be
        lower than a token that the endpoint has already received.
        """
        content = {"acknowledged": 0, "wait_ms": 0}
        reply = self._call(self._poll_client, "/v1/hold", content, COMMAND_TIMEOUT_S)
        if reply.status == REPLACED_STATUS:
            raise EndpointGone
        if self._clock_ms is None:
            raise NoAnswer(f"status {reply.status} without clock_ms")
        self._fence = max(MIN_FENCE, int(self._clock_ms), self._lowest_fence)

    def _lease_until_ms(self, lease_s: float, asked_at: float) -> int:
        """End of a lease on the endpoint's clock, which may leave out suspensions.

        Times are compared without them: a lease then ends too early where the endpoint's clock
        counts suspensions, and on time where it does not.
        """
        awake_at = asked_at - suspended_s()
        self._lease_end = max(
            self._lease_end, awake_at + lease_s * CLOCK_DRIFT_RATIO + self._stop_s
        )
        return int((self._clock_ms or 0.0) + (awake_at - self._clock_at) * 1000 + lease_s * 1000)

    def _call(
        self, client: HttpClient, path: str, content: dict[str, Any], timeout_s: float
    ) -> HttpReply:
        body = json.dumps({**content, "fence": self._fence}).encode()
        attach_count = self._attach_count
        reply = client.call("POST", path, body, timeout_s, self._headers)
        # A late response of an earlier incarnation must not set the current one's clock.
        if reply.body and reply.status != REPLACED_STATUS and attach_count == self._attach_count:
            clock_ms = reply.json().get("clock_ms")
            known_ms = self._clock_ms or 0.0
            if isinstance(clock_ms, int | float) and clock_ms >= known_ms:
                self._clock_ms, self._clock_at = float(clock_ms), awake_time()
        return reply


def _born_of(content: dict[str, Any]) -> int:
    """Start time of the incarnation that answered a poll, in Unix milliseconds."""
    try:
        return get_int(content, "born", UNKNOWN_START_MS)
    except ValueError as exc:
        raise NoAnswer(f"malformed answer to a poll: {exc}") from exc


def _decode_hold_reply(content: dict[str, Any], asked_at: float) -> HoldReply:
    try:
        # The third field of a row is a checkpoint, which no served job uses.
        active = tuple(
            ActiveRun(str(row[0]), int(row[1]), float(row[3])) for row in content["active"]
        )
        ended = tuple(
            EndRecord(int(row[0]), str(row[1]), int(row[2]), _HOW.get(row[3], RunOutcome.STOPPED))
            for row in content["ended_runs"]
        )
    except (KeyError, TypeError, ValueError, IndexError) as exc:
        raise NoAnswer(f"malformed answer to a poll: {exc!r}") from exc
    return HoldReply(asked_at, active, ended)
