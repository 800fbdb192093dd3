"""An operator sees on how many nodes a change is in force."""

import asyncio

import pytest

from adapter import listeners
from parsleystile import cli
from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile import fleettable
from parsleystile.relay import fleetstatus
from parsleystile.relay import httpserver
from tests import asyncutil
from tests import platformfleet

_CURRENT = fleetstatus.SettingsState.CURRENT
_PENDING = fleetstatus.SettingsState.PENDING


def _status(node_id, domain, version, state):
    return fleetstatus.NodeStatus(node_id, domain, version, state)


class TestSummary:
    def test_nodes_are_counted_by_failure_domain(self):
        summary = fleetstatus.summarise(
            [
                _status('n1', 'a', 7, _CURRENT),
                _status('n2', 'a', 6, _CURRENT),
                _status('n3', 'a', 7, _PENDING),
                _status('n4', 'b', 7, _CURRENT),
                _status('n5', 'b', None, None),
            ]
        )
        assert summary.policy_version == 7
        first, second = summary.domains
        assert (first.nodes, first.in_force, first.settings_current) == (
            3,
            2,
            2,
        )
        assert first.waiting_for == ['n2', 'n3']
        assert (second.silent, second.waiting_for) == (1, ['n5'])

    def test_a_fleet_without_a_configuration_waits_for_all(self):
        summary = fleetstatus.summarise([_status('n1', 'a', None, _CURRENT)])
        assert summary.policy_version is None
        assert summary.domains[0].in_force == 0
        assert summary.domains[0].waiting_for == ['n1']

    def test_few_of_many_nodes_are_named(self):
        summary = fleetstatus.summarise(
            [_status(f'n{i:03d}', 'a', 1, None) for i in range(200)]
        )
        assert len(summary.domains[0].waiting_for) == 5
        assert summary.domains[0].silent == 200


def _gather(machine):
    box = asyncutil.CallbackResult()
    machine.node.fleet_status.gather(box.put)
    return box.get()


def test_a_change_is_shown_where_it_is_in_force():
    async def body(fleet):
        first, second, third = fleet.machines
        second.node.settings_state = lambda: _PENDING
        status = await _gather(first)
        assert status.policy_version == 1
        assert [(d.nodes, d.in_force) for d in status.domains] == [
            (2, 2),
            (1, 1),
        ]
        assert status.domains[0].waiting_for == ['n1']
        fleet.put_document(platformfleet.document(version=4))
        await asyncutil.wait_until(
            lambda: all(
                m.node.state_sync.policy.version == 4 for m in fleet.machines
            )
        )
        status = await _gather(third)
        assert status.policy_version == 4
        assert [d.in_force for d in status.domains] == [2, 1]

    platformfleet.run_with_fleet(body, count=3)


def test_the_command_line_shows_the_status(capsys):
    async def body(fleet):
        first = fleet.machines[0]
        recorder = first.node.recorder
        server = httpserver.http_server(
            clocks.system_clock(),
            frozenset(),
            listeners.metrics_page(recorder, first.node.fleet_status.gather),
        )
        host, port = await server.listen('127.0.0.1', 0)
        loop = asyncio.get_running_loop()
        code = await loop.run_in_executor(
            None, cli.main, ['fleet', f'{host}:{port}']
        )
        assert code == 0
        await server.shut_down(10.0)

    platformfleet.run_with_fleet(body)
    lines = capsys.readouterr().out.splitlines()
    assert lines[0] == 'version 1'
    assert lines[2].split() == ['a', '1', '1/1', '1/1', '0']


def test_a_node_that_does_not_answer_is_named():
    with pytest.raises(errors.CommandFailure, match=r"'127\.0\.0\.1:9'"):
        fleettable.fetch('127.0.0.1:9')
