"""Discovery of a group without a configured list of members.

Every new member announces itself to the seeds and to all members it learns
of. The member at the first seed founds the group, only at the first start of
the system. If it has lost its disk before, the member at the next seed takes
over. All other members are listed in the founding record or are added by the
leader.
"""

import asyncio
from collections.abc import Collection
from collections.abc import Iterable
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
# The member at a later seed founds the group only if the candidates have been
# the same for this long. Each has then asked since the earlier founder lost
# its disk, so none can still get a founding record from there.
TAKEOVER_STABLE_S = CANDIDATE_EXPIRY_S + QUERY_TIMEOUT_S + 0.5

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
        # The candidates of the first start of the system.
        self._initial: set[ids.MemberId] = set()

    def add(
        self, now: float, info: wire.MemberInfo, is_first_start: bool = False
    ) -> None:
        """Record that a candidate has asked to join."""
        self._latest_by_host[info.host] = (now, info)
        if is_first_start:
            self._initial.add(info.member)

    def is_initial(self, info: wire.MemberInfo) -> bool:
        """Return whether a candidate is one of the first start."""
        return info.member in self._initial

    def list_recent(self, now: float) -> list[wire.MemberInfo]:
        """Return the candidates that asked recently, sorted by host."""
        for host, (seen_at, _) in list(self._latest_by_host.items()):
            if now - seen_at > CANDIDATE_EXPIRY_S:
                del self._latest_by_host[host]
        return [info for _, (_, info) in sorted(self._latest_by_host.items())]


def may_take_over(
    unchanged_s: float,
    candidates: list[wire.MemberInfo],
    candidates_without_disk: list[wire.MemberInfo],
    earlier_seeds: Collection[str],
    wanted_voters: int,
) -> bool:
    """Return whether a member at a later seed may found the group.

    The members at `earlier_seeds` have lost their disks. A group that they
    founded may exist at members that do not answer. So that no two groups
    have a majority each, the candidates must be the members of the first
    start, each in no group, with only those members replaced.
    """
    return (
        unchanged_s >= TAKEOVER_STABLE_S
        and len(candidates) == wanted_voters
        and {info.address for info in candidates_without_disk}
        <= set(earlier_seeds)
    )


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
        self._addresses: set[str] = set()
        self.add_addresses(discovery.seeds)
        self._started_at = time.monotonic()
        self._candidates_changed_at = self._started_at
        self._last_candidates: list[ids.MemberId] = []
        # The last answer of each address, or None if there was none.
        self._answers: dict[str, wire.IdentityResponse | None] = {}
        # Id of the group whose leader may add this member, or empty.
        self.joinable_group = ''

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Announce this member to these addresses as well from now on."""
        self._addresses.update(addresses)
        self._addresses.discard(self._own_info.address)

    def _list_earlier_seeds(self) -> list[str] | None:
        """Return the seeds before this member, or None if it founds nothing.

        The members there must have lost the right to found the group.
        """
        seeds = self._discovery.seeds
        own_address = self._own_info.address
        if not self._discovery.first_start or own_address not in seeds:
            return None
        earlier = list(seeds[: seeds.index(own_address)])
        answers = [self._answers.get(address) for address in earlier]
        if all(
            answer is not None and answer.may_found is False
            for answer in answers
        ):
            return earlier
        return None

    async def query_all(self) -> list[wire.IdentityResponse]:
        """Announce this member to every known address; return the answers."""
        addresses = sorted(self._addresses)
        answers = await asyncio.gather(*map(self._query, addresses))
        self._answers = dict(zip(addresses, answers, strict=True))
        received = [answer for answer in answers if answer is not None]
        for answer in received:
            self.add_addresses(info.address for info in answer.members.members)
        return received

    async def _query(self, address: str) -> wire.IdentityResponse | None:
        request = wire.IdentityRequest(
            sender=self._own_info.member,
            candidate=self._own_info,
            is_first_start=self._discovery.first_start,
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
        earlier_seeds = self._list_earlier_seeds()
        if earlier_seeds is None or any(answer.group for answer in answers):
            return None
        now = time.monotonic()
        candidates = self._list_candidates(now)
        unchanged_s = now - self._candidates_changed_at
        wanted_voters = self._discovery.wanted_voters
        if earlier_seeds:
            is_due = may_take_over(
                unchanged_s,
                candidates,
                [
                    info
                    for info in candidates
                    if not self._candidates.is_initial(info)
                ],
                earlier_seeds,
                wanted_voters,
            )
        else:
            is_due = should_found_group(
                now - self._started_at, unchanged_s, candidates, wanted_voters
            )
        if not is_due:
            return None
        _log.info(
            telemetry.format_event(
                'group_founded',
                group=new_group_id,
                members=','.join(info.member for info in candidates),
                after_loss_of=','.join(earlier_seeds),
            )
        )
        return wire.Founding(
            group=new_group_id, members=wire.GroupMembers(candidates)
        )

    def _list_candidates(self, now: float) -> list[wire.MemberInfo]:
        """Return the candidates, and note when they change."""
        self._candidates.add(now, self._own_info, is_first_start=True)
        candidates = self._candidates.list_recent(now)
        members = [info.member for info in candidates]
        if members != self._last_candidates:
            self._last_candidates = members
            self._candidates_changed_at = now
        return candidates
