"""A server that has left is in use again.

One of eight backend servers is restarted as planned, under its id. The first
ping after the restart is three seconds late. Before the next one is due, the
server leaves with a DELETE, which its machine acknowledges. When the late ping
arrives, the server counts as ready again, and gets requests for as long as it
goes on serving.
"""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))
import world as w

LATE_S = 3.0
DRAIN_S = 2.0   # the bound `drain` of the settings
CONSUMERS = 64
SERVES_ON_S = 8.0


async def case(world, trouble):
    await world.start(work=0.1)
    machine = world.machines[0]
    stop = asyncio.Event()

    async def consumer(index):
        while not stop.is_set():
            await world.ask(world.machines[index % 8], "POST", "/w/order", None, b"order")
            await asyncio.sleep(0.02)

    consumers = [asyncio.create_task(consumer(i)) for i in range(CONSUMERS)]
    await asyncio.sleep(2)

    before = machine.instance
    before.beating = False
    if not await before.leave():
        raise w.CannotRun("the first leave was not acknowledged")
    await asyncio.sleep(DRAIN_S + 0.5)
    await before.stop()
    world.note("exit", server=before.name)
    await asyncio.sleep(0.3)

    server = w.Instance(world, machine, before.name, work=0.1)
    server.runs, server.beating = before.runs, False
    machine.instance = server
    await server.start()
    world.note("started-again", server=server.name, born=server.born)
    ping = asyncio.create_task(server.late_ping(LATE_S if trouble else 0))
    await asyncio.sleep(0.6)
    if not await server.leave():
        raise w.CannotRun("the second leave was not acknowledged")
    left = time.monotonic()

    reached = []

    async def note_time(instance, run, reader, writer):
        reached.append(time.monotonic() - left - instance.work)
        return None

    server.answer = note_time
    await asyncio.sleep(SERVES_ON_S)
    stop.set()
    await asyncio.gather(*consumers, ping)
    late = [t for t in reached if t > DRAIN_S]
    world.note("judged", reached_after_leave=len(reached), later_than_drain=len(late),
               first=min(late, default=None), last=max(late, default=None))
    return not late


w.main(HERE, case, machines=8, sharded=False)
