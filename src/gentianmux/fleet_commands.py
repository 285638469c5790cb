"""The ``gentianmux fleet`` commands: show shard ownership and release lost shards."""

from collections import Counter
from dataclasses import dataclass
from typing import Annotated

import cappa

from .codes import ResultCode
from .config_commands import LogAccess
from .errors import GentianmuxError
from .fleet_records import Release, ShardChange, to_json
from .fleet_state import STREAM, FleetState
from .follower import Follower
from .output import EXIT_FAILED, EXIT_OK

RELEASE_WARNING = (
    "A released shard is claimed by another agent at once. If its owner and heir still run and"
    " reach each other, a task may start twice. Make sure that both have ended; then say --sure."
)


@cappa.command(name="show", help="Show processes and how many shards each owns.")
@dataclass
class FleetShow:
    """Show the fleet as the log has it."""

    access: Annotated[LogAccess, cappa.Arg.destructured()]
    shards: Annotated[int, cappa.Arg(long=True, help="Shards of the fleet.")] = 64

    def __call__(self) -> int:
        """Run the command and return its exit status."""
        state = _read_fleet(self.access, self.shards)
        owned = Counter(row.owner for row in state.shards)
        heirs = Counter(row.heir for row in state.shards)
        out = self.access.output()
        if out.as_json:
            processes = [process._asdict() for process in state.processes.values()]
            rows = [row._asdict() for row in state.shards]
            out.print({"version": state.version, "processes": processes, "shards": rows})
            return EXIT_OK
        for name, join in sorted(state.processes.items()):
            details = f"{join.role:10}  {join.failure_domain:8}  {join.address:21}"
            print(f"{name:32}  {details}  owns {owned[name]:4}  heir of {heirs[name]:4}")
        lost = [n for n, row in enumerate(state.shards) if state.is_gone(row.owner)]
        print(f"{len(lost)} shards without a live owner in the log: {lost}")
        return EXIT_OK


@cappa.command(name="release", help="Declare that a shard's owner and heir have ended for good.")
@dataclass
class FleetRelease:
    """Release shards."""

    numbers: Annotated[list[int], cappa.Arg(help="The shards.")]
    access: Annotated[LogAccess, cappa.Arg.destructured()]
    operator: Annotated[str, cappa.Arg(long=True, help="Who releases, for the record.")]
    shards: Annotated[int, cappa.Arg(long=True, help="Shards of the fleet.")] = 64
    sure: Annotated[bool, cappa.Arg(long=True, help="Both processes have ended.")] = False

    def __call__(self) -> int:
        """Run the command and return its exit status."""
        out = self.access.output()
        if not self.sure:
            out.print_message(RELEASE_WARNING)
            return EXIT_FAILED
        state = _read_fleet(self.access, self.shards)
        unknown = [number for number in self.numbers if not 0 <= number < self.shards]
        if unknown:
            raise GentianmuxError(ResultCode.BAD_FIELD, f"no such shards: {unknown}")
        changes = [ShardChange(n, state.shards[n].base, "") for n in self.numbers]
        offset = self.access.log().append(STREAM, to_json(Release(self.operator, changes)))
        print(f"released {self.numbers} at {offset}")
        return EXIT_OK


@cappa.command(name="fleet", help="Look at processes and shards, and release lost ones.")
@dataclass
class Fleet:
    """Commands on the fleet."""

    command: cappa.Subcommands[FleetShow | FleetRelease]

    def __call__(self) -> int:
        """Run the selected subcommand and return its exit status."""
        return self.command()


def _read_fleet(access: LogAccess, shards: int) -> FleetState:
    state = FleetState(shards)
    Follower(access.log(), STREAM, state).poll()
    return state
