"""Decisions of the relay that do no I/O."""

import heapq
import math
import random

import msgspec
import pytest

from parsleystile import admission
from parsleystile import errors
from parsleystile import ids
from parsleystile.relay import declaredlimit
from parsleystile.relay import ingress
from parsleystile.relay import memberlist
from parsleystile.relay import memberrow
from parsleystile.relay import policy
from parsleystile.relay import retrybudget
from parsleystile.relay import targetreports

SERVICE = ids.ServiceName('yard')
READY = targetreports.TargetState.READY


def _report(
    target_id='i-1', sequence=1, started_ms=1000, state=READY, **fields
):
    return targetreports.Report(
        ids.TargetId(target_id),
        state,
        started_ms,
        SERVICE,
        sequence=sequence,
        **{'slots': 20, **fields},
    )


class TestRetryBudget:
    def test_retries_stay_below_ratio_plus_slack(self):
        budget = retrybudget.retry_budget(
            retrybudget.Settings(0.1, 28.0, 10_000.0)
        )
        budget.set_node_count(14)
        retries = 0
        for i in range(1000):
            budget.count_first_attempt(SERVICE, i)
            retries += budget.try_acquire(SERVICE, i)
        assert retries == 0.1 * 1000 + 2

    def test_the_budget_holds_in_any_window(self):
        rng = random.Random(5)
        budget = retrybudget.retry_budget(
            retrybudget.Settings(0.1, 10.0, 10_000.0)
        )
        first_times, retry_times = [], []
        now_ms = 0.0
        while now_ms < 40_000.0:
            # The load drops, as when callers give up on a service.
            now_ms += rng.expovariate(0.2 if now_ms < 15_000 else 0.01)
            budget.count_first_attempt(SERVICE, now_ms)
            first_times.append(now_ms)
            if budget.try_acquire(SERVICE, now_ms):
                retry_times.append(now_ms)
        for end in range(0, 40_000, 250):
            # The platform's rule counts first attempts in the busiest of
            # this window and the ones before it.
            first_attempts = sum(end - 20_000 <= t < end for t in first_times)
            retried = sum(end - 10_000 <= t < end for t in retry_times)
            assert retried <= 0.1 * first_attempts + 10 + 1

    def test_each_service_has_its_own_budget(self):
        budget = retrybudget.retry_budget(
            retrybudget.Settings(0.1, 1.0, 10_000.0)
        )
        assert budget.try_acquire(SERVICE, 0.0)
        assert not budget.try_acquire(SERVICE, 0.0)
        assert budget.try_acquire(ids.ServiceName('other'), 0.0)


