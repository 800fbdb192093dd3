import collections
import random

from parsleystile import admission
from parsleystile import balancer
from parsleystile import errors
from parsleystile import members
from parsleystile import transport

NO_NODES = frozenset()
LOST = errors.unknown(errors.Reason.LINK_LOST)
_ADDRESS = transport.Address('127.0.0.1', 1)


def _member(node_id, domain='d0', region='r0', slots=20, **kwargs):
    kwargs.setdefault('incarnation', 1)
    return members.Member(
        node_id, node_id, region, domain, 's', slots, _ADDRESS, _ADDRESS,
        **kwargs,
    )  # fmt: skip


def _balancer(found, own='self', seed=1):
    chooser = balancer.balancer('d0', 'r0', own, random.Random(seed))
    chooser.set_members('s', found)
    return chooser


def _load(in_flight, limit=20):
    return admission.Load(in_flight, limit, 0, 3.0)


def _report_load(chooser, node_id, load, now_ms=0.0):
    chooser.sent(node_id)
    chooser.answered(node_id, load, now_ms)


def _choices(chooser, count=1000, now_ms=0.0, **kwargs):
    chosen = [
        chooser.choose('s', NO_NODES, now_ms, **kwargs) for _ in range(count)
    ]
    return collections.Counter(m and m.node_id for m in chosen)


def _fail(chooser, node_id, times=3, now_ms=0.0, refusal=LOST):
    for _ in range(times):
        chooser.sent(node_id)
        chooser.failed(node_id, refusal, now_ms)


def test_an_unknown_service_has_no_target():
    assert _balancer([]).choose('s', NO_NODES, 0.0) is None


def test_the_less_loaded_of_two_targets_is_chosen():
    chooser = _balancer([_member('a'), _member('b')])
    _report_load(chooser, 'a', _load(15))
    _report_load(chooser, 'b', _load(2))
    assert _choices(chooser)['b'] > 700


def test_own_calls_in_flight_count_before_any_answer():
    chooser = _balancer([_member('a'), _member('b')])
    for _ in range(6):
        chooser.sent('a')
    assert _choices(chooser)['b'] > 700


def test_a_target_with_a_low_limit_gets_few_calls():
    found = [_member('a'), _member('b')]
    chooser = _balancer(found)
    rng = random.Random(2)
    running = []
    taken = collections.Counter()
    limits = {'a': 20, 'b': 2}
    for now_ms in range(2000):
        node_id = chooser.choose('s', NO_NODES, now_ms).node_id
        chooser.sent(node_id)
        running.append(node_id)
        taken[node_id] += 1
        if len(running) > 8:
            done = running.pop(rng.randrange(len(running)))
            here = running.count(done)
            chooser.answered(done, _load(here, limits[done]), now_ms)
    assert taken['b'] < 0.25 * taken['a']


def test_the_own_domain_is_preferred_then_the_region():
    found = [_member('far', 'd9', 'r1'), _member('near', 'd1'), _member('own')]
    chooser = _balancer(found)
    assert _choices(chooser) == {'own': 1000}
    chooser.set_domains_out(frozenset({'d0'}))
    assert _choices(chooser) == {'near': 1000}
    chooser.set_domains_out(frozenset({'d0', 'd1'}))
    assert _choices(chooser) == {'far': 1000}
    chooser.set_domains_out(frozenset())
    assert _choices(chooser) == {'own': 1000}


def test_calls_spill_gradually_as_the_own_domain_fills():
    chooser = _balancer([_member('own'), _member('near', 'd1')])
    _report_load(chooser, 'near', _load(0))
    shares = []
    for in_flight in (10, 17, 20, 23, 30):
        _report_load(chooser, 'own', _load(in_flight))
        shares.append(_choices(chooser)['near'] / 1000)
    assert shares == sorted(shares)
    assert shares[0] == 0.0
    assert 0.05 < shares[1] < shares[2] < shares[3] < 0.95
    assert shares[4] == 1.0


def test_when_all_are_full_the_shortest_queue_is_chosen():
    found = [_member('near'), _member('far', domain='d1')]
    chooser = _balancer(found)
    _report_load(chooser, 'near', admission.Load(20, 20, 100, 3.0))
    _report_load(chooser, 'far', admission.Load(20, 20, 10, 3.0))
    assert _choices(chooser) == {'far': 1000}


def test_a_target_that_refused_the_call_is_not_chosen_again():
    chooser = _balancer([_member('a'), _member('b')])
    excluded = frozenset({'a'})
    chosen = {chooser.choose('s', excluded, 0.0).node_id for _ in range(50)}
    assert chosen == {'b'}
    assert chooser.choose('s', frozenset({'a', 'b'}), 0.0) is None


def test_a_leaving_target_gets_no_new_calls():
    chooser = _balancer([_member('a'), _member('b')])
    _fail(chooser, 'a', 1, refusal=errors.not_run(errors.Reason.LEAVING))
    assert _choices(chooser, now_ms=1000.0) == {'b': 1000}
    leaving = _member('b', state=members.MemberState.LEAVING)
    chooser.set_members('s', [_member('a', incarnation=2), leaving])
    assert _choices(chooser) == {'a': 1000}


