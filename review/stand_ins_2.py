"""Stand-ins and a small deployment for the scripts of cases 4 to 8; standard library only.

The store, the executors and the clients follow the users' protocol page. The programs under test
are separate processes, started with the commands of the deploy file. All addresses are loopback
addresses. Everything that is sent, answered and run is written to the record of the case.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the installation "sfra-intake".
HOLD_MAX_MS = 1000
STOP_S = 0.05
HEARTBEAT_S = 1.5
CONTACT_S = 3.0
RESEND_S = 1.3
RESTART_DELAY_S = 0.5


class CannotRun(Exception):
    """The case could not be played; this says nothing about the rule."""


class Record:
    """Writes the record of a case, with seconds since its start."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._began = time.monotonic()
        self.write("record", f"TROUBLE={int(TROUBLE)}")

    def now(self):
        """Seconds since the start of the record."""
        return time.monotonic() - self._began

    def write(self, who, what):
        """Append one line."""
        self._file.write(f"{self.now():9.3f}  {who:<10} {what}\n")
        self._file.flush()


class Request:
    """One HTTP request."""

    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method, self.path, self.headers, self.body = method, parts.path, headers, body
        self.query = {name: each[0] for name, each in parse_qs(parts.query).items()}


async def read_request(reader):
    """Read one HTTP request; None at the end of the channel."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rest = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    pairs = (line.partition(":") for line in rest if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


class HttpStandIn:
    """HTTP/1.1 server; subclasses answer requests."""

    def __init__(self, address):
        self.address = address
        self._server = None

    async def start(self):
        ip, _, port = self.address.partition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                answer = await self.answer(request)
                if answer is None:
                    break
                status, body = answer
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            # The peer has closed the channel, or the script ends.
            pass
        finally:
            writer.close()

    async def answer(self, request):
        """Return status and body; None closes the channel without an answer."""
        raise NotImplementedError


LENGTH = struct.Struct("!I")
OFFSETS = struct.Struct("!QQ")


class Store(HttpStandIn):
    """The platform's store with keyed topics; ``is_down`` refuses every call with 503."""

    def __init__(self, address, record):
        super().__init__(address)
        self.is_down = False
        self._record = record
        self._records = {}
        self._changed = asyncio.Event()

    def put(self, topic, key, value):
        """Append a record, as the operator or a daemon does."""
        self._records.setdefault(topic, []).append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, request):
        if self.is_down:
            return 503, b""
        topic = request.query.get("topic", "")
        if request.path == "/v1/log-append":
            return self._append(topic, request.body)
        if request.path == "/v1/log-newest":
            return self._newest(topic)
        if request.path == "/v1/log-read":
            return await self._read(topic, request.query)
        return 404, b""

    def _append(self, topic, body):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b""
        first, at = len(self._records.get(topic, ())), 0
        while at < len(body):
            (length,) = LENGTH.unpack_from(body, at)
            content = body[at + 4 : at + 4 + length]
            key = content[1 : 1 + content[0]].decode()
            self.put(topic, key, content[1 + content[0] :])
            self._record.write("store", f"{topic} {key} = {content[1 + content[0]:].decode()}")
            at += 4 + length
        end = len(self._records.get(topic, ()))
        return 200, json.dumps({"offset": first, "end": end}).encode()

    def _newest(self, topic):
        records = self._records.get(topic, [])
        newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value
        ]
        content = {"items": items, "has_more": False, "end": len(records)}
        return 200, json.dumps(content).encode()

    async def _read(self, topic, query):
        start, until = int(query["from"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(self._records.get(topic, ())) <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(self._changed.wait(), until - time.monotonic())
            except TimeoutError:
                break
        if self.is_down:
            return 503, b""
        records = self._records.get(topic, [])
        body = OFFSETS.pack(len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += LENGTH.pack(len(content)) + content
        return 200, body


class Run:
    """A run at an executor; the times are those of the record."""

    def __init__(self, executor, task, run, cpu, began, run_s):
        self.executor, self.task, self.run, self.cpu = executor, task, run, cpu
        self.began, self.run_s, self.ended, self.how = began, run_s, None, ""
        self.stop_at = None

    def __str__(self):
        ended = "still active" if self.ended is None else f"{self.ended:.3f} {self.how}"
        return f"{self.task} run {self.run} on {self.executor}, {self.began:.3f} to {ended}"


class Executor(HttpStandIn):
    """An executor that starts whatever it is told to (``enforces_capacity`` is false).

    A spec ``{"ms": 100, "cpu": 1600}`` gives a task's work and the capacity that it takes.
    """

    def __init__(self, name, zone, address, control, record, cpu=16000):
        super().__init__(address)
        self.name, self.zone, self.control, self.cpu = name, zone, control, cpu
        self.id = f"i-{name}"
        self.state = "ready"
        self.runs = []
        self.peaks = []
        self._record = record
        self._active = {}
        self._ended_rows = []
        self._number = 0
        self._highest_ended = {}
        self._fence = 0
        self._lease_until_ms = 0
        self._ended = asyncio.Event()
        self._sequence = 0
        self._clock_began = time.monotonic() - 5.0
        self._next_beat = 0.0

    def clock_ms(self):
        return int((time.monotonic() - self._clock_began) * 1000)

    def used_cpu(self):
        """Capacity taken by the runs, those included that are being stopped."""
        return sum(run.cpu for run in self._active.values())

    async def tick(self):
        """End runs that are done, stopped or without a lease, until cancelled."""
        while True:
            now = self._record.now()
            for key, run in list(self._active.items()):
                if run.stop_at is not None and now >= run.stop_at:
                    self._end(key, "stopped")
                elif self.clock_ms() > self._lease_until_ms:
                    self._end(key, "lapsed")
                elif now >= run.began + run.run_s:
                    self._end(key, "done")
            await asyncio.sleep(0.002)

    def _end(self, key, how):
        run = self._active.pop(key)
        run.ended, run.how = self._record.now(), how
        self._number += 1
        self._highest_ended[key[0]] = max(key[1], self._highest_ended.get(key[0], 0))
        self._ended_rows.append([self._number, *key, how, ""])
        self._record.write(self.name, f"run ended: {run}")
        self._ended.set()
        self._ended = asyncio.Event()

    async def answer(self, request):
        if request.headers.get("gentianmux-expect-instance", self.id) != self.id:
            return 421, b"{}"
        body = json.loads(request.body or b"{}")
        if body.get("fence", 0) < self._fence:
            return self._reply(409, {"reason": "fence"})
        self._fence = body.get("fence", 0)
        if request.path == "/v1/run-start":
            return self._reply(*self._start(body))
        if request.path == "/v1/run-stop":
            return self._reply(*self._stop(body))
        if request.path == "/v1/hold":
            return self._reply(*await self._hold(body))
        return 404, b"{}"

    def _reply(self, status, content):
        return status, json.dumps({**content, "clock_ms": self.clock_ms()}).encode()

    def _extend(self, until_ms):
        until_ms = min(until_ms, self.clock_ms() + HOLD_MAX_MS)
        self._lease_until_ms = max(self._lease_until_ms, until_ms)

    def _start(self, body):
        key = (body["task"], body["run"])
        if body["until_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self._extend(body["until_ms"])
        if key in self._active:
            return 200, {}
        if key[1] <= self._highest_ended.get(key[0], 0):
            return 409, {"reason": "old"}
        spec = json.loads(body["spec"])
        run = Run(self.name, *key, spec["cpu"], self._record.now(), spec["ms"] / 1000)
        self._active[key] = run
        self.runs.append(run)
        used = self.used_cpu()
        self.peaks.append((run.began, used, self.cpu))
        self._record.write(
            self.name, f"run started: {key[0]} run {key[1]}, {used} of {self.cpu} cpu in use"
        )
        return 200, {}

    def _stop(self, body):
        key = (body["task"], body["run"])
        run = self._active.get(key)
        if run is None:
            self._highest_ended[key[0]] = max(key[1], self._highest_ended.get(key[0], 0))
        elif run.stop_at is None:
            run.stop_at = self._record.now() + STOP_S
            self._record.write(self.name, f"stop of {key[0]} run {key[1]}")
        return 200, {}

    async def _hold(self, body):
        self._extend(body.get("until_ms", 0))
        self._ended_rows = [row for row in self._ended_rows if row[0] > body["acknowledged"]]
        if not self._ended_rows and body.get("wait_ms"):
            try:
                await asyncio.wait_for(self._ended.wait(), body["wait_ms"] / 1000)
            except TimeoutError:
                pass
        now = self._record.now()
        active = [
            [*key, "", min(99, int(100 * (now - run.began) / run.run_s)), run.cpu]
            for key, run in self._active.items()
        ]
        return 200, {"active": active, "ended_runs": self._ended_rows[:500]}

    async def beat(self):
        """Send a liveness report every ``HEARTBEAT_S`` seconds, until cancelled."""
        while True:
            await self.beat_once()
            self._next_beat = self._record.now() + HEARTBEAT_S
            await asyncio.sleep(HEARTBEAT_S)

    def next_beat_in(self):
        """Seconds until the next liveness report."""
        return self._next_beat - self._record.now()

    async def beat_once(self):
        self._sequence += 1
        body = {
            "service": "svc",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0},
            "labels": ["a", "r1"],
            "clock_ms": self.clock_ms(),
            "seq": self._sequence,
        }
        path = f"/v1/instances/{self.id}/heartbeat"
        status, _ = await call(self.control, "POST", path, json.dumps(body).encode(), 1.0)
        self._record.write(
            self.name, f"liveness report {self._sequence}, cpu {self.cpu}: {status or 'no answer'}"
        )


async def call(address, method, path, body=b"", timeout_s=5.0, host="h.example", headers=()):
    """Make one HTTP call on a channel of its own; status 0 without an answer.

    The channel is closed when the time limit is over, as a client does that leaves.
    """
    ip, _, port = address.partition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(body)}"]
            lines += ["Content-Type: application/json", *headers]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await reader.readuntil(b"\r\n\r\n")
            first, *rest = head.decode("latin-1").split("\r\n")
            size = next(int(x.partition(":")[2]) for x in rest if x.lower().startswith("content-l"))
            return int(first.split()[1]), await reader.readexactly(size)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, StopIteration):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


def job(tasks, run_ms, cpu=1600):
    """Body of a job of one step that needn't be kept."""
    spec = json.dumps({"ms": run_ms, "cpu": cpu})
    step = {"count": tasks, "cpu": cpu, "mem_mb": 64, "estimate_ms": run_ms}
    return json.dumps({"spec": spec, "best_effort": True, "steps": [step]}).encode()


def config(version, prefixes=("/q/",)):
    """A configuration with a route for each prefix."""
    routes = [
        {
            "name": f"r-{prefix.strip('/')}",
            "host": "h.example",
            "path_prefix": prefix,
            "kind": "unsafe",
            "timeout_ms": 1500,
            "target_latency_ms": 60,
            "priority": 0,
            "service": "svc",
            "max_attempts": 3,
            "stretch": 1.6,
        }
        for prefix in prefixes
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    services = [{"name": "svc", "health_path": "/health", "enforces_capacity": False}]
    return json.dumps(
        {"version": version, "routes": routes, "services": services, "limits": limits}
    ).encode()


class Deployment:
    """Entries, agents and executors in three zones, with a store, all on loopback addresses."""

    def __init__(self, folder, entries=2, agents=3, cpu=16000):
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self._net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self._ports = _free_ports(self._net, 6)
        self.processes = {}
        self._tasks = []
        self.store = Store(f"{self._net}.250:{self._ports[0]}", self.record)
        self.entries = [f"front-{n}" for n in range(entries)]
        self.agents = [f"side-{n}" for n in range(agents)]
        self.executors = [
            Executor(
                f"worker-{n}",
                self._zone(name),
                f"{self._ip(name)}:{self._ports[5]}",
                self.address(name, "control"),
                self.record,
                cpu,
            )
            for n, name in enumerate(self.agents)
        ]

    def _ip(self, name):
        kind, _, number = name.partition("-")
        return f"{self._net}.{(10 if kind == 'front' else 100) + int(number)}"

    def _zone(self, name):
        return f"zone-{int(name.partition('-')[2]) % 3}"

    def address(self, name, what):
        """Address of a process: ``front``, ``readiness``, ``control`` or ``peer``."""
        number = {"front": 1, "readiness": 2, "control": 3, "peer": 4}[what]
        return f"{self._ip(name)}:{self._ports[number]}"

    def store_address_of(self, name):
        """Address at which a process reaches the store; a case may put a proxy there."""
        return self.store.address

    def _settings(self, name):
        kind = name.partition("-")[0]
        seeds = ", ".join(f'"{self.address(entry, "control")}"' for entry in self.entries[:3])
        app = f'app = "{self._ip(name)}:{self._ports[5]}"\nservice = "svc"\n'
        listen = f'control = "{self.address(name, "control")}"\n'
        if kind == "front":
            listen += f'front = "{self.address(name, "front")}"\n'
            listen += f'readiness = "{self.address(name, "readiness")}"\n'
        return f"""node = "{name}"
role = "{'entry' if kind == 'front' else 'agent'}"
class = "{kind}"
ip = "{self._ip(name)}"
zone = "{self._zone(name)}"
region = "r"
port_range = [{self._ports[4]}, {self._ports[4]}]
seeds = [{seeds}]
bootstrap = true
heartbeat_ms = 1500
orders = "call"
{app if kind == "side" else ""}
[zones]
zone-0 = "r"
zone-1 = "r"
zone-2 = "r"
[listen]
{listen}
[limits]
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = {HOLD_MAX_MS}
stop_ms = {int(STOP_S * 1000)}
cancel_ms = 3000
lease_ms = 3000
resend_ms = 1300
[platform]
address = "{self.store_address_of(name)}"
form = "log"
keep_s = 300
"""

    def launch(self, name):
        """Start a process with the command of the deploy file."""
        role = "entry" if name.startswith("front") else "agent"
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings(name))
        passed = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env = {
            **passed,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "GENTIANMUX_CONFIG": str(path),
        }
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                deploy["roles"][role]["run"].split(),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record.write(name, "process started")

    def kill(self, *names):
        """Send SIGKILL to processes and wait for their ends."""
        for name in names:
            self.processes[name].send_signal(signal.SIGKILL)
            self.record.write(name, "SIGKILL")
        for name in names:
            self.processes[name].wait()

    async def start(self):
        """Start everything and wait until the entries are ready and the agents serve."""
        await self.store.start()
        self.store.put("keyed.op", "config", config(1))
        for executor in self.executors:
            await executor.start()
            self._tasks += [asyncio.create_task(executor.tick())]
        for name in [*self.entries, *self.agents]:
            self.launch(name)
        await self.wait_ready()
        for executor in self.executors:
            self._tasks += [asyncio.create_task(executor.beat())]
        await asyncio.sleep(CONTACT_S + 1.0)
        for entry in self.entries:
            status, _ = await self.submit(entry, f"{random.getrandbits(64):016x}", job(2, 50))
            if status != 200:
                raise CannotRun(f"a plain job at {entry} was answered with {status}")

    async def wait_ready(self, limit_s=20.0):
        """Wait until every entry is ready."""
        until = time.monotonic() + limit_s
        for entry in self.entries:
            ready = self.address(entry, "readiness")
            while (await call(ready, "GET", "/v1/ready", timeout_s=1.0))[0] != 200:
                if time.monotonic() > until:
                    raise CannotRun(f"{entry} is not ready")
                # An executor whose first reports found no process sends the next one soon.
                for executor in self.executors:
                    await executor.beat_once()
                await asyncio.sleep(0.2)

    async def submit(self, entry, job_id, body, limit_s=10.0, address=None):
        """Hand a job in as a client with a time limit does, and record what it is answered."""
        self.record.write("client", f"POST {job_id} to {entry}, time limit {limit_s} s")
        headers = [f"Gentianmux-Deadline-Ms: {int(limit_s * 1000)}"]
        target = address or self.address(entry, "front")
        answer = await call(target, "POST", f"/q/{job_id}", body, limit_s, headers=headers)
        self.record.write("client", f"POST {job_id} to {entry}: {_shown(answer)}")
        return answer

    async def cancel(self, entry, job_id):
        """Cancel a job as a client does."""
        self.record.write("client", f"DELETE {job_id} to {entry}")
        answer = await call(self.address(entry, "front"), "DELETE", f"/q/{job_id}")
        self.record.write("client", f"DELETE {job_id} to {entry}: {_shown(answer)}")
        return answer

    def runs(self):
        """All runs of all executors."""
        return [run for executor in self.executors for run in executor.runs]

    def close(self):
        """End every process that was started, and drop the temporary folder."""
        for task in self._tasks:
            task.cancel()
        for name, process in self.processes.items():
            if process.poll() is None:
                process.kill()
            process.wait()
            self.record.write(name, "process ended by the script")
        self._temporary.cleanup()


def _shown(answer):
    status, body = answer
    return f"{status} {body.decode()}" if status else "no answer"


def _free_ports(net, count):
    ports = []
    while len(ports) < count:
        with socket.socket() as probe:
            probe.bind((f"{net}.250", 0))
            port = probe.getsockname()[1]
        if port != 9464 and port not in ports:
            ports.append(port)
    return ports


def overlaps(runs, least_s=0.005):
    """Pairs of runs of one task that were active at the same time, with the overlap in seconds."""
    found = []
    by_task = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    for group in by_task.values():
        for number, one in enumerate(group):
            for other in group[number + 1 :]:
                ends = [each.ended for each in (one, other) if each.ended is not None]
                both_s = min(ends, default=float("inf")) - max(one.began, other.began)
                if both_s > least_s:
                    found.append((one, other, both_s))
    return found


def play(folder, case, make=Deployment, **options):
    """Run a case and exit with 1 if it broke the rule, 0 if it held, 2 if it could not run.

    ``case(deployment)`` returns the lines that describe how the rule was broken, or none.
    """

    async def run():
        deployment = make(folder, **options)
        try:
            await deployment.start()
            found = await case(deployment)
            for line in found:
                deployment.record.write("BROKEN", line)
                print(line)
            deployment.record.write("verdict", "the rule was broken" if found else "the rule held")
            return BROKEN if found else HELD
        except CannotRun as exc:
            deployment.record.write("verdict", f"the case could not run: {exc}")
            print(f"could not run: {exc}")
            return COULD_NOT_RUN
        finally:
            deployment.close()

    async def bounded():
        async with asyncio.timeout(110.0):
            return await run()

    try:
        verdict = asyncio.run(bounded())
    except Exception as exc:
        print(f"could not run: {exc!r}")
        verdict = COULD_NOT_RUN
    raise SystemExit(verdict)
