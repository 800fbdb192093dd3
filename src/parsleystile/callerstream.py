"""Stream of one caller: what it still delivers, and how its sending ends."""

import array
import contextlib
import fcntl
import socket
import termios

from tornado import iostream

_DISCARD_BYTES = 65_536


class CallerStream:
    """Stream of one connection, seen from the end of the process.

    Attributes:
        is_close_announced: Whether an answer said that it is the last.
        is_ended: Whether the last answer was written.
    """

    __slots__ = ('_stream', 'is_close_announced', 'is_ended')

    def __init__(self, stream: iostream.IOStream) -> None:
        self._stream = stream
        self.is_close_announced = False
        self.is_ended = False

    @property
    def unread_bytes(self) -> int:
        """Bytes that were received and not parsed."""
        if self._stream.closed():
            return 0
        # tornado has no public name for the size of its read buffer.
        return self._stream._read_buffer_size + self._ioctl(termios.FIONREAD)

    @property
    def is_sending(self) -> bool:
        """Whether the peer has not acknowledged all bytes of an answer."""
        if self._stream.closed():
            return False
        return self._stream.writing() or self._ioctl(termios.TIOCOUTQ) > 0

    def end(self, last: bytes = b'') -> None:
        """Write the last bytes; end the sending direction after them.

        The receiving direction stays open: closing a socket with unread
        bytes resets the connection, and the peer may lose the answer.
        """
        if self.is_ended or self._stream.closed():
            return
        self.is_ended = True
        if last or self._stream.writing():
            self._stream.write(last).add_done_callback(
                lambda written: self._shut_down()
            )
        else:
            # A later end would lose the requests that arrive before it.
            self._shut_down()

    def _shut_down(self) -> None:
        if not self._stream.closed():
            with contextlib.suppress(OSError):
                self._stream.socket.shutdown(socket.SHUT_WR)

    def discard_received(self) -> None:
        """Read what was received, so that a close does not reset."""
        if not self._stream.closed():
            with contextlib.suppress(OSError):
                while self._stream.socket.recv(_DISCARD_BYTES):
                    pass

    def _ioctl(self, request: int) -> int:
        size = array.array('i', [0])
        fcntl.ioctl(self._stream.socket, request, size)
        return size[0]


def caller_stream(stream: iostream.IOStream) -> CallerStream:
    """Create the view of an open stream."""
    return CallerStream(stream)
