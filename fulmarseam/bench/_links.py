"""The links between the nodes of a cluster, direct or through a proxy."""

from collections.abc import Callable
from collections.abc import Sequence
import json
from typing import Any
from typing import NamedTuple

from fulmarseam import client
from fulmarseam import standin
from fulmarseam.bench import _processes

COMMAND_TIMEOUT_S = 5.0
# Ends of links that are not a single node.
CALLERS = 'callers'
ENTRIES = 'entries'
REQUEST_PORT = 'http'


class Link(NamedTuple):
    """A proxied way from `source` to an address of `destination`.

    The proxy accepts connections at `listen` and forwards them to `to`.
    """

    name: str
    source: str
    destination: str
    listen: str
    to: str


class DirectedLinks(NamedTuple):
    """Links, with the direction in which a fault affects them."""

    links: Sequence[Link]
    direction: standin.Direction


class Links:
    """All links of a cluster.

    Without `faulty` no link passes through the fault proxy. Without
    `proxy_requests` the links of callers' requests bypass it.
    """

    def __init__(self, faulty: bool, proxy_requests: bool = True) -> None:
        self.faulty = faulty
        self._proxy_requests = proxy_requests
        self.proxy_control_address = _processes.find_free_address()
        self._links: dict[str, Link] = {}

    def resolve_address(
        self, source: str, destination: str, address: str, port: str = 'rpc'
    ) -> str:
        """Return the address at which `source` reaches `address`."""
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
        return {'control': self.proxy_control_address, 'forwards': forwards}

    def find_links_between(
        self,
        is_inside: Callable[[str], bool],
        is_outside: Callable[[str], bool],
        incoming: bool = True,
        outgoing: bool = True,
    ) -> list[DirectedLinks]:
        """Return the links between two sets of nodes.

        `incoming` selects the bytes that flow to the inside, `outgoing`
        those that flow from it.
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
            DirectedLinks(there, standin.Direction.UPSTREAM),
            DirectedLinks(back, standin.Direction.DOWNSTREAM),
        ]

    async def send_command(
        self,
        action: standin.Action,
        targeted: Sequence[DirectedLinks],
        **options: Any,
    ) -> None:
        """Apply a fault; raises `client.ExchangeError` on failure."""
        assert self.faulty, 'found a plan without faulty, expected faulty=True'
        http_client = client.HttpClient()
        try:
            for directed in targeted:
                body = {
                    'action': action.value,
                    'links': [link.name for link in directed.links],
                    'direction': directed.direction.value,
                    **options,
                }
                request = client.Request(
                    'POST', 'proxy', '/', {}, json.dumps(body).encode()
                )
                reply = await http_client.send(
                    self.proxy_control_address, request, COMMAND_TIMEOUT_S
                )
                if reply.status != 200:
                    raise client.ExchangeError(str(reply.body), True, True)
        finally:
            http_client.close()

    async def heal(self, late: bool = True) -> None:
        """End all faults.

        Held bytes are delivered, or dropped with their connections reset
        unless `late`.
        """
        action = standin.Action.HEAL_RESET
        if late:
            action = standin.Action.HEAL_LATE
        all_links = DirectedLinks(
            list(self._links.values()), standin.Direction.BOTH
        )
        await self.send_command(action, [all_links])
