"""Tests of shifts, queue, retries, suspects, routes and lookups."""

import time
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import wire

LONG_PATH_SEGMENTS = 8_000
LONG_PATH_SEARCHES = 50
# A search through all segments takes 5 ms or more.
LONG_PATHS_S = 0.1


def make_shift(
    percent: float,
    state: wire.ShiftState = wire.ShiftState.ACTIVE,
    **fields: object,
) -> wire.Shift:
    """Return a shift of pool p from region a to b."""
    values = {
        'name': 's',
        'pool': 'p',
        'from_region': 'a',
        'to_region': 'b',
        'cap_percent': 50.0,
        'start': 0.0,
        'end': 1.0,
    }
    return wire.Shift(**{**values, **fields}, percent=percent, state=state)


class ShiftTest(unittest.TestCase):
    """Guards against moving more traffic than the cap of a shift allows."""

    def test_moved_share_equals_the_percentage(self) -> None:
        limiter = steering.ShiftLimiter('a')
        limiter.update([make_shift(20.0)])
        moved_count = 0
        for _ in range(1_000):
            limiter.count_arrival('p')
            if limiter.get_preferred_region('p') == 'b':
                moved_count += limiter.try_acquire('p', 'b')
        self.assertEqual(200, moved_count)

    def test_spillover_costs_credit_too(self) -> None:
        limiter = steering.ShiftLimiter('a')
        limiter.update([make_shift(20.0)])
        self.assertEqual({'b'}, limiter.list_blocked_regions('p'))
        self.assertFalse(limiter.try_acquire('p', 'b'))
        self.assertTrue(limiter.try_acquire('p', 'c'))
        self.assertEqual(frozenset(), limiter.list_blocked_regions('q'))

    def test_credit_is_bounded(self) -> None:
        limiter = steering.ShiftLimiter('a')
        limiter.update([make_shift(50.0)])
        for _ in range(1_000):
            limiter.count_arrival('p')
        self.assertEqual(
            10, sum(limiter.try_acquire('p', 'b') for _ in range(20))
        )

    def test_refund_allows_one_more_placement(self) -> None:
        limiter = steering.ShiftLimiter('a')
        limiter.update([make_shift(50.0)])
        limiter.count_arrival('p')
        limiter.count_arrival('p')
        self.assertTrue(limiter.try_acquire('p', 'b'))
        limiter.refund('p', 'b')
        self.assertTrue(limiter.try_acquire('p', 'b'))
        self.assertFalse(limiter.try_acquire('p', 'b'))

    def test_change_of_other_rows_keeps_the_credit(self) -> None:
        limiter = steering.ShiftLimiter('a')
        limiter.update([make_shift(50.0)])
        limiter.count_arrival('p')
        limiter.update(
            [make_shift(50.0), make_shift(10.0, name='t', pool='q')]
        )
        limiter.count_arrival('p')
        self.assertEqual('b', limiter.get_preferred_region('p'))

    def test_only_shifts_in_force_from_the_own_region_apply(self) -> None:
        limiter = steering.ShiftLimiter('a')
        for shift in (
            make_shift(20.0, wire.ShiftState.PLANNED),
            make_shift(20.0, wire.ShiftState.DONE),
            make_shift(20.0, from_region='c'),
        ):
            limiter.update([shift])
            self.assertEqual(frozenset(), limiter.list_blocked_regions('p'))
            self.assertTrue(limiter.try_acquire('p', 'b'))
        limiter.update([make_shift(20.0, wire.ShiftState.HELD)])
        self.assertEqual({'b'}, limiter.list_blocked_regions('p'))

    def test_percent_above_the_cap_counts_as_the_cap(self) -> None:
        limiter = steering.ShiftLimiter('a')
        limiter.update([make_shift(100.0, cap_percent=10.0)])
        for _ in range(19):
            limiter.count_arrival('p')
        self.assertTrue(limiter.try_acquire('p', 'b'))
        self.assertFalse(limiter.try_acquire('p', 'b'))


