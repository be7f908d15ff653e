"""A stand-in for a worker, as the users' protocol describes it: heartbeats to the agent of its machine, starts, stops
and holds under a fence, ends that are listed until they are acknowledged."""
from __future__ import annotations

import asyncio
import itertools
import random
import time

from http1 import ConnectionEnded, Message, call, format_response, read_message
from events import Trace

MAX_HOLD_WAIT_S = 2.0
STOP_S = 0.05
RETRY_S = 0.5
MAX_LISTED_ENDS = 500
LATE_ANSWER_SHARE = 0.05  # of the answers to status queries
LATE_ANSWER_S = (0.05, 0.4)  # what a lost packet or two cost
NEVER = 1 << 62  # on a worker's clock
lives = itertools.count(1)


class Worker:
    """One life of a worker. A task runs for the milliseconds that its `job_spec` names, "work_ms=N", or lasts until it
    is stopped, "lasts=1"."""

    def __init__(self, trace: Trace, ip: str, ports: dict[str, int], service: str, bounds: dict, beat_s: float):
        self.trace, self.ip, self.ports, self.service, self.bounds = trace, ip, ports, service, bounds
        self.id = f"worker-{next(lives)}"
        self.beat_s = beat_s
        self.link = random.Random(self.id)
        self.cpu, self.memory = 16000, 32768
        self.clock_offset = random.randrange(100000, 900000)
        self.began = time.monotonic()
        self.fence = self.until = self.call_number = self.last_end = 0
        self.active: dict[tuple[str, int], dict] = {}
        self.blocked: dict[str, int] = {}
        self.finished: list[list] = []
        self.unlapsed_ends: set[int] = set()  # ends since which the hold has not lapsed
        self.has_news = asyncio.Event()
        self.phase, self.leaves_at = "ready", 0
        self.connections: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.tasks: list[asyncio.Task] = []

    def clock(self) -> int:
        return self.clock_offset + int((time.monotonic() - self.began) * 1000)

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, self.ip, self.ports["app"])
        self.tasks = [asyncio.create_task(self.send_heartbeats()), asyncio.create_task(self.run_tasks())]

    def end_life(self) -> None:
        """Everything that runs here dies, and nobody is told."""
        self.advance()
        for task, run in list(self.active):
            self.end(task, run, "crashed")
        for each in self.tasks:
            each.cancel()
        if self.server:
            self.server.close()
        for writer in self.connections:
            writer.transport.abort()

    async def drain(self, serves_on_s: float) -> None:
        """A planned end: says that it drains until that is acknowledged, serves on, says DELETE and ends."""
        self.phase = "draining"
        self.leaves_at = self.clock() + self.bounds["drain_ms"] + int(serves_on_s * 1000)
        while True:
            response = await self.send_heartbeat(self.heartbeat())
            if response is not None and response.status == 200:
                break
            await asyncio.sleep(RETRY_S)
        self.trace.add("worker drains", worker=self.id)
        await asyncio.sleep(self.bounds["drain_ms"] / 1000 + serves_on_s)
        await call(self.ip, self.ports["control"], "DELETE", f"/workers/{self.id}")
        self.end_life()

    # --- what runs ---

    async def run_tasks(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            self.advance()

    def advance(self) -> None:
        """Ends what is over by the worker's clock, at the moment at which it was over, however late this is noticed."""
        now = self.clock()
        for (task, run), each in list(self.active.items()):
            if each["ends"] <= min(now, self.until):
                self.end(task, run, each["how"], each["ends"])
            elif self.until <= now:
                self.end(task, run, "lapsed", self.until)
        if self.until <= now:
            self.unlapsed_ends.clear()

    def end(self, task: str, run: int, how: str, clock: int | None = None) -> None:
        """`clock`: when it was over by the worker's clock, if not just now."""
        del self.active[(task, run)]
        self.unlapsed_ends.add(self.last_end + 1)
        self.blocked[task] = max(self.blocked.get(task, 0), run)
        self.last_end += 1
        self.finished.append([self.last_end, task, run, how, ""])
        at = None
        if clock is not None:
            at = self.began + (clock - self.clock_offset) / 1000 - self.trace.began
        self.trace.add("run ended", at=at, task=task, run=run, how=how, worker=self.id)
        self.has_news.set()

    # --- calls ---

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while True:
                request = await read_message(reader)
                status, body = await self.respond(request.second, request.json(), request.headers)
                if request.second == "/hold" and self.link.random() < LATE_ANSWER_SHARE:
                    await asyncio.sleep(self.link.uniform(*LATE_ANSWER_S))
                writer.write(format_response(status, body, {"X-Worker-Id": self.id}))
                await writer.drain()
        except (ConnectionEnded, OSError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def respond(self, path: str, body: dict, headers: dict[str, str]) -> tuple[int, dict]:
        self.advance()
        expected = headers.get("x-expected-worker")
        if expected and expected != self.id:
            return 421, {}
        if path == "/health":
            return 200, {}
        if body.get("fence", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = body.get("fence", 0)
        if path == "/run-start":
            return self.start_run(body)
        if path == "/run-stop":
            return self.stop_run(body)
        if path == "/hold":
            return await self.hold(body)
        return 404, {}

    def start_run(self, body: dict) -> tuple[int, dict]:
        clock, task, run = self.clock(), body["task"], body["run_id"]

        def refuse(reason: str) -> tuple[int, dict]:
            return 409, {"clock_ms": clock, "reason": reason}

        if body["until_ms"] <= clock:
            return refuse("late")
        self.until = max(self.until, min(body["until_ms"], clock + self.bounds["hold_max_ms"]))
        if (task, run) in self.active:
            return 200, {"clock_ms": clock}
        if run <= self.blocked.get(task, 0):
            return refuse("old")
        fields = dict(part.split("=", 1) for part in body["job_spec"].split() if "=" in part)
        cpu = int(fields["cpu"])
        if cpu + sum(each["cpu"] for each in self.active.values()) > self.cpu:
            return refuse("room")
        ends = NEVER if "lasts" in fields else clock + int(fields["work_ms"])
        self.active[(task, run)] = {"ends": ends, "cpu": cpu, "how": "done"}
        self.trace.add("run started", task=task, run=run, worker=self.id, fence=self.fence)
        return 200, {"clock_ms": clock}

    def stop_run(self, body: dict) -> tuple[int, dict]:
        task, run = body["task"], body["run_id"]
        each = self.active.get((task, run))
        if each:
            each["ends"], each["how"] = min(each["ends"], self.clock() + int(STOP_S * 1000)), "stopped"
        else:
            self.blocked[task] = max(self.blocked.get(task, 0), run)
        return 200, {"clock_ms": self.clock()}

    async def hold(self, body: dict) -> tuple[int, dict]:
        self.until = max(self.until, min(body.get("until_ms", 0), self.clock() + self.bounds["hold_max_ms"]))
        seen_at = body.get("seen_at", 0)
        for number, task, run, how, _ in self.finished:
            if number <= seen_at:
                self.trace.add("end noted", task=task, run=run, how=how, worker=self.id,
                               lapsed=number not in self.unlapsed_ends)
        self.finished = [each for each in self.finished if each[0] > seen_at]
        if not self.finished:
            self.has_news.clear()
            try:
                wait_s = min(body.get("wait_ms", 0) / 1000, MAX_HOLD_WAIT_S)
                await asyncio.wait_for(self.has_news.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        active = [[task, run, "", 50] for task, run in self.active]
        return 200, {"clock_ms": self.clock(), "active": active, "finished": self.finished[:MAX_LISTED_ENDS]}

    # --- heartbeats ---

    def heartbeat(self) -> dict:
        self.call_number += 1
        body = {"service": self.service, "address": f"{self.ip}:{self.ports['app']}", "zone": "z", "revision": "v1",
                "slots": 8, "phase": self.phase, "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "task_mem_mb": self.memory, "gpu": 0}, "labels": ["a", "r1-1"],
                "clock_ms": self.clock(), "call_seq": self.call_number}
        if self.phase == "draining":
            body["leaves_at_ms"] = max(0, self.leaves_at - self.clock())
        return body

    async def send_heartbeat(self, body: dict) -> Message | None:
        return await call(self.ip, self.ports["control"], "PUT", f"/workers/{self.id}", body)

    async def send_heartbeats(self) -> None:
        while True:
            await self.send_heartbeat(self.heartbeat())
            await asyncio.sleep(self.beat_s)
