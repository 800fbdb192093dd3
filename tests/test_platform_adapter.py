"""The platform adapter: settings, configuration, reports and log lines."""

import asyncio
import json
import os
import types

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from adapter import config
from adapter import listeners
from adapter import process
from adapter import settings
from adapter import units
from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile.gen import ttypes
from parsleystile.relay import httpserver
from parsleystile.relay import logevents
from parsleystile.relay import memberrow
from parsleystile.relay import targetreports
from parsleystile.relay import telemetry
from parsleystile import wire
from tests import asyncutil
from tests import platformfleet


def _settings_file(**changes):
    result = {
        'node_name': 'n1',
        'ip_address': '10.1.0.2',
        'zone': 'savo-a',
        'region': 'savo',
        'zones': {'savo-a': 'savo', 'savo-b': 'savo'},
        'listen_addresses': {
            'inbound': '10.1.0.2:1',
            'outbound': '10.1.0.2:2',
            'ready': '10.1.0.2:3',
            'control': '10.1.0.2:4',
        },
        'internal_port_range': [7000, 7015],
        'app_address': '10.1.0.2:5',
        'service': 'yard',
        'platform': {'address': '10.2.0.7:6', 'form': 'table'},
        'bounds': {'grace': '6s', 'retry_budget_ratio': 0.2},
        'never_heard_of': {'a': 1},
    }
    result.update(changes)
    return json.dumps(result).encode()


class TestUnits:
    @pytest.mark.parametrize(
        ('text', 'ms'), [('1500ms', 1500.0), ('2.5s', 2500.0), ('0ms', 0.0)]
    )
    def test_durations(self, text, ms):
        assert units.duration_ms(text) == ms

    @pytest.mark.parametrize(
        'text', ['', '5', 's', 'ms', '-1s', 'nans', 'infs', '1h', None, 7]
    )
    def test_invalid_durations_are_rejected(self, text):
        with pytest.raises(units.UnitError, match='no duration'):
            units.duration_ms(text)

    def test_versions(self):
        assert units.version_number('0000000c') == 12
        with pytest.raises(units.UnitError, match="'xyz' is no version"):
            units.version_number('xyz')


class TestSettings:
    def test_a_settings_file_is_decoded(self):
        result = settings.parse(_settings_file())
        assert str(result.callers) == '10.1.0.2:2'
        assert str(result.target) == '10.1.0.2:5'
        assert str(result.store) == '10.2.0.7:6'
        assert result.stop_ms == 6000.0
        assert result.repeat_window_ms == 10_000.0

    @pytest.mark.parametrize(
        ('changes', 'path'),
        [
            ({'node_name': 5}, 'node_name'),
            ({'platform': {}}, 'platform'),
            ({'app_address': 'nowhere'}, 'app_address'),
            ({'internal_port_range': [7000]}, 'internal_port_range'),
            ({'bounds': {'grace': 'soon'}}, 'bounds.grace'),
            ({'bounds': {'budget_window': '7'}}, 'bounds.budget_window'),
        ],
    )
    def test_errors_name_the_field(self, changes, path):
        with pytest.raises(errors.SettingsError) as caught:
            settings.parse(_settings_file(**changes))
        assert caught.value.path == path

    def test_check_validates_without_starting(self, tmp_path, capsys):
        path = tmp_path / 'boot.json'
        path.write_bytes(_settings_file())
        assert process.main(['--check', str(path)]) == 0
        assert ': valid' in capsys.readouterr().out
        path.write_bytes(_settings_file(app_address='nowhere'))
        assert process.main(['--check', str(path)]) == 2
        stderr = capsys.readouterr().err
        assert stderr == "settings: app_address: 'nowhere' is no IP:PORT\n"
        assert process.main(['--chekc']) == 2

    def test_a_missing_file_is_an_error(self, monkeypatch):
        monkeypatch.setenv(settings.PATH_VARIABLE, '/nonexistent/boot.json')
        with pytest.raises(errors.SettingsError, match='No such file'):
            settings.load()
        monkeypatch.delenv(settings.PATH_VARIABLE)
        with pytest.raises(errors.SettingsError, match='is not set'):
            settings.load()


