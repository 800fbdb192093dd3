from parsleystile import _broadcast_queue
from stubs import gossipnetwork


def test_the_least_sent_go_first_and_each_a_bounded_number_of_times():
    queue = _broadcast_queue.BroadcastQueue()
    for key in 'abc':
        queue.put(key, key)
    sent = []
    while queue:
        sent += queue.next_batch(2, 14)
    assert sent[:3] == ['a', 'b', 'c']
    assert {k: sent.count(k) for k in 'abc'} == dict.fromkeys(
        'abc', _broadcast_queue.transmit_limit(14)
    )


def test_members_learned_from_a_list_are_not_spread_again():
    network = gossipnetwork.network({'a': 20, 'b': 20}, 1)
    sent = []
    network.tap = lambda node, message: sent.extend(message.updates)
    network.run(20_000)
    # Each node tells of itself after its start, and of nobody else.
    assert len(sent) == 40 * _broadcast_queue.transmit_limit(40)
