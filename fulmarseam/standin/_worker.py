"""Execution of requests in the slots of a target."""

import asyncio
import math
import os
import random
import time
from typing import NamedTuple

from fulmarseam import settings
from fulmarseam import wire
from fulmarseam.standin import _journal
from fulmarseam.standin import _server

MARK_HEADER = 'standin-mark'
ACTION_HEADER = 'standin-action'
SERVICE_TIME_HEADER = 'standin-service-ms'
RESPONSE_BYTES_HEADER = 'standin-response-bytes'
TARGET_HEADER = 'standin-target'
CRASH_EXIT_CODE = 70
DEFAULT_DEADLINE_S = 60.0
# Weight of the newest sample in the moving average of the latency.
LATENCY_WEIGHT = 0.2


class Job(NamedTuple):
    """The parameters of a request, read from its headers."""

    mark: str
    request_id: str
    action: str
    service_s: float | None
    deadline_s: float
    response_bytes: int
    received_bytes: int


def parse_job(request: _server.ServerRequest, default_bytes: int) -> Job:
    """Return the job that the headers of a request describe.

    Raises `ValueError` for a malformed number.
    """
    headers = request.headers
    service_ms = headers.get(SERVICE_TIME_HEADER)
    deadline_ms = headers.get('fulmarseam-deadline-ms')
    return Job(
        mark=headers.get(MARK_HEADER, ''),
        request_id=headers.get('idempotency-key', ''),
        action=headers.get(ACTION_HEADER, ''),
        service_s=None if service_ms is None else float(service_ms) / 1_000,
        deadline_s=DEFAULT_DEADLINE_S
        if deadline_ms is None
        else float(deadline_ms) / 1_000,
        response_bytes=int(headers.get(RESPONSE_BYTES_HEADER, default_bytes)),
        received_bytes=len(request.body),
    )


def draw_service_time_s(
    service: settings.ServiceTime, rng: random.Random, age_s: float
) -> float:
    """Return a random service time at `age_s` after the start."""
    mean_s = service.mean_ms / 1_000
    if service.distribution == 'exponential' and mean_s:
        service_s = rng.expovariate(1 / mean_s)
    elif service.distribution == 'lognormal' and mean_s:
        log_mean = math.log(mean_s) - service.sigma**2 / 2
        service_s = rng.lognormvariate(log_mean, service.sigma)
    else:
        service_s = mean_s
    if age_s >= service.cold_s:
        return service_s
    cold_share = 1 - age_s / service.cold_s
    return service_s * (1 + (service.cold_multiplier - 1) * cold_share)


class Worker:
    """Runs jobs in a fixed number of slots and records their events.

    Jobs without a free slot are queued up to `queue_limit`; others are shed.
    """

    def __init__(
        self,
        options: settings.TargetSettings,
        incarnation: int,
        journal: _journal.Journal,
    ) -> None:
        self._options = options
        self._incarnation = incarnation
        self._journal = journal
        self._rng = random.Random(options.seed or None)
        self._slots = asyncio.Semaphore(options.slots)
        self._started = time.monotonic()
        self._latency_s = 0.0
        self._job_ended = asyncio.Event()
        self.admitted = 0
        self.running = 0
        self.shed_all = False
        self.slowdown = 1.0

    def measure_load(self) -> wire.TargetLoad:
        """Return the current load."""
        return wire.TargetLoad(
            busy_slots=self.running,
            queued=self.admitted - self.running,
            latency_ms=self._latency_s * 1_000,
        )

    async def wait_idle(self) -> None:
        """Wait until no job is queued or running."""
        while self.admitted:
            self._job_ended.clear()
            await self._job_ended.wait()

    async def run(self, job: Job) -> _server.ServerResponse:
        """Run a job, or shed it if the queue is full."""
        limit = self._options.slots + self._options.queue_limit
        if self.shed_all or self.admitted >= limit:
            self.record_event(_journal.RunEvent.SHED, job)
            return _make_not_run_response('no free slot')
        self.admitted += 1
        arrived = time.monotonic()
        try:
            if not await self._acquire_slot(job):
                return _make_not_run_response(
                    'deadline passed before the start'
                )
            try:
                return await self._run_in_slot(job, arrived)
            finally:
                self._slots.release()
        finally:
            self.admitted -= 1
            self._job_ended.set()

    async def _acquire_slot(self, job: Job) -> bool:
        if not self._slots.locked():
            return await self._slots.acquire()
        self.record_event(_journal.RunEvent.QUEUED, job)
        acquired = False
        try:
            async with asyncio.timeout(job.deadline_s):
                acquired = await self._slots.acquire()
        except TimeoutError:
            pass
        finally:
            if not acquired:
                self.record_event(_journal.RunEvent.ABANDONED, job)
        return acquired

    async def _run_in_slot(
        self, job: Job, arrived: float
    ) -> _server.ServerResponse:
        self.running += 1
        self.record_event(_journal.RunEvent.START, job)
        result = _journal.RunResult.CANCELLED
        try:
            remaining_s = max(
                0.0, job.deadline_s - (time.monotonic() - arrived)
            )
            async with asyncio.timeout(remaining_s):
                await self._execute(job)
            result = _journal.RunResult.ANSWERED
            if job.action == 'truncate':
                result = _journal.RunResult.TRUNCATED
        except TimeoutError:
            result = _journal.RunResult.DEADLINE
            return _server.ServerResponse(504, {}, b'deadline passed')
        finally:
            self.running -= 1
            self.record_event(_journal.RunEvent.END, job, result)
        self._update_latency(time.monotonic() - arrived)
        return self._make_response(job)

    async def _execute(self, job: Job) -> None:
        if job.action == 'crash':
            self.record_event(
                _journal.RunEvent.END, job, _journal.RunResult.CRASHED
            )
            os._exit(CRASH_EXIT_CODE)
        service_s = job.service_s
        if service_s is None:
            age_s = time.monotonic() - self._started
            service_s = draw_service_time_s(
                self._options.service, self._rng, age_s
            )
        await asyncio.sleep(service_s * self.slowdown)

    def _update_latency(self, seconds: float) -> None:
        self._latency_s += LATENCY_WEIGHT * (seconds - self._latency_s)

    def _make_response(self, job: Job) -> _server.ServerResponse:
        body = b'x' * job.response_bytes
        headers = {
            'Content-Type': 'text/plain',
            'Standin-Mark': job.mark,
            'Standin-Target': self._options.target_id,
            'Standin-Response-Bytes': str(job.response_bytes),
        }
        truncate = job.action == 'truncate'
        return _server.ServerResponse(200, headers, body, truncate)

    def record_event(
        self,
        event: _journal.RunEvent,
        job: Job | None = None,
        result: _journal.RunResult | None = None,
    ) -> None:
        """Write an event of the target or of a job to the journal."""
        answered = result is _journal.RunResult.ANSWERED
        self._journal.append(
            _journal.RunRecord(
                time=time.monotonic(),
                event=event,
                target=self._options.target_id,
                pool=self._options.pool,
                region=self._options.region,
                incarnation=self._incarnation,
                slots=self._options.slots,
                busy=self.admitted,
                mark=job.mark if job else '',
                request_id=job.request_id if job else '',
                result=result,
                received_bytes=job.received_bytes if job else 0,
                sent_bytes=job.response_bytes if job and answered else 0,
            )
        )


def _make_not_run_response(detail: str) -> _server.ServerResponse:
    headers = {
        'Content-Type': 'text/plain',
        'Fulmarseam-Outcome': 'not-run',
    }
    return _server.ServerResponse(503, headers, detail.encode())