class ShiftMachine(stateful.RuleBasedStateMachine):
    """Random arrivals, updates, placements, refunds and restarts."""

    def __init__(self) -> None:
        super().__init__()
        self.limiters = [steering.ShiftLimiter('a') for _ in range(3)]
        self.percents = [0.0, 0.0, 0.0]
        self.allowed_moves = 0.0
        self.moved_count = 0
        self.placed_counts = [0, 0, 0]

    @stateful.rule(
        entry=strategies.integers(0, 2),
        percent=strategies.sampled_from([0.0, 5.0, 33.0, 50.0]),
        state=strategies.sampled_from(
            [wire.ShiftState.ACTIVE, wire.ShiftState.HELD]
        ),
    )
    def update(
        self, entry: int, percent: float, state: wire.ShiftState
    ) -> None:
        self.limiters[entry].update([make_shift(percent, state)])
        self.percents[entry] = percent

    @stateful.rule(
        entry=strategies.integers(0, 2), count=strategies.integers(1, 60)
    )
    def arrive(self, entry: int, count: int) -> None:
        for _ in range(count):
            self.limiters[entry].count_arrival('p')
            self.allowed_moves += self.percents[entry] / 100.0
            if self.limiters[entry].get_preferred_region('p') and count % 3:
                self.place(entry)

    @stateful.rule(entry=strategies.integers(0, 2))
    def spill_over(self, entry: int) -> None:
        if self.percents[entry]:
            self.place(entry)

    def place(self, entry: int) -> None:
        if self.limiters[entry].try_acquire('p', 'b'):
            self.moved_count += 1
            self.placed_counts[entry] += 1

    @stateful.rule(entry=strategies.integers(0, 2))
    def refund(self, entry: int) -> None:
        if self.placed_counts[entry]:
            self.limiters[entry].refund('p', 'b')
            self.placed_counts[entry] -= 1
            self.moved_count -= 1

    @stateful.rule(entry=strategies.integers(0, 2))
    def restart(self, entry: int) -> None:
        self.limiters[entry] = steering.ShiftLimiter('a')
        self.limiters[entry].update([make_shift(self.percents[entry])])
        self.placed_counts[entry] = 0

    @stateful.invariant()
    def check_cap(self) -> None:
        assert self.moved_count <= self.allowed_moves + 1e-6


ShiftMachineTest = ShiftMachine.TestCase
ShiftMachineTest.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=30
)


class QueueTest(unittest.TestCase):
    """Guards against an unbounded queue, wrong order and missed deadlines."""

    def setUp(self) -> None:
        self.queue: steering.RequestQueue[str] = steering.RequestQueue(3)

    def push(
        self, item: str, priority: int, deadline: float
    ) -> steering.Admission[str]:
        return self.queue.push(0.0, item, priority, deadline, 0.1)

    def pop_all(self) -> list[str]:
        items = []
        while (ticket := self.queue.pop()) is not None:
            items.append(ticket.item)
        return items

    def test_order_is_priority_then_deadline(self) -> None:
        self.push('late', 0, 9.0)
        self.push('low', 1, 1.0)
        self.push('early', 0, 5.0)
        self.assertEqual(['early', 'late', 'low'], self.pop_all())

    def test_request_that_cannot_finish_is_refused(self) -> None:
        refused = self.push('x', 0, 0.05)
        self.assertIs(errors.ErrorKind.DEADLINE_UNREACHABLE, refused.kind)
        self.assertEqual(0, len(self.queue))

    def test_full_queue_refuses_equal_priority(self) -> None:
        for name in 'abc':
            self.push(name, 1, 5.0)
        refused = self.push('d', 1, 1.0)
        self.assertIs(errors.ErrorKind.QUEUE_FULL, refused.kind)
        self.assertEqual(3, len(self.queue))

    def test_higher_priority_replaces_the_last(self) -> None:
        for name, deadline in (('a', 5.0), ('b', 7.0), ('c', 6.0)):
            self.push(name, 1, deadline)
        admitted = self.push('d', 0, 9.0)
        assert admitted.evicted is not None
        self.assertEqual('b', admitted.evicted.item)
        self.assertEqual(['d', 'a', 'c'], self.pop_all())

    def test_cancelled_request_is_not_served(self) -> None:
        ticket = self.push('a', 0, 5.0).ticket
        assert ticket is not None
        self.push('b', 0, 6.0)
        self.assertTrue(self.queue.cancel(ticket))
        self.assertFalse(self.queue.cancel(ticket))
        self.assertEqual(['b'], self.pop_all())

    def test_late_requests_are_removed(self) -> None:
        self.push('a', 0, 1.0)
        self.push('b', 1, 5.0)
        late = self.queue.remove_late(0.95, 0.1)
        self.assertEqual(['a'], [ticket.item for ticket in late])
        next_ticket = self.queue.peek()
        assert next_ticket is not None
        self.assertEqual('b', next_ticket.item)
        self.assertEqual(['b'], self.pop_all())

    def test_many_cancelled_requests_take_no_memory(self) -> None:
        queue: steering.RequestQueue[int] = steering.RequestQueue(10)
        for number in range(1_000):
            ticket = queue.push(0.0, number, 0, 9.0, 0.0).ticket
            assert ticket is not None
            queue.cancel(ticket)
        self.assertLess(len(queue._heap), 50)