class TestDeclaredLimit:
    def _run_queue(
        self, cold_per_s, per_s, seed, cold_ms=3_000.0, named=(), until_ms=None
    ):
        """Return the start times of calls to a paced target.

        ``named`` holds times and the rates that the target names then.
        """
        until_ms = cold_ms if until_ms is None else until_ms
        named = list(named)
        rng = random.Random(seed)
        limit = declaredlimit.declared_limit()
        queue = admission.admission_queue(rng, limit=limit)
        queue.handle(admission.Announce(100), 0.0)
        limit.set_cold(cold_ms, cold_per_s, 0.0)
        starts = []
        arrive_ms, key = 0.0, 0
        now_ms = 0.0
        while now_ms < until_ms:
            tick_ms = queue.next_tick_ms
            now_ms = max(now_ms, min(arrive_ms, tick_ms))
            while named and named[0][0] <= now_ms:
                limit.set_named_rate(named.pop(0)[1], now_ms)
            if arrive_ms <= now_ms:
                key += 1
                rank = rng.random()
                event = admission.Arrive(key, 'o', rank, now_ms + 2_000.0)
                arrive_ms += rng.expovariate(per_s / 1e3)
            else:
                event = admission.Tick()
                now_ms += 0.01
            for action in queue.handle(event, now_ms):
                if isinstance(action, admission.Start):
                    starts.append(now_ms)
                    queue.handle(
                        admission.Complete(action.call_key, True, 5.0), now_ms
                    )
        return [t for t in starts if t < until_ms]

    @pytest.mark.parametrize('seed', range(5))
    @pytest.mark.parametrize('cold_per_s', [9.1, 44.0])
    def test_no_second_exceeds_the_cold_rate_and_burst(self, cold_per_s, seed):
        starts = self._run_queue(cold_per_s, 300.0, seed)
        for start in starts:
            in_second = sum(start <= t < start + 1_000.0 for t in starts)
            assert in_second <= cold_per_s + declaredlimit.COLD_BURST

    def test_a_cold_target_gets_calls_close_to_its_cold_rate(self):
        starts = self._run_queue(44.0, 300.0, 1)
        assert len(starts) >= 0.8 * declaredlimit.COLD_RATE_SHARE * 44.0 * 3

    @pytest.mark.parametrize('seed', range(5))
    @pytest.mark.parametrize('per_s', [0.0, 0.2, 4.7, 31.8, 77.1])
    def test_a_target_gets_no_more_than_it_names_in_any_window(
        self, per_s, seed
    ):
        starts = self._run_queue(
            44.0, 300.0, seed, 0.0, [(1_000.0, per_s)], 12_000.0
        )
        starts = [t for t in starts if t >= 1_000.0]
        for start in starts:
            in_window = sum(start <= t < start + 4_000.0 for t in starts)
            # A burst and the least that lets it be heard at all; 1.5 times
            # the limit and 5 calls are allowed.
            assert in_window <= 4.0 * max(per_s, 0.5) + max(1, per_s / 4) + 1
        # What it takes is used.
        assert len(starts) >= 0.9 * 11.0 * per_s

    def test_each_limit_that_a_target_names_holds_from_then_on(self):
        named = [(0.0, 60.0), (4_000.0, 6.0), (8_000.0, None)]
        starts = self._run_queue(44.0, 300.0, 1, 0.0, named, 13_000.0)
        between = sum(4_000.0 <= t < 8_000.0 for t in starts)
        assert 4 * 6 - 2 <= between <= 4 * 6 + 2
        assert sum(t >= 12_000.0 for t in starts) >= 250

    def test_a_cold_target_in_need_gets_the_lower_of_both_rates(self):
        named = [(0.0, 10.0)]
        starts = self._run_queue(44.0, 300.0, 1, 3_000.0, named)
        assert len(starts) <= 3 * 10 + 2
        named = [(0.0, 200.0)]
        starts = self._run_queue(44.0, 300.0, 1, 3_000.0, named)
        assert len(starts) <= 3 * 44 + 2

    @pytest.mark.parametrize('named', [(), [(0.0, 50.0)]])
    def test_a_cold_target_of_a_service_without_a_cold_rate_gets_calls(
        self, named
    ):
        starts = self._run_queue(0.0, 100.0, 1, 3_000.0, named)
        assert len(starts) >= 0.9 * 3 * 50

    def test_a_call_that_a_low_rate_keeps_beyond_its_deadline_is_not_held(
        self,
    ):
        limit = declaredlimit.declared_limit()
        queue = admission.admission_queue(random.Random(1), limit=limit)
        queue.handle(admission.Announce(20), 0.0)
        limit.set_named_rate(1.0, 0.0, tokens=0.0)
        late = admission.Arrive(1, 'o', 0.5, 400.0)
        (refused,) = queue.handle(late, 0.0)
        assert isinstance(refused, admission.Refuse)
        assert refused.refusal.reason is errors.Reason.DEADLINE
        assert not queue.handle(admission.Arrive(2, 'o', 0.5, 2_000.0), 0.0)
        (started,) = queue.handle(admission.Tick(), 1_001.0)
        assert started == admission.Start(2)

    def test_the_queue_of_a_target_in_need_is_short(self):
        limit = declaredlimit.declared_limit()
        limit.announce(177, 0.0)
        assert limit.queue_bound(2_832, 0.0) == 2_832
        limit.set_named_rate(40.0, 0.0)
        assert limit.queue_bound(2_832, 0.0) == 20
        limit.set_named_rate(0.0, 0.0)
        assert limit.queue_bound(2_832, 0.0) == declaredlimit.MIN_NAMED_QUEUE
        limit.set_named_rate(None, 0.0)
        assert limit.queue_bound(2_832, 0.0) == 2_832

    def test_a_warm_target_is_limited_by_its_slots_only(self):
        limit = declaredlimit.declared_limit()
        limit.announce(27, 0.0)
        assert limit.is_open(26, 0.0)
        assert not limit.is_open(27, 0.0)
        assert limit.next_open_ms(0.0) == math.inf

    def test_a_warm_report_ends_the_cold_phase(self):
        limit = declaredlimit.declared_limit()
        limit.announce(10, 0.0)
        limit.set_cold(3_000.0, 9.0, 0.0)
        assert limit.is_cold(1_000.0)
        limit.set_cold(1_000.0, 9.0, 1_000.0)
        assert not limit.is_cold(1_000.0)

    def test_calls_made_by_targets_are_not_shed_by_level(self):
        queue = admission.admission_queue(
            random.Random(1), limit=declaredlimit.declared_limit()
        )
        queue.handle(admission.Announce(5), 0.0)
        queue.handle(admission.Level(0.5), 0.0)
        shed = admission.Arrive(1, 'o', 2.9, 1_000.0)
        child = admission.Arrive(2, 'o', 2.9, 1_000.0, is_sheddable=False)
        assert isinstance(queue.handle(shed, 1.0)[0], admission.Refuse)
        assert isinstance(queue.handle(child, 1.0)[0], admission.Start)


