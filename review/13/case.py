"""A server's acknowledged leave is forgotten.

One of eight backend servers leaves with a DELETE while the store answers 503.
Its machine acknowledges the leave and is killed. The store works again, the
machine starts again a second later. The two pings that the server sent before
its leave arrive three and a half seconds late. The server is in use again.
"""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))
import world as w

LATE_S = 3.5
DOWN_S = 1.0
DRAIN_S = 2.0   # the bound `drain` of the settings
STABLE_S = 3.0  # the bound `stableWindow` of the settings
CONSUMERS = 64
SERVES_ON_S = 14.0


async def case(world, trouble):
    await world.start(work=0.1)
    machine = world.machines[0]
    server = machine.instance
    stop = asyncio.Event()

    async def consumer(index):
        while not stop.is_set():
            await world.ask(world.machines[index % 8], "POST", "/w/order", None, b"order")
            await asyncio.sleep(0.02)

    consumers = [asyncio.create_task(consumer(i)) for i in range(CONSUMERS)]
    await asyncio.sleep(4)

    server.beating = False
    pings = [asyncio.create_task(server.late_ping(LATE_S))]
    await asyncio.sleep(0.87)
    pings.append(asyncio.create_task(server.late_ping(LATE_S)))

    async def busy(path, query, body):
        return 503

    if trouble:
        world.note("store-busy")
        world.store.before = busy
    await asyncio.sleep(0.1)
    if not await server.leave():
        raise w.CannotRun("the leave was not acknowledged")
    left = time.monotonic()
    back = left
    if trouble:
        world.signal_daemon(machine, signal.SIGKILL)
        await machine.process.wait()

    reached = []

    async def note_time(instance, run, reader, writer):
        reached.append(time.monotonic() - instance.work)
        return None

    server.answer = note_time
    if trouble:
        await asyncio.sleep(DOWN_S)
        world.store.before = None
        world.note("store-back")
        await world.start_daemon(machine)
        back = time.monotonic()
    await asyncio.sleep(SERVES_ON_S - (time.monotonic() - left))
    stop.set()
    await asyncio.gather(*consumers, *pings)
    late = [t - left for t in reached if t > left + DRAIN_S]
    in_touch = [t for t in late if left + t > back + STABLE_S + 1]
    world.note("judged", reached_after_leave=len(reached), later_than_drain=len(late),
               machine_in_touch=len(in_touch), first=min(late, default=None), last=max(late, default=None))
    return not in_touch


w.main(HERE, case, machines=8, sharded=False)