class RetryBudgetTest(unittest.TestCase):
    """Guards against retries that multiply the load on targets."""

    def test_retries_stay_within_the_ratio(self) -> None:
        budget = steering.RetryBudget(0.1)
        retries = 0
        for _ in range(1_000):
            budget.count_request()
            retries += budget.try_acquire()
        self.assertLessEqual(retries, 101)
        self.assertGreater(retries, 95)

    def test_idle_time_saves_up_only_a_few_retries(self) -> None:
        budget = steering.RetryBudget(0.1)
        for _ in range(10_000):
            budget.count_request()
        self.assertEqual(10, sum(budget.try_acquire() for _ in range(100)))


class SuspectTest(unittest.TestCase):
    """Guards against a request that crashes one target after another."""

    def setUp(self) -> None:
        self.table = steering.SuspectTable()

    def strike(
        self, now: float, name: bytes, target: str, was_trial: bool = False
    ) -> None:
        self.table.strike(
            now, wire.Strike(name, ids.TargetId(target), was_trial)
        )

    def test_a_failed_trial_quarantines_for_longer_each_time(self) -> None:
        self.assertFalse(self.table.is_suspect(0.0, b'f'))
        self.strike(0.0, b'f', 't1')
        self.assertTrue(self.table.is_suspect(0.0, b'f'))
        now = 1.0
        for delay_s in steering.TRIAL_DELAYS_S[1:]:
            permission = self.table.start_trial(now, b'f', 5.0)
            self.assertEqual((0.0, False), permission)
            self.strike(now + 0.1, b'f', f't{now}', was_trial=True)
            permission = self.table.start_trial(now + 0.2, b'f', 5.0)
            self.assertAlmostEqual(delay_s - 0.1, permission.wait_s)
            self.assertFalse(permission.is_running)
            now += 0.1 + delay_s

    def test_a_suspect_is_forgotten_some_time_after_its_next_trial(
        self,
    ) -> None:
        self.strike(0.0, b'f', 't1')
        self.strike(1.0, b'f', 't2', was_trial=True)
        self.assertTrue(self.table.is_suspect(620.9, b'f'))
        self.assertFalse(self.table.is_suspect(621.0, b'f'))

    def test_repeated_strikes_change_nothing(self) -> None:
        self.strike(0.0, b'f', 't1')
        self.strike(0.0, b'f', 't2', was_trial=True)
        version = self.table.version
        self.strike(19.0, b'f', 't2', was_trial=True)
        self.assertEqual(version, self.table.version)
        self.assertEqual(0.0, self.table.check_trial(20.0, b'f').wait_s)

    def test_one_trial_of_a_request_runs_at_a_time(self) -> None:
        self.strike(0.0, b'f', 't1')
        self.assertEqual(0.0, self.table.start_trial(1.0, b'f', 2.0).wait_s)
        self.assertEqual((1.5, True), self.table.start_trial(1.5, b'f', 2.0))
        self.assertEqual(0.0, self.table.start_trial(1.5, b'g', 2.0).wait_s)
        self.table.end_trial(b'f')
        self.assertEqual(0.0, self.table.start_trial(1.6, b'f', 2.0).wait_s)
        self.assertEqual(0.0, self.table.start_trial(3.6, b'f', 2.0).wait_s)

    def test_strikes_of_other_tables_count(self) -> None:
        other = steering.SuspectTable()
        self.strike(0.0, b'f', 't1')
        self.strike(0.0, b'f', 't2', was_trial=True)
        version, rows = self.table.list_changes(5.0, 0, 10)
        other.merge(100.0, rows)
        self.assertEqual(2, rows[0].strikes)
        self.assertEqual(15.0, other.check_trial(100.0, b'f').wait_s)
        self.assertEqual((version, []), self.table.list_changes(5.0, 2, 10))
        other.merge(100.0, rows)
        self.assertEqual(1, other.version)

    def test_changes_come_in_parts(self) -> None:
        other = steering.SuspectTable()
        for number in range(25):
            self.strike(0.0, b'f%d' % number, 't1')
            self.strike(0.0, b'f%d' % number, 't2')
        version = 0
        for count in (10, 10, 5):
            version, rows = self.table.list_changes(0.0, version, 10)
            self.assertEqual(count, len(rows))
            other.merge(0.0, rows)
        self.assertEqual(50, version)
        self.assertEqual(25, other.count())

    def test_single_strikes_give_way_to_others(self) -> None:
        """Guards against a lethal request that is told of too late."""
        for number in range(300):
            self.strike(0.0, b'f%d' % number, 't1')
            if number == 100:
                self.strike(0.0, b'lethal', 't1')
                self.strike(0.0, b'lethal', 't2', was_trial=True)
        version, rows = self.table.list_changes(0.0, 0, 6)
        self.assertEqual(6, len(rows))
        self.assertIn(b'lethal', [row.fingerprint for row in rows])
        self.assertEqual(self.table.version, version)

    def test_complete_response_clears_the_strikes(self) -> None:
        other = steering.SuspectTable()
        self.strike(0.0, b'f', 't1')
        other.merge(0.0, self.table.list_rows(0.0))
        self.assertTrue(self.table.clear(0.0, b'f'))
        self.assertFalse(self.table.clear(0.0, b'f'))
        other.merge(0.0, self.table.list_changes(0.0, 1, 10)[1])
        self.assertFalse(other.is_suspect(0.0, b'f'))
        self.strike(1.0, b'f', 't2', was_trial=True)
        self.assertTrue(self.table.is_suspect(1.0, b'f'))

    def test_a_sound_request_runs_freely_until_its_third_strike(self) -> None:
        self.strike(0.0, b'f', 't1')
        self.strike(0.0, b'f', 't2')
        self.assertTrue(self.table.may_be_sound(0.0, b'f', False))
        self.strike(0.0, b'f', 't3')
        self.assertFalse(self.table.may_be_sound(0.0, b'f', False))
        self.assertTrue(self.table.may_be_sound(0.0, b'f', True))
        self.strike(0.0, b'f', 't4', was_trial=True)
        self.assertFalse(self.table.may_be_sound(0.0, b'f', True))

    def test_table_is_bounded_and_keeps_the_proven_ones(self) -> None:
        self.strike(0.0, b'lethal', 't1')
        self.strike(0.0, b'lethal', 't2', was_trial=True)
        for number in range(1_100):
            self.strike(0.0, b'f%d' % number, 't1')
        self.assertEqual(steering.MAX_SUSPECTS, self.table.count())
        self.assertTrue(self.table.is_suspect(0.0, b'lethal'))
        self.table.expire(700.0)
        self.assertEqual(0, self.table.count())

    def test_fingerprint_distinguishes_requests(self) -> None:
        make = steering.compute_fingerprint
        base = make('GET', 'h', '/p', b'', b'body')
        self.assertEqual(base, make('GET', 'H:80', '/p', b'', b'body'))
        for other in (
            make('PUT', 'h', '/p', b'', b'body'),
            make('GET', 'h/', 'p', b'', b'body'),
            make('GET', 'h', '/p', b'', b'bodz'),
            make('GET', 'h', '/p', b'caller', b'body'),
        ):
            self.assertNotEqual(base, other)
        for address in ('10.0.0.1', '10.0.0.2:80', '[::1]:80'):
            self.assertEqual(
                make('GET', '', '/p', b'', b'body'),
                make('GET', address, '/p', b'', b'body'),
            )
        long = b'x' * 16_384
        self.assertEqual(
            make('GET', 'h', '/', b'', long + b'1'),
            make('GET', 'h', '/', b'', long + b'2'),
        )


