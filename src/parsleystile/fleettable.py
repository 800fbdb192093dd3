"""Shows what the nodes of a fleet have in force, as one of them tells it."""

import typing

import msgspec
import tornado.httpclient

from parsleystile import errors
from parsleystile import exitcodes
from parsleystile.relay import fleetstatus
from parsleystile import render

_TIMEOUT_S = 5.0
_HEADINGS = (
    'failure domain',
    'nodes',
    'configuration',
    'settings',
    'silent',
    'waiting for',
)
_ROLLOUT_HEADINGS = (
    'service',
    'roll-out to',
    'stage',
    'version',
    'failure domain',
    'nodes',
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
            f'http://{address}{fleetstatus.PATH}', request_timeout=_TIMEOUT_S
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


def text(status: fleetstatus.FleetStatus) -> str:
    """Return a table with a line for each failure domain."""
    version = status.policy_version
    title = 'no configuration' if version is None else f'version {version}'
    table = render.table(
        _HEADINGS,
        [
            (
                domain.domain,
                domain.nodes,
                f'{domain.in_force}/{domain.nodes}',
                f'{domain.settings_current}/{domain.nodes}',
                domain.silent,
                ' '.join(domain.waiting_for),
            )
            for domain in status.domains
        ],
    )
    shown = f'{title}\n{render.text(table)}'
    if not status.rollouts:
        return shown
    return f'{shown}\n\n{_rollouts_text(status.rollouts)}'


def _rollouts_text(
    rollouts: typing.Iterable[fleetstatus.RolloutStatus],
) -> str:
    rows = [
        (
            rollout.service,
            rollout.version,
            rollout.stage,
            version or '-',
            domain,
            count,
        )
        for rollout in rollouts
        for version, counts in sorted(rollout.nodes.items())
        for domain, count in sorted(counts.items())
    ]
    return render.text(render.table(_ROLLOUT_HEADINGS, rows))
