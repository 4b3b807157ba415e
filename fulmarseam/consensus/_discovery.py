"""Discovery of a group without a configured list of members.

Every new member announces itself to the seeds and to all members it learns
of. The member at the first seed founds the group, only at the first start of
the system. All other members are listed in the founding record or are added
by the leader.
"""

import asyncio
import contextlib
import time

import logbook

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import telemetry
from fulmarseam import transport
from fulmarseam import wire
from fulmarseam.consensus import _core_members
from fulmarseam.consensus import _interface

# How often a member without a group queries the addresses it knows.
QUERY_INTERVAL_S = 0.1
QUERY_TIMEOUT_S = 0.5
# The founder waits until the number of candidates has not changed for this
# long. Members start within 0.3 s of each other, so the group also includes
# those beyond the wanted number.
CANDIDATES_STABLE_S = 0.6
# After this time the founder does not wait for the wanted number any longer,
# since traffic starts 10 s after the hosts.
FOUNDING_MAX_WAIT_S = 4.0
# A candidate that has not asked for this long is gone or has joined.
CANDIDATE_EXPIRY_S = 1.0

_log = logbook.Logger('consensus')


class JoinCandidates:
    """New members that asked to join; times in seconds.

    A host has one candidate, the identity that asked last: it belongs to the
    current data directory of the host.
    """

    def __init__(self) -> None:
        self._latest_by_host: dict[
            ids.HostId, tuple[float, wire.MemberInfo]
        ] = {}

    def add(self, now: float, info: wire.MemberInfo) -> None:
        """Record that a candidate has asked to join."""
        self._latest_by_host[info.host] = (now, info)

    def list_recent(self, now: float) -> list[wire.MemberInfo]:
        """Return the candidates that asked recently, sorted by host."""
        for host, (seen_at, _) in list(self._latest_by_host.items()):
            if now - seen_at > CANDIDATE_EXPIRY_S:
                del self._latest_by_host[host]
        return [info for _, (_, info) in sorted(self._latest_by_host.items())]


def should_found_group(
    waited_s: float,
    unchanged_s: float,
    candidates: list[wire.MemberInfo],
    wanted_voters: int,
) -> bool:
    """Return whether there are enough candidates to found a group.

    `unchanged_s` is the time since the number of candidates last changed.
    After `FOUNDING_MAX_WAIT_S`, more than half of the wanted number is
    enough; the others join later.
    """
    if unchanged_s < CANDIDATES_STABLE_S:
        return False
    if len(candidates) >= wanted_voters:
        return True
    is_late = waited_s >= FOUNDING_MAX_WAIT_S
    return is_late and 2 * len(candidates) > wanted_voters


class GroupFinder:
    """Searches for the group of a new member.

    The search ends with a founding record that lists the member. For a
    member that the founding does not list it ends with `joinable_group`, the
    group whose leader is to add it.
    """

    def __init__(
        self,
        discovery: _interface.DiscoverySettings,
        own_info: wire.MemberInfo,
        candidates: JoinCandidates,
    ) -> None:
        self._discovery = discovery
        self._own_info = own_info
        self._candidates = candidates
        self._addresses: set[str] = set(discovery.seeds)
        self._addresses.discard(own_info.address)
        self._started_at = time.monotonic()
        self._count_changed_at = self._started_at
        self._candidate_count = 0
        # Id of the group whose leader may add this member, or empty.
        self.joinable_group = ''

    @property
    def is_founder(self) -> bool:
        """Return whether this member is the one that founds the group."""
        seeds = self._discovery.seeds
        return self._discovery.first_start and (
            bool(seeds) and seeds[0] == self._own_info.address
        )

    async def query_all(self) -> list[wire.IdentityResponse]:
        """Announce this member to every known address; return the answers."""
        answers = await asyncio.gather(
            *(self._query(address) for address in sorted(self._addresses))
        )
        received = [answer for answer in answers if answer is not None]
        for answer in received:
            for info in answer.members.members:
                if info.address != self._own_info.address:
                    self._addresses.add(info.address)
        return received

    async def _query(self, address: str) -> wire.IdentityResponse | None:
        request = wire.IdentityRequest(
            sender=self._own_info.member, candidate=self._own_info
        )
        with contextlib.suppress(errors.FulmarseamError):
            # An address that does not answer is queried again after
            # QUERY_INTERVAL_S.
            async with transport.RpcClient(address) as client:
                answer = await client.call(request, QUERY_TIMEOUT_S)
            if isinstance(answer, wire.IdentityResponse):
                return answer
        return None

    def find_founding(
        self, answers: list[wire.IdentityResponse]
    ) -> wire.Founding | None:
        """Return the founding record that lists this member, or None.

        If a group answers whose founding does not list this member, it
        becomes `joinable_group`.
        """
        for answer in answers:
            founding = answer.founding
            if not answer.group or founding is None:
                continue
            info = _core_members.find_member(
                founding.members, self._own_info.member
            )
            if info is not None and info.store == self._own_info.store:
                return founding
            self.joinable_group = answer.group
        return None

    def try_found_group(
        self, answers: list[wire.IdentityResponse], new_group_id: str
    ) -> wire.Founding | None:
        """Return the founding of a new group if this member may found it."""
        if not self.is_founder or any(answer.group for answer in answers):
            return None
        now = time.monotonic()
        self._candidates.add(now, self._own_info)
        candidates = self._candidates.list_recent(now)
        if len(candidates) != self._candidate_count:
            self._candidate_count = len(candidates)
            self._count_changed_at = now
        if not should_found_group(
            now - self._started_at,
            now - self._count_changed_at,
            candidates,
            self._discovery.wanted_voters,
        ):
            return None
        _log.info(
            telemetry.format_event(
                'group_founded',
                group=new_group_id,
                members=','.join(info.member for info in candidates),
            )
        )
        return wire.Founding(
            group=new_group_id, members=wire.GroupMembers(candidates)
        )
