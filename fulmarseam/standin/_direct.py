"""Load balancing in the load generator, as a baseline for the entries.

The load process acts as a single entry without grants: it knows only its own
requests. Requests skip the hop through an entry, so the latencies of the
baseline are too low by that hop.
"""

from collections.abc import Callable
from collections.abc import Sequence
import itertools
import random
import time

from fulmarseam import client
from fulmarseam import errors
from fulmarseam import settings

MAX_ATTEMPTS = 3

ChooseAddress = Callable[[Sequence[str]], str]


class OutstandingCounter:
    """Counts the requests of this process in flight to each address."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}

    def get(self, address: str) -> int:
        return self._counts.get(address, 0)

    def add(self, address: str, amount: int) -> None:
        """Change the number of requests in flight by a signed amount."""
        self._counts[address] = self.get(address) + amount


def make_chooser(
    policy: str, rng: random.Random, outstanding: OutstandingCounter
) -> ChooseAddress:
    """Return the function that chooses an address by a policy.

    The policies are "turns" (round robin), "random" and
    "least-outstanding".
    """
    positions = itertools.count()

    def choose_round_robin(addresses: Sequence[str]) -> str:
        return addresses[next(positions) % len(addresses)]

    def choose_least_outstanding(addresses: Sequence[str]) -> str:
        least = min(map(outstanding.get, addresses))
        return rng.choice(
            [
                address
                for address in addresses
                if outstanding.get(address) == least
            ]
        )

    if policy == 'random':
        return rng.choice
    if policy == 'least-outstanding':
        return choose_least_outstanding
    return choose_round_robin


class DirectSender:
    """Sends calls to targets and retries those that were not run."""

    def __init__(
        self, options: settings.LoadSettings, http_client: client.HttpClient
    ) -> None:
        self._addresses = options.direct
        self._http_client = http_client
        self._outstanding = OutstandingCounter()
        rng = random.Random(options.seed or None)
        self._choose = make_chooser(options.policy, rng, self._outstanding)

    async def send(
        self, request: client.Request, route: settings.LoadRoute
    ) -> client.Result:
        """Send a call, trying other addresses until a target runs it."""
        deadline = time.monotonic() + route.deadline_ms / 1_000
        attempts: list[client.Attempt] = []
        reply: client.Reply | None = None
        remaining = list(self._addresses)
        while remaining and len(attempts) < MAX_ATTEMPTS:
            address = self._choose(remaining)
            remaining.remove(address)
            attempt, reply = await self._attempt(address, request, deadline)
            attempts.append(attempt)
            if attempt.outcome is not errors.Outcome.NOT_RUN:
                break
        return client.Result(attempts[-1].outcome, reply, None, attempts)

    async def _attempt(
        self, address: str, request: client.Request, deadline: float
    ) -> tuple[client.Attempt, client.Reply | None]:
        sent = time.monotonic()
        remaining_s = max(0.001, deadline - sent)
        headers = {
            **request.headers,
            'Fulmarseam-Deadline-Ms': str(int(remaining_s * 1_000)),
        }
        self._outstanding.add(address, 1)
        try:
            reply = await self._http_client.send(
                address, request._replace(headers=headers), remaining_s
            )
        except client.ExchangeError as error:
            attempt = client.Attempt(
                address,
                sent,
                time.monotonic(),
                error.outcome,
                detail=str(error),
                opened=error.opened,
                started=error.started,
            )
            return attempt, None
        finally:
            self._outstanding.add(address, -1)
        outcome = client.read_outcome(reply)
        kind = ''
        if outcome is errors.Outcome.NOT_RUN:
            kind = errors.ErrorKind.TARGET_SHED.value
        ended = time.monotonic()
        attempt = client.Attempt(
            address, sent, ended, outcome, reply.status, kind
        )
        return attempt, reply
