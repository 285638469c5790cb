"""Output formatting and exit statuses of the command-line tool."""

import json
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from itertools import cycle
from typing import Any

import gevent

from .api_client import ApiReply

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
SPINNER_INTERVAL_S = 0.1


class Output:
    """Prints command results as plain text or as JSON.

    Parameters
    ----------
    as_json : bool
        Whether results are printed as JSON instead of plain text.
    """

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json

    def print(self, content: Any) -> None:
        """Print a value as indented JSON on standard output."""
        print(json.dumps(content, indent=2, sort_keys=True))

    def print_message(self, text: str) -> None:
        """Print a message on standard error, apart from the result on standard output."""
        print(text, file=sys.stderr)

    def print_reply(self, reply: ApiReply) -> int:
        """Print an API reply.

        Parameters
        ----------
        reply : ApiReply
            Reply of an entry or agent.

        Returns
        -------
        int
            Exit status: `EXIT_OK` for HTTP 200 and 202, `EXIT_UNKNOWN` if it is unknown
            whether the job ran, otherwise `EXIT_FAILED`.
        """
        content = reply.content
        if self.as_json:
            self.print(content)
        else:
            print(_format_summary(content))
            for task in content.get("tasks", ()):
                shown = task.get("output", task.get("name", ""))
                print(f"  task {task['index']:3}  {task['ran_ms']:9.1f} ms  {shown}")
        if reply.status in (200, 202):
            return EXIT_OK
        return EXIT_UNKNOWN if content.get("ran") == "unknown" else EXIT_FAILED

    def print_table(self, content: dict[str, Any]) -> int:
        """Print numeric values by name, sorted, in two columns; return `EXIT_OK`."""
        if self.as_json:
            self.print(content)
            return EXIT_OK
        width = max((len(name) for name in content), default=0)
        for name in sorted(content):
            print(f"{name:{width}}  {content[name]:g}")
        return EXIT_OK


def _format_summary(content: dict[str, Any]) -> str:
    if content.get("complete"):
        return f"complete: {len(content['tasks'])} tasks in {content['response_ms']} ms"
    parts = [f"{content.get('code')} {content.get('name')}"]
    if "ran" in content:
        parts.append(f"ran: {content['ran']}")
    if "detail" in content:
        parts.append(content["detail"])
    return "; ".join(parts)


@contextmanager
def spinner(text: str, out: Output) -> Iterator[None]:
    """Show a spinner on standard error while the body runs.

    Nothing is shown with JSON output or if standard error is not a terminal.
    """
    if out.as_json or not sys.stderr.isatty():
        yield
        return
    animation = gevent.spawn(_animate_spinner, text)
    try:
        yield
    finally:
        animation.kill()
        sys.stderr.write("\r\033[K")


def _animate_spinner(text: str) -> None:
    for frame in cycle("|/-\\"):
        sys.stderr.write(f"\r{frame} {text}")
        sys.stderr.flush()
        gevent.sleep(SPINNER_INTERVAL_S)
