"""An instance leaves with DELETE while the store turns its machine away; then
the daemon that confirmed it is restarted."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

import setup  # noqa: E402
from world import control_call  # noqa: E402

DRAIN_S = 2.0  # `drain`
STABLE_S = 3.0  # `stableWindow`
TURNED_AWAY_S = 4.5  # platform_down, nodes: 9 s are allowed.
DOWN_S = 1.0  # From the daemon's end to its next start.
SERVES_ON_S = 11.0  # "at times many seconds"


async def requests(world):
    """Consumers on all machines: downloads, and orders that may run once."""
    number = 0
    while True:
        machine = world.machines[number % len(world.machines)]
        order = number % 2 == 1
        call = (
            world.request(machine, "/order/x", method="POST", body=b"one")
            if order
            else world.request(machine, "/pattern/x")
        )
        asyncio.create_task(call)
        number += 1
        await asyncio.sleep(0.04)


async def case(world):
    record = world.record
    for number, zone in enumerate(("sofia-a", "sofia-b", "sofia-c")):
        await setup.start_machine(
            world, f"sidecar-{zone}-{number}", zone, "archive", False, 0.2
        )
    await world.store.write_config(
        setup.config(
            {
                "pull": setup.route("/pattern/", "download", "archive"),
                "order": setup.route("/order/", "non_idempotent", "archive"),
            },
            {"archive": {}},
        )
    )
    await setup.start_all(world)
    if not await setup.wait_ready(world, None):
        return setup.EXIT_NOT_RUN
    load = asyncio.create_task(requests(world))
    await asyncio.sleep(4.0)
    machine = world.machines[1]
    leaving = machine.instance
    if setup.trouble():
        record(f"the store turns {machine.name} away")
        world.store.turns_away.add(machine.name)
        await asyncio.sleep(0.3)
    leaving.beats = False
    leaving.task.cancel()
    status, _ = await control_call(
        machine,
        "DELETE",
        f"/api/instances/{leaving.id}",
        {"born": leaving.born},
    )
    confirmed = time.monotonic()
    record(f"DELETE of {leaving.id} is answered {status}")
    if status != 200:
        return setup.EXIT_NOT_RUN
    if setup.trouble():
        await asyncio.sleep(0.3)
        await machine.kill_daemon()
        await asyncio.sleep(DOWN_S)
        await machine.start_daemon()
        await asyncio.sleep(TURNED_AWAY_S - 0.6 - DOWN_S)
        world.store.turns_away.clear()
        record(f"the store serves {machine.name} again")
    healed = time.monotonic()
    await asyncio.sleep(confirmed + SERVES_ON_S - time.monotonic())
    running = set(leaving.running)
    await leaving.end()
    await asyncio.sleep(0.5)
    load.cancel()
    await asyncio.sleep(2.5)  # What is still on its way.
    runs = [when for when, instance, _ in world.runs if instance is leaving]
    late = [when for when in runs if when > confirmed + DRAIN_S]
    calm = [when for when in late if when > healed + STABLE_S]
    record(f"requests {world.sent}, run by {leaving.id}: {len(runs)}")
    record(f"of these later than `drain` after the confirmation: {len(late)}")
    record(f"of these `stableWindow` after the end of all disruptions: {len(calm)}")
    lost = [attempt for attempt in running if world.answers.get(attempt) != 200]
    record(f"in progress when {leaving.id} ended: {len(running)}, not served: {lost}")
    return setup.EXIT_BROKEN if calm else setup.EXIT_HELD


if __name__ == "__main__":
    setup.main(FOLDER, case)
