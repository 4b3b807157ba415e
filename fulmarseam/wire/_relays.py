"""Messages about entries that take requests of other entries."""

import msgspec

from fulmarseam import ids


class EntryAddress(msgspec.Struct, frozen=True, array_like=True):
    """Where an entry takes requests, and its region."""

    address: str
    region: ids.RegionName


class RelayRequest(
    msgspec.Struct, tag='relay_request', frozen=True, kw_only=True
):
    """Asks for entries that reach the targets, for the entry `entry`."""

    entry: ids.EntryId
    region: ids.RegionName


class RelayResponse(
    msgspec.Struct, tag='relay_response', frozen=True, kw_only=True
):
    """The response to a `RelayRequest`."""

    entries: list[EntryAddress]


RelayMessage = RelayRequest | RelayResponse
