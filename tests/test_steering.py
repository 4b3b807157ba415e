"""Tests of shifts, queue, retries, suspects, routes and look-ups."""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from fulmarseam import errors
from fulmarseam import steering
from fulmarseam import wire


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
    """Guards against more moved traffic than the cap allows."""

    def test_moved_share_meets_the_percent(self) -> None:
        book = steering.ShiftLimiter('a')
        book.update([make_shift(20.0)])
        moved = 0
        for _ in range(1_000):
            book.count_arrival('p')
            if book.get_preferred_region('p') == 'b':
                moved += book.try_acquire('p', 'b')
        self.assertEqual(200, moved)

    def test_spill_over_takes_credit_too(self) -> None:
        book = steering.ShiftLimiter('a')
        book.update([make_shift(20.0)])
        self.assertEqual({'b'}, book.list_blocked_regions('p'))
        self.assertFalse(book.try_acquire('p', 'b'))
        self.assertTrue(book.try_acquire('p', 'c'))
        self.assertEqual(frozenset(), book.list_blocked_regions('q'))

    def test_credit_is_bounded(self) -> None:
        book = steering.ShiftLimiter('a')
        book.update([make_shift(50.0)])
        for _ in range(1_000):
            book.count_arrival('p')
        self.assertEqual(
            10, sum(book.try_acquire('p', 'b') for _ in range(20))
        )

    def test_refund_gives_one_placement_back(self) -> None:
        book = steering.ShiftLimiter('a')
        book.update([make_shift(50.0)])
        book.count_arrival('p')
        book.count_arrival('p')
        self.assertTrue(book.try_acquire('p', 'b'))
        book.refund('p', 'b')
        self.assertTrue(book.try_acquire('p', 'b'))
        self.assertFalse(book.try_acquire('p', 'b'))

    def test_change_of_other_rows_keeps_the_credit(self) -> None:
        book = steering.ShiftLimiter('a')
        book.update([make_shift(50.0)])
        book.count_arrival('p')
        book.update([make_shift(50.0), make_shift(10.0, name='t', pool='q')])
        book.count_arrival('p')
        self.assertEqual('b', book.get_preferred_region('p'))

    def test_only_shifts_in_force_from_the_own_region_bind(self) -> None:
        book = steering.ShiftLimiter('a')
        for shift in (
            make_shift(20.0, wire.ShiftState.PLANNED),
            make_shift(20.0, wire.ShiftState.DONE),
            make_shift(20.0, from_region='c'),
        ):
            book.update([shift])
            self.assertEqual(frozenset(), book.list_blocked_regions('p'))
            self.assertTrue(book.try_acquire('p', 'b'))
        book.update([make_shift(20.0, wire.ShiftState.HELD)])
        self.assertEqual({'b'}, book.list_blocked_regions('p'))

    def test_percent_above_the_cap_counts_as_the_cap(self) -> None:
        book = steering.ShiftLimiter('a')
        book.update([make_shift(100.0, cap_percent=10.0)])
        for _ in range(19):
            book.count_arrival('p')
        self.assertTrue(book.try_acquire('p', 'b'))
        self.assertFalse(book.try_acquire('p', 'b'))


class ShiftMachine(stateful.RuleBasedStateMachine):
    """Several entries, updates in any order, refunds and ramps."""

    def __init__(self) -> None:
        super().__init__()
        self.books = [steering.ShiftLimiter('a') for _ in range(3)]
        self.percents = [0.0, 0.0, 0.0]
        self.allowed = 0.0
        self.moved = 0
        self.taken = [0, 0, 0]

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
        self.books[entry].update([make_shift(percent, state)])
        self.percents[entry] = percent

    @stateful.rule(
        entry=strategies.integers(0, 2), count=strategies.integers(1, 60)
    )
    def arrive(self, entry: int, count: int) -> None:
        for _ in range(count):
            self.books[entry].count_arrival('p')
            self.allowed += self.percents[entry] / 100.0
            if self.books[entry].get_preferred_region('p') and count % 3:
                self.place(entry)

    @stateful.rule(entry=strategies.integers(0, 2))
    def spill(self, entry: int) -> None:
        if self.percents[entry]:
            self.place(entry)

    def place(self, entry: int) -> None:
        if self.books[entry].try_acquire('p', 'b'):
            self.moved += 1
            self.taken[entry] += 1

    @stateful.rule(entry=strategies.integers(0, 2))
    def refund(self, entry: int) -> None:
        if self.taken[entry]:
            self.books[entry].refund('p', 'b')
            self.taken[entry] -= 1
            self.moved -= 1

    @stateful.rule(entry=strategies.integers(0, 2))
    def restart(self, entry: int) -> None:
        self.books[entry] = steering.ShiftLimiter('a')
        self.books[entry].update([make_shift(self.percents[entry])])
        self.taken[entry] = 0

    @stateful.invariant()
    def stays_below_the_cap(self) -> None:
        assert self.moved <= self.allowed + 1e-6


