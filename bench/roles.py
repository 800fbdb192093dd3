"""Figures of each role of a node and the measurements behind them."""

import dataclasses

NODES = 6200
SERVICES = 350
CALLS_PER_S = 1_400_000
CALLS_PER_NODE_PER_S = CALLS_PER_S / NODES
CHANGES_PER_DAY = 4200
MS_PER_DAY = 86_400_000
# Budgets of a node for control traffic.
CPU_SHARE = 0.017
CONTROL_CPU_MS_PER_S = CPU_SHARE * 1000
CONTROL_BYTES_PER_S = 26_000
MEMORY_KIB = 256 * 1024
ADDED_P99_MS = 0.37
IN_FORCE_MS = 16_000
# Limits of the platform's table, which other users share.
TABLE_WRITES_PER_S = 300
TABLE_READS_PER_S = 2000
# Organisations are not part of the target size; this is an assumption.
ORGANISATIONS = 1000
ORGANISATIONS_PER_NODE = 256
CONNECTIONS_PER_TARGET = 1600


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One figure of a role at the target size.

    Attributes:
        description: What is measured.
        series: Name of a benchmark result; ``*`` stands for the size.
        size: Size at which the fitted line is evaluated.
        factor: Multiplies the value of the result.
        unit: Unit of the product.
        bound: Largest value within the target; None without a target.
    """

    description: str
    series: str
    size: float
    unit: str
    factor: float = 1.0
    bound: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Role:
    """A role that every node has."""

    name: str
    figures: tuple[Figure, ...]


CHANGES_PER_S = CHANGES_PER_DAY / (MS_PER_DAY / 1000)
# Assumes that the largest service has ten times the mean size.
LARGE_SERVICE = 10 * NODES // SERVICES
QUEUED_CALLS = 100
# An arrival and a completion.
GUARD_EVENTS_PER_CALL = 2
_GUARD_MS_PER_S = CALLS_PER_NODE_PER_S * GUARD_EVENTS_PER_CALL / 1000
_CHOICE_MS_PER_S = CALLS_PER_NODE_PER_S / 1000
_MEMBERSHIP_NODE = 'membership.node_of_*'
_MEMBERSHIP_FLEET = 'membership.fleet*'
_QUOTA_FLEET = 'quota.slope.*_nodes'
_CONFIG_DOCUMENT = 'document.{}[organisations=*]'

ROLES = (
    Role(
        'ingress, egress and guard',
        (
            Figure(
                'added latency of one call, p99',
                'latency.chain1.added.p99',
                1,
                'ms',
                bound=ADDED_P99_MS,
            ),
            Figure(
                'processor time of both nodes of a call',
                'latency.chain1.cpu_all_nodes',
                1,
                'ms/s a node',
                factor=CALLS_PER_NODE_PER_S,
            ),
        ),
    ),
    Role(
        'guard: admission',
        (
            Figure(
                f'decisions with {QUEUED_CALLS} calls queued',
                'admission_event_queued_*_us',
                QUEUED_CALLS,
                'ms/s a node',
                factor=_GUARD_MS_PER_S,
            ),
        ),
    ),
    Role(
        'ingress: choice of a target',
        (
            Figure(
                f'choices among {LARGE_SERVICE} targets',
                'balancer_choose_of_*_us',
                LARGE_SERVICE,
                'ms/s a node',
                factor=_CHOICE_MS_PER_S,
            ),
        ),
    ),
    Role(
        'member',
        (
            Figure(
                'datagrams',
                f'{_MEMBERSHIP_NODE}.datagrams',
                NODES,
                '1/s a node',
            ),
            Figure(
                'bytes both ways',
                f'{_MEMBERSHIP_NODE}.bytes_both_ways',
                NODES,
                'B/s a node',
                bound=CONTROL_BYTES_PER_S,
            ),
            Figure(
                'processor time',
                f'{_MEMBERSHIP_NODE}.cpu',
                NODES,
                'ms/s a node',
                bound=CONTROL_CPU_MS_PER_S,
            ),
            Figure(
                'memory of the member list',
                f'{_MEMBERSHIP_NODE}.memory_per_member',
                NODES,
                'KiB',
                factor=NODES / 1024,
                bound=MEMORY_KIB,
            ),
            Figure(
                'a death known everywhere, by a line',
                f'{_MEMBERSHIP_FLEET}.death_known_everywhere',
                NODES,
                'ms',
                bound=IN_FORCE_MS,
            ),
            Figure(
                'views agree after a cut between regions, by a line',
                f'{_MEMBERSHIP_FLEET}.views_agree_after_cut',
                NODES,
                'ms',
            ),
        ),
    ),
    Role(
        'lease holder and borrower of rates',
        (
            Figure(
                'messages', f'{_QUOTA_FLEET}.messages', NODES, '1/s a node'
            ),
            Figure(
                'bytes sent',
                f'{_QUOTA_FLEET}.sent',
                NODES,
                'B/s a node',
                bound=CONTROL_BYTES_PER_S,
            ),
            Figure(
                'rows written to the table',
                f'{_QUOTA_FLEET}.rows_written',
                NODES,
                '1/s',
                bound=TABLE_WRITES_PER_S,
            ),
            Figure(
                'reads of the table',
                f'{_QUOTA_FLEET}.table_reads',
                NODES,
                '1/s',
                bound=TABLE_READS_PER_S,
            ),
            Figure(
                'processor time of taking from a rate',
                'quota.take.admitted',
                1,
                'ms/s a node',
                factor=_CHOICE_MS_PER_S,
            ),
        ),
    ),
    Role(
        'config holder',
        (
            Figure(
                'document, encoded',
                _CONFIG_DOCUMENT.format('size_bytes'),
                ORGANISATIONS,
                'bytes',
            ),
            Figure(
                'processor time of applying changes',
                _CONFIG_DOCUMENT.format('advance_ms'),
                ORGANISATIONS,
                'ms/s a node',
                factor=CHANGES_PER_S,
                bound=CONTROL_CPU_MS_PER_S,
            ),
            Figure(
                'longest stop of the event loop, one change',
                _CONFIG_DOCUMENT.format('advance_ms'),
                ORGANISATIONS,
                'ms',
                bound=ADDED_P99_MS,
            ),
            Figure(
                'changes fetched, each once',
                'document.record_bytes',
                1,
                'B/s a node',
                factor=CHANGES_PER_S,
                bound=CONTROL_BYTES_PER_S,
            ),
            Figure(
                'whole documents, if every change needed one',
                _CONFIG_DOCUMENT.format('size_bytes'),
                ORGANISATIONS,
                'B/s a node',
                factor=CHANGES_PER_S,
                bound=CONTROL_BYTES_PER_S,
            ),
        ),
    ),
    Role(
        'burn counters and call log',
        (
            Figure(
                'memory of burn counters',
                'burn_memory[organisations=*]',
                ORGANISATIONS_PER_NODE,
                'KiB',
                bound=MEMORY_KIB,
            ),
            Figure(
                'memory of the call log when full',
                'call_log_memory',
                1,
                'KiB',
                bound=MEMORY_KIB,
            ),
            Figure(
                'processor time of counting',
                'burn_record_answered',
                1,
                'ms/s a node',
                factor=_CHOICE_MS_PER_S,
                bound=CONTROL_CPU_MS_PER_S,
            ),
            Figure(
                'longest stop of the event loop, one snapshot',
                'burn_snapshot_ms[organisations=*]',
                ORGANISATIONS_PER_NODE,
                'ms',
                bound=ADDED_P99_MS,
            ),
            Figure(
                'one report, fetched from all nodes',
                'burn_snapshot[organisations=*]',
                ORGANISATIONS_PER_NODE,
                'MB',
                factor=NODES / 1e6,
            ),
        ),
    ),
)
