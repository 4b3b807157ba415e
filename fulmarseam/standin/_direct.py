"""Senders that choose targets themselves, as baselines for the entries.

A load process then stands for a single entry without grants: it knows only
its own requests. The hop through an entry is left out, which flatters the
baselines by that hop.
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

Choose = Callable[[Sequence[str]], str]


class Outstanding:
    """Requests in flight by address, as this process sees them."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}

    def read(self, address: str) -> int:
        """Return the requests in flight at an address."""
        return self._counts.get(address, 0)

    def change(self, address: str, amount: int) -> None:
        """Add to the requests in flight at an address."""
        self._counts[address] = self.read(address) + amount


def make_choice(
    policy: str, rng: random.Random, outstanding: Outstanding
) -> Choose:
    """Return the choice of an address among several.

    The policies are "turns", "random" and "least-outstanding".
    """
    turns = itertools.count()

    def choose_in_turn(addresses: Sequence[str]) -> str:
        return addresses[next(turns) % len(addresses)]

    def choose_least(addresses: Sequence[str]) -> str:
        least = min(map(outstanding.read, addresses))
        return rng.choice(
            [item for item in addresses if outstanding.read(item) == least]
        )

    if policy == 'random':
        return rng.choice
    if policy == 'least-outstanding':
        return choose_least
    return choose_in_turn


class DirectSender:
    """Sends each call to a chosen address, and elsewhere if not run."""

    def __init__(
        self, options: settings.LoadSettings, http_client: client.HttpClient
    ) -> None:
        self._addresses = options.direct
        self._http_client = http_client
        self._outstanding = Outstanding()
        rng = random.Random(options.seed or None)
        self._choose = make_choice(options.policy, rng, self._outstanding)

    async def send(
        self, request: client.Request, route: settings.LoadRoute
    ) -> client.Result:
        """Send one call and return what is known of it."""
        deadline = time.monotonic() + route.deadline_ms / 1_000
        attempts: list[client.Attempt] = []
        reply: client.Reply | None = None
        left = list(self._addresses)
        while left and len(attempts) < MAX_ATTEMPTS:
            address = self._choose(left)
            left.remove(address)
            attempt, reply = await self._attempt(address, request, deadline)
            attempts.append(attempt)
            if attempt.outcome is not errors.Outcome.NOT_RUN:
                break
        return client.Result(attempts[-1].outcome, reply, None, attempts)

    async def _attempt(
        self, address: str, request: client.Request, deadline: float
    ) -> tuple[client.Attempt, client.Reply | None]:
        sent = time.monotonic()
        left_s = max(0.001, deadline - sent)
        headers = {
            **request.headers,
            'Fulmarseam-Deadline-Ms': str(int(left_s * 1_000)),
        }
        self._outstanding.change(address, 1)
        try:
            reply = await self._http_client.send(
                address, request._replace(headers=headers), left_s
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
            self._outstanding.change(address, -1)
        outcome = client.read_outcome(reply)
        kind = ''
        if outcome is errors.Outcome.NOT_RUN:
            kind = errors.ErrorKind.TARGET_SHED.value
        ended = time.monotonic()
        attempt = client.Attempt(
            address, sent, ended, outcome, reply.status, kind
        )
        return attempt, reply
