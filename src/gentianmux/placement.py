"""Placement of waiting tasks: in free slots first, then by reservations at agents."""

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
    AgentLoadEstimate,
    Candidate,
    choose_agents,
    choose_reservations,
)
from .rules import WorkerItem
from .submission import Size, TaskSpec, combined_needs, fits

AGEING_FACTOR = 1.0
MIN_POOL_SAMPLE = 64
AGENTS_PER_EJECTION = 3
SHORT_QUEUE_PER_SLOT = 1.0
RESERVATION_TIMEOUT_S = 2.0
ANY_SIZE = Size()


class Placement:
    """Places the waiting tasks of this coordinator with late binding.

    A task is sent to an agent with an estimated free slot. An agent without one refuses the task
    and offers its next free slot instead. If no slot is estimated to be free, a few agents are
    asked for a reservation. A task is thus bound to an agent only once a slot is free.

    Parameters
    ----------
    ctx : NodeContext
        Shared context; the new object registers itself there as ``placement``.
    """

    def __init__(self, ctx: NodeContext) -> None:
        ctx.placement = self
        self.loads: dict[str, AgentLoadEstimate] = defaultdict(AgentLoadEstimate)
        self.backlog: dict[str, Job] = {}
        self.shutting_down: set[str] = set()
        self.health: dict[tuple[str, str], AgentHealth] = defaultdict(AgentHealth)
        self._pools: dict[str, list[Join]] = {}
        self._pools_version = -2
        self._ctx = ctx
        self._place_scheduled = False

    def refusal(self, service: str, member: str, specs: list[TaskSpec]) -> ResultCode | None:
        """Return the code for a job that cannot be placed at all; None if it can."""
        needs = combined_needs(specs)
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
        """Agents of a service in the fleet state, cached per fleet version."""
        fleet = self._ctx.fleet
        if self._pools_version != fleet.version:
            self._pools, self._pools_version = defaultdict(list), fleet.version
            for join in fleet.processes.values():
                for name in join.services:
                    self._pools[name].append(join)
        return self._pools[service]

    def candidates(
        self, service: str, count: int, member: str = "", needs: Size = ANY_SIZE
    ) -> list[Candidate]:
        """Select agents that can take tasks now from a sample of the service's pool.

        Parameters
        ----------
        service : str
            Service of the tasks.
        count : int
            Tasks to place; determines the sample size.
        member : str
            Member that owns the tasks; agents where its claim has no slots are excluded.
        needs : Size
            Resources that each worker must have.
        """
        pool = self._pool(service)
        size = max(MIN_POOL_SAMPLE, 4 * count)
        sample = pool if len(pool) <= size else self._ctx.rng.sample(pool, size)
        live = self._live(sample, len(pool))
        allowed = self._allowed(live, service, member, needs)
        return [self._to_candidate(join) for join in self._healthy(allowed, service)]

    def _live(self, joins: Iterable[Join], pool_size: int) -> Iterator[Join]:
        # An owner starts no task of its own shards while the service has another agent, so that
        # a crash never loses a task together with the ledger entry that describes it.
        for join in joins:
            is_self = join.process == self._ctx.process and pool_size > 1
            if is_self or join.process in self.shutting_down:
                continue
            if self._ctx.membership.is_alive(join.process):
                yield join

    def _allowed(
        self, joins: Iterable[Join], service: str, member: str, needs: Size
    ) -> Iterator[Join]:
        config, now = self._ctx.config, self._ctx.now()
        worker_names = (config.service(service) or {}).get("workers", [])
        for join in joins:
            slot_limit = self._ctx.claims.slot_limit(member, join.name, now)
            if worker_names and join.name not in worker_names:
                continue
            if slot_limit != 0 and fits(needs, config.worker(join.name)):
                yield join

    def _healthy(self, joins: Iterable[Join], service: str) -> Iterator[Join]:
        """Exclude ejected agents, at most a third of all, and those busy on probation."""
        found = list(joins)
        now = self._ctx.now()
        ejected = [j for j in found if self.health[j.process, service].is_ejected(now)]
        excluded = {join.process for join in ejected[: len(found) // AGENTS_PER_EJECTION]}
        for join in found:
            on_probation = self.health[join.process, service].is_on_probation(
                self.loads[join.process].own_tasks
            )
            if join.process not in excluded and not on_probation:
                yield join

    def _to_candidate(self, join: Join) -> Candidate:
        load = self.loads[join.process].estimate(self._ctx.now())
        local = join.failure_domain == self._ctx.identity.failure_domain
        return Candidate(join.process, join.slots, local, load)

    def on_task_ended(self, agent: str, service: str, code: ResultCode) -> None:
        """Record a task's outcome in the health of its agent."""
        failed = code in (ResultCode.TASK_FAILED, ResultCode.TASK_UNKNOWN)
        if self.health[agent, service].record_result(not failed, self._ctx.now()):
            self._ctx.metrics.count("ejections")

    def place(self, job: Job) -> None:
        """Send tasks to agents with estimated free slots, and reserve slots for the rest."""
        if not job.waiting:
            return
        now = self._ctx.now()
        eligible = self.candidates(job.service, len(job.waiting), job.member, job.needs)
        self._update_no_agent_since(job, bool(eligible), now)
        available = [each for each in eligible if self.loads[each.process].avoid_until <= now]
        # Late binding costs one round trip per task, so short tasks are queued at agents instead.
        how = StartHow.QUEUE if job.is_short else StartHow.BOUNCE
        queue_per_slot = SHORT_QUEUE_PER_SLOT if job.is_short else QUEUE_PER_SLOT
        agents = choose_agents(len(job.waiting), available, self._ctx.rng, queue_per_slot)
        shares = job.assign_waiting(agents)
        if job.waiting:
            self.backlog[job.key] = job
            if not job.is_short:
                self._reserve(job, available)
        else:
            self.backlog.pop(job.key, None)
        for agent, indexes in shares.items():
            job.add_trail_step(now, f"{len(indexes)} tasks to {agent}")
            self.loads[agent].own_tasks += len(indexes)
            self.send_share(job, agent, indexes, how)

    def _update_no_agent_since(self, job: Job, found: bool, now: float) -> None:
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
            for index in job.tasks_at(agent):
                if index in indexes and not job.tasks[index].may_have_arrived:
                    self.release(agent, 1)
                    job.requeue(index)
            self.backlog[job.key] = job

    # Reservations

    def _reserve(self, job: Job, available: list[Candidate]) -> None:
        """Ask agents to reserve slots for waiting tasks."""
        now = self._ctx.now()
        if now - job.reservations_sent_at > RESERVATION_TIMEOUT_S:
            # A reservation can be lost with an agent or a frame; do not wait for it forever.
            job.reserved.clear()
            job.reservations_sent_at = now
        asked = sum(job.reserved.values())
        for agent, count in choose_reservations(
            len(job.waiting), asked, available, self._ctx.rng
        ).items():
            job.reserved[agent] = job.reserved.get(agent, 0) + count
            size_ms = job.tasks[job.waiting[0]].spec.size.run_ms
            msg = Reserve(job.key, job.epoch, job.member, job.service, count, size_ms)
            self._ctx.peers.send(agent, msg)

    def on_refused(self, job: Job, agent: str, code: ResultCode) -> None:
        """Record a refusal; a refusal with ``NO_SLOT`` implies a reservation at the agent."""
        if code is ResultCode.NO_SLOT:
            job.reserved[agent] = job.reserved.get(agent, 0) + 1
        else:
            self.loads[agent].record_refusal(self._ctx.now(), self._ctx.rng)

    def on_offer(self, msg: Offer, agent: str) -> None:
        """Send a waiting task to an offered slot, or decline the offer."""
        reserving_job = self._ctx.coordinator.jobs.get(msg.key)
        if reserving_job is not None:
            reserving_job.reserved[agent] = max(0, reserving_job.reserved.get(agent, 0) - 1)
        job = reserving_job
        if job is None or not job.waiting or agent in self.shutting_down:
            self._ctx.metrics.count("wasted", label="offer_declined")
            self._ctx.peers.send(agent, Decline(msg.number))
            return
        (indexes,) = job.assign_waiting([agent]).values()
        if not job.waiting:
            self.backlog.pop(job.key, None)
        job.add_trail_step(self._ctx.now(), f"task {indexes[0]} to {agent}, which offered a slot")
        self.loads[agent].own_tasks += 1
        self.send_share(job, agent, indexes, StartHow.OFFERED, msg.number)

    def _urgency(self, job: Job) -> float:
        """Sort key: least remaining work first, reduced by the time that the job has waited."""
        waited_ms = (self._ctx.now() - job.admitted_at) * 1000
        return job.unassigned_work_ms() - AGEING_FACTOR * waited_ms

    def drop_reservations(self, agent: str) -> None:
        """Drop all reservations at an agent."""
        for job in self.backlog.values():
            job.reserved.pop(agent, None)

    def release(self, agent: str, count: int) -> None:
        """Subtract tasks that are no longer at an agent from its load."""
        load = self.loads[agent]
        load.own_tasks = max(0, load.own_tasks - count)

    # The backlog

    def place_soon(self) -> None:
        """Schedule ``place_backlog`` once for all results that arrive together."""
        if self.backlog and not self._place_scheduled:
            self._place_scheduled = True
            self._ctx.clock.call_soon(self.place_backlog)

    def place_backlog(self) -> None:
        """Place waiting jobs, most urgent first."""
        self._place_scheduled = False
        full: set[str] = set()
        for job in sorted(self.backlog.values(), key=self._urgency):
            if job.service in full:
                continue
            self.place(job)
            if job.waiting:
                full.add(job.service)