def _decode(document, domains_out=()):
    data = json.dumps(document).encode()
    return config.decode(config.encode(data, domains_out))


class TestConfig:
    def test_a_document_is_decoded_into_a_policy(self):
        result = _decode(platformfleet.document(version=12), ['b'])
        assert result.version == 12
        assert result.domains_out == {'b'}
        route = result.match(platformfleet.HOST, '/reserve/x')
        assert not route.is_idempotent
        assert route.timeout_ms == 2000.0
        assert result.match(platformfleet.HOST, '/lookup/x').is_open
        owner = result.organisation_of(platformfleet.KEY)
        assert owner.rate_per_s == 1000

    @pytest.mark.parametrize('route_type', ['safe', 'download'])
    def test_reads_may_be_repeated(self, route_type):
        document = platformfleet.document()
        document['virtual_hosts'][0]['paths'][0]['type'] = route_type
        assert (
            _decode(document)
            .match(platformfleet.HOST, '/stock/x')
            .is_idempotent
        )

    def test_an_unknown_type_is_not_idempotent(self):
        document = platformfleet.document()
        document['virtual_hosts'][0]['paths'][0]['type'] = 'keyed'
        route = _decode(document).match(platformfleet.HOST, '/stock/x')
        assert not route.is_idempotent

    def test_a_traffic_split_sets_the_destinations(self):
        document = platformfleet.document()
        path = document['virtual_hosts'][0]['paths'][0]
        del path['service']
        path['traffic_split'] = [
            {'service': 'yard', 'weight': 90},
            {'service': 'stock', 'weight': 10},
        ]
        route = _decode(document).match(platformfleet.HOST, '/stock/x')
        assert [d.weight for d in route.destinations] == [90, 10]

    @pytest.mark.parametrize(
        ('change', 'why'),
        [
            ({'version': 'later'}, 'no version'),
            ({'version': 3}, 'Expected `str`'),
            ({'virtual_hosts': None}, 'Expected `array`'),
            ({'services': []}, "no service 'yard'"),
            (
                {
                    'tenants': [
                        {'name': 'a', 'api_keys': ['k']},
                        {'name': 'b', 'api_keys': ['k']},
                    ]
                },
                'two organisations',
            ),
            ({'limits': {'idle_timeout': 15}}, 'Expected `str`'),
        ],
    )
    def test_an_invalid_document_is_rejected_with_a_reason(self, change, why):
        result = _decode(platformfleet.document() | change)
        assert isinstance(result, errors.SettingsError)
        assert why in str(result)

    @pytest.mark.parametrize('length', range(0, 900, 97))
    def test_a_truncated_document_is_rejected(self, length):
        data = json.dumps(platformfleet.document()).encode()[:length]
        result = config.decode(config.encode(data, ()))
        assert isinstance(result, errors.SettingsError)

    def test_an_invalid_payload_is_rejected(self):
        assert isinstance(config.decode(b'\xc1'), errors.SettingsError)


_HEARTBEAT = {
    'service': 'yard',
    'address': '10.1.0.2:5',
    'zone': 'savo-a',
    'version': 'v1',
    'slots': 27,
    'state': 'ready',
    'cold_remaining': '1500ms',
    'sequence': 4,
    'born': 1768716105218,
}


