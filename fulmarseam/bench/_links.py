"""The links between the nodes of a group, through the fault proxy or not."""

from collections.abc import Callable
from collections.abc import Sequence
import json
from typing import Any
from typing import NamedTuple

from fulmarseam import client
from fulmarseam import standin
from fulmarseam.bench import _processes

COMMAND_TIMEOUT_S = 5.0
# Names for the outside ends of links.
CALLERS = 'callers'
ENTRIES = 'entries'
REQUEST_PORT = 'http'


class Link(NamedTuple):
    """One way to dial a node. `source` dials `destination`."""

    name: str
    source: str
    destination: str
    listen: str
    to: str


class Side(NamedTuple):
    """Links and the direction of them that a fault affects."""

    links: Sequence[Link]
    direction: standin.Direction


class Links:
    """All links of a group.

    Without `faulty` each link leads straight to its destination; without
    `proxy_requests` those of callers' requests do.
    """

    def __init__(self, faulty: bool, proxy_requests: bool = True) -> None:
        self.faulty = faulty
        self._proxy_requests = proxy_requests
        self.control = _processes.find_free_address()
        self._links: dict[str, Link] = {}

    def dial(
        self, source: str, destination: str, address: str, port: str = 'rpc'
    ) -> str:
        """Return the address at which `source` reaches a node's address."""
        if not self.faulty:
            return address
        if port == REQUEST_PORT and not self._proxy_requests:
            return address
        name = f'{source}>{destination}:{port}'
        if name not in self._links:
            listen = _processes.find_free_address()
            link = Link(name, source, destination, listen, address)
            self._links[name] = link
        return self._links[name].listen

    def make_proxy_settings(
        self, delay_ms_between: Callable[[str, str], float]
    ) -> dict[str, Any]:
        """Return the settings of the fault proxy."""
        forwards = [
            {
                'name': link.name,
                'listen': link.listen,
                'to': link.to,
                'delay_ms': delay_ms_between(link.source, link.destination),
            }
            for link in self._links.values()
        ]
        return {'control': self.control, 'forwards': forwards}

    def find_sides(
        self,
        is_inside: Callable[[str], bool],
        is_outside: Callable[[str], bool],
        incoming: bool = True,
        outgoing: bool = True,
    ) -> list[Side]:
        """Return the links between two sets of nodes.

        `incoming` and `outgoing` choose the bytes that flow to and from
        the inside.
        """
        inward = [
            link
            for link in self._links.values()
            if is_outside(link.source) and is_inside(link.destination)
        ]
        outward = [
            link
            for link in self._links.values()
            if is_inside(link.source) and is_outside(link.destination)
        ]
        there = (inward if incoming else []) + (outward if outgoing else [])
        back = (inward if outgoing else []) + (outward if incoming else [])
        return [
            Side(there, standin.Direction.THERE),
            Side(back, standin.Direction.BACK),
        ]

    async def command(
        self, action: standin.Action, sides: Sequence[Side], **more: Any
    ) -> None:
        """Apply a fault; raises `client.ExchangeError` on failure."""
        assert self.faulty, 'faults need links through the proxy'
        http_client = client.HttpClient()
        try:
            for side in sides:
                body = {
                    'action': action.value,
                    'links': [link.name for link in side.links],
                    'direction': side.direction.value,
                    **more,
                }
                request = client.Request(
                    'POST', 'proxy', '/', {}, json.dumps(body).encode()
                )
                reply = await http_client.send(
                    self.control, request, COMMAND_TIMEOUT_S
                )
                if reply.status != 200:
                    raise client.ExchangeError(str(reply.body), True, True)
        finally:
            http_client.close()

    async def heal(self, late: bool = True) -> None:
        """End all faults; held bytes arrive late or are dropped."""
        action = standin.Action.HEAL_RESET
        if late:
            action = standin.Action.HEAL_LATE
        everything = Side(list(self._links.values()), standin.Direction.BOTH)
        await self.command(action, [everything])
