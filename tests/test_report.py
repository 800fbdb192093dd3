import json
import random
import re
from xml.etree import ElementTree

import pytest

from parsleystile import burn
from parsleystile import errors
from parsleystile import objectives
from parsleystile import report
from parsleystile import reportformats

_REFUSALS = (
    (errors.Outcome.NOT_RUN, errors.Reason.SHED),
    (errors.Outcome.UNKNOWN, errors.Reason.LINK_LOST),
    (errors.Outcome.NOT_RUN, errors.Reason.RATE_LIMITED),
    (errors.Outcome.NOT_RUN, errors.Reason.KEY_REJECTED),
)


def _snapshot(node, domain, seed, answered_ratio):
    rng = random.Random(seed)
    recorder = burn.burn_recorder(node, domain, 0.0)
    now_ms = 0.0
    while now_ms < 1_200_000:
        now_ms += rng.expovariate(1 / 400)
        name = rng.choice(('kuopio-households', 'drivers', ''))
        outcome, reason = rng.choice(_REFUSALS)
        if rng.random() < answered_ratio:
            outcome, reason = errors.Outcome.ANSWERED, errors.Reason.NONE
        latency_ms = rng.expovariate(1 / 20)
        is_inside_rate = reason is not errors.Reason.RATE_LIMITED
        recorder.record(
            name, outcome, reason, latency_ms, is_inside_rate, now_ms
        )
    return recorder.snapshot(now_ms)


@pytest.fixture(scope='module')
def burn_report():
    snapshots = [
        _snapshot('stock-1', 'savo-1', 1, 0.999),
        _snapshot('stock-2', 'savo-2', 2, 0.9),
    ]
    limits = {
        'kuopio-households': report.Limit(20.0, 200),
        'drivers': report.Limit(0.5, 5),
    }
    return report.build_report(snapshots, objectives.Objectives(), 1, limits)


def test_text(burn_report, snapshot):
    assert reportformats.render_as(burn_report, 'text') == snapshot


def test_json_has_the_contents_of_the_report(burn_report):
    decoded = json.loads(reportformats.render_as(burn_report, 'json'))
    assert decoded['nodes'] == 2
    assert decoded['nodes_missing'] == 1
    assert len(decoded['lines']) == 3 * len(burn.WINDOWS) + 1
    assert set(decoded['series']) == {'savo-1', 'savo-2'}


def test_html_is_self_contained_with_plots(burn_report):
    page = reportformats.render_as(burn_report, 'html')
    drawings = re.findall(r'<svg.*?</svg>', page, re.DOTALL)
    assert len(drawings) == 4
    for drawing in drawings:
        ElementTree.fromstring(drawing)
    # XML namespace attributes do not match; they are not files to load.
    references = re.findall(r'(?:src|href)="(?!#)([^"]*)"', page)
    assert references == []
    assert 'kuopio-households' in page


def test_html_escapes_names():
    recorder = burn.burn_recorder('n', '<b>', 0.0)
    recorder.record(
        '<script>', errors.Outcome.ANSWERED, errors.Reason.NONE, 1, True, 0.0
    )
    burn_report = report.build_report(
        [recorder.snapshot(1.0)], objectives.Objectives()
    )
    page = reportformats.render_as(burn_report, 'html')
    assert '<script>' not in page
    assert '<b>' not in page


def test_html_of_a_fleet_without_answers():
    burn_report = report.build_report([], objectives.Objectives(), 3)
    assert '3 nodes did not answer' in reportformats.render_as(
        burn_report, 'html'
    )