ShiftMachineTest = ShiftMachine.TestCase
ShiftMachineTest.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=30
)


class QueueTest(unittest.TestCase):
    """Guards against unbounded, unfair and hopeless waiting."""

    def setUp(self) -> None:
        self.queue: steering.RequestQueue[str] = steering.RequestQueue(3)

    def push(
        self, item: str, priority: int, deadline: float
    ) -> steering.Admission[str]:
        return self.queue.push(0.0, item, priority, deadline, 0.1)

    def drain(self) -> list[str]:
        items = []
        while (ticket := self.queue.pop()) is not None:
            items.append(ticket.item)
        return items

    def test_order_is_priority_then_deadline(self) -> None:
        self.push('late', 0, 9.0)
        self.push('low', 1, 1.0)
        self.push('early', 0, 5.0)
        self.assertEqual(['early', 'late', 'low'], self.drain())

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
        self.assertEqual(['d', 'a', 'c'], self.drain())

    def test_cancelled_request_is_not_served(self) -> None:
        ticket = self.push('a', 0, 5.0).ticket
        assert ticket is not None
        self.push('b', 0, 6.0)
        self.assertTrue(self.queue.cancel(ticket))
        self.assertFalse(self.queue.cancel(ticket))
        self.assertEqual(['b'], self.drain())

    def test_waiting_requests_become_late(self) -> None:
        self.push('a', 0, 1.0)
        self.push('b', 1, 5.0)
        late = self.queue.remove_late(0.95, 0.1)
        self.assertEqual(['a'], [ticket.item for ticket in late])
        next_ticket = self.queue.peek()
        assert next_ticket is not None
        self.assertEqual('b', next_ticket.item)
        self.assertEqual(['b'], self.drain())

    def test_many_cancelled_requests_take_no_memory(self) -> None:
        queue: steering.RequestQueue[int] = steering.RequestQueue(10)
        for number in range(1_000):
            ticket = queue.push(0.0, number, 0, 9.0, 0.0).ticket
            assert ticket is not None
            queue.cancel(ticket)
        self.assertLess(len(queue._heap), 50)


class RetryBudgetTest(unittest.TestCase):
    """Guards against retries that multiply the load."""

    def test_retries_stay_within_the_ratio(self) -> None:
        budget = steering.RetryBudget(0.1)
        retries = 0
        for _ in range(1_000):
            budget.count_request()
            retries += budget.try_acquire()
        self.assertLessEqual(retries, 101)
        self.assertGreater(retries, 95)

    def test_a_quiet_time_saves_only_a_few(self) -> None:
        budget = steering.RetryBudget(0.1)
        for _ in range(10_000):
            budget.count_request()
        self.assertEqual(10, sum(budget.try_acquire() for _ in range(100)))


