"""Founding and joining of a group whose members nobody lists.

Every new member presents itself to the seeds and to the members that it
learns of. The member at the first seed founds the group, once, at the first
start of the system; everyone else is named by the founding or added by the
leader.
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

# How often a member without a group presents itself.
ASK_INTERVAL_S = 0.1
ASK_TIMEOUT_S = 0.5
# The founder waits this long for members beyond the wanted number, which
# start within 0.3 s of each other.
SETTLE_S = 0.6
# The founder stops to wait for the wanted number after this time, since
# traffic starts 10 s after the hosts.
FOUNDING_WAIT_S = 4.0
# A candidate that has not asked for this long has gone or was let in.
CANDIDATE_LIFE_S = 1.0

_log = logbook.Logger('consensus')


class Candidates:
    """New members that asked to be let in; times in seconds.

    A host has one candidate: the identity that asked last is the one whose
    directory the host has now.
    """

    def __init__(self) -> None:
        self._seen: dict[ids.HostId, tuple[float, wire.MemberInfo]] = {}

    def note(self, now: float, info: wire.MemberInfo) -> None:
        """Record that a candidate has asked."""
        self._seen[info.host] = (now, info)

    def list_live(self, now: float) -> list[wire.MemberInfo]:
        """Return the candidates that asked lately, by host."""
        for host, (seen_at, _) in list(self._seen.items()):
            if now - seen_at > CANDIDATE_LIFE_S:
                del self._seen[host]
        return [info for _, (_, info) in sorted(self._seen.items())]


def decide_founding(
    waited_s: float,
    newest_age_s: float,
    candidates: list[wire.MemberInfo],
    wanted_voters: int,
) -> bool:
    """Return whether the founder has the members to found a group with.

    `newest_age_s` is the time since the last new candidate was seen. After
    `FOUNDING_WAIT_S` more than half of the wanted number are enough; the
    others join later.
    """
    if newest_age_s < SETTLE_S:
        return False
    if len(candidates) >= wanted_voters:
        return True
    is_late = waited_s >= FOUNDING_WAIT_S
    return is_late and 2 * len(candidates) > wanted_voters


class Finder:
    """Looks for the group of a new member.

    `find` returns when the group is known: with a founding that names the
    member, or, for a member that the leader is to add, with one without
    members once the group has answered.
    """

    def __init__(
        self,
        discovery: _interface.DiscoverySettings,
        me: wire.MemberInfo,
        candidates: Candidates,
    ) -> None:
        self._discovery = discovery
        self._me = me
        self._candidates = candidates
        self._known: set[str] = set(discovery.seeds)
        self._known.discard(me.address)
        self._started = time.monotonic()
        self._newest_at = self._started
        self._count = 0
        # The group whose leader may add this member.
        self.group = ''

    @property
    def may_found(self) -> bool:
        """Return whether this member founds the group."""
        seeds = self._discovery.seeds
        return self._discovery.first_start and (
            bool(seeds) and seeds[0] == self._me.address
        )

    async def ask_all(self) -> list[wire.IdentityResponse]:
        """Present this member to every known address."""
        answers = await asyncio.gather(
            *(self._ask(address) for address in sorted(self._known))
        )
        found = [answer for answer in answers if answer is not None]
        for answer in found:
            for info in answer.members.members:
                if info.address != self._me.address:
                    self._known.add(info.address)
        return found

    async def _ask(self, address: str) -> wire.IdentityResponse | None:
        request = wire.IdentityRequest(
            sender=self._me.member, candidate=self._me
        )
        with contextlib.suppress(errors.FulmarseamError):
            # An address that does not answer is asked again, which the
            # interval of the questions bounds.
            async with transport.RpcClient(address) as client:
                answer = await client.call(request, ASK_TIMEOUT_S)
            if isinstance(answer, wire.IdentityResponse):
                return answer
        return None

    def find_founding(
        self, answers: list[wire.IdentityResponse]
    ) -> wire.Founding | None:
        """Return the founding that names this member, if one does.

        Otherwise `group` is set as soon as a group has answered.
        """
        for answer in answers:
            founding = answer.founding
            if not answer.group or founding is None:
                continue
            known = _core_members.find_member(
                founding.members, self._me.member
            )
            if known is not None and known.store == self._me.store:
                return founding
            self.group = answer.group
        return None

    def try_to_found(
        self, answers: list[wire.IdentityResponse], new_group: str
    ) -> wire.Founding | None:
        """Return a new group when this member may found one now."""
        if not self.may_found or any(answer.group for answer in answers):
            return None
        now = time.monotonic()
        self._candidates.note(now, self._me)
        candidates = self._candidates.list_live(now)
        if len(candidates) != self._count:
            self._count = len(candidates)
            self._newest_at = now
        if not decide_founding(
            now - self._started,
            now - self._newest_at,
            candidates,
            self._discovery.wanted_voters,
        ):
            return None
        _log.info(
            telemetry.format_event(
                'group_founded',
                group=new_group,
                members=','.join(info.member for info in candidates),
            )
        )
        return wire.Founding(
            group=new_group, members=wire.GroupMembers(candidates)
        )