def _report(path, body):
    """Send a report to a listener; return the status and its reports."""
    accepted = []

    async def send():
        clock = clocks.system_clock()
        descriptor = os.open(os.devnull, os.O_WRONLY)
        recorder = telemetry.recorder('n1', clock, descriptor)
        listener = listeners.ReportListener(
            '10.1.0.2:5', {'yard'}.__contains__, accepted.append, recorder
        )
        server = httpserver.http_server(clock, frozenset(), listener.handle)
        host, port = await server.listen('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(host, port)
        head = f'POST {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n'
        writer.write(head.encode() + body)
        line = await reader.readline()
        server.close()
        os.close(descriptor)
        return int(line.split()[1])

    return asyncutil.run(send()), accepted


@pytest.mark.parametrize('is_kept', [False, True])
def test_only_departures_wait_until_another_place_has_them(is_kept):
    descriptor = os.open(os.devnull, os.O_WRONLY)
    recorder = telemetry.recorder('n1', clocks.manual_clock(), descriptor)
    waiting, statuses = [], []
    listener = listeners.ReportListener(
        '10.1.0.2:5',
        {'yard'}.__contains__,
        lambda report: None,
        recorder,
        waiting.append,
    )

    def send(verb, **changes):
        body = json.dumps(_HEARTBEAT | changes).encode()
        request = types.SimpleNamespace(
            method='POST',
            path=f'/v1/instances/i-7/{verb}',
            body=body,
            is_open=True,
            answer=lambda status, headers, body: statuses.append(status),
        )
        listener.handle(request)

    send('heartbeat')
    assert (statuses, waiting) == ([200], [])
    send('heartbeat', state='draining')
    send('deregister')
    assert statuses == [200]
    for on_kept in waiting:
        on_kept(is_kept)
    assert statuses[1:] == [200 if is_kept else 503] * 2
    os.close(descriptor)


class TestReports:
    def test_a_heartbeat_becomes_a_report(self):
        status, accepted = _report(
            '/v1/instances/i-7/heartbeat', json.dumps(_HEARTBEAT).encode()
        )
        assert status == 200
        assert accepted == [
            targetreports.Report(
                'i-7',
                targetreports.TargetState.READY,
                1768716105218,
                'yard',
                27,
                1500.0,
                4,
                'v1',
            )
        ]

    @pytest.mark.parametrize('body', [b'', b'{"born":5}'])
    def test_a_deregistration_may_have_a_body(self, body):
        status, accepted = _report('/v1/instances/i-7/deregister', body)
        assert status == 200
        assert accepted[0].state is targetreports.TargetState.GONE

    @pytest.mark.parametrize(
        'change',
        [
            {'state': 'resting'},
            {'slots': 0},
            {'slots': 10**12},
            {'service': 'nowhere'},
            {'service': ''},
            {'sequence': -1},
            {'sequence': 10**30},
            {'cold_remaining': '1e12s'},
            {'born': 2**60},
            {'slots': '27'},
            {'sequence': None},
            {'cold_remaining': 'a while'},
            {'address': '10.9.9.9:5'},
            {'service': 7},
            {'born': 'today'},
        ],
    )
    def test_an_invalid_heartbeat_is_rejected(self, change):
        status, accepted = _report(
            '/v1/instances/i-7/heartbeat',
            json.dumps(_HEARTBEAT | change).encode(),
        )
        assert status == 400
        assert accepted == []

    @pytest.mark.parametrize(
        'path',
        [
            '/v1/instances//heartbeat',
            '/v1/instances/i-7',
            '/v1/instances/i-7/other',
            '/elsewhere',
        ],
    )
    def test_other_paths_are_rejected(self, path):
        status, accepted = _report(path, json.dumps(_HEARTBEAT).encode())
        assert status == 400
        assert accepted == []

    @pytest.mark.parametrize('body', [b'', b'\xff', b'[]', b'{"service":'])
    def test_an_unparsable_heartbeat_is_rejected(self, body):
        assert _report('/v1/instances/i-7/heartbeat', body) == (400, [])


_ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.integers(min_value=2**31),
    st.floats(),
    st.text(max_size=300),
    st.lists(st.integers(), max_size=2),
    st.sampled_from(['yard', 'ready', 'draining', '10.1.0.2:5', '5s', 'nans']),
)


