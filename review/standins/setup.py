"""What the scripts have in common: configuration, start and exit status."""

import asyncio
import os
import sys
import tempfile

from world import Instance, Record, World, covered, wait_for

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


def trouble():
    """Whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(prefix, kind, service, timeout="3000ms"):
    return {
        "hostname": "a.example",
        "pathPrefix": prefix,
        "routeType": kind,
        "timeout": timeout,
        "targetLatency": "600ms",
        "priority": 1,
        "service": service,
        "attempts": 2,
    }


def config(routes, services):
    return {
        "version": "00000001",
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1000000,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
    }


async def start_machine(world, name, zone, service, sharded, work_s):
    machine = await world.add_machine(name, zone, service)
    number = len(world.machines)
    machine.instance = Instance(
        machine, world.record, f"i-{number:08x}", service, sharded, world.beat_s, work_s
    )
    return machine


async def start_all(world):
    """Starts every daemon, then every instance."""
    for machine in world.machines:
        await machine.start_daemon()
    await asyncio.sleep(0.5)
    for machine in world.machines:
        await machine.instance.start()


async def wait_ready(world, sharded_instances, limit_s=30.0):
    """Waits until the daemons are ready and all keys are held."""
    ready = False
    for _ in range(int(limit_s / 0.2)):
        states = [await world.ready(machine) for machine in world.machines]
        ready = all(states)
        if ready and (not sharded_instances or covered(sharded_instances)):
            return True
        await asyncio.sleep(0.2)
    return False


def main(folder, case):
    """Runs a case in a temporary folder; returns the status of the script."""
    record = Record(os.path.join(folder, "record.txt"))

    async def run():
        with tempfile.TemporaryDirectory(prefix="review-") as scratch:
            world = World(record, os.environ.get("REVIEW_LOGS") or scratch)
            try:
                return await asyncio.wait_for(case(world), 115.0)
            except Exception as error:  # The case couldn't be played.
                record(f"could not run: {error!r}")
                return EXIT_NOT_RUN
            finally:
                await world.close()

    status = asyncio.run(run())
    record(f"exit {status}")
    print({0: "held", 1: "broken", 2: "not run"}[status])
    sys.exit(status)
