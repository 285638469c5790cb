"""HTTP interface for callers and operators."""

import hashlib
import json
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple
from urllib.parse import unquote

from loguru import logger

from .codes import ResultCode
from .coordinator import REQUEST_PREFIX
from .dispatcher import Reply
from .errors import GentianmuxError
from .http_server import read_body
from .ids import NO_TIME, job_key, new_id, validate_id
from .limits import MemberLimits
from .messages import Submit
from .node_context import NodeContext
from .submission import Submission, read_job, read_request, submission_digest

StartResponse = Callable[..., Any]
MAX_WAIT_S = 300.0
REQUEST_WAIT_S = 60.0
_REASONS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Response(NamedTuple):
    """HTTP response: status, JSON body and suggested retry delay in ms."""

    status: int
    body: bytes
    retry_after_ms: int = 0


class CallerApi:
    """WSGI application for callers and operators; agents serve only the operators' paths.

    Parameters
    ----------
    ctx : NodeContext
        Shared context.
    """

    def __init__(self, ctx: NodeContext) -> None:
        self._ctx = ctx
        self._limits = MemberLimits(ctx.cfg, ctx.config, ctx.rng)
        self._routes: dict[str, dict[str, Callable[[dict[str, Any], str], Response]]] = {
            "/v1/jobs": {"POST": self._submit_job},
            "/v1/jobs/": {"GET": self._get_job, "DELETE": self._cancel_job},
            "/v1/requests": {"POST": self._submit_request},
            "/healthz": {"GET": self._health},
            "/readyz": {"GET": self._ready},
            "/metrics.json": {"GET": self._metrics},
            "/v1/explain/": {"GET": self._explain},
        }
        if ctx.identity.role == "agent":
            operators_only = ("/healthz", "/readyz", "/metrics.json")
            self._routes = {path: self._routes[path] for path in operators_only}

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        try:
            response = self._route(environ)
        except GentianmuxError as exc:
            response = error_response(
                Reply(exc.code, exc.detail, retry_after_ms=exc.retry_after_ms)
            )
        except Exception:
            logger.bind(code=int(ResultCode.INTERNAL)).exception("request failed")
            response = error_response(Reply(ResultCode.INTERNAL))
        return _write(response, start_response)

    def _route(self, environ: dict[str, Any]) -> Response:
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        base, rest = self._split_path(path)
        methods = self._routes.get(base)
        if methods is None or (base.endswith("/") and not rest):
            raise GentianmuxError(ResultCode.NOT_FOUND)
        if method not in methods:
            raise GentianmuxError(ResultCode.METHOD_NOT_ALLOWED)
        return methods[method](environ, unquote(rest))

    def _split_path(self, path: str) -> tuple[str, str]:
        if path in self._routes:
            return path, ""
        parents = (each for each in self._routes if each.endswith("/"))
        base = next((each for each in parents if path.startswith(each)), "")
        return base, path[len(base) :]

    # Jobs and requests

    def _submit_job(self, environ: dict[str, Any], _rest: str) -> Response:
        member = self._authenticate(environ)
        wait_s = _preferred_wait_s(environ, 0.0)
        body = read_body(environ, self._ctx.cfg)
        submission = read_job(body, self._ctx.now_ms())
        return self._submit(member, submission, body, wait_s)

    def _submit_request(self, environ: dict[str, Any], _rest: str) -> Response:
        member = self._authenticate(environ)
        wait_s = _preferred_wait_s(environ, REQUEST_WAIT_S)
        body = read_body(environ, self._ctx.cfg)
        now_ms = self._ctx.now_ms()
        key = environ.get("HTTP_IDEMPOTENCY_KEY")
        job_id = new_id(now_ms, self._ctx.rng.getrandbits(74)) if key is None else validate_id(key)
        submission = read_request(body, job_id, now_ms)
        return self._submit(member, submission, REQUEST_PREFIX + body, wait_s)

    def _submit(self, member: str, submission: Submission, body: bytes, wait_s: float) -> Response:
        ctx = self._ctx
        self._check(member, submission)
        msg = Submit(
            0,
            job_key(member, submission.job_id),
            member,
            submission.service,
            body,
            submission_digest(submission),
            submission.submitted_ms,
            submission.deadline_ms,
            submission.idempotent,
            wait_s > 0,
        )
        ctx.metrics.count("requests")
        self._limits.acquire(member, ctx.now(), len(ctx.membership.alive("entry")))
        ctx.dispatcher.inflight += 1
        try:
            reply = ctx.dispatcher.submit(msg, wait_s)
        finally:
            ctx.dispatcher.inflight -= 1
            self._limits.release(member)
        ctx.metrics.count("answers", label=reply.code.label)
        logger.bind(job=msg.key, code=int(reply.code)).info("answered")
        return _to_response(reply, submission.job_id)

    def _check(self, member: str, submission: Submission) -> None:
        ctx = self._ctx
        if ctx.draining:
            raise GentianmuxError(ResultCode.DRAINING, retry_after_ms=100)
        service = ctx.config.service(submission.service)
        if service is None:
            raise GentianmuxError(ResultCode.UNKNOWN_SERVICE, submission.service[:64])
        if service["member"] != member:
            raise GentianmuxError(ResultCode.NOT_YOUR_SERVICE, submission.service[:64])
        ahead_ms = submission.submitted_ms - ctx.now_ms()
        if submission.submitted_ms != NO_TIME and ahead_ms > ctx.cfg.skew_ms:
            detail = f"{ahead_ms} ms ahead, allowed {ctx.cfg.skew_ms} ms"
            raise GentianmuxError(ResultCode.ID_IN_FUTURE, detail)

    def _get_job(self, environ: dict[str, Any], rest: str) -> Response:
        member = self._authenticate(environ)
        wait_s = _preferred_wait_s(environ, 0.0)
        job_id = validate_id(rest)
        reply = self._ctx.dispatcher.query(job_key(member, job_id), wait_s)
        return _to_response(reply, job_id)

    def _cancel_job(self, environ: dict[str, Any], rest: str) -> Response:
        member = self._authenticate(environ)
        job_id = validate_id(rest)
        reply = self._ctx.dispatcher.cancel(job_key(member, job_id))
        return _to_response(reply, job_id)

    def _authenticate(self, environ: dict[str, Any]) -> str:
        if self._ctx.config.version < 0:
            raise GentianmuxError(ResultCode.CONFIG_MISSING, retry_after_ms=1000)
        scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        digest = hashlib.sha256(key.encode("latin-1", "replace")).hexdigest()
        member = self._ctx.config.member_by_hash.get(digest)
        if scheme.lower() != "bearer" or member is None:
            raise GentianmuxError(ResultCode.UNAUTHENTICATED)
        return member

    # Operators

    def _health(self, environ: dict[str, Any], _rest: str) -> Response:
        return _json(200, {"process": self._ctx.process, "live": True})

    def _ready(self, environ: dict[str, Any], _rest: str) -> Response:
        ctx = self._ctx
        owned = sum(1 for row in ctx.fleet.shards if row.owner)
        content = {
            "ready": not ctx.draining and ctx.config.version >= 0 and owned > 0,
            "draining": ctx.draining,
            "config_version": ctx.config.version,
            "fleet_version": ctx.fleet.version,
            "shards_owned": owned,
            "agents": len(ctx.membership.alive("agent")),
        }
        return _json(200 if content["ready"] else 503, content)

    def _metrics(self, environ: dict[str, Any], _rest: str) -> Response:
        return _json(200, self._ctx.metrics.snapshot())

    def _explain(self, environ: dict[str, Any], rest: str) -> Response:
        member = self._authenticate(environ)
        job_id = validate_id(rest)
        return _to_response(self._ctx.dispatcher.explain(job_key(member, job_id)), job_id)


