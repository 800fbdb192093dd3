"""Roll-outs on a simulated platform."""

import json
import os

import pytest

from adapter import config
from adapter import rolloutrows
from parsleystile import clock as clocks
from parsleystile.relay import policy
from parsleystile.relay import telemetry
from tests import platformfleet


def _order(target='v2', duration='12s', service='yard'):
    value = {'service': service, 'target': target, 'duration': duration}
    return json.dumps(value).encode()


def _rows():
    descriptor = os.open(os.devnull, os.O_WRONLY)
    recorder = telemetry.recorder('n1', clocks.system_clock(), descriptor)
    return rolloutrows.rollout_rows(recorder), recorder


def test_an_order_reaches_the_policy():
    rows, _ = _rows()
    rows.put('rollout/yard', 7, _order())
    document = json.dumps(platformfleet.document()).encode()
    decoded = config.decode(config.encode(document, ['b'], rows.orders))
    expected = policy.Rollout('yard', 7, 'v2', 12_000.0)
    assert decoded.rollouts == {'yard': expected}
    assert decoded.domains_out == {'b'}


def test_without_an_order_the_payload_is_as_before():
    document = json.dumps(platformfleet.document()).encode()
    assert b'rollouts' not in config.encode(document, ['b'])


@pytest.mark.parametrize(
    'value',
    [
        b'{',
        b'{"service":"yard","target":"v2"}',
        _order(target=''),
        _order(duration='soon'),
        _order(service='stock'),
    ],
)
def test_a_row_that_cannot_be_read_costs_nothing_else(value):
    rows, recorder = _rows()
    rows.put('rollout/stock', 6, _order(service='stock'))
    rows.put('rollout/yard', 7, _order())
    rows.put('rollout/yard', 8, value)
    assert [order.service for order in rows.orders] == ['stock']
    assert b'kind="rollout-orders-rejected"} 1' in recorder.metrics_page()
