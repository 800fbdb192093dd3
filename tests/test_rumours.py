from parsleystile import _rumours
from stubs import gossipnetwork


def test_the_least_sent_go_first_and_each_a_bounded_number_of_times():
    rumours = _rumours.Rumours()
    for key in 'abc':
        rumours.put(key, key)
    sent = []
    while rumours:
        sent += rumours.pick(2, 14)
    assert sent[:3] == ['a', 'b', 'c']
    assert {k: sent.count(k) for k in 'abc'} == dict.fromkeys(
        'abc', _rumours.transmissions(14)
    )


def test_members_learned_from_a_list_are_not_spread_again():
    network = gossipnetwork.network({'a': 20, 'b': 20}, 1)
    sent = []
    network.tap = lambda node, message: sent.extend(message.updates)
    network.run(20_000)
    # Each node tells of itself after its start, and of nobody else.
    assert len(sent) == 40 * _rumours.transmissions(40)
