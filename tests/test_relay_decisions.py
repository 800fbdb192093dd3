"""Repeats, pacing, reports, rosters: decisions without I/O."""

import heapq
import math
import random

import pytest

from parsleystile import admission
from parsleystile import ids
from parsleystile.relay import declaredlimit
from parsleystile.relay import ingress
from parsleystile.relay import memberlist
from parsleystile.relay import policy
from parsleystile.relay import retrybudget
from parsleystile.relay import targetreports

SERVICE = ids.ServiceName('yard')
READY = targetreports.TargetState.READY


def _report(target_id='i-1', sequence=1, born_ms=1000, state=READY, **fields):
    return targetreports.Report(
        ids.TargetId(target_id),
        state,
        born_ms,
        SERVICE,
        sequence=sequence,
        **{'slots': 20, **fields},
    )


class TestRepeats:
    def test_repeats_stay_below_share_and_slack(self):
        budget = retrybudget.retry_budget(
            retrybudget.Settings(0.1, 28.0, 10_000.0)
        )
        budget.set_nodes(14)
        sent = 0
        for i in range(1000):
            budget.first(SERVICE, i)
            sent += budget.take(SERVICE, i)
        assert sent == 0.1 * 1000 + 2

    def test_any_window_keeps_the_budget(self):
        rng = random.Random(5)
        budget = retrybudget.retry_budget(
            retrybudget.Settings(0.1, 10.0, 10_000.0)
        )
        firsts, sent = [], []
        now_ms = 0.0
        while now_ms < 40_000.0:
            # The load falls off, as when callers give up on a service.
            now_ms += rng.expovariate(0.2 if now_ms < 15_000 else 0.01)
            budget.first(SERVICE, now_ms)
            firsts.append(now_ms)
            if budget.take(SERVICE, now_ms):
                sent.append(now_ms)
        for end in range(0, 40_000, 250):
            # The rule takes the busiest of this window and those before.
            first = sum(end - 20_000 <= t < end for t in firsts)
            again = sum(end - 10_000 <= t < end for t in sent)
            assert again <= 0.1 * first + 10 + 1

    def test_services_have_budgets_of_their_own(self):
        budget = retrybudget.retry_budget(
            retrybudget.Settings(0.1, 1.0, 10_000.0)
        )
        assert budget.take(SERVICE, 0.0)
        assert not budget.take(SERVICE, 0.0)
        assert budget.take(ids.ServiceName('other'), 0.0)


class TestPacing:
    def _play(self, cold_per_s, per_s, seed, cold_ms=3_000.0):
        """Return when calls of a cold target start, through the queue."""
        rng = random.Random(seed)
        limit = declaredlimit.declared_limit()
        queue = admission.admission_queue(rng, limit=limit)
        queue.handle(admission.Announce(100), 0.0)
        limit.set_cold(cold_ms, cold_per_s, 0.0)
        starts = []
        arrive_ms, key = 0.0, 0
        now_ms = 0.0
        while now_ms < cold_ms:
            tick_ms = queue.next_tick_ms
            now_ms = max(now_ms, min(arrive_ms, tick_ms))
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
        return [t for t in starts if t < cold_ms]

    @pytest.mark.parametrize('seed', range(5))
    @pytest.mark.parametrize('cold_per_s', [9.1, 44.0])
    def test_no_second_sees_more_than_a_cold_target_bears(
        self, cold_per_s, seed
    ):
        starts = self._play(cold_per_s, 300.0, seed)
        for first in starts:
            in_second = sum(first <= t < first + 1_000.0 for t in starts)
            assert in_second <= cold_per_s + declaredlimit.COLD_BURST

    def test_a_cold_target_is_used_for_what_it_bears(self):
        starts = self._play(44.0, 300.0, 1)
        assert len(starts) >= 0.8 * declaredlimit.COLD_RATE_SHARE * 44.0 * 3

    def test_a_warm_target_gets_all_its_slots_at_once(self):
        limit = declaredlimit.declared_limit()
        limit.announce(27, 0.0)
        assert limit.is_open(26, 0.0)
        assert not limit.is_open(27, 0.0)
        assert limit.next_open_ms(0.0) == math.inf

    def test_a_report_of_being_warm_ends_it(self):
        limit = declaredlimit.declared_limit()
        limit.announce(10, 0.0)
        limit.set_cold(3_000.0, 9.0, 0.0)
        assert limit.is_cold(1_000.0)
        limit.set_cold(1_000.0, 9.0, 1_000.0)
        assert not limit.is_cold(1_000.0)

    def test_calls_of_targets_are_not_shed_by_level(self):
        queue = admission.admission_queue(
            random.Random(1), limit=declaredlimit.declared_limit()
        )
        queue.handle(admission.Announce(5), 0.0)
        queue.handle(admission.Level(0.5), 0.0)
        shed = admission.Arrive(1, 'o', 2.9, 1_000.0)
        child = admission.Arrive(2, 'o', 2.9, 1_000.0, is_sheddable=False)
        assert isinstance(queue.handle(shed, 1.0)[0], admission.Refuse)
        assert isinstance(queue.handle(child, 1.0)[0], admission.Start)


