"""Tests of the bytes that an entry exchanges with the control members."""

import random
import unittest

import msgspec

from fulmarseam import gateway
from fulmarseam import ids
from fulmarseam import quarantine
from fulmarseam import settings
from fulmarseam import wire
from fulmarseam.gateway import _placement
from fulmarseam.gateway import _poller
from fulmarseam.steering import _limited_targets
from fulmarseam.transport import _rpc
from tests import catalog_fixtures as fixtures

MAX_BYTES_PER_S = 6_000
ENTRIES = 79
TARGETS = 361
MEMBERS = 5
IN_FLIGHT = 14
LEADER = '10.1.0.36:7540'
FIELDS = {'pool': 'katalog', 'region': 'sued', 'failure_domain': 'sued-graz'}


def size(message: wire.Message) -> int:
    """Return the bytes of a message with its frame."""
    return len(wire.encode(message)) + _rpc.FRAME_BYTES


class ControlTrafficTest(unittest.IsolatedAsyncioTestCase):
    """Guards against polls that fill the links of a large deployment."""

    async def asyncSetUp(self) -> None:
        self.rng = random.Random(1)
        options = settings.GatewaySettings(
            host=ids.HostId('edge-sued-graz-9'),
            region=fixtures.region('sued'),
            failure_domain=fixtures.domain('sued-graz'),
            domains={},
            listen='10.3.0.34:8548',
            readiness='10.3.0.34:8542',
            seeds=[LEADER],
            peer_port=7540,
        )
        self.gateway = gateway.Gateway(options, gateway.HttpNames())
        self.poller = self.gateway.poller
        self.poller._group = [
            f'10.{number}.0.36:7540' for number in range(MEMBERS)
        ]
        mirror = self.gateway.mirror
        for _ in range(TARGETS):
            name = f'i-{self.rng.getrandbits(40):010x}'
            mirror.targets[fixtures.target_id(name)] = fixtures.make_record(
                name, born_ms=1_776_298_081_207, **FIELDS
            )
        mirror.revision = mirror.removals_revision = 2_855
        self.gateway.load_balancer.update(0.0)
        self.names = list(mirror.targets)
        self.observed = self.gateway.load_balancer._targets
        for name in self.names[:IN_FLIGHT]:
            self.observed[name].in_flight = 1

    def answer(self, is_leader: bool, version: int) -> wire.EntryPollResponse:
        loads = bytes(self.rng.randrange(8) for _ in self.names)
        return wire.EntryPollResponse(
            revision=2_855,
            entry_count=ENTRIES,
            leader=LEADER,
            target_loads=wire.pack_loads(loads) if is_leader else b'',
            limits_version=version if is_leader else 0,
        )

    def count_polls(self, version: int = 0) -> float:
        """Return the bytes/s of all polls and their answers."""
        self.gateway.load_balancer.limited_targets.version = version
        total = 0.0
        for is_leader, members, interval_s in (
            (True, 1, _poller.LEADER_POLL_INTERVAL_S),
            (False, MEMBERS - 1, _poller.IDLE_POLL_INTERVAL_S),
        ):
            poll = self.poller._make_poll(False, is_leader, [])
            answer = self.answer(is_leader, version)
            total += members * (size(poll) + size(answer)) / interval_s
        return total + self.count_region_loads(poll, answer)

    def count_region_loads(
        self, poll: wire.EntryPoll, answer: wire.EntryPollResponse
    ) -> float:
        """Return the bytes/s of the loads of regions."""
        loads = {
            fixtures.region(name): 200 for name in ('ost', 'west', 'sued')
        }
        extended = (
            msgspec.structs.replace(poll, wants_region_loads=True),
            msgspec.structs.replace(answer, region_loads=loads),
        )
        extra = sum(map(size, extended)) - size(poll) - size(answer)
        return extra / _placement.REGION_LOADS_INTERVAL_S

    def test_polls_stay_within_their_bytes(self) -> None:
        self.assertLess(self.count_polls(), MAX_BYTES_PER_S)

    def test_news_of_suspects_stay_within_the_bytes(self) -> None:
        """Guards against lost targets whose requests fill the links."""
        registry = quarantine.SuspectRegistry()
        version = 0
        peak = 0
        for second in range(10):
            strikes = [
                wire.Strike(self.rng.randbytes(16), self.names[number])
                for number in range(second, 300)
            ]
            registry.answer(0.0, 37, wire.SuspectReport(strikes=strikes))
            version, rows = registry.list_news(0.0, 37, version)
            answer = msgspec.structs.replace(
                self.answer(True, 0),
                suspects_version=version,
                suspects=rows,
            )
            poll = self.poller._make_poll(False, True, [], version)
            plain_poll = self.poller._make_poll(False, True, [])
            peak = max(
                peak,
                size(answer)
                - size(self.answer(True, 0))
                + size(poll)
                - size(plain_poll),
            )
        extra = peak / _poller.LEADER_POLL_INTERVAL_S
        self.assertLess(self.count_polls() + extra, MAX_BYTES_PER_S)

    def test_asks_for_permits_stay_within_the_bytes(self) -> None:
        """Guards against limited targets that cost more than all polls."""
        limited = self.gateway.load_balancer.limited_targets
        for name in self.names[:3]:
            limited.note_answer(0.0, self.observed[name], 0.8)
        limited.mark_reported(limited.list_unreported(0.0)[1])
        asks = limited.list_asks(0.0, dict.fromkeys(self.names[:3], 2))
        request = wire.PermitRequest(
            entry=ids.EntryId('edge-sued-graz-9'), asks=asks
        )
        response = wire.PermitResponse(counts=[1, 0, 0])
        asks_bytes = (
            size(request) + size(response)
        ) / _limited_targets.ASK_INTERVAL_S
        total = self.count_polls((37 << 20) + 5) + asks_bytes
        self.assertLess(total, MAX_BYTES_PER_S)
