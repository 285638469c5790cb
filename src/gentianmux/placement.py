"""Places the waiting tasks of jobs: at once where a slot is free, else against reservations."""

from collections import defaultdict
from collections.abc import Iterable, Iterator

from .codes import ResultCode
from .fleet_records import Join
from .job import Job
from .messages import Decline, Offer, Reserve, StartBatch, StartHow
from .node_context import NodeContext
from .routing import (
    QUEUE_PER_SLOT,
    AgentHealth,
    AgentLoad,
    Candidate,
    choose_agents,
    choose_reservations,
)
from .rules import WorkerItem
from .submission import Size, TaskSpec, fits, needs_of

AGEING = 1.0
LEAST_SAMPLE = 64
EJECTED_PART = 3
SHORT_QUEUE_PER_SLOT = 1.0
RESERVE_AGAIN_S = 2.0
ANY_SIZE = Size()


class Placement:
    """The controller of what waits at this coordinator.

    A task goes to an agent thought to have a free slot. An agent that has none hands it back and
    offers its next free slot; a task for which no slot is thought free asks a few agents for one.
    So a task is bound to an agent only when a slot is really free.

    Parameters
    ----------
    ctx : NodeContext
        The blackboard; this puts itself there as ``placement``.
    """

    def __init__(self, ctx: NodeContext) -> None:
        ctx.placement = self
        self.loads: dict[str, AgentLoad] = defaultdict(AgentLoad)
        self.backlog: dict[str, Job] = {}
        self.leaving: set[str] = set()
        self.health: dict[tuple[str, str], AgentHealth] = defaultdict(AgentHealth)
        self._pools: dict[str, list[Join]] = {}
        self._pools_at = -2
        self._ctx = ctx
        self._placer = False

    def refusal(self, service: str, member: str, specs: list[TaskSpec]) -> ResultCode | None:
        """Why a job cannot be placed at all; None when it can."""
        needs = needs_of(specs)
        if not any(True for _ in self._pool(service)):
            return ResultCode.NO_ENDPOINT
        if not any(fits(needs, worker) for worker in self._workers()):
            return ResultCode.NEVER_FITS
        waiting = sum(len(job.waiting) for job in self.backlog.values() if job.member == member)
        limit = (self._ctx.config.member(member) or {}).get("queue_limit")
        if limit is not None and waiting + len(specs) > limit:
            return ResultCode.QUEUE_FULL
        return None

    def _workers(self) -> Iterator[WorkerItem | None]:
        names = self._ctx.config.names("worker")
        yield from map(self._ctx.config.worker, names)
        if not names:
            yield None

    def _pool(self, service: str) -> list[Join]:
        """Agents of a service that the log names, looked up once for each version."""
        fleet = self._ctx.fleet
        if self._pools_at != fleet.version:
            self._pools, self._pools_at = defaultdict(list), fleet.version
            for join in fleet.processes.values():
                for name in join.services:
                    self._pools[name].append(join)
        return self._pools[service]

    def candidates(
        self, service: str, count: int, member: str = "", needs: Size = ANY_SIZE
    ) -> list[Candidate]:
        """Agents that may take tasks now: a sample of the pool, filtered step by step.

        Parameters
        ----------
        service : str
            The service.
        count : int
            Tasks to place; the sample grows with it, not with the fleet.
        member : str
            Whose tasks they are; agents without a part for it are left out.
        needs : Size
            What each worker must have.
        """
        pool = self._pool(service)
        size = max(LEAST_SAMPLE, 4 * count)
        sample = pool if len(pool) <= size else self._ctx.rng.sample(pool, size)
        live = self._live(sample, len(pool))
        allowed = self._allowed(live, service, member, needs)
        return [self._weigh(join) for join in self._healthy(allowed, service)]

    def _live(self, joins: Iterable[Join], pool_size: int) -> Iterator[Join]:
        # An owner starts no task of its own shards while the log names another agent for the
        # service, so that a start is never lost together with the ledger behind it.
        for join in joins:
            own = join.process == self._ctx.process and pool_size > 1
            if own or join.process in self.leaving:
                continue
            if self._ctx.membership.is_alive(join.process):
                yield join

    def _allowed(
        self, joins: Iterable[Join], service: str, member: str, needs: Size
    ) -> Iterator[Join]:
        config, now = self._ctx.config, self._ctx.now()
        named = (config.service(service) or {}).get("workers", [])
        for join in joins:
            part = self._ctx.claims.slot_limit(member, join.name, now)
            if named and join.name not in named:
                continue
            if part != 0 and fits(needs, config.worker(join.name)):
                yield join

    def _healthy(self, joins: Iterable[Join], service: str) -> Iterator[Join]:
        """Leave out agents that fail everything, but never more than a third of them."""
        found = list(joins)
        now = self._ctx.now()
        ejected = [j for j in found if self.health[j.process, service].is_ejected(now)]
        out = {join.process for join in ejected[: len(found) // EJECTED_PART]}
        for join in found:
            probing = self.health[join.process, service].is_probed(self.loads[join.process].mine)
            if join.process not in out and not probing:
                yield join

    def _weigh(self, join: Join) -> Candidate:
        load = self.loads[join.process].estimate(self._ctx.now())
        local = join.failure_domain == self._ctx.identity.failure_domain
        return Candidate(join.process, join.slots, local, load)

    def on_task_ended(self, agent: str, service: str, code: ResultCode) -> None:
        """Note how a task ended, for the health of its agent."""
        failed = code in (ResultCode.TASK_FAILED, ResultCode.TASK_UNKNOWN)
        if self.health[agent, service].ended(not failed, self._ctx.now()):
            self._ctx.metrics.count("ejections")

    def place(self, job: Job) -> None:
        """Send what a free slot is thought to be for, and reserve for the rest."""
        if not job.waiting:
            return
        now = self._ctx.now()
        eligible = self.candidates(job.service, len(job.waiting), job.member, job.needs)
        self._note_candidates(job, bool(eligible), now)
        willing = [each for each in eligible if self.loads[each.process].avoid_until <= now]
        # Binding late costs a round trip a task, which pays only for tasks that last much longer.
        how = StartHow.QUEUE if job.is_short else StartHow.BOUNCE
        queue_per_slot = SHORT_QUEUE_PER_SLOT if job.is_short else QUEUE_PER_SLOT
        agents = choose_agents(len(job.waiting), willing, self._ctx.rng, queue_per_slot)
        shares = job.take_waiting(agents)
        if job.waiting:
            self.backlog[job.key] = job
            if not job.is_short:
                self._reserve(job, willing)
        else:
            self.backlog.pop(job.key, None)
        for agent, indexes in shares.items():
            job.note(now, f"{len(indexes)} tasks to {agent}")
            self.loads[agent].mine += len(indexes)
            self.send_share(job, agent, indexes, how)

    def _note_candidates(self, job: Job, found: bool, now: float) -> None:
        if found:
            job.no_agent_since = None
        elif job.no_agent_since is None:
            job.no_agent_since = now

    def send_share(
        self,
        job: Job,
        agent: str,
        indexes: list[int],
        how: StartHow = StartHow.BOUNCE,
        offer: int = 0,
    ) -> None:
        """Send an agent its share of a job's tasks."""
        msg = StartBatch(
            job.key,
            job.shard,
            job.epoch,
            job.member,
            job.service,
            job.deadline_ms,
            job.submitted_ms,
            bool(job.waiting),
            int(how),
            offer,
            job.wire_tasks(indexes),
        )
        if not self._ctx.peers.send(agent, msg):
            for index in job.sent_to(agent):
                if index in indexes and not job.tasks[index].left:
                    self.release(agent, 1)
                    job.put_back(index)
            self.backlog[job.key] = job

    # Reservations

    def _reserve(self, job: Job, willing: list[Candidate]) -> None:
        """Ask agents to offer slots, a few for each waiting task."""
        now = self._ctx.now()
        if now - job.reserved_at > RESERVE_AGAIN_S:
            # Places can be lost with an agent or a frame; a job must not wait for them for ever.
            job.reserved.clear()
            job.reserved_at = now
        asked = sum(job.reserved.values())
        for agent, count in choose_reservations(
            len(job.waiting), asked, willing, self._ctx.rng
        ).items():
            job.reserved[agent] = job.reserved.get(agent, 0) + count
            size_ms = job.tasks[job.waiting[0]].spec.size.run_ms
            msg = Reserve(job.key, job.epoch, job.member, job.service, count, size_ms)
            self._ctx.peers.send(agent, msg)

    def on_refused(self, job: Job, agent: str, code: ResultCode) -> None:
        """Note a refusal; one for want of a slot leaves a reservation behind."""
        if code is ResultCode.NO_SLOT:
            job.reserved[agent] = job.reserved.get(agent, 0) + 1
        else:
            self.loads[agent].refused(self._ctx.now(), self._ctx.rng)

    def on_offer(self, msg: Offer, agent: str) -> None:
        """Fill a free slot with a waiting task of the job it was reserved for."""
        asked_for = self._ctx.coordinator.jobs.get(msg.key)
        if asked_for is not None:
            asked_for.reserved[agent] = max(0, asked_for.reserved.get(agent, 0) - 1)
        job = asked_for
        if job is None or not job.waiting or agent in self.leaving:
            self._ctx.metrics.count("wasted", label="offer_declined")
            self._ctx.peers.send(agent, Decline(msg.number))
            return
        (indexes,) = job.take_waiting([agent]).values()
        if not job.waiting:
            self.backlog.pop(job.key, None)
        job.note(self._ctx.now(), f"task {indexes[0]} to {agent}, which offered a slot")
        self.loads[agent].mine += 1
        self.send_share(job, agent, indexes, StartHow.OFFERED, msg.number)

    def _urgency(self, job: Job) -> float:
        """Least work left first; a job gains on the others for as long as it waits."""
        waited_ms = (self._ctx.now() - job.began) * 1000
        return job.work_left_ms() - AGEING * waited_ms

    def forget(self, agent: str) -> None:
        """Note that an agent will offer nothing more."""
        for job in self.backlog.values():
            job.reserved.pop(agent, None)

    def release(self, agent: str, count: int) -> None:
        """Note that tasks are no longer at an agent."""
        load = self.loads[agent]
        load.mine = max(0, load.mine - count)

    # The backlog

    def place_soon(self) -> None:
        """Place the backlog once for all results that arrive together."""
        if self.backlog and not self._placer:
            self._placer = True
            self._ctx.clock.call_soon(self.place_backlog)

    def place_backlog(self) -> None:
        """Place what waits, least work left first."""
        self._placer = False
        full: set[str] = set()
        for job in sorted(self.backlog.values(), key=self._urgency):
            if job.service in full:
                continue
            self.place(job)
            if job.waiting:
                full.add(job.service)