class TestReportTracker:
    def test_a_late_report_of_a_departed_incarnation_is_ignored(self):
        tracker = targetreports.report_tracker()
        assert tracker.handle(_report()) is targetreports.Effect.SERVING
        leave = _report(state=targetreports.TargetState.DRAINING, sequence=2)
        assert tracker.handle(leave) is targetreports.Effect.LEAVING
        assert (
            tracker.handle(_report(sequence=3)) is targetreports.Effect.STALE
        )
        assert tracker.current is None

    def test_a_restarted_target_with_the_same_id_is_accepted(self):
        tracker = targetreports.report_tracker()
        tracker.handle(_report(sequence=9))
        tracker.handle(
            _report(state=targetreports.TargetState.GONE, sequence=-1)
        )
        retried = _report(started_ms=2000, sequence=1)
        assert tracker.handle(retried) is targetreports.Effect.SERVING

    def test_a_delayed_report_does_not_replace_a_newer_incarnation(self):
        tracker = targetreports.report_tracker()
        tracker.handle(_report('i-2', started_ms=5000))
        old = _report('i-1', started_ms=1000, sequence=99)
        assert tracker.handle(old) is targetreports.Effect.STALE
        assert tracker.current.target_id == 'i-2'

    def test_reports_of_one_incarnation_are_ordered_by_sequence(self):
        tracker = targetreports.report_tracker()
        tracker.handle(_report(sequence=5, cold_ms=0.0))
        late = _report(sequence=4, cold_ms=3_000.0)
        assert tracker.handle(late) is targetreports.Effect.STALE

    def test_a_departure_without_start_time_ends_the_current_incarnation(self):
        tracker = targetreports.report_tracker()
        tracker.handle(_report())
        leave = _report(state=targetreports.TargetState.GONE, started_ms=0)
        assert tracker.handle(leave) is targetreports.Effect.LEAVING
        assert (
            tracker.handle(_report(sequence=7)) is targetreports.Effect.STALE
        )

    def test_a_remembered_departure_applies_after_a_restart(self):
        tracker = targetreports.report_tracker()
        tracker.remember_departed(ids.TargetId('i-1'), 1000)
        assert (
            tracker.handle(_report(sequence=50)) is targetreports.Effect.STALE
        )
        new = _report(started_ms=1001)
        assert tracker.handle(new) is targetreports.Effect.SERVING


