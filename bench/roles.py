"""What each role of a node costs, and which measurement tells it."""

import dataclasses

NODES = 6200
SERVICES = 350
CALLS_PER_S = 1_400_000
CALLS_PER_NODE_PER_S = CALLS_PER_S / NODES
CHANGES_PER_DAY = 4200
MS_PER_DAY = 86_400_000
# A node's budgets for control.
CORE_SHARE = 0.017
CONTROL_CPU_MS_PER_S = CORE_SHARE * 1000
CONTROL_BYTES_PER_S = 26_000
MEMORY_KIB = 256 * 1024
ADDED_P99_MS = 0.37
IN_FORCE_MS = 16_000
# The platform's table, shared with everything else that uses it.
TABLE_WRITES_PER_S = 300
TABLE_READS_PER_S = 2000
# Organisations are not part of the stated target; this is an assumption.
ORGANISATIONS = 1000
ORGANISATIONS_PER_NODE = 256
CONNECTIONS_PER_TARGET = 1600


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One figure of a role at the target size.

    Attributes:
        what: The figure and its unit of account.
        series: Name of a result of a bench; ``*`` stands for its size.
        size: Size at which the fitted line is read.
        times: Multiplies what was read.
        unit: Unit of the product.
        bound: Largest value that the target allows; None if it names none.
    """

    what: str
    series: str
    size: float
    unit: str
    times: float = 1.0
    bound: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Role:
    """A part that every node plays."""

    name: str
    figures: tuple[Figure, ...]


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
                'processor time for calls, all nodes of a call',
                'latency.chain1.cpu_all_nodes',
                1,
                'ms/s a node',
                times=CALLS_PER_NODE_PER_S,
            ),
        ),
    ),
    Role(
        'config holder',
        (
            Figure(
                'document, encoded',
                'document.size_bytes[organisations=*]',
                ORGANISATIONS,
                'bytes',
            ),
            Figure(
                'processor time of changes',
                'document.decode_ms[organisations=*]',
                ORGANISATIONS,
                'ms/s a node',
                times=CHANGES_PER_DAY / MS_PER_DAY * 1000,
                bound=CONTROL_CPU_MS_PER_S,
            ),
            Figure(
                'bytes of changes, whole documents',
                'document.size_bytes[organisations=*]',
                ORGANISATIONS,
                'bytes/s a node',
                times=CHANGES_PER_DAY / MS_PER_DAY * 1000,
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
                'burn snapshot of one node',
                'burn_snapshot[organisations=*]',
                ORGANISATIONS_PER_NODE,
                'bytes',
            ),
            Figure(
                'burn report, fetched from all nodes',
                'burn_snapshot[organisations=*]',
                ORGANISATIONS_PER_NODE,
                'bytes',
                times=NODES,
            ),
            Figure(
                'processor time of counting',
                'burn_record_answered',
                1,
                'ms/s a node',
                times=CALLS_PER_NODE_PER_S / 1000,
                bound=CONTROL_CPU_MS_PER_S,
            ),
        ),
    ),
)
