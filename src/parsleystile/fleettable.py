"""Shows what the nodes of a fleet have in force, as one of them tells it."""

import msgspec
import tornado.httpclient

from parsleystile import errors
from parsleystile import exitcodes
from parsleystile.relay import fleetstatus

PATH = '/fleet'
_TIMEOUT_S = 5.0
_HEADINGS = (
    'failure domain',
    'nodes',
    'configuration',
    'settings',
    'silent',
    'waiting for',
)


def fetch(address: str) -> fleetstatus.FleetStatus:
    """Ask the metrics listener of a node.

    Args:
        address: ``IP:PORT`` of the listener.

    Raises:
        errors.CommandFailure: The node does not answer or answers otherwise.
    """
    client = tornado.httpclient.HTTPClient()
    try:
        answer = client.fetch(
            f'http://{address}{PATH}', request_timeout=_TIMEOUT_S
        )
        return msgspec.json.decode(answer.body, type=fleetstatus.FleetStatus)
    except (
        OSError,
        ValueError,
        tornado.httpclient.HTTPError,
        msgspec.MsgspecError,
    ) as exc:
        raise errors.CommandFailure(
            f'no status from {address!r}: {exc}',
            exitcodes.ExitCode.UNREACHABLE,
        ) from None
    finally:
        client.close()


def render(status: fleetstatus.FleetStatus) -> str:
    """Return a table with a line for each failure domain."""
    version = status.policy_version
    rows = [_HEADINGS]
    for domain in status.domains:
        rows.append(
            (
                domain.domain,
                str(domain.nodes),
                f'{domain.in_force}/{domain.nodes}',
                f'{domain.settings_current}/{domain.nodes}',
                str(domain.silent),
                ' '.join(domain.waiting_for),
            )
        )
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
    title = 'no configuration' if version is None else f'version {version}'
    return '\n'.join([title, *lines]) + '\n'
