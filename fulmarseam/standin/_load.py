"""Open-loop load: requests start on schedule, however slow responses are."""

import asyncio
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import ipaddress
import itertools
import random
import time
from typing import Any
from typing import NamedTuple
from typing import Protocol

from hdrh import histogram
import logbook

from fulmarseam import client
from fulmarseam import errors
from fulmarseam import settings
from fulmarseam import telemetry
from fulmarseam.standin import _direct
from fulmarseam.standin import _journal

# Range of the latency histograms, from 1 us to 10 minutes.
LOWEST_LATENCY_US = 1
HIGHEST_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
START_DELAY_S = 0.2
FIRST_CALLER_ADDRESS = ipaddress.IPv4Address('127.1.0.1')

_log = logbook.Logger('load')


class Arrival(NamedTuple):
    """A request that is due `offset_s` after the start."""

    offset_s: float
    route: settings.LoadRoute


class Sender(Protocol):
    """Sends one call and returns its result."""

    async def __call__(
        self, request: client.Request, route: settings.LoadRoute
    ) -> client.Result: ...


def schedule_arrivals(
    options: settings.LoadSettings, rng: random.Random
) -> Iterator[Arrival]:
    """Yield the arrivals of all phases in order of time."""
    weights = [route.weight for route in options.routes]
    phase_start_s = 0.0
    for phase in options.phases:
        interval_s = 1 / phase.rate_per_s
        offset_s = 0.0
        while True:
            if options.arrivals == 'poisson':
                offset_s += rng.expovariate(phase.rate_per_s)
            else:
                offset_s += interval_s
            if offset_s >= phase.duration_s:
                break
            route = rng.choices(options.routes, weights)[0]
            yield Arrival(phase_start_s + offset_s, route)
        phase_start_s += phase.duration_s