class TestReports:
    def test_a_late_report_of_a_life_that_left_is_ignored(self):
        found = targetreports.report_tracker()
        assert found.handle(_report()) is targetreports.Effect.SERVING
        leave = _report(state=targetreports.TargetState.DRAINING, sequence=2)
        assert found.handle(leave) is targetreports.Effect.LEAVING
        assert found.handle(_report(sequence=3)) is targetreports.Effect.STALE
        assert found.current is None

    def test_a_target_that_starts_again_under_its_id_is_new(self):
        found = targetreports.report_tracker()
        found.handle(_report(sequence=9))
        found.handle(
            _report(state=targetreports.TargetState.GONE, sequence=-1)
        )
        again = _report(born_ms=2000, sequence=1)
        assert found.handle(again) is targetreports.Effect.SERVING

    def test_a_delayed_report_does_not_replace_a_newer_life(self):
        found = targetreports.report_tracker()
        found.handle(_report('i-2', born_ms=5000))
        old = _report('i-1', born_ms=1000, sequence=99)
        assert found.handle(old) is targetreports.Effect.STALE
        assert found.current.target_id == 'i-2'

    def test_reports_of_one_life_go_by_sequence(self):
        found = targetreports.report_tracker()
        found.handle(_report(sequence=5, cold_ms=0.0))
        late = _report(sequence=4, cold_ms=3_000.0)
        assert found.handle(late) is targetreports.Effect.STALE

    def test_a_departure_without_a_start_time_is_of_the_current_life(self):
        found = targetreports.report_tracker()
        found.handle(_report())
        leave = _report(state=targetreports.TargetState.GONE, born_ms=0)
        assert found.handle(leave) is targetreports.Effect.LEAVING
        assert found.handle(_report(sequence=7)) is targetreports.Effect.STALE

    def test_a_remembered_departure_binds_the_next_process(self):
        found = targetreports.report_tracker()
        found.remember_departed(ids.TargetId('i-1'), 1000)
        assert found.handle(_report(sequence=50)) is targetreports.Effect.STALE
        new = _report(born_ms=1001)
        assert found.handle(new) is targetreports.Effect.SERVING


def _row(node_id, **fields):
    return memberlist.Row(
        node_id=ids.NodeId(node_id),
        domain=ids.FailureDomainId('a'),
        region=ids.RegionId('r'),
        host='127.0.0.1',
        port=7000,
        **fields,
    )


class TestRoster:
    def test_rows_merge_to_the_same_in_any_order(self):
        rows = [
            _row('b', incarnation=i, sequence=s, slots=10 * i + s)
            for i in range(3)
            for s in range(3)
        ]
        digests = set()
        for seed in range(10):
            found = memberlist.member_list(_row('a'))
            random.Random(seed).shuffle(rows)
            for row in rows:
                found.merge(row)
            assert found.row(ids.NodeId('b')).slots == 22
            digests.add(found.digest)
        assert len(digests) == 1

    def test_an_earlier_life_with_a_later_clock_is_outlived(self):
        found = memberlist.member_list(_row('a', incarnation=100))
        assert found.merge(_row('a', incarnation=2_100, is_serving=True))
        assert found.me.incarnation == 2_101
        assert not found.me.is_serving

    def test_nodes_out_of_reach_get_no_calls(self):
        found = memberlist.member_list(_row('a'))
        found.merge(
            _row('b', service=SERVICE, slots=3, is_serving=True, incarnation=1)
        )
        assert len(found.members_by_service()[SERVICE]) == 1
        assert found.set_reached(ids.NodeId('b'), False)
        assert SERVICE not in found.members_by_service()
        assert found.node_ids == ['a', 'b']
        found.merge(
            _row('b', service=SERVICE, slots=3, is_serving=True, incarnation=2)
        )
        assert len(found.members_by_service()[SERVICE]) == 1

    def test_a_node_that_is_gone_divides_nothing(self):
        found = memberlist.member_list(_row('a'))
        found.merge(_row('b', incarnation=1))
        found.merge(_row('b', incarnation=1, sequence=1, is_gone=True))
        assert found.node_ids == ['a']
        assert found.others() == []

    @pytest.mark.parametrize('data', [b'', b'\xc1', b'\x80', b'not a row'])
    def test_bytes_that_are_no_row(self, data):
        assert memberlist.decode_row(data) is None

    def test_rows_survive_the_wire(self):
        row = _row('a', departed_id=ids.TargetId('i-1'), departed_born_ms=5)
        assert memberlist.decode_row(memberlist.encode_row(row)) == row


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
    def test_the_longest_prefix_of_the_host_wins(self, host, path, route):
        found = self._policy().match(host, path)
        assert (found and found.route_id) == route

    def test_keys_are_kept_as_digests_only(self):
        found = self._policy()
        assert found.organisation_of('secret').organisation_id == 'o'
        assert found.organisation_of('secret ') is None
        assert 'secret' not in repr(vars(found))

    def test_requests_divide_by_weight(self):
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
    """Parents that make four calls each, one after another, at one target."""

    def _play(self, newest_first, seed):
        """Return the share of parents whose four calls all ran."""
        rng = random.Random(seed)
        queue = admission.admission_queue(
            rng,
            limit=declaredlimit.declared_limit(),
            queue_per_slot=16,
            newest_first=newest_first,
        )
        queue.handle(admission.Announce(27), 0.0)
        # 27 slots of 15 ms bear 1,800 calls a second: 450 parents. They get
        # 520 a second for a second, then 400.
        events, order = [], 0
        now_ms = 0.0
        for parent in range(1200):
            now_ms += rng.expovariate(0.52 if now_ms < 1_000 else 0.4)
            heapq.heappush(events, (now_ms, order := order + 1, parent, 0))
        done, parents = 0, 1200
        while events:
            now_ms, _, parent, step = heapq.heappop(events)
            # A call that arrives has its number, one that ends the negative
            # number of the next.
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
    def test_in_turn_whole_requests_finish(self, seed):
        assert self._play(False, seed) >= 0.97
        assert self._play(False, seed) >= self._play(True, seed)
