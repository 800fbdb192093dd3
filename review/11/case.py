"""An interim answer is written into the body of the answer before it."""

import asyncio
import pathlib
import sys

import standins

# Larger than what the sockets of both ends take.
_ANSWER_BYTES = 12_000_000
_READ_BYTES = 65_536


async def _read_answer(connection, size):
    """Read an answer as it comes; return its status, headers and body."""
    while True:
        head = await standins.read_head(connection.reader)
        if head is None:
            return None
        first, headers = head
        status = int(first.split(' ')[1])
        if status >= 200:
            break
    length = int(headers.get('content-length', 0))
    parts = []
    while length:
        data = await connection.reader.read(min(length, _READ_BYTES))
        if not data:
            return None
        parts.append(data)
        length -= len(data)
    return status, headers, b''.join(parts)


async def case(fleet):
    """Play the exchange three times."""
    record = fleet.record
    breaches = []
    machine = fleet.machines[0]
    for number in range(3):
        breaches += await _play(fleet, machine, number)
    for other in fleet.machines:
        record.note(f'{other.name} ran {len(other.target.runs)} requests')
    return breaches


async def _play(fleet, machine, number):
    record = fleet.record
    first, second = standins.new_attempt(), standins.new_attempt()
    body = b'x' * 200
    head = standins.request_head(
        f'/safe/stock/a?size={_ANSWER_BYTES}', first, 5000
    )
    connection = await standins.connect(
        machine.outbound, fleet.client, _READ_BYTES
    )
    async with connection:
        connection.writer.write(standins.encode(*head))
        record.note(f'{number}: sent {first}')
        answered = None
        if not standins.is_troubled():
            answered = await _read_answer(connection, _ANSWER_BYTES)
        else:
            # The client is slow; meanwhile it sends its next request.
            await asyncio.sleep(0.7)
        head = standins.request_head(
            '/safe/stock/b?size=30',
            second,
            5000,
            'POST',
            [('Expect', '100-continue')],
        )
        data = standins.encode(*head, body)
        connection.writer.write(data[: -len(body)])
        record.note(f'{number}: sent the head of {second}')
        await asyncio.sleep(0.3)
        if answered is None:
            answered = await _read_answer(connection, _ANSWER_BYTES)
        breaches = _check(record, number, first, answered, _ANSWER_BYTES)
        if breaches:
            return breaches
        connection.writer.write(body)
        answered = await _read_answer(connection, 30)
        return _check(record, number, second, answered, 30)


def _check(record, number, attempt, answered, size):
    if answered is None:
        record.note(f'{number}: {attempt}: the connection ended')
        return []
    status, headers, body = answered
    record.note(f'{number}: {attempt}: {status}, {len(body)} bytes')
    if not 200 <= status < 300:
        return []
    expected = standins.body_of(attempt, size)
    if body == expected and 'parsleystile-server-signature' in headers:
        return []
    at = next(
        (i for i in range(len(body)) if body[i] != expected[i]), len(body)
    )
    found = body[at : at + 40]
    return [f'MIXED: {attempt} has other bytes from {at} on: {found!r}']


if __name__ == '__main__':
    sys.exit(
        standins.run(
            case,
            pathlib.Path(__file__).parent,
            [('a', 'stock'), ('a', 'stock'), ('b', 'stock')],
        )
    )
