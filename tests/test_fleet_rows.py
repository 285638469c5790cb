"""Guards against renamed fields in the rows that ``gentianmux fleet show --json`` prints."""

from gentianmux.fleet_records import Join
from gentianmux.fleet_state import FleetState


def test_printed_rows_keep_their_field_names() -> None:
    shard = FleetState(1).shards[0]
    assert list(shard._asdict()) == [
        "owner",
        "heir",
        "epoch",
        "base",
        "since_ms",
        "prior",
        "prior_epoch",
        "prior_since_ms",
        "handed",
    ]
    assert list(Join._fields[:3]) == ["process", "name", "incarnation"]