def _row(node_id, **fields):
    return memberrow.Row(
        node_id=ids.NodeId(node_id),
        domain=ids.FailureDomainId('a'),
        region=ids.RegionId('r'),
        host='127.0.0.1',
        port=7000,
        **fields,
    )


class TestMemberList:
    def test_rows_merge_to_the_same_state_in_any_order(self):
        rows = [
            _row('b', incarnation=i, sequence=s, slots=10 * i + s)
            for i in range(3)
            for s in range(3)
        ]
        digests = set()
        for seed in range(10):
            member_list = memberlist.member_list(_row('a'))
            random.Random(seed).shuffle(rows)
            for row in rows:
                member_list.merge(row)
            assert member_list.row(ids.NodeId('b')).slots == 22
            digests.add(member_list.digest)
        assert len(digests) == 1

    def test_a_row_from_before_a_clock_step_back_is_superseded(self):
        member_list = memberlist.member_list(_row('a', incarnation=100))
        assert member_list.merge(_row('a', incarnation=2_100, is_serving=True))
        assert member_list.own_row.incarnation == 2_101
        assert not member_list.own_row.is_serving

    def test_unreachable_nodes_get_no_calls(self):
        member_list = memberlist.member_list(_row('a'))
        member_list.merge(
            _row('b', service=SERVICE, slots=3, is_serving=True, incarnation=1)
        )
        assert len(member_list.members_by_service()[SERVICE]) == 1
        assert member_list.set_reachable(ids.NodeId('b'), False)
        assert SERVICE not in member_list.members_by_service()
        assert member_list.node_ids == ['a', 'b']
        member_list.merge(
            _row('b', service=SERVICE, slots=3, is_serving=True, incarnation=2)
        )
        assert len(member_list.members_by_service()[SERVICE]) == 1

    def test_a_node_that_is_gone_is_not_counted(self):
        member_list = memberlist.member_list(_row('a'))
        member_list.merge(_row('b', incarnation=1))
        member_list.merge(_row('b', incarnation=1, sequence=1, is_gone=True))
        assert member_list.node_ids == ['a']
        assert member_list.others() == []

    @pytest.mark.parametrize('data', [b'', b'\xc1', b'\x80', b'not a row'])
    def test_invalid_bytes_decode_to_no_row(self, data):
        assert memberrow.decode_row(data) is None

    @pytest.mark.parametrize(
        'change',
        [
            {'slots': 10**12},
            {'slots': -1},
            {'port': 70_000},
            {'node_id': ''},
            {'sequence': 10**6},
            {'incarnation': 2**60},
        ],
    )
    def test_a_row_that_can_not_be_true_is_not_taken(self, change):
        # Its author would count on from it until no message could carry it.
        row = msgspec.structs.replace(_row('a'), **change)
        assert memberrow.decode_row(memberrow.encode_row(row)) is None

    def test_rows_round_trip_through_encoding(self):
        row = _row('a', departed_id=ids.TargetId('i-1'), departed_born_ms=5)
        assert memberrow.decode_row(memberrow.encode_row(row)) == row


