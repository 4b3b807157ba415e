"""Look-up answers: which entries a caller should use."""

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

# Callers of a region are spread over this many orders of equal entries.
CALLER_GROUPS = 64


class Lookups:
    """Makes look-up answers and keeps them until something changes."""

    def __init__(
        self, options: settings.EntrySettings, state: _state.SharedState
    ) -> None:
        self._options = options
        self._state = state
        self._kept: dict[tuple[ids.RegionName, int], http.OwnAnswer] = {}
        self._max_age = b'max-age=%d' % (options.lookup_ttl_ms // 1_000)

    def forget(self) -> None:
        """Drop the kept answers, after a change of entries or tables."""
        self._kept.clear()

    def find_region(self, region: str | None, address: str) -> ids.RegionName:
        """Return the region of a caller: as named, else by its address.

        Raises `errors.FulmarseamError` for an address that is not valid.
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
        self, region: str | None, address: str, known_tag: bytes | None
    ) -> http.OwnAnswer:
        """Return the answer for a caller.

        `known_tag` is the tag of the answer that the caller still has.
        """
        home = self.find_region(region, address)
        group = zlib.crc32(address.encode()) % CALLER_GROUPS
        answer = self._kept.get((home, group))
        if answer is None:
            answer = self._make(home, group)
            self._kept[home, group] = answer
        if known_tag is not None and known_tag == answer.headers[1][1]:
            return http.OwnAnswer(304, answer.headers, b'')
        return answer

    def _make(self, region: ids.RegionName, group: int) -> http.OwnAnswer:
        entries = steering.order_entries(
            self._state.entries.values(),
            region,
            str(group),
            self._state.drained_entries(),
        )
        content = {
            'region': region,
            'ttl_ms': self._options.lookup_ttl_ms,
            'entries': [_describe(info) for info in entries],
            'record_home': self._find_record_home(region),
        }
        body = json.dumps(content, separators=(',', ':')).encode()
        tag = b'"%08x"' % zlib.crc32(body)
        return http.OwnAnswer(
            200,
            [
                (b'cache-control', self._max_age),
                (b'etag', tag),
                (b'content-type', b'application/json'),
            ],
            body,
        )

    def _find_record_home(
        self, region: ids.RegionName
    ) -> dict[str, Any] | None:
        """Return the record group whose keys callers of a region use."""
        group = self._state.tables.get(wire.RecordGroup, region)
        if group is None:
            group = next(self._state.tables.rows(wire.RecordGroup), None)
        if group is None:
            return None
        return {'home': group.name, 'generation': group.generation}


def _describe(info: wire.EntryInfo) -> dict[str, str]:
    return {
        'entry': info.entry,
        'address': info.listen,
        'api': info.api,
        'region': info.region,
        'failure_domain': info.failure_domain,
    }
