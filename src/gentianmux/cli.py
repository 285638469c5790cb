"""The command-line tool ``gentianmux``."""

import json
import sys
from dataclasses import dataclass
from pathlib import Path
from random import SystemRandom
from time import time
from typing import Annotated

import cappa
import gevent

from . import __version__
from .api_client import ApiClient, ApiReply
from .codes import Ran, ResultCode
from .config_commands import Config
from .errors import GentianmuxError
from .fleet_commands import Fleet
from .ids import new_id
from .loss_commands import Losses
from .output import EXIT_FAILED, EXIT_OK, EXIT_UNKNOWN, Output, spinner

DEFAULT_ENTRY_URL = "http://127.0.0.1:7480"


@dataclass
class Access:
    """Options that select the entry, the API key and the output format."""

    url: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="An entry.",
            default=cappa.Env("GENTIANMUX_URL", default=DEFAULT_ENTRY_URL),
        ),
    ] = DEFAULT_ENTRY_URL
    key: Annotated[
        str,
        cappa.Arg(
            long=True, help="The member's key.", default=cappa.Env("GENTIANMUX_KEY", default="")
        ),
    ] = ""
    as_json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False

    def client(self) -> ApiClient:
        """Create a client for the selected entry and key."""
        return ApiClient(self.url, self.key)

    def output(self) -> Output:
        """Create the printer for the selected output format."""
        return Output(self.as_json)


@cappa.command(name="submit", help="Submit a job from a JSON file and wait for its answer.")
@dataclass
class Submit:
    """Submit a job."""

    file: Annotated[Path, cappa.Arg(help="The job; - for standard input.")]
    access: Annotated[Access, cappa.Arg.destructured()]
    id: Annotated[str | None, cappa.Arg(long=True, help="Id in place of the file's.")] = None
    wait: Annotated[int, cappa.Arg(long=True, help="Seconds to wait; 0 not to.")] = 60

    def __call__(self) -> int:
        """Run the command and return its exit status."""
        text = sys.stdin.read() if str(self.file) == "-" else self.file.read_text()
        content = json.loads(text)
        if self.id or "id" not in content:
            content["id"] = self.id or new_id(int(time() * 1000), SystemRandom().getrandbits(74))
        headers = {"Prefer": f"wait={self.wait}"}
        body = json.dumps(content).encode()
        out = self.access.output()
        out.print_message(f"job {content['id']}")
        with spinner("waiting for the answer", out):
            reply = self.access.client().call("POST", "/v1/jobs", body, headers)
        return out.print_reply(reply)


@cappa.command(name="status", help="Show a job's state or answer.")
@dataclass
class Status:
    """Show a job."""

    job: Annotated[str, cappa.Arg(help="The job's id.")]
    access: Annotated[Access, cappa.Arg.destructured()]
    wait: Annotated[int, cappa.Arg(long=True, help="Seconds to wait for the answer.")] = 0

    def __call__(self) -> int:
        """Run the command and return its exit status."""
        headers = {"Prefer": f"wait={self.wait}"}
        reply = self.access.client().call("GET", f"/v1/jobs/{self.job}", headers=headers)
        return self.access.output().print_reply(reply)


@cappa.command(name="cancel", help="Cancel a job.")
@dataclass
class Cancel:
    """Cancel a job."""

    job: Annotated[str, cappa.Arg(help="The job's id.")]
    access: Annotated[Access, cappa.Arg.destructured()]

    def __call__(self) -> int:
        """Run the command and return its exit status."""
        reply = self.access.client().call("DELETE", f"/v1/jobs/{self.job}")
        return self.access.output().print_reply(reply)


@cappa.command(name="report", help="Show what an entry or agent has counted.")
@dataclass
class Report:
    """Show counters."""

    access: Annotated[Access, cappa.Arg.destructured()]

    def __call__(self) -> int:
        """Run the command and return its exit status."""
        reply = self.access.client().call("GET", "/metrics.json")
        return self.access.output().print_table(reply.content)


@cappa.command(name="explain", help="Show how a job was decided.")
@dataclass
class Explain:
    """Show a job's decision trail."""

    job: Annotated[str, cappa.Arg(help="The job's id.")]
    access: Annotated[Access, cappa.Arg.destructured()]

    def __call__(self) -> int:
        """Run the command and return its exit status."""
        reply = self.access.client().call("GET", f"/v1/explain/{self.job}")
        return self._print_trail(reply)

    def _print_trail(self, reply: ApiReply) -> int:
        out = self.access.output()
        if reply.status != 200:
            return out.print_reply(reply)
        if out.as_json:
            out.print(reply.content)
            return EXIT_OK
        print(f"{reply.content['key']}: shard {reply.content['shard']}")
        for step in reply.content["trail"]:
            print(f"{step['at_ms']:9.1f} ms  {step['text']}")
        return EXIT_OK


@cappa.command(name="gentianmux", help="Submit jobs to gentianmux and operate it.")
@dataclass
class Gentianmux:
    """The tool."""

    command: cappa.Subcommands[
        Submit | Status | Cancel | Report | Explain | Losses | Config | Fleet
    ]


def main(argv: list[str] | None = None) -> None:
    """Parse the command line, run the command and exit with its status."""
    try:
        args = cappa.parse(Gentianmux, argv=argv, version=cappa.Arg(__version__, long="--version"))
        sys.exit(args.command())
    except GentianmuxError as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_UNKNOWN if exc.code.info.ran is Ran.UNKNOWN else EXIT_FAILED)
    except (OSError, ValueError) as exc:
        print(f"{int(ResultCode.BAD_JSON)}: {exc}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    except (KeyboardInterrupt, gevent.Timeout):
        sys.exit(EXIT_UNKNOWN)


if __name__ == "__main__":
    main()