@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
@hypothesis.given(
    changes=st.dictionaries(
        st.sampled_from(sorted(_HEARTBEAT)), _ODD_VALUES, max_size=2
    ),
    target_id=st.text(
        st.characters(codec='ascii', exclude_characters='/'), max_size=250
    ),
)
def test_a_report_that_is_accepted_can_be_sent_on(changes, target_id):
    # A report of 10^12 slots broke the answers between nodes.
    accepted = []
    answers = []
    descriptor = os.open(os.devnull, os.O_WRONLY)
    recorder = telemetry.recorder('n1', clocks.manual_clock(), descriptor)
    listener = listeners.ReportListener(
        '10.1.0.2:5', {'yard'}.__contains__, accepted.append, recorder
    )
    request = types.SimpleNamespace(
        method='POST',
        path=f'/v1/instances/{target_id}/heartbeat',
        body=json.dumps(_HEARTBEAT | changes).encode(),
        answer=lambda status, headers, body: answers.append(status),
    )
    listener.handle(request)
    os.close(descriptor)
    assert answers == [200 if accepted else 400]
    for report in accepted:
        row = memberrow.Row(
            node_id='n1',
            domain='a',
            region='r',
            host='h',
            port=1,
            service=report.service,
            target_id=report.target_id,
            slots=report.slots,
            departed_born_ms=report.started_ms,
        )
        assert memberrow.decode_row(memberrow.encode_row(row)) == row
        load = ttypes.Load(report.slots, report.slots, 0, 3.0)
        refusal = errors.not_run(errors.Reason.SHED)
        answer = wire.answer_from_refusal(1, refusal, 0, load)
        assert wire.encode(wire.FrameKind.ANSWER, answer)


class TestLogWriter:
    def _read_lines(self, log, reader):
        log.flush()
        return [
            msgspec.json.decode(line)
            for line in os.read(reader, 1 << 20).splitlines()
        ]

    def test_the_rate_limit_counts_suppressed_lines(self):
        reader, writer = os.pipe()
        clock = clocks.manual_clock()
        recorder = telemetry.recorder('n1', clock, writer)
        line = logevents.InputRejected(where='x', why='y')
        accepted = sum(recorder.log.write(line) for _ in range(1000))
        assert accepted < 100
        clock.advance(1_000.0)
        recorder.log.write(line)
        written = self._read_lines(recorder.log, reader)
        assert len(written) == accepted + 1
        assert written[-1]['suppressed'] == 1000 - accepted
        assert written[0]['event'] == 'input-rejected'
        assert written[0]['node'] == 'n1'

    def test_a_stalled_reader_loses_lines_without_blocking(self):
        _, writer = os.pipe()
        clock = clocks.manual_clock()
        recorder = telemetry.recorder('n1', clock, writer)
        why = 'z' * 2_000
        for _ in range(2_000):
            clock.advance(100.0)
            recorder.log.write(logevents.InputRejected(where='x', why=why))
            recorder.log.flush()
        assert recorder.log.dropped > 0

    def test_a_closed_reader_loses_lines_only(self):
        reader, writer = os.pipe()
        os.close(reader)
        recorder = telemetry.recorder('n1', clocks.manual_clock(), writer)
        recorder.log.write(logevents.InputRejected(where='x', why='y'))
        recorder.log.flush()
        assert recorder.log.dropped == 1


def test_the_directory_does_not_shadow_the_standard_module():
    import platform

    assert platform.python_version_tuple()[0] == '3'


class _Node:
    service = 'yard'


def test_changed_settings_are_applied_without_a_signal(tmp_path, monkeypatch):
    path = tmp_path / 'boot.json'
    path.write_bytes(_settings_file())
    monkeypatch.setenv(settings.PATH_VARIABLE, str(path))
    reader, writer = os.pipe()
    recorder = telemetry.recorder('n1', clocks.manual_clock(), writer)
    node = _Node()
    watcher = process.SettingsWatcher(settings.load(), node, recorder)
    path.write_bytes(b'{"node_name":')
    os.utime(path, ns=(1, 1))
    watcher.poll()
    assert node.service == 'yard'
    path.write_bytes(_settings_file(service='stock', zone='savo-b'))
    os.utime(path, ns=(2, 2))
    watcher.poll()
    watcher.poll()
    assert node.service == 'stock'
    recorder.log.flush()
    written = [
        msgspec.json.decode(line)
        for line in os.read(reader, 1 << 20).splitlines()
    ]
    assert [line['event'] for line in written] == ['input-rejected', 'process']
    assert 'after a restart: domain' in written[1]['detail']
