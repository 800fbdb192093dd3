"""Records events as JSON lines and merges the records of several processes.

A node records events only if it has a ``Recorder``. ``checks`` checks the
history that ``merge`` returns.
"""

import abc
import collections
import enum
import io
import pathlib
import typing

import msgspec

from parsleystile import clock
from parsleystile import errors
from parsleystile import events
from parsleystile import ids

DEFAULT_BUFFER_ENTRIES = 256
DEFAULT_MAX_ENTRIES = 100_000
DEFAULT_MAX_FILE_BYTES = 256 * 1024 * 1024


class TimeAxis(enum.Enum):
    """The clock by which the records of several processes are merged."""

    # Monotonic clock since boot, shared by all processes of one machine.
    BOOT = 'boot'
    # The only clock comparable between VMs, with an error of their skew.
    WALL = 'wall'


class Recorder(abc.ABC):
    """Appends events in the order in which they happen.

    A component without a recorder has None instead, so that an event that
    is not recorded costs only one comparison.

    Attributes:
        dropped: Number of entries dropped because the recorder was full.
    """

    def __init__(self, node_id: ids.NodeId, time: clock.Clock) -> None:
        self._node_id = node_id
        self._clock = time
        self._sequence = 0
        self.dropped = 0

    def record(self, event: events.Event) -> None:
        """Append ``event`` with the time and the id of this node."""
        self._sequence += 1
        self._append(
            events.Entry(
                node_id=self._node_id,
                sequence=self._sequence,
                wall_ms=self._clock.wall_ms(),
                now_ms=self._clock.now_ms(),
                event=event,
            )
        )

    @abc.abstractmethod
    def _append(self, entry: events.Entry) -> None:
        """Store one entry."""

    @abc.abstractmethod
    def close(self) -> None:
        """Write buffered entries and close the file, if there is one."""


class MemoryRecorder(Recorder):
    """Keeps the latest entries in memory and counts those dropped."""

    def __init__(
        self, node_id: ids.NodeId, time: clock.Clock, max_entries: int
    ) -> None:
        super().__init__(node_id, time)
        self._entries: collections.deque[events.Entry] = collections.deque(
            maxlen=max_entries
        )

    @property
    def entries(self) -> list[events.Entry]:
        """The stored entries, oldest first."""
        return list(self._entries)

    def _append(self, entry: events.Entry) -> None:
        self.dropped += len(self._entries) == self._entries.maxlen
        self._entries.append(entry)

    def close(self) -> None:
        """Do nothing; the entries remain available."""


class FileRecorder(Recorder):
    """Appends JSON lines to a file, with several entries per write.

    Entries that would exceed the maximum file size are dropped and counted,
    because on a VM without disks the file takes up memory.
    """

    def __init__(
        self,
        node_id: ids.NodeId,
        time: clock.Clock,
        file: io.FileIO,
        buffer_entries: int,
        max_file_bytes: int,
    ) -> None:
        super().__init__(node_id, time)
        self._file = file
        self._buffer: list[events.Entry] = []
        self._buffer_entries = buffer_entries
        self._remaining_bytes = max_file_bytes
        self._encoder = msgspec.json.Encoder()

    def flush(self) -> None:
        """Write the buffered entries."""
        data = self._encoder.encode_lines(self._buffer)
        if len(data) > self._remaining_bytes:
            self.dropped += len(self._buffer)
        else:
            self._remaining_bytes -= len(data)
            self._file.write(data)
        self._buffer.clear()

    def close(self) -> None:
        """Write the buffered entries and close the file."""
        if not self._file.closed:
            self.flush()
            self._file.close()

    def _append(self, entry: events.Entry) -> None:
        self._buffer.append(entry)
        if len(self._buffer) >= self._buffer_entries:
            self.flush()


def memory_recorder(
    node_id: ids.NodeId,
    time: clock.Clock,
    max_entries: int = DEFAULT_MAX_ENTRIES,
) -> MemoryRecorder:
    """Create a recorder that keeps the latest ``max_entries`` in memory."""
    return MemoryRecorder(node_id, time, max_entries)


def file_recorder(
    node_id: ids.NodeId,
    time: clock.Clock,
    path: str | pathlib.Path,
    buffer_entries: int = DEFAULT_BUFFER_ENTRIES,
    max_file_bytes: int = DEFAULT_MAX_FILE_BYTES,
) -> FileRecorder:
    """Create a recorder that appends to the file at ``path``.

    With ``buffer_entries=1`` each event has been passed to the operating
    system when ``record`` returns, so that a killed process loses none.
    """
    # Unbuffered, in append mode: each flush is one write of complete lines.
    file = open(path, 'ab', buffering=0)  # noqa: SIM115
    return FileRecorder(node_id, time, file, buffer_entries, max_file_bytes)


def read_entries(path: str | pathlib.Path) -> list[events.Entry]:
    """Read one record, without a last line truncated by a kill.

    Raises:
        HistoryError: A complete line is not a valid entry.
    """
    decoder = msgspec.json.Decoder(events.Entry)
    lines = pathlib.Path(path).read_bytes().split(b'\n')
    entries = []
    # The text after the last newline is empty or an incomplete entry.
    for number, line in enumerate(lines[:-1], start=1):
        try:
            entries.append(decoder.decode(line))
        except msgspec.DecodeError as exc:
            raise errors.HistoryError(str(path), number, str(exc)) from exc
    return entries


def merge(
    records: typing.Iterable[typing.Iterable[events.Entry]],
    axis: TimeAxis = TimeAxis.BOOT,
) -> list[events.Occurrence]:
    """Merge the entries of several records in order of time.

    Entries of one recorder keep their order if their times are equal.
    """
    entries = [entry for record in records for entry in record]
    uses_boot_clock = axis is TimeAxis.BOOT
    timed_entries = [
        (e.now_ms if uses_boot_clock else e.wall_ms, e.sequence, e)
        for e in entries
    ]
    timed_entries.sort(key=lambda item: item[:2])
    return [
        events.Occurrence(at_ms, entry.node_id, entry.event)
        for at_ms, _, entry in timed_entries
    ]


def read(
    paths: typing.Iterable[str | pathlib.Path],
    axis: TimeAxis = TimeAxis.BOOT,
) -> list[events.Occurrence]:
    """Read and merge the records of several processes."""
    return merge((read_entries(path) for path in paths), axis)
