import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from parsleystile import changes
from parsleystile import errors
from parsleystile import fleetconfig
from parsleystile import keys

LIMITS = fleetconfig.Organisation(rate_per_s=5, burst=10)
DIGESTS = [f'{i:064x}' for i in range(3)]


def _apply(config, *made):
    for change in made:
        config = changes.apply(config, change).ok
    return config


def _with_key():
    return _apply(
        fleetconfig.FleetConfig(),
        changes.CreateOrganisation(organisation='lavapuu', limits=LIMITS),
        changes.IssueKey(organisation='lavapuu', digest=DIGESTS[0]),
    )


def _route(prefix, **fields):
    return fleetconfig.Route(path_prefix=prefix, service='stock', **fields)


@pytest.mark.parametrize(
    ('text', 'path', 'problem'),
    [
        (
            '{"kind":"set-limits","organisation":"a",'
            '"limits":{"rate_per_s":-1,"burst":1}}',
            'limits.rate_per_s',
            'Expected `float` > 0.0',
        ),
        (
            '{"kind":"switch-preset","name":"peak","force":true}',
            'change',
            'Object contains unknown field `force`',
        ),
        ('{"kind":"reboot"}', 'kind', "Invalid value 'reboot'"),
        ('{"kind":"take-domain-out","domain":"a b"}', 'domain', 'regex'),
        ('not json', 'change', 'malformed'),
    ],
)
def test_a_bad_change_is_refused_with_its_path(text, path, problem):
    error = changes.decode(text.encode()).error
    assert error.path == path
    assert problem in error.problem


def test_a_withdrawn_key_never_comes_back():
    before = _with_key()
    after = _apply(before, changes.WithdrawKey(key_id='k1'))
    assert after.is_withdrawn('k1')
    old = msgspec.structs.replace(before, version=after.version)
    result = changes.apply(after, changes.ApplyDocument(document=old))
    assert result.error.path == 'keys.k1'
    issued = _apply(
        after, changes.IssueKey(organisation='lavapuu', digest=DIGESTS[1])
    )
    assert list(issued.keys) == ['k2']
    again = _apply(issued, changes.WithdrawKey(key_id='k1'))
    assert (again.version, again.keys) == (issued.version + 1, issued.keys)


def test_a_document_that_takes_the_counter_back_keeps_it():
    config = _apply(_with_key(), changes.WithdrawKey(key_id='k1'))
    older = msgspec.structs.replace(config, next_key=1)
    applied = _apply(config, changes.ApplyDocument(document=older))
    assert applied.next_key == config.next_key
    assert applied.is_withdrawn('k1')


def test_a_document_without_keys_and_operators_leaves_them_in_force():
    put = changes.PutOperator(name='eva', digest=DIGESTS[2])
    config = _apply(_with_key(), put)
    bare = msgspec.structs.replace(config, keys={}, operators={})
    peak = msgspec.structs.replace(bare, active_preset='peak')
    applied = _apply(config, changes.ApplyDocument(document=peak))
    assert (applied.keys, applied.operators) == (
        config.keys,
        config.operators,
    )
    assert applied.active_preset == 'peak'


@pytest.mark.parametrize(
    ('change', 'text'),
    [
        (
            changes.SwitchPreset(name='holiday'),
            "presets.holiday: there is no 'holiday'",
        ),
        (
            changes.IssueKey(organisation='lavapuu', digest=DIGESTS[0]),
            "keys.k2.digest: same key as 'k1'",
        ),
        (
            changes.CreateOrganisation(organisation='lavapuu', limits=LIMITS),
            "organisations.lavapuu: 'lavapuu' exists already",
        ),
        (
            changes.WithdrawKey(key_id='k7'),
            "keys.k7: there is no 'k7'",
        ),
        (
            changes.PutRoute(route_id='r', route=_route('/a/../b')),
            "routes.r.path_prefix: '/a/../b' is no plain absolute path",
        ),
        (
            changes.BringDomainBack(domain='a'),
            "domains_out.a: there is no 'a'",
        ),
    ],
)
def test_a_change_that_does_not_hold_names_the_bad_value(change, text):
    assert str(changes.apply(_with_key(), change).error) == text


def test_two_routes_of_one_prefix_and_method_are_refused():
    config = _apply(
        _with_key(), changes.PutRoute(route_id='a', route=_route('/stock'))
    )
    clash = changes.PutRoute(route_id='b', route=_route('/stock/'))
    assert changes.apply(config, clash).error.path == 'routes.b.path_prefix'
    get = changes.PutRoute(
        route_id='b', route=_route('/stock', methods=('GET',))
    )
    assert changes.apply(config, get).is_ok()


