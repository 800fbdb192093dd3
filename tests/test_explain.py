from parsleystile import errors
from parsleystile import explain


def _refused(reason=errors.Reason.SHED):
    return explain.Refused(
        explain.Stage.SHED, errors.Outcome.NOT_RUN, reason, 'level 1.2'
    )


def test_steps_are_explained_oldest_first():
    log = explain.call_log('n1')
    log.record('r1', explain.Received('homes', 'stock', 1, 900.0), 10.0)
    log.record('r2', explain.Admitted(1, 4), 11.0)
    log.record('r1', _refused(), 12.5)
    explanation = log.explain('r1', 20.0)
    assert [(e.step, e.ago_ms) for e in explanation.entries] == [
        ('received', 10.0),
        ('refused', 7.5),
    ]
    assert explanation.entries[1].text == (
        'refused at shed: shed, not run (level 1.2)'
    )
    assert explain.decode(explain.encode(explanation)) == explanation


def test_the_oldest_steps_are_overwritten():
    log = explain.call_log('n1')
    for number in range(explain.MAX_REFUSALS + 1):
        log.record(f'r{number}', _refused(), float(number))
    assert log.explain('r0', 0.0).entries == []
    assert len(log.explain('r1', 0.0).entries) == 1


def test_rate_refusals_do_not_displace_other_refusals():
    log = explain.call_log('n1')
    log.record('household', _refused(), 0.0)
    rate_refusal = _refused(errors.Reason.RATE_LIMITED)
    for number in range(3 * explain.MAX_REFUSALS):
        log.record(f'flood{number}', rate_refusal, 1.0)
    assert len(log.explain('household', 2.0).entries) == 1


def test_sampling_is_deterministic_and_near_its_ratio():
    sampled_count = sum(explain.is_sampled(f'root-{n}') for n in range(64_000))
    assert 800 < sampled_count < 1200
    assert explain.is_sampled('r1') == explain.is_sampled('r1')


def test_every_step_is_described_in_one_line():
    steps = [
        explain.Received('', '', 1, 0.0),
        explain.Sent('n2', 2),
        explain.Retried(errors.Reason.QUEUE_FULL, 1),
        explain.Queued(3, 20),
        explain.Admitted(4, 20),
        explain.Answered(200, 3.25),
        explain.Refused(
            explain.Stage.ADMIT,
            errors.Outcome.UNKNOWN,
            errors.Reason.LINK_LOST,
            'x' * 1000,
        ),
    ]
    for step in steps:
        line = explain.describe(step)
        assert '\n' not in line
        assert len(line) < 300
