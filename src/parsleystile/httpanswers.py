"""Answers and refusals as parts of HTTP responses."""

import json

from tornado import httputil

from parsleystile import context
from parsleystile import errors
from parsleystile import exchange as exchanges

_OUTCOME_NAMES = {
    errors.Outcome.ANSWERED: 'answered',
    errors.Outcome.NOT_RUN: 'not-run',
    errors.Outcome.UNKNOWN: 'unknown',
}
_PROBLEM_TYPE = 'application/problem+json'
_PROBLEM_URI = 'urn:parsleystile:refusal:'
_MS_PER_S = 1000
# A status without a body by definition (RFC 9110, 6.4.1).
_BODILESS_STATUSES = frozenset({204, 304})


def answer_parts(
    answer: exchanges.Answer, method: str
) -> tuple[int, httputil.HTTPHeaders, bytes]:
    """Return status, headers and body of a target's answer."""
    headers = httputil.HTTPHeaders()
    pairs = answer.headers
    for i in range(0, len(pairs), 2):
        # Setting a header takes a tenth of the time of adding one.
        if pairs[i] in headers:
            headers.add(pairs[i], pairs[i + 1])
        else:
            headers[pairs[i]] = pairs[i + 1]
    body = answer.body
    if answer.status not in _BODILESS_STATUSES and method != 'HEAD':
        headers['Content-Length'] = str(len(body))
    headers[exchanges.OUTCOME_HEADER] = 'answered'
    return answer.status, headers, body


def refusal_parts(
    refusal: errors.Refusal, call_context: context.CallContext | None = None
) -> tuple[int, httputil.HTTPHeaders, bytes]:
    """Return status, headers and problem document of a refusal."""
    outcome = _OUTCOME_NAMES[refusal.outcome]
    name = refusal.reason.name.lower().replace('_', '-')
    document: dict[str, object] = {
        'type': _PROBLEM_URI + name,
        'title': name.replace('-', ' '),
        'status': refusal.status,
        'detail': refusal.detail,
        'outcome': outcome,
    }
    headers = httputil.HTTPHeaders()
    headers['Content-Type'] = _PROBLEM_TYPE
    headers[exchanges.OUTCOME_HEADER] = outcome
    if call_context is not None:
        # The argument of `parsleystile explain`.
        document['root_id'] = call_context.root_id
    if refusal.retry_after_ms > 0:
        # Retry-After is in whole seconds; the document keeps the exact
        # value, jitter included.
        document['retry_after_ms'] = refusal.retry_after_ms
        retry_after_s = -(-refusal.retry_after_ms // _MS_PER_S)
        headers['Retry-After'] = str(retry_after_s)
    body = json.dumps(document).encode()
    headers['Content-Length'] = str(len(body))
    return refusal.status, headers, body


def _last_answer() -> bytes:
    refusal = errors.not_run(
        errors.Reason.LEAVING,
        'this node is stopping',
        errors.UNAVAILABLE_RETRY_AFTER_MS,
    )
    status, headers, body = refusal_parts(refusal)
    headers['Connection'] = 'close'
    lines = [f'HTTP/1.1 {status} ']
    lines += [f'{name}: {value}' for name, value in headers.get_all()]
    return '\r\n'.join([*lines, '', '']).encode() + body


# For connections that are open at the end of the process.
LAST_ANSWER = _last_answer()
