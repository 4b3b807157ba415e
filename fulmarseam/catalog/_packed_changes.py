"""Packed changes of a catalog, shared by the entries that ask for the same."""

import collections

from fulmarseam import wire
from fulmarseam.catalog import _machine

# After a restart of all hosts every entry asks for the same few answers, and
# later most entries are at the same revision.
MAX_CACHED_ANSWERS = 16


class PackedChanges:
    """Lists and packs the changes of a catalog, each answer once."""

    def __init__(self, machine: _machine.Catalog) -> None:
        self._machine = machine
        self._answers: collections.OrderedDict[
            tuple[int, int, bool], bytes
        ] = collections.OrderedDict()
        self._revision = 0

    def get(
        self,
        revision: int,
        removals_revision: int,
        has_organisations: bool = False,
    ) -> bytes:
        """Return the packed changes after `revision`; see `list_changes`."""
        if self._machine.revision != self._revision:
            self._answers.clear()
            self._revision = self._machine.revision
        key = (revision, removals_revision, has_organisations)
        packed = self._answers.get(key)
        if packed is None:
            packed = self._answers[key] = wire.pack_changes(
                self._machine.list_changes(
                    revision,
                    removals_revision,
                    _machine.MAX_PACKED_ROWS_PER_ANSWER,
                    has_organisations,
                )
            )
            if len(self._answers) > MAX_CACHED_ANSWERS:
                self._answers.popitem(last=False)
        return packed
