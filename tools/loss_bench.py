"""Measures how long keys are unavailable after the loss of their daemon.

loss_bench.py MODE COUNT [checked|unchecked]

MODE is kill (SIGKILL), stop (SIGSTOP) or log-down (SIGKILL during an outage
of the log service). Unavailable time: from the signal to the end of the first
answer to a request sent after it. Keys are asked for every 5 ms through
daemons that live on.
"""

import http.client
import json
import os
import random
import signal
import statistics
import sys
import tempfile
import threading
import time

import mesh

HOSTS, ZONES = 8, 4
MOST_KEYS = 8  # Asked for per loss.
PATIENCE = 15.0  # s; a key not served by then counts as this.
PAUSE = 0.005  # s


class Prober(threading.Thread):
    """Asks for one key until it is served after the loss."""

    def __init__(self, key, ports, lost):
        super().__init__(daemon=True)
        self.key, self.ports, self.lost = key, ports, lost
        self.gap = None
        self.outcomes = []

    def ask(self, port):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        try:
            connection.request("GET", f"/orders/{self.key}/echo")
            answer = connection.getresponse()
            answer.read()
            return answer.getheader("Pistachio-Outcome")
        except (OSError, http.client.HTTPException):
            return "lost"
        finally:
            connection.close()

    def run(self):
        while self.gap is None:
            sent = time.monotonic()
            outcome = self.ask(random.choice(self.ports))
            now = time.monotonic()
            lost = self.lost[0]
            if lost is not None and sent >= lost:
                self.outcomes.append(outcome)
                if outcome == "done" or now - lost > PATIENCE:
                    self.gap = min(now - lost, PATIENCE)
            time.sleep(PAUSE)


def holdings(running):
    """Ranges of `orders` by the daemon that holds them; None: nobody."""
    held = {}
    for entry in running.hosts[0].status()["entries"]:
        if entry["service"] == "orders":
            held.setdefault(entry.get("holder"), []).append(entry["range"])
    return held


def settled(running):
    """All daemons are members and hold between them all ranges."""
    status = running.hosts[0].status()
    hosts = {member["host"] for member in status["members"]}
    members = {member["daemon"] for member in status["members"]}
    held = holdings(running)
    return (len(status["members"]) == HOSTS and len(hosts) == HOSTS
            and None not in held and set(held) <= members)


def explain_ranges(running):
    """A key for each range of `orders`, by asking one daemon."""
    keys, number = {}, 0
    while len(keys) < 64 and number < 1000:
        key = f"outlet-{number}"
        number += 1
        path = f"/explain?service=orders&key={key}"
        told = json.loads(
            mesh.fetch(running.hosts[0].operators, path)[1])
        keys.setdefault(told["range"], key)
    return keys


def choose_victim(running, turn):
    """A host that holds entries, not the one that is asked about state."""
    held = holdings(running)
    numbers = {host.status()["daemon"]: host for host in running.hosts[1:]}
    candidates = sorted(daemon for daemon in held if daemon in numbers)
    daemon = candidates[turn % len(candidates)]
    return numbers[daemon], held[daemon]


def lose(running, mode, turn, keys):
    """One loss; unavailable times of the lost daemon's keys."""
    victim, ranges = choose_victim(running, turn)
    ports = [host.callers for host in running.hosts if host is not victim]
    lost = [None]
    chosen = [keys[number] for number in ranges if number in keys]
    probers = [Prober(key, ports, lost) for key in chosen[:MOST_KEYS]]
    if mode == "log-down":
        running.log_fault("down")
        time.sleep(0.5)
    for prober in probers:
        prober.start()
    time.sleep(0.3)
    lost[0] = time.monotonic()
    victim.daemon.send(
        signal.SIGSTOP if mode == "stop" else signal.SIGKILL)
    for prober in probers:
        prober.join(timeout=PATIENCE + 10)
    restore(running, mode, victim)
    return [prober.gap for prober in probers]


def restore(running, mode, victim):
    if mode == "log-down":
        running.log_fault("none")
    if mode == "stop":
        time.sleep(2)
        victim.daemon.send(signal.SIGCONT)
    else:
        victim.daemon.process.wait()
        victim.start_daemon()
    running.wait(lambda: settled(running), "the mesh to settle", 60)
    time.sleep(1.5)


def quantile(values, share):
    values = sorted(values)
    return values[round(share * (len(values) - 1))]


def write_document(folder, fencing):
    with open(f"{mesh.ROOT}/examples/demo.toml", encoding="utf-8") as file:
        text = file.read()
    path = os.path.join(folder, "demo.toml")
    with open(path, "w", encoding="utf-8") as file:
        file.write(text.replace('fencing = "checked"',
                                f'fencing = "{fencing}"'))
    return path


def main():
    if len(sys.argv) < 3 or sys.argv[1] not in ("kill", "stop", "log-down"):
        sys.exit(__doc__)
    mode, count = sys.argv[1], int(sys.argv[2])
    fencing = sys.argv[3] if len(sys.argv) > 3 else "checked"
    gaps = []
    with tempfile.TemporaryDirectory(prefix="pistachio-loss-") as folder:
        running = mesh.Mesh(folder, hosts=HOSTS, zones=ZONES,
                            services=["orders", "patterns"], fencing=fencing)
        try:
            running.start(seconds=60)
            running.load_document("demo", write_document(folder, fencing))
            running.wait_owned()
            time.sleep(3)
            keys = explain_ranges(running)
            for turn in range(count):
                found = lose(running, mode, turn, keys)
                gaps += found
                text = " ".join(f"{gap * 1000:.0f}" for gap in found)
                print(f"loss {turn + 1}: {text} ms", flush=True)
        finally:
            running.stop()
            print(f"{mode}, {fencing}: {len(gaps)} keys")
            if gaps:
                print(f"p50={quantile(gaps, 0.5) * 1000:.0f} ms "
                      f"p99={quantile(gaps, 0.99) * 1000:.0f} ms "
                      f"max={max(gaps) * 1000:.0f} ms "
                      f"mean={statistics.mean(gaps) * 1000:.0f} ms "
                      f"above 1 s: {sum(gap > 1 for gap in gaps)}; "
                      f"load {os.getloadavg()[0]:.1f}")


if __name__ == "__main__":
    main()
