"""Recording of events as JSON lines, and reading of several records.

A node records only when it is given a ``Recorder``. ``checks`` judges what
``merge`` returns.
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
DEFAULT_MEMORY_ENTRIES = 100_000
DEFAULT_FILE_BYTES = 256 * 1024 * 1024


class TimeAxis(enum.Enum):
    """By which clock the records of several processes are merged."""

    # Processes of one machine share the clock since boot; it never steps.
    BOOT = 'boot'
    # Between VMs only the wall clocks can be compared, up to their skew.
    WALL = 'wall'


class Recorder(abc.ABC):
    """Takes events in the order in which they happen; never takes back.

    A part of a node that has none keeps None, so that an unrecorded event
    costs one comparison.
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
        """Keep one entry."""

    @abc.abstractmethod
    def close(self) -> None:
        """Write what is buffered and release the file, if there is one."""


class MemoryRecorder(Recorder):
    """Keeps the latest entries in memory and counts those dropped."""

    def __init__(
        self, node_id: ids.NodeId, time: clock.Clock, bound: int
    ) -> None:
        super().__init__(node_id, time)
        self._entries: collections.deque[events.Entry] = collections.deque(
            maxlen=bound
        )

    @property
    def entries(self) -> list[events.Entry]:
        """The entries kept, oldest first."""
        return list(self._entries)

    def _append(self, entry: events.Entry) -> None:
        self.dropped += len(self._entries) == self._entries.maxlen
        self._entries.append(entry)

    def close(self) -> None:
        """Keep the entries; there is nothing to release."""


class FileRecorder(Recorder):
    """Appends JSON lines to a file, several entries a write.

    Once the file has reached its bound, further entries are dropped and
    counted: a record must not fill the memory of a VM without disks.
    """

    def __init__(
        self,
        node_id: ids.NodeId,
        time: clock.Clock,
        file: io.FileIO,
        buffer_entries: int,
        file_bytes: int,
    ) -> None:
        super().__init__(node_id, time)
        self._file = file
        self._buffer: list[events.Entry] = []
        self._buffer_entries = buffer_entries
        self._left_bytes = file_bytes
        self._encoder = msgspec.json.Encoder()

    def flush(self) -> None:
        """Write what is buffered."""
        data = self._encoder.encode_lines(self._buffer)
        if len(data) > self._left_bytes:
            self.dropped += len(self._buffer)
        else:
            self._left_bytes -= len(data)
            self._file.write(data)
        self._buffer.clear()

    def close(self) -> None:
        """Write what is buffered and close the file."""
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
    entries: int = DEFAULT_MEMORY_ENTRIES,
) -> MemoryRecorder:
    """Create a recorder that keeps the latest ``entries`` in memory."""
    return MemoryRecorder(node_id, time, entries)


def file_recorder(
    node_id: ids.NodeId,
    time: clock.Clock,
    path: str | pathlib.Path,
    buffer_entries: int = DEFAULT_BUFFER_ENTRIES,
    file_bytes: int = DEFAULT_FILE_BYTES,
) -> FileRecorder:
    """Create a recorder that appends to the file at ``path``.

    With ``buffer_entries=1`` each event is with the operating system when
    ``record`` returns, so that a killed process loses none.
    """
    # Unbuffered, in append mode: each flush is one write of whole lines.
    file = open(path, 'ab', buffering=0)  # noqa: SIM115
    return FileRecorder(node_id, time, file, buffer_entries, file_bytes)


def read_entries(path: str | pathlib.Path) -> list[events.Entry]:
    """Read one record; a last line cut short by a kill is left out.

    Raises:
        HistoryError: A whole line is no entry.
    """
    decoder = msgspec.json.Decoder(events.Entry)
    lines = pathlib.Path(path).read_bytes().split(b'\n')
    entries = []
    # What follows the last newline is empty or was being written.
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
    """Put the entries of several records on one time axis, in order.

    Entries of one recorder keep their order where times are equal.
    """
    entries = [entry for record in records for entry in record]
    is_boot = axis is TimeAxis.BOOT
    placed = [
        (e.now_ms if is_boot else e.wall_ms, e.sequence, e) for e in entries
    ]
    placed.sort(key=lambda item: item[:2])
    return [
        events.Occurrence(at_ms, entry.node_id, entry.event)
        for at_ms, _, entry in placed
    ]


def read(
    paths: typing.Iterable[str | pathlib.Path],
    axis: TimeAxis = TimeAxis.BOOT,
) -> list[events.Occurrence]:
    """Read and merge the records of several processes."""
    return merge((read_entries(path) for path in paths), axis)
