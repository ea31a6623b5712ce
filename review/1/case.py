"""A ping of another writer, without an address, beside a running instance."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

import setup  # noqa: E402
from world import OwnerWatch, control_call  # noqa: E402

LIMIT_S = 0.5  # OWNER: "for over half a second"


async def requests(world):
    """Consumers on all machines, with keys from all over the key space."""
    number = 0
    while True:
        machine = world.machines[number % len(world.machines)]
        key = (number * 7919) % 65536
        asyncio.create_task(world.request(machine, "/read/x", key=key))
        number += 1
        await asyncio.sleep(0.05)


async def case(world):
    record = world.record
    for number, zone in enumerate(("sofia-a", "sofia-b", "sofia-c")):
        await setup.start_machine(
            world, f"sidecar-{zone}-{number}", zone, "registry", True, 0.09
        )
    await world.store.write_config(
        setup.config(
            {"read": setup.route("/read/", "idempotent", "registry")},
            {"registry": {"sharded": True}},
        )
    )
    await setup.start_all(world)
    instances = [machine.instance for machine in world.machines]
    if not await setup.wait_ready(world, instances):
        return setup.EXIT_NOT_RUN
    record("all keys are held")
    load = asyncio.create_task(requests(world))
    watch = OwnerWatch(record, instances)
    await asyncio.sleep(4.0)
    target = world.machines[0]
    target.instance.acked.clear()
    await target.instance.acked.wait()
    if setup.trouble():
        message = {
            "born": int(time.time() * 1000),
            "info": {
                "service": "registry",
                "version": "v1",
                "zone": target.zone,
                "slots": 9,
            },
            "status": {"state": "draining", "seq": 1, "coldRemaining": "0ms"},
            "holds": [],
            "released": [],
        }
        status, answer = await control_call(
            target, "PUT", "/api/instances/i-7f3a91c2", message
        )
        record(f"ping of another writer, without an address: {status} {answer}")
    await asyncio.sleep(10.0)
    load.cancel()
    await asyncio.sleep(2.5)  # What is still on its way.
    served = sum(1 for status in world.answers.values() if status == 200)
    record(f"requests {world.sent}, served {served}")
    record(f"longest time in which two instances held the same keys: {watch.longest:.3f} s")
    return setup.EXIT_BROKEN if watch.longest > LIMIT_S else setup.EXIT_HELD


if __name__ == "__main__":
    setup.main(FOLDER, case)