class TestPolicy:
    def _policy(self):
        routes = [
            policy.Route(
                ids.RouteId(prefix),
                'h.example',
                prefix,
                (policy.Destination(SERVICE),),
                True,
                False,
                1000.0,
                100.0,
                2,
                0,
            )
            for prefix in ('/a/', '/a/b/', '/c/')
        ]
        org = policy.Organisation(ids.OrganisationId('o'), 1.0, 1.0)
        keys = {policy.key_digest('secret'): org.organisation_id}
        return policy.Policy(
            ids.ConfigVersion(3),
            routes,
            [org],
            keys,
            {},
            policy.CallerLimits(),
            frozenset(),
        )

    @pytest.mark.parametrize(
        ('host', 'path', 'route'),
        [
            ('h.example', '/a/x', '/a/'),
            ('h.example', '/a/b/x?y=/c/', '/a/b/'),
            ('h.example:8080', '/c/x', '/c/'),
            ('H.EXAMPLE', '/a/b/', '/a/b/'),
            ('h.example', '/ax', None),
            ('other.example', '/a/x', None),
        ],
    )
    def test_the_longest_matching_prefix_of_the_host_wins(
        self, host, path, route
    ):
        result = self._policy().match(host, path)
        assert (result and result.route_id) == route

    def test_only_digests_of_keys_are_kept(self):
        result = self._policy()
        assert result.organisation_of('secret').organisation_id == 'o'
        assert result.organisation_of('secret ') is None
        assert 'secret' not in repr(vars(result))

    def test_requests_are_divided_by_weight(self):
        route = self._policy().match('h.example', '/a/x')
        route = policy.Route(
            *[
                (policy.Destination('x', 75.0), policy.Destination('y', 25.0))
                if name == 'destinations'
                else getattr(route, name)
                for name in policy.Route.__slots__
            ]
        )
        splitter = ingress.WeightedRoundRobin(random.Random(2))
        chosen = [splitter.choose(route) for _ in range(400)]
        assert abs(chosen.count('x') - 300) <= 1
        assert abs(chosen[:40].count('x') - 30) <= 1


class TestFanOut:
    """Requests that each make four calls in a row to the same target.

    In newest-first order under overload some calls wait until they expire,
    and the request is lost with them.
    """

    def _run_queue(self, newest_first, seed):
        """Return the share of parent requests whose four calls all ran."""
        rng = random.Random(seed)
        queue = admission.admission_queue(
            rng,
            limit=declaredlimit.declared_limit(),
            queue_per_slot=16,
            newest_first=newest_first,
        )
        queue.handle(admission.Announce(27), 0.0)
        # 27 slots and 15 ms a call are enough for 1,800 calls or 450 parents
        # a second. 520 parents arrive in the first second, then 400 a second.
        events, order = [], 0
        now_ms = 0.0
        for parent in range(1200):
            now_ms += rng.expovariate(0.52 if now_ms < 1_000 else 0.4)
            heapq.heappush(events, (now_ms, order := order + 1, parent, 0))
        done, parents = 0, 1200
        while events:
            now_ms, _, parent, step = heapq.heappop(events)
            # Events are (time, order, parent, step). A step from 0 to 3 is
            # the arrival of that call; a negative one is the end of the call
            # before call -step.
            if step < 0:
                key = (parent, -step - 1)
                event = admission.Complete(key, True, 15.0)
            else:
                key = (parent, step)
                event = admission.Arrive(
                    key, '', 2.5, now_ms + 700.0, is_sheddable=False
                )
            if step < 0 and -step == 4:
                done += 1
            elif step < 0:
                heapq.heappush(
                    events, (now_ms, order := order + 1, parent, -step)
                )
            for action in queue.handle(event, now_ms):
                if isinstance(action, admission.Start):
                    started, at = action.call_key
                    heapq.heappush(
                        events,
                        (
                            now_ms + rng.uniform(10.0, 20.0),
                            order := order + 1,
                            started,
                            -at - 1,
                        ),
                    )
        return done / parents

    @pytest.mark.parametrize('seed', range(3))
    def test_first_in_first_out_finishes_more_requests(self, seed):
        assert self._run_queue(False, seed) >= 0.97
        assert self._run_queue(False, seed) >= self._run_queue(True, seed)
