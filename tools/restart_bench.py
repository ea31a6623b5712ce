"""Kills and restarts all daemons during an outage of the log service.

Prints the time from the end of the outage until all ranges are held by
daemons that live, or that they were not within the time limit.
"""

import tempfile
import time

import mesh

HOSTS, ZONES = 8, 4
OUTAGE = 5.0  # s
LIMIT = 60  # s


def members(running):
    """Incarnations that a daemon sees as members."""
    found = running.hosts[0].status()["members"]
    return {member["daemon"] for member in found}


def all_held(running, lost):
    """Whether living incarnations hold all ranges."""
    living = members(running) - lost
    entries = running.hosts[0].status()["entries"]
    return entries and all(entry.get("holder") in living for entry in entries)


def main():
    with tempfile.TemporaryDirectory(prefix="pistachio-restart-") as folder:
        running = mesh.Mesh(folder, hosts=HOSTS, zones=ZONES,
                            services=["orders", "patterns"])
        try:
            running.start(seconds=60)
            running.load_document("demo", f"{mesh.ROOT}/examples/demo.toml")
            running.wait_owned()
            time.sleep(3)
            lost = members(running)
            running.log_fault("down")
            for host in running.hosts:
                host.daemon.kill()
            for host in running.hosts:
                host.start_daemon()
            time.sleep(OUTAGE)
            running.log_fault("none")
            begin = time.monotonic()
            try:
                running.wait(lambda: all_held(running, lost), "all ranges",
                             LIMIT)
                print(f"all held after {time.monotonic() - begin:.2f} s")
            except RuntimeError as error:
                print(f"not all held: {error}")
                left = members(running)
                print(f"members: {len(left - lost)} living, "
                      f"{len(left & lost)} lost ones still listed")
        finally:
            running.stop()


if __name__ == "__main__":
    main()
