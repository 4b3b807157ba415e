"""Lookup answers: which entries a caller should use."""

import json
from typing import Any
import zlib

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import settings
from fulmarseam import steering
from fulmarseam import wire
from fulmarseam.entry import _state

# Callers of a region are hashed by address into this many groups; each group
# gets equally good entries in an order of its own, which spreads the load.
CALLER_GROUPS = 64


class Lookups:
    """Builds lookup answers and caches them until something changes."""

    def __init__(
        self, options: settings.EntrySettings, state: _state.SharedState
    ) -> None:
        self._options = options
        self._state = state
        self._cache: dict[tuple[ids.RegionName, int], http.LocalResponse] = {}
        self._max_age = b'max-age=%d' % (options.lookup_ttl_ms // 1_000)

    def clear_cache(self) -> None:
        """Drop the cached answers, after a change of entries or tables."""
        self._cache.clear()

    def find_region(self, region: str | None, address: str) -> ids.RegionName:
        """Return the given region, or the region of the caller's address.

        Raises `errors.FulmarseamError` for an invalid address.
        """
        if region is not None:
            return ids.RegionName(region)
        try:
            found = self._state.tables.find_region(address)
        except ValueError:
            raise errors.FulmarseamError(
                errors.ErrorKind.MALFORMED_REQUEST,
                f'address: found {address!r}, expected an IP address',
            ) from None
        return found or self._options.region

    def answer(
        self, region: str | None, address: str, if_none_match: bytes | None
    ) -> http.LocalResponse:
        """Return the answer for a caller.

        `if_none_match` is the entity tag that the caller has cached.
        """
        caller_region = self.find_region(region, address)
        caller_group = zlib.crc32(address.encode()) % CALLER_GROUPS
        answer = self._cache.get((caller_region, caller_group))
        if answer is None:
            answer = self._make_answer(caller_region, caller_group)
            self._cache[caller_region, caller_group] = answer
        if if_none_match is not None and if_none_match == answer.headers[1][1]:
            return http.LocalResponse(304, answer.headers, b'')
        return answer

    def _make_answer(
        self, region: ids.RegionName, caller_group: int
    ) -> http.LocalResponse:
        entries = steering.order_entries(
            self._state.entries.values(),
            region,
            str(caller_group),
            self._state.find_drained_entries(),
        )
        content = {
            'region': region,
            'ttl_ms': self._options.lookup_ttl_ms,
            'entries': [_describe_entry(info) for info in entries],
            'record_home': self._find_record_home(region),
        }
        body = json.dumps(content, separators=(',', ':')).encode()
        etag = b'"%08x"' % zlib.crc32(body)
        return http.LocalResponse(
            200,
            [
                (b'cache-control', self._max_age),
                (b'etag', etag),
                (b'content-type', b'application/json'),
            ],
            body,
        )

    def _find_record_home(
        self, region: ids.RegionName
    ) -> dict[str, Any] | None:
        """Return the record group for new request ids of a region's callers.

        Without a group of that region any other group is used.
        """
        group = self._state.tables.get(wire.RecordGroup, region)
        if group is None:
            group = next(self._state.tables.rows(wire.RecordGroup), None)
        if group is None:
            return None
        return {'home': group.name, 'generation': group.generation}


def _describe_entry(info: wire.EntryInfo) -> dict[str, str]:
    return {
        'entry': info.entry,
        'address': info.listen,
        'api': info.api,
        'region': info.region,
        'failure_domain': info.failure_domain,
    }