class RouteSummary:
    """Counts and latencies of the calls of one route."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.outcomes = dict.fromkeys(errors.Outcome, 0)
        self.good = 0
        self._latencies: Any = histogram.HdrHistogram(
            LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS
        )

    def add_call(self, call: _journal.CallRecord) -> None:
        """Count a call; record its latency if the status is 2xx."""
        self.outcomes[errors.Outcome(call.outcome)] += 1
        if call.outcome == errors.Outcome.ANSWERED.value:
            if 200 <= call.status < 300:
                self.good += 1
                latency_us = int((call.ended - call.intended) * 1e6)
                self._latencies.record_value(
                    max(LOWEST_LATENCY_US, latency_us)
                )

    def get_percentile_ms(self, percentile: float) -> float:
        """Return a latency percentile; 0 without good responses."""
        if not self.good:
            return 0.0
        value = self._latencies.get_value_at_percentile(percentile)
        return float(value) / 1_000

    def format(self) -> str:
        """Return the summary as a line of key=value pairs."""
        return telemetry.format_event(
            'route_summary',
            route=self.name,
            good=self.good,
            answered=self.outcomes[errors.Outcome.ANSWERED],
            not_run=self.outcomes[errors.Outcome.NOT_RUN],
            unknown=self.outcomes[errors.Outcome.UNKNOWN],
            p50_ms=self.get_percentile_ms(50),
            p99_ms=self.get_percentile_ms(99),
            p999_ms=self.get_percentile_ms(99.9),
        )


class LoadGenerator:
    """Sends calls on schedule and summarizes them by route."""

    def __init__(self, options: settings.LoadSettings, send: Sender) -> None:
        self._options = options
        self._send = send
        self._journal = _journal.Journal(options.journal)
        self._call_numbers = itertools.count()
        self._run_id = f'{options.caller}-{time.monotonic_ns():x}'
        self.summaries = {
            route.name: RouteSummary(route.name) for route in options.routes
        }
        self.skipped_calls = 0

    async def run(self) -> None:
        """Send all calls and wait until they end."""
        rng = random.Random(self._options.seed or None)
        start = time.monotonic() + START_DELAY_S
        calls: set[asyncio.Task[None]] = set()
        try:
            for arrival in schedule_arrivals(self._options, rng):
                intended = start + arrival.offset_s
                await asyncio.sleep(max(0, intended - time.monotonic()))
                if len(calls) >= self._options.max_in_flight:
                    self.skipped_calls += 1
                    continue
                call = asyncio.create_task(
                    self._send_call(arrival.route, intended)
                )
                calls.add(call)
                call.add_done_callback(calls.discard)
            await asyncio.gather(*calls)
        finally:
            for call in calls:
                call.cancel()
            self._journal.close()

    async def _send_call(
        self, route: settings.LoadRoute, intended: float
    ) -> None:
        mark = f'{self._run_id}-{next(self._call_numbers)}'
        request = client.Request(
            route.method,
            route.host,
            route.path,
            {**route.headers, 'Standin-Mark': mark},
            b'b' * route.body_bytes,
        )
        try:
            result = await self._send(request, route)
        except errors.FulmarseamError as error:
            _log.debug('event=call_not_sent error={!r}', error.detail)
            result = client.Result(errors.Outcome.NOT_RUN, None, None, [])
        record = make_call_record(
            mark, self._options, route, intended, time.monotonic(), result
        )
        self._journal.append(record)
        self.summaries[route.name].add_call(record)


def make_call_record(
    mark: str,
    options: settings.LoadSettings,
    route: settings.LoadRoute,
    intended: float,
    ended: float,
    result: client.Result,
) -> _journal.CallRecord:
    """Return the journal record of one call."""
    headers = result.reply.headers if result.reply else {}
    last_attempt = result.attempts[-1] if result.attempts else None
    return _journal.CallRecord(
        mark=mark,
        caller=options.caller,
        route=route.name,
        region=options.region,
        once=route.once,
        intended=intended,
        ended=ended,
        outcome=result.outcome.value,
        status=last_attempt.status if last_attempt else 0,
        kind=last_attempt.kind if last_attempt else '',
        request_id=result.request_id or '',
        action=route.headers.get('Standin-Action', ''),
        mark_seen=headers.get('standin-mark', ''),
        target_seen=headers.get('standin-target', ''),
        body_bytes=len(result.reply.body) if result.reply else 0,
        body_expected=int(headers.get('standin-response-bytes', -1)),
        attempts=[
            _journal.AttemptRecord(
                **{**attempt._asdict(), 'outcome': attempt.outcome.value}
            )
            for attempt in result.attempts
        ],
    )


def make_entry_sender(callers: Sequence[client.Caller]) -> Sender:
    """Return a sender that uses the callers in rotation."""
    rotation = itertools.cycle(callers)

    async def send(
        request: client.Request, route: settings.LoadRoute
    ) -> client.Result:
        caller = next(rotation)
        return await caller.call(request, route.deadline_ms, route.once)

    return send


def _make_caller(options: settings.LoadSettings, number: int) -> client.Caller:
    """Return a caller with its own address.

    Entries distribute callers by address.
    """
    address = str(FIRST_CALLER_ADDRESS + number)
    return client.Caller(options.entries, options.region, address)


async def run_load(options: settings.LoadSettings) -> list[RouteSummary]:
    """Send the calls of all phases and return a summary of each route."""
    if options.direct:
        http_client = client.HttpClient()
        generator = LoadGenerator(
            options, _direct.DirectSender(options, http_client).send
        )
        await generator.run()
        http_client.close()
    else:
        async with contextlib.AsyncExitStack() as stack:
            callers = [
                await stack.enter_async_context(_make_caller(options, number))
                for number in range(options.callers)
            ]
            generator = LoadGenerator(options, make_entry_sender(callers))
            await generator.run()
    if generator.skipped_calls:
        _log.warn('event=calls_skipped count={}', generator.skipped_calls)
    return list(generator.summaries.values())
