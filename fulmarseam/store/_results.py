"""Results of recent edits, kept in the replicated state."""

import msgspec

from fulmarseam import ids
from fulmarseam import wire

MAX_RESULTS = 10_000
MAX_PROBLEMS = 50
MAX_PROBLEM_LENGTH = 300
# Without this limit, refused edits could take 150 MB in every member and
# snapshot.
MAX_PROBLEM_BYTES = 4 * 1024 * 1024


class StoredResult(msgspec.Struct, frozen=True):
    """The result of an edit and a digest of its content."""

    digest: bytes
    result: wire.EditResult


class EditResults:
    """Keeps the results of the last edits by edit id, oldest first.

    The total size of the problems of refused edits is limited; beyond it,
    the oldest refusals keep their kind and revision but lose their problems.
    """

    def __init__(
        self,
        max_results: int = MAX_RESULTS,
        max_problem_bytes: int = MAX_PROBLEM_BYTES,
    ) -> None:
        self._max_results = max_results
        self._max_problem_bytes = max_problem_bytes
        self._results: dict[ids.EditId, StoredResult] = {}
        self._problem_sizes: dict[ids.EditId, int] = {}
        self._problem_bytes = 0

    def find(self, edit_id: ids.EditId) -> StoredResult | None:
        """Return the stored result of an edit id."""
        return self._results.get(edit_id)

    def add(self, digest: bytes, result: wire.EditResult) -> None:
        """Add the result of a new edit and enforce the limits."""
        self._put(StoredResult(digest, result))
        while len(self._results) > self._max_results:
            oldest = next(iter(self._results))
            del self._results[oldest]
            self._problem_bytes -= self._problem_sizes.pop(oldest, 0)
        while self._problem_bytes > self._max_problem_bytes:
            self._drop_problems(next(iter(self._problem_sizes)))

    def dump(self) -> list[StoredResult]:
        """Return all results, oldest first."""
        return list(self._results.values())

    def load(self, stored: list[StoredResult]) -> None:
        """Replace all results."""
        self._results = {}
        self._problem_sizes = {}
        self._problem_bytes = 0
        for stored_result in stored:
            self._put(stored_result)

    def __len__(self) -> int:
        return len(self._results)

    def _put(self, stored_result: StoredResult) -> None:
        edit_id = stored_result.result.edit_id
        self._results[edit_id] = stored_result
        size = sum(len(line) for line in stored_result.result.problems)
        if size:
            self._problem_sizes[edit_id] = size
            self._problem_bytes += size

    def _drop_problems(self, edit_id: ids.EditId) -> None:
        self._problem_bytes -= self._problem_sizes.pop(edit_id)
        stored_result = self._results[edit_id]
        result = msgspec.structs.replace(stored_result.result, problems=[])
        self._results[edit_id] = StoredResult(stored_result.digest, result)


def truncate_problems(problems: list[str]) -> list[str]:
    """Return problems truncated to a size to keep for 10,000 edits."""
    kept = [line[:MAX_PROBLEM_LENGTH] for line in problems[:MAX_PROBLEMS]]
    left = len(problems) - len(kept)
    if left:
        kept.append(f'and {left} more problems')
    return kept