class RouteTest(unittest.TestCase):
    """Guards against requests routed to the wrong pool."""

    def setUp(self) -> None:
        rows = [
            ('root', '*', '/', []),
            ('shop', 'Shop.example', '/', []),
            ('cart', 'shop.example', '/cart', ['GET']),
            ('cart-put', 'shop.example', '/cart/', ['PUT']),
            ('item', 'shop.example', '/cart/item', ['GET']),
            ('only', 'only.example', '/a', ['GET', 'PUT']),
        ]
        self.index = steering.compile_routes(
            wire.Route(
                name=name, host=host, path_prefix=prefix, pool='p', methods=m
            )
            for name, host, prefix, m in rows
        )

    def match(self, host: str, path: str, method: str = 'GET') -> str | None:
        route = steering.match_route(self.index, host, path, method).route
        return None if route is None else route.name

    def test_longest_prefix_of_whole_segments_wins(self) -> None:
        for path, name in (
            ('/', 'shop'),
            ('/cart', 'cart'),
            ('/cart/', 'cart'),
            ('/cart/item/7?x=/cart', 'item'),
            ('/cart/items', 'cart'),
            ('/cartoon', 'shop'),
            ('/other?q=/cart', 'shop'),
            ('/cart?q=1', 'cart'),
        ):
            self.assertEqual(name, self.match('shop.example', path), path)

    def test_host_is_compared_without_port_and_case(self) -> None:
        self.assertEqual('cart', self.match('SHOP.example:8080', '/cart'))
        self.assertEqual('root', self.match('[::1]:80', '/cart'))
        self.assertEqual('root', self.match('other', '/x'))

    def test_method_selects_among_prefixes(self) -> None:
        self.assertEqual(
            'cart-put', self.match('shop.example', '/cart', 'PUT')
        )
        self.assertEqual(
            'cart-put', self.match('shop.example', '/cart/item', 'PUT')
        )

    # A search took time with the square of the path.
    def test_long_paths_are_matched_in_little_time(self) -> None:
        long = '/x' * LONG_PATH_SEGMENTS
        started = time.perf_counter()
        for _ in range(LONG_PATH_SEARCHES):
            self.assertEqual(
                'cart', self.match('shop.example', '/cart' + long)
            )
            self.assertEqual('shop', self.match('shop.example', long))
            self.assertEqual('root', self.match('other', long))
            self.assertEqual('root', self.match('only.example', long))
        self.assertLess(time.perf_counter() - started, LONG_PATHS_S)

    def test_a_prefix_that_ends_within_a_long_path(self) -> None:
        for path, name in (
            ('/cart/item/' + 'x' * 99, 'item'),
            ('/cart/items' + 'x' * 99, 'cart'),
            ('/cart/itemx/' + 'x' * 99, 'cart'),
            ('/cart/item', 'item'),
        ):
            self.assertEqual(name, self.match('shop.example', path), path)

    def test_refusal_has_the_error_kind(self) -> None:
        index = steering.compile_routes(
            [
                wire.Route(
                    name='r',
                    host='h',
                    path_prefix='/a',
                    pool='p',
                    methods=['PUT', 'GET'],
                )
            ]
        )
        match = steering.match_route(index, 'h', '/b', 'GET')
        self.assertEqual((None, errors.ErrorKind.NO_ROUTE, ()), match)
        match = steering.match_route(index, 'h', '/a/b', 'POST')
        kind = errors.ErrorKind.METHOD_NOT_ALLOWED
        self.assertEqual((None, kind, ('GET', 'PUT')), match)


