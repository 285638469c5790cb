"""Clock and connections of one process on virtual time."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from gentianmux.clock import Clock
from gentianmux.leased.links import IDLE_TIMEOUT_S, RECONNECT_AFTER_S, RECONNECT_INTERVAL_S
from gentianmux.messages import Hello, Message

if TYPE_CHECKING:
    from bench.leased_world import World

ONE_WAY_S = 0.0005
"""Seconds from one process to another, the deployments' delay between failure domains."""

CALL_S = 0.001
"""Seconds for a call of the endpoint on the same machine."""


class FakeClock(Clock):
    """Virtual time for one process; its calls wait while it is frozen and go with its life."""

    def __init__(self, world: "World", process: str) -> None:
        super().__init__()
        self._world = world
        self._process = process

    def now(self) -> float:
        return (
            self._world.time
            - self._world.clocks_stand_still * self._world.suspended_s[self._process]
        )

    def suspended_s(self) -> float:
        return 0.0 if self._world.clocks_stand_still else self._world.suspended_s[self._process]

    def now_ms(self) -> int:
        return int(self._world.time * 1000)

    def call_later(self, delay_s: float, call: Callable[..., Any], *args: Any) -> None:
        self._world.at(delay_s, self._process, call, *args)

    def call_soon(self, call: Callable[..., Any], *args: Any) -> None:
        self.call_later(CALL_S, call, *args)


class FakeLinks:
    """Connections of one process; frames arrive in order, unless the pair is cut or reset."""

    def __init__(self, world: "World", me: Hello, clock: Clock) -> None:
        self.on_open: Callable[[Hello], None] = lambda hello: None
        self.on_close: Callable[[str], None] = lambda process: None
        self.on_message: Callable[[Message, str], None] = lambda msg, process: None
        self.me = me
        self.open: dict[str, int] = {}
        self.opened_in: dict[str, int] = {}
        self.same_role: set[str] = set()
        self.heard: dict[str, float] = {}
        self.renewed: dict[str, float] = {}
        self._world = world
        self._clock = clock

    def processes(self) -> list[str]:
        return sorted(self.open)

    def send(self, process: str, msg: Message) -> bool:
        if process not in self.open:
            return False
        self._world.frames += 1
        self._world.carry(self.me.process, process, self.open[process], msg)
        return True

    def take(self, sender: str, link: int, msg: Message) -> None:
        """Hand on a frame that came by the present connection."""
        self.close_outdated()
        if self.open.get(sender) == link:
            self.heard[sender] = self._world.time
            self.on_message(msg, sender)

    def suspensions(self) -> int:
        """Number of suspensions that its process has noticed."""
        return self._clock.suspensions()

    def close_outdated(self) -> None:
        """Close connections from before the last suspension; their other ends notice it."""
        for process in list(self.open):
            if self.opened_in[process] != self.suspensions():
                self._world.at(ONE_WAY_S, "", self._world.close_end, process, self.me.process)
                self.close(process)

    def close_idle(self) -> None:
        self.close_outdated()
        for process in list(self.open):
            idle_s = self._world.time - self.heard[process]
            if idle_s > IDLE_TIMEOUT_S and process not in self.same_role:
                self.close(process)

    def reconnect(self, process: str) -> None:
        """Replace a connection, at most once in ``RECONNECT_INTERVAL_S``."""
        now = self._world.time
        if now - self.heard.get(process, now) < RECONNECT_AFTER_S:
            return
        if now - self.renewed.get(process, -RECONNECT_INTERVAL_S) >= RECONNECT_INTERVAL_S:
            self.renewed[process] = now
            self._world.at(3 * ONE_WAY_S, "", self._world.reopen, self.me.process, process)

    def close(self, process: str) -> None:
        if self.open.pop(process, None) is not None:
            self.on_close(process)