@pytest.mark.parametrize(
    ('path', 'route_id'),
    [
        ('/stock', 'all'),
        ('/stock/1?x=/stock/open', 'all'),
        ('/stock/open', 'open'),
        ('/stock/open/2', 'open'),
        ('/stock/opened', 'all'),
        ('/stocks', None),
        ('/stock/open/../1', None),
        ('/stock/open/%2e%2e/1', None),
        ('/stock/open%2f..', None),
        ('/stock//open', None),
        ('/stock/open\\..\\1', None),
        ('stock', None),
        ('', None),
    ],
)
def test_the_longest_prefix_wins_and_ambiguous_paths_match_nothing(
    path, route_id
):
    config = _apply(
        _with_key(),
        changes.PutRoute(route_id='all', route=_route('/stock')),
        changes.PutRoute(
            route_id='open', route=_route('/stock/open', methods=('GET',))
        ),
    )
    found = config.match_route('GET', path)
    assert (found[0] if found else None) == route_id
    # The longer prefix owns its paths for every method.
    if route_id == 'open':
        assert config.match_route('POST', path) is None


NAMES = strategies.sampled_from(['a', 'b', 'c'])
CHANGES = strategies.one_of(
    strategies.builds(
        changes.CreateOrganisation,
        organisation=NAMES,
        limits=strategies.just(LIMITS),
    ),
    strategies.builds(
        changes.IssueKey,
        organisation=NAMES,
        digest=strategies.sampled_from(DIGESTS),
    ),
    strategies.builds(
        changes.WithdrawKey,
        key_id=strategies.sampled_from(['k1', 'k2', 'k3']),
    ),
    strategies.builds(
        changes.SwitchPreset,
        name=strategies.sampled_from(['ordinary', 'peak', 'x']),
    ),
    strategies.builds(changes.TakeDomainOut, domain=NAMES),
    strategies.builds(changes.BringDomainBack, domain=NAMES),
    strategies.builds(
        changes.PutRoute,
        route_id=NAMES,
        route=strategies.builds(
            _route, strategies.sampled_from(['/', '/a', '/a/b'])
        ),
    ),
    strategies.builds(changes.RemoveRoute, route_id=NAMES),
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(strategies.lists(CHANGES, max_size=20))
def test_whatever_is_applied_the_document_holds(made):
    config = fleetconfig.FleetConfig()
    withdrawn = set()
    for change in made:
        applied = changes.apply(config, change)
        if applied.is_error():
            assert isinstance(applied.error, errors.SettingsError)
            continue
        assert applied.ok.version == config.version + 1
        config = applied.ok
        withdrawn |= {k for k in ('k1', 'k2', 'k3') if config.is_withdrawn(k)}
        assert not withdrawn & set(config.keys)
        assert config.active_preset in config.presets
        assert fleetconfig.decode(fleetconfig.encode(config)).ok == config
        sent = changes.decode(changes.encode(change)).ok
        assert sent == change


def test_a_ring_knows_the_key_and_forgets_it_for_good():
    ring = keys.key_ring(b'secret')
    key = keys.new_key()
    digest = ring.digest_of(keys.fingerprint(key))
    before = _apply(
        fleetconfig.FleetConfig(),
        changes.CreateOrganisation(organisation='lavapuu', limits=LIMITS),
        changes.IssueKey(organisation='lavapuu', digest=digest),
    )
    ring.load(before)
    assert [ring.authenticate(key) for _ in range(2)] == ['lavapuu'] * 2
    assert ring.authenticate(key + 'x') is None
    assert ring.authenticate('') is None
    assert ring.authenticate('\ud800') is None
    assert ring.authenticate('x' * 10_000) is None
    assert keys.key_ring(b'other').digest_of(keys.fingerprint(key)) != digest
    assert ring.withdraw('k1')
    assert ring.authenticate(key) is None
    ring.load(before)
    assert ring.authenticate(key) is None
    assert ring.pending_withdrawals == {'k1'}
    ring.load(_apply(before, changes.WithdrawKey(key_id='k1')))
    assert ring.pending_withdrawals == frozenset()
    assert not ring.withdraw('k1')
    ring.load(before)
    assert ring.authenticate(key) is None


def test_a_key_of_the_settings_opens_a_document_without_operators_only():
    ring = keys.key_ring(b'secret')
    first, second = keys.new_key(), keys.new_key()
    ring.set_bootstrap('olli', keys.fingerprint(first))
    assert ring.authenticate_operator(first) == 'olli'
    digest = ring.digest_of(keys.fingerprint(second))
    put = changes.PutOperator(name='eva', digest=digest)
    ring.load(_apply(fleetconfig.FleetConfig(), put))
    assert ring.authenticate_operator(first) is None
    assert ring.authenticate_operator(second) == 'eva'
    assert ring.authenticate(second) is None
