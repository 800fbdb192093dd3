"""A silent backend's address goes to a backend of another service."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import standins  # noqa: E402

SLOTS = 4
# Services differ in slots.
OTHER_SLOTS = 10
REQUESTS = 12
WORK_S = 0.8
ADDRESS_REUSE_S = 2.0


async def work(backend, call, body):
    """Return the body of an answer."""
    await asyncio.sleep(WORK_S)
    return f'{call} done by {backend.service}'.encode()


async def play(fleet):
    """Play the case; return whether the rule held."""
    fleet.configure(
        [
            standins.route('reserve', '/reserve/', 'unsafe', 'loads'),
            standins.route('stock', '/stock/', 'safe', 'yard'),
        ],
        ['loads', 'yard'],
    )
    near, far = fleet.node('n1', 'a'), fleet.node('n2', 'b')
    near.write_settings('yard')
    far.write_settings('loads')
    for node in (near, far):
        await node.start()
    for node in (near, far):
        await node.wait_ready()
    other = fleet.backend('i-yard-1', 'yard', OTHER_SLOTS, work)
    await other.start(*near.app)
    fleet.spawn(other.beat_forever(near))
    first = fleet.backend('i-loads-1', 'loads', SLOTS, work)
    await first.start(*far.app)
    fleet.spawn(first.beat_forever(far))
    await standins.wait_served(fleet, near, 'POST', '/reserve/w', b'1')
    await asyncio.sleep(1.0)

    asked = [
        asyncio.create_task(
            standins.ask(
                fleet, near, 'POST', '/reserve/x', f'load-{i}', body=b'load'
            )
        )
        for i in range(REQUESTS)
    ]
    await asyncio.sleep(0.2)
    second = None
    if standins.TROUBLE:
        fleet.record.write('i-loads-1 falls silent for good')
        first.is_dark = True
        first.stop_listening()
        # A machine that is silent does not answer new connections either:
        # a listener whose queue is full lets them hang.
        clogged = await clog(*far.app)
        await asyncio.sleep(ADDRESS_REUSE_S)
        for sock in clogged:
            sock.close()
        second = fleet.backend('i-yard-2', 'yard', OTHER_SLOTS, work)
        await second.start(*far.app)
        far.write_settings('yard')
        far.process.send_signal(signal.SIGHUP)
        fleet.record.write('i-yard-2 of another service has the address')
        fleet.spawn(second.beat_forever(far))
    results = await asyncio.gather(*asked)
    foreign = []
    for backend in fleet.backends:
        if backend.service != 'loads':
            foreign += [
                (backend.name, run[0])
                for run in backend.runs
                if run[2].startswith('/reserve/')
            ]
    for name, call in foreign:
        fleet.record.write(f'ROUTE broken: {name} of yard has run {call}')
    wrong = sum(b'done by yard' in body for _, _, body in results)
    fleet.record.write(
        f'{len(foreign)} requests ran at a service that no configuration'
        f' allows; {wrong} clients got its answer'
    )
    return standins.BROKEN if foreign else standins.HELD


async def clog(host, port):
    """Listen without accepting, until new connections hang."""
    import socket

    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(0)
    socks = [listener]
    for _ in range(4):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex((host, port))
        socks.append(sock)
    await asyncio.sleep(0.01)
    return socks


if __name__ == '__main__':
    standins.main(FOLDER, play)
