"""Runs requests through five daemons while daemons are lost and drained."""

import collections
import http.client
import signal
import sys
import tempfile
import threading
import time

import mesh

PROBE_KEYS = [f"outlet-{number}" for number in range(64)]
# Outcomes in a stand-in's record that mean the request ran, if in part.
RAN = ("done", "cancelled")
LONGEST_GAP = 1.0  # s; a key is served again within 1 s of a loss.


class Caller(threading.Thread):
    """Sends lookups of probe keys and orders with keys of their own."""

    def __init__(self, tally, number, ports):
        super().__init__(daemon=True)
        self.tally, self.number, self.ports = tally, number, ports
        self.turn, self.connection = number, None

    def request(self, method, path):
        """Outcome of one request; a refused connection is tried elsewhere."""
        while True:
            port = self.ports[self.turn % len(self.ports)]
            if self.connection is None:
                connection = http.client.HTTPConnection(
                    "127.0.0.1", port, timeout=10)
                try:
                    connection.connect()
                except OSError:
                    self.turn += 1
                    time.sleep(0.01)
                    continue
                self.connection = connection
            try:
                self.connection.request(method, path)
                answer = self.connection.getresponse()
                answer.read()
                outcome = answer.getheader("Pistachio-Outcome", "none")
                reason = answer.getheader("Pistachio-Reason")
                if reason:
                    self.tally.reason(f"{outcome}: {reason}")
                if answer.will_close:
                    self.connection = None
                return outcome
            except (OSError, http.client.HTTPException) as error:
                self.connection = None
                self.turn += 1
                self.tally.reason(f"lost: {method} {error!r}")
                return "connection lost"

    def run(self):
        count = 0
        while not self.tally.stopped:
            count += 1
            if count % 5 == 0:
                key = f"order-{self.number}-{count}"
                outcome = self.request("POST", f"/orders/{key}/orders")
                self.tally.order(key, outcome)
            else:
                key = PROBE_KEYS[(count * 7 + self.number * 13)
                                 % len(PROBE_KEYS)]
                outcome = self.request("GET", f"/orders/{key}/echo")
                self.tally.lookup(key, outcome)
            if count % 50 == 0 and self.connection:
                # Goes round, so that requests pass through every daemon.
                self.connection.close()
                self.connection = None
                self.turn += 1


class Tally:
    """Counts outcomes by phase and the longest gap in service of a key."""

    def __init__(self):
        self.lock = threading.Lock()
        self.stopped = False
        self.phase = "start"
        self.counts = collections.defaultdict(collections.Counter)
        self.reasons = collections.defaultdict(collections.Counter)
        self.gaps = collections.defaultdict(lambda: (0.0, ""))
        self.served = {}
        self.orders = {}

    def reason(self, text):
        with self.lock:
            self.reasons[self.phase][text] += 1

    def lookup(self, key, outcome):
        now = time.monotonic()
        with self.lock:
            self.counts[self.phase][outcome] += 1
            if outcome == "done":
                gap = now - self.served.get(key, now)
                self.gaps[self.phase] = max(self.gaps[self.phase], (gap, key))
                self.served[key] = now

    def order(self, key, outcome):
        with self.lock:
            self.counts[self.phase][outcome] += 1
            self.orders[key] = outcome


def owners(host):
    """Entries held by each daemon, by the view of one host."""
    held = collections.Counter(
        entry.get("holder") for entry in host.status()["entries"])
    return dict(sorted(held.items(), key=str))


def judge(demo, tally):
    """Compares what callers were told with what the servers recorded."""
    ran = collections.Counter()
    for host in demo.hosts:
        for line in host.record():
            if line["method"] == "POST" and line["outcome"] in RAN:
                ran[line["key"]] += 1
    problems = []
    for key, outcome in tally.orders.items():
        if ran[key] > 1:
            problems.append(f"order {key} ran {ran[key]} times")
        if outcome == "not-run" and ran[key]:
            problems.append(f"order {key} was told not-run and ran")
        if outcome == "done" and not ran[key]:
            problems.append(f"order {key} was told done and did not run")
    return problems


def run_phases(demo, tally):
    first, second, third, fourth = demo.hosts[0:4]

    def phase(name, seconds, act=lambda: None):
        tally.phase = name
        print(f"{name} ({seconds} s)", flush=True)
        act()
        time.sleep(seconds)

    phase("all well", 3)
    print("  entries by holder:", owners(first))
    phase("daemon killed (-9)", 4, second.daemon.kill)
    print("  entries by holder:", owners(first))
    phase("daemon back", 3, second.start_daemon)
    phase("planned drain", 6, lambda: demo.ctl(
        "drain", f"127.0.0.1:{third.operators}"))
    drained = not third.daemon.alive()
    print("  drained daemon has exited:", drained)
    phase("daemon back again", 4, third.start_daemon)
    phase("log service down", 2, lambda: demo.log_fault("down"))
    phase("log down, daemon killed", 4, fourth.daemon.kill)
    phase("log service back", 4, lambda: demo.log_fault("none"))
    print("  entries by holder:", owners(first))
    return drained


def report(tally):
    print(f"\n{'phase':26}{'served':>8}{'not-run':>9}{'unknown':>9}"
          f"{'lost':>6}{'longest gap of a key':>24}")
    for name, counts in tally.counts.items():
        gap, key = tally.gaps[name]
        lost = sum(count for outcome, count in counts.items()
                   if outcome not in ("done", "not-run", "unknown"))
        print(f"{name:26}{counts['done']:8}{counts['not-run']:9}"
              f"{counts['unknown']:9}{lost:6}{gap * 1000:14.0f} ms {key}")
    for name, reasons in tally.reasons.items():
        for text, count in reasons.items():
            print(f"  {name}: {count} x {text}")


def find_problems(demo, tally, drained):
    problems = judge(demo, tally)
    for name, (gap, key) in tally.gaps.items():
        if gap > LONGEST_GAP:
            problems.append(f"{name}: {key} not served for {gap:.2f} s")
    for name in ("all well", "planned drain", "log service down"):
        counts = tally.counts[name]
        if set(counts) - {"done"}:
            problems.append(f"{name}: not all served: {dict(counts)}")
    if not drained:
        problems.append("the drained daemon is still there")
    return problems


def main():
    tally = Tally()
    with tempfile.TemporaryDirectory(prefix="pistachio-demo-") as folder:
        demo = mesh.Mesh(folder, hosts=5, zones=3,
                         services=["orders", "patterns"])
        try:
            demo.start()
            demo.load_document("demo", f"{mesh.ROOT}/examples/demo.toml")
            demo.wait_owned()
            ports = [host.callers for host in demo.hosts]
            callers = [Caller(tally, number, ports) for number in range(12)]
            for caller in callers:
                caller.start()
            drained = run_phases(demo, tally)
            tally.stopped = True
            for caller in callers:
                caller.join(timeout=15)
            report(tally)
            problems = find_problems(demo, tally, drained)
        finally:
            demo.stop()
    for problem in problems[:20]:
        print("BROKEN:", problem)
    ran = sum(outcome == "done" for outcome in tally.orders.values())
    print(f"orders: {len(tally.orders)} sent, {ran} done; "
          f"{len(problems)} promises broken")
    return 1 if problems else 0


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    sys.exit(main())
