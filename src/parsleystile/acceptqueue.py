"""Connections that the kernel has accepted and the event loop has not."""

import socket
import typing


def accept_queued(
    listening: socket.socket,
) -> list[tuple[socket.socket, typing.Any]]:
    """Accept all connections in the queue of a non-blocking socket.

    Closing a listening socket resets the connections in its queue, whose
    callers may have sent a request already.

    Returns:
        Non-blocking sockets, each with the address of its peer.
    """
    accepted = []
    while True:
        try:
            connection, address = listening.accept()
        except ConnectionAbortedError:
            continue
        except OSError:
            # The queue is empty, or the socket is closed.
            return accepted
        connection.setblocking(False)
        accepted.append((connection, address))
