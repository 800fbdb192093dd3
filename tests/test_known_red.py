from tests import known_red


def _outcomes(ran, failed):
    outcomes = known_red.Outcomes()
    outcomes.ran = set(ran)
    outcomes.failed = set(failed)
    return outcomes


def test_parse_skips_comments_and_keeps_the_node_id():
    text = '# head\n\ntests/a.py::t  seed 3, seen: 2 runs (issue 5)\n'
    assert known_red.parse_entries(text) == ['tests/a.py::t']


def test_a_listed_failure_passes():
    assert known_red.find_problems({'a'}, _outcomes(['a', 'b'], ['a'])) == []


def test_an_unlisted_failure_fails():
    problems = known_red.find_problems(set(), _outcomes(['a'], ['a']))
    assert problems == ['failed: a']


def test_a_listed_test_that_passes_fails():
    problems = known_red.find_problems({'a'}, _outcomes(['a'], []))
    assert problems == ['KNOWN-RED.txt: a passes']


def test_an_entry_without_a_test_fails():
    problems = known_red.find_problems({'x'}, _outcomes(['a'], []))
    assert problems == ['KNOWN-RED.txt: x names no test that ran']
