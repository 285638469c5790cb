"""JSON responses of WSGI applications."""

import json
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

StartResponse = Callable[..., Any]


def json_reply(
    start_response: StartResponse, status: int, content: dict[str, Any]
) -> Iterable[bytes]:
    """Start a JSON response and return its body.

    Parameters
    ----------
    start_response : callable
        WSGI ``start_response`` callable.
    status : int
        HTTP status code.
    content : dict
        Content of the body.
    """
    data = json.dumps(content).encode()
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
    start_response(f"{status} {HTTPStatus(status).phrase}", headers)
    return [data]