class SuspectTest(unittest.TestCase):
    """Guards against a request that crashes target after target."""

    def setUp(self) -> None:
        self.table = steering.SuspectTable()

    def strike(self, now: float, name: str, target: str) -> object:
        return self.table.strike(now, steering.Strike(name, target))

    def test_two_targets_quarantine_for_ten_minutes(self) -> None:
        state = steering.SuspectState
        self.assertIs(state.CLEAR, self.table.get_state(0.0, 'f'))
        self.assertIs(state.SUSPECT, self.strike(0.0, 'f', 't1'))
        self.assertIs(state.SUSPECT, self.strike(1.0, 'f', 't1'))
        self.assertIs(state.QUARANTINED, self.strike(2.0, 'f', 't2'))
        self.assertFalse(self.table.try_start(3.0, 'f', 't3'))
        self.assertIs(state.QUARANTINED, self.table.get_state(601.9, 'f'))
        self.assertIs(state.CLEAR, self.table.get_state(602.0, 'f'))
        self.assertIs(state.SUSPECT, self.strike(603.0, 'f', 't3'))

    def test_repeated_strikes_do_not_extend_the_quarantine(self) -> None:
        self.strike(0.0, 'f', 't1')
        self.strike(0.0, 'f', 't2')
        self.strike(599.0, 'f', 't2')
        self.assertIs(
            steering.SuspectState.CLEAR, self.table.get_state(600.0, 'f')
        )

    def test_strikes_of_peers_count(self) -> None:
        self.strike(0.0, 'f', 't1')
        self.table.merge(0.0, [steering.Strike('f', 't2')] * 2)
        self.assertIs(
            steering.SuspectState.QUARANTINED, self.table.get_state(0.0, 'f')
        )

    def test_one_suspect_at_a_time_runs_on_a_target(self) -> None:
        self.strike(0.0, 'f', 't1')
        self.strike(0.0, 'g', 't1')
        self.assertTrue(self.table.try_start(1.0, 'f', 't2'))
        self.assertEqual({'t2'}, self.table.list_occupied_targets())
        self.assertFalse(self.table.try_start(1.0, 'g', 't2'))
        self.assertTrue(self.table.try_start(1.0, 'g', 't3'))
        self.assertTrue(self.table.try_start(1.0, 'clear', 't2'))
        self.table.finish('clear', 't2')
        self.assertFalse(self.table.try_start(1.0, 'g', 't2'))
        self.table.finish('f', 't2')
        self.assertTrue(self.table.try_start(1.0, 'g', 't2'))

    def test_full_answer_clears_the_strikes(self) -> None:
        self.strike(0.0, 'f', 't1')
        self.assertTrue(self.table.clear('f'))
        self.assertFalse(self.table.clear('f'))
        self.assertIs(
            steering.SuspectState.SUSPECT, self.strike(1.0, 'f', 't2')
        )

    def test_table_is_bounded(self) -> None:
        for number in range(10_100):
            self.strike(0.0, f'f{number}', 't1')
        self.assertEqual(10_000, len(self.table._suspects))
        self.table.expire(600.0)
        self.assertEqual(0, len(self.table._suspects))

    def test_fingerprint_tells_requests_apart(self) -> None:
        make = steering.compute_fingerprint
        base = make(None, 'GET', 'h', '/p', b'body')
        self.assertEqual(base, make(None, 'GET', 'h', '/p', b'body'))
        for other in (
            make(None, 'PUT', 'h', '/p', b'body'),
            make(None, 'GET', 'h/', 'p', b'body'),
            make(None, 'GET', 'h', '/p', b'bodz'),
            make('key', 'GET', 'h', '/p', b'body'),
        ):
            self.assertNotEqual(base, other)
        self.assertEqual(
            make('key', 'GET', 'h', '/p', b'1'),
            make('key', 'PUT', 'i', '/q', b'2'),
        )
        long = b'x' * 16_384
        self.assertEqual(
            make(None, 'GET', 'h', '/', long + b'1'),
            make(None, 'GET', 'h', '/', long + b'2'),
        )


class RouteTest(unittest.TestCase):
    """Guards against a request that goes to the wrong pool."""

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

    def test_refusals_tell_the_reason(self) -> None:
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
    """Guards against look-up answers that send callers astray."""

    def make_rows(self) -> list[wire.EntryRow]:
        places = ['a1', 'a1', 'a2', 'b1', 'b2', 'c1', 'a2']
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
            for number, domain in enumerate(places)
        ]

    def test_own_region_comes_first_in_alternating_domains(self) -> None:
        firsts = set()
        for caller in range(50):
            infos = steering.order_entries(
                self.make_rows(), 'a', f'10.0.0.{caller}'
            )
            names = [info.entry for info in infos]
            self.assertEqual({'e0', 'e1', 'e2'}, set(names[:3]))
            self.assertEqual({'e3', 'e4'}, set(names[3:]))
            domains = [info.failure_domain for info in infos[:2]]
            self.assertEqual({'a1', 'a2'}, set(domains))
            firsts.add(names[0])
        self.assertEqual({'e0', 'e1', 'e2'}, firsts)

    def test_drained_entries_are_left_out(self) -> None:
        infos = steering.order_entries(self.make_rows(), 'a', '', ['e2'])
        self.assertNotIn('e2', [info.entry for info in infos])

    def test_order_is_the_same_for_the_same_caller(self) -> None:
        rows = self.make_rows()
        self.assertEqual(
            steering.order_entries(rows, 'a', 'x'),
            steering.order_entries(rows[::-1], 'a', 'x'),
        )