def _preferred_wait_s(environ: dict[str, Any], default: float) -> float:
    for part in environ.get("HTTP_PREFER", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "wait":
            if not value.isdecimal() or int(value) > MAX_WAIT_S:
                raise GentianmuxError(ResultCode.BAD_HEADER, "Prefer: wait= takes 0 to 300")
            return float(value)
    return default


def _to_response(reply: Reply, job_id: str) -> Response:
    if reply.body:
        return Response(reply.code.info.http_status, reply.body)
    if reply.code is ResultCode.ACCEPTED:
        content = {"id": job_id, "code": int(reply.code), "name": reply.code.label}
        return _json(202, content)
    return error_response(reply, job_id)


def error_response(reply: Reply, job_id: str | None = None) -> Response:
    """Build the JSON response for an error: code, name, whether it ran, and detail."""
    info = reply.code.info
    content: dict[str, Any] = {
        "code": int(reply.code),
        "name": reply.code.label,
        "ran": info.ran.value,
        "detail": reply.detail or info.meaning,
    }
    if job_id is not None:
        content["id"] = job_id
    body = json.dumps(content).encode()
    return Response(info.http_status, body, reply.retry_after_ms)


def _json(status: int, content: dict[str, Any]) -> Response:
    return Response(status, json.dumps(content).encode())


def _write(response: Response, start_response: StartResponse) -> Iterable[bytes]:
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(response.body))),
    ]
    if response.retry_after_ms:
        headers.append(("Retry-After", str(max(1, round(response.retry_after_ms / 1000)))))
    start_response(f"{response.status} {_REASONS[response.status]}", headers)
    return [response.body]