class LookupTest(unittest.TestCase):
    """Guards against lookup responses with entries unfit for the caller."""

    def make_rows(self) -> list[wire.EntryRow]:
        entry_domains = ['a1', 'a1', 'a2', 'b1', 'b2', 'c1', 'a2']
        return [
            wire.EntryRow(
                info=wire.EntryInfo(
                    entry=f'e{number}',
                    incarnation=1,
                    region=domain[0],
                    failure_domain=domain,
                    listen='',
                    api='',
                    rpc='',
                ),
                draining=number == 6,
                alive=number != 5,
            )
            for number, domain in enumerate(entry_domains)
        ]

    def test_own_region_comes_first_in_alternating_domains(self) -> None:
        first_entries = set()
        for caller in range(50):
            infos = steering.order_entries(
                self.make_rows(), 'a', f'10.0.0.{caller}'
            )
            names = [info.entry for info in infos]
            self.assertEqual({'e0', 'e1', 'e2'}, set(names[:3]))
            self.assertEqual({'e3', 'e4'}, set(names[3:]))
            domains = [info.failure_domain for info in infos[:2]]
            self.assertEqual({'a1', 'a2'}, set(domains))
            first_entries.add(names[0])
        self.assertEqual({'e0', 'e1', 'e2'}, first_entries)

    def test_drained_entries_are_left_out(self) -> None:
        infos = steering.order_entries(self.make_rows(), 'a', '', ['e2'])
        self.assertNotIn('e2', [info.entry for info in infos])

    def test_order_is_the_same_for_the_same_caller(self) -> None:
        rows = self.make_rows()
        self.assertEqual(
            steering.order_entries(rows, 'a', 'x'),
            steering.order_entries(rows[::-1], 'a', 'x'),
        )