def test_a_failing_target_is_ejected_and_probed_by_idempotent_calls():
    chooser = _balancer([_member('a'), _member('b'), _member('c')])
    _fail(chooser, 'a')
    assert _choices(chooser, now_ms=500.0)['a'] == 0
    assert _choices(chooser, now_ms=2000.0)['a'] == 0
    assert _choices(chooser, now_ms=2000.0, idempotent=True)['a'] > 0
    chooser.sent('a')
    assert _choices(chooser, now_ms=2000.0, idempotent=True)['a'] == 0
    chooser.answered('a', _load(0), 2000.0)
    assert _choices(chooser, now_ms=2000.0)['a'] > 0


def test_a_failed_probe_extends_the_ejection():
    chooser = _balancer([_member('a'), _member('b'), _member('c')])
    _fail(chooser, 'a')
    _fail(chooser, 'a', 1, now_ms=2000.0)
    assert _choices(chooser, now_ms=3400.0, idempotent=True)['a'] == 0
    assert _choices(chooser, now_ms=4600.0, idempotent=True)['a'] > 0


def test_when_all_fail_most_stay_in_use():
    names = [f'n{at}' for at in range(9)]
    chooser = _balancer([_member(name) for name in names])
    for name in names:
        _fail(chooser, name, 5)
    used = set(_choices(chooser))
    assert len(used) >= 6
    assert None not in used


def test_one_of_two_targets_may_be_ejected():
    chooser = _balancer([_member('a'), _member('b')])
    _fail(chooser, 'a', refusal=errors.not_run(errors.Reason.UNREACHABLE))
    _fail(chooser, 'b', 9)
    assert _choices(chooser, now_ms=100.0) == {'b': 1000}


def test_shedding_does_not_eject():
    chooser = _balancer([_member('a'), _member('b')])
    _fail(chooser, 'a', 20, refusal=errors.not_run(errors.Reason.SHED))
    assert _choices(chooser)['a'] > 0


def test_suspects_are_used_only_if_most_are_suspect():
    suspect = members.MemberState.SUSPECT
    found = [_member('a', state=suspect), _member('b'), _member('c')]
    chooser = _balancer(found)
    assert _choices(chooser)['a'] == 0
    found[1] = _member('b', state=suspect)
    chooser.set_members('s', found)
    assert _choices(chooser)['a'] > 0


def test_a_large_service_is_reached_through_a_stable_even_subset():
    names = [f'n{at}' for at in range(300)]
    found = [_member(n, f'd{at % 6}') for at, n in enumerate(names)]
    users = collections.Counter()
    moved = 0
    for own in range(60):
        chooser = _balancer(found, own=f'self{own}')
        subset = set(_choices(chooser, 300))
        assert len(subset) <= balancer.SUBSET_SIZES[0]
        users.update(subset)
        chooser.set_members('s', found[6:])
        moved += len(set(_choices(chooser, 300)) - subset)
    # Each of 50 targets in the own domain is used by 19 of 60 on average.
    assert len(users) == 50
    assert max(users.values()) <= 2.0 * 60 * 16 / 50
    # Only users of the one target gone from the domain replace it.
    assert moved <= 2 * 60 * 16 / 50


def test_state_is_bounded_by_the_members():
    chooser = _balancer([])
    for at in range(200):
        chooser.set_members('s', [_member(f'n{at}'), _member(f'm{at}')])
        chooser.sent(f'n{at}')
    assert len(chooser._peers) == 2
    chooser.answered('n0', _load(1), 0.0)
    chooser.set_members('s', [])
    assert not chooser._peers
    assert not chooser._services


def test_without_idempotent_calls_any_call_probes_an_ejected_target():
    chooser = _balancer([_member('a'), _member('b'), _member('c')])
    for _ in range(balancer.FAILURES_TO_EJECT):
        chooser.sent('a')
        chooser.failed('a', LOST, 0.0)
    ended_ms = 2.0 * balancer.BASE_EJECTION_MS
    assert 'a' not in _choices(chooser, now_ms=ended_ms)
    late_ms = ended_ms + balancer.NON_IDEMPOTENT_PROBE_DELAY_MS
    assert 'a' in _choices(chooser, now_ms=late_ms)
    # One probe at a time.
    chooser.sent('a')
    assert 'a' not in _choices(chooser, now_ms=late_ms)
    chooser.answered('a', _load(0), late_ms)
    assert 'a' in _choices(chooser, now_ms=late_ms)


def test_the_wait_for_a_service_is_that_of_the_target_that_opens_first():
    chooser = _balancer([_member('a'), _member('b', 'd1')])
    assert chooser.rate_wait_ms('s', 0.0) == 0.0
    chooser.record_rate('a', 0.5, 2_000.0, 0.0)
    assert chooser.rate_wait_ms('s', 100.0) == 0.0
    chooser.record_rate('b', 2.0, 500.0, 0.0)
    assert chooser.rate_wait_ms('s', 100.0) == 400.0
    assert chooser.rate_wait_ms('s', 600.0) == 0.0
    assert chooser.rate_wait_ms('unknown', 0.0) == 0.0
