"""What most likely cost a request its time, told from its log line."""

from collections.abc import Collection
from collections.abc import Mapping

from fulmarseam import errors

# Entries that must have ejected a target before it counts as the cause; a
# single one may have lost its own link.
MIN_EJECTING_ENTRIES = 2
# A queue at a target that is worth a mention, in rounds of its slots.
MIN_QUEUE_ROUNDS = 0.2
# Knowledge about a target that is older than this says little about its load.
MAX_AGE_S = 1.0

_SLOW_OUTCOMES = frozenset(
    {
        errors.ErrorKind.TARGET_TIMEOUT.value,
        errors.ErrorKind.CALLER_GONE.value,
    }
)


def find_likely_cause(
    fields: Mapping[str, str], ejecting: Collection[str]
) -> str:
    """Return a sentence on what most likely delayed or failed a request.

    `fields` are those of its `request_ended` line, and `ejecting` are the
    entries that ejected its last target around that time. The sentence is
    empty if the outcome speaks for itself.
    """
    outcome = fields.get('outcome', '')
    if len(ejecting) >= MIN_EJECTING_ENTRIES:
        return (
            'Most likely the target was down or cut off: '
            f'{len(ejecting)} entries ejected it.'
        )
    if outcome not in _SLOW_OUTCOMES:
        return ''
    last = _read_inputs(fields.get('inputs', '').rpartition(',')[2])
    if not last:
        return ''
    if outcome == errors.ErrorKind.CALLER_GONE.value and (
        _read_number(fields, 'elapsed_s') < _read_number(last, 'expected_s')
    ):
        return 'The caller left before the response was expected.'
    return 'Most likely ' + _explain_slow_run(last, fields) + '.'


def _explain_slow_run(
    inputs: Mapping[str, str], fields: Mapping[str, str]
) -> str:
    queue = _read_number(inputs, 'queue')
    if inputs['kind'] == 'cold':
        return 'the target was slow because it was cold'
    if queue >= MIN_QUEUE_ROUNDS:
        return f'it waited in the queue of the target, {queue:.2f} rounds long'
    if inputs['kind'] == 'other':
        return 'the target, a second choice, did not have the object cached'
    if _read_number(inputs, 'age_s') > MAX_AGE_S:
        return (
            'the target was busier than the entry knew: its knowledge was '
            f'{inputs["age_s"]} s old'
        )
    return (
        'the run took longer than expected: '
        f'{inputs.get("expected_s", "?")} s expected, '
        f'{fields.get("elapsed_s", "?")} s passed. A target that does not '
        'have the object cached, or a slow one, does that'
    )


def _read_inputs(text: str) -> dict[str, str]:
    """Return the inputs of one placement, such as `cold:queue=0.00`."""
    if not text:
        return {}
    kind, *parts = text.split(':')
    inputs = {'kind': kind}
    for part in parts:
        name, _, value = part.partition('=')
        inputs[name] = value
    return inputs


def _read_number(inputs: Mapping[str, str], name: str) -> float:
    try:
        return float(inputs.get(name, '0'))
    except ValueError:
        return 0.0
