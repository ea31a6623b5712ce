"""Measures control traffic per daemon and the request path, on loopback.

mesh_bench.py control [HOSTS...]   idle meshes of that many hosts
mesh_bench.py path                 latency and CPU time of one and two hops
"""

import json
import os
import re
import statistics
import subprocess
import sys
import tempfile
import time

import mesh

SECONDS = 20  # Length of one idle sample.
PATH_SECONDS = 10
PATH_RATE = 1000  # Requests per second.
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(program):
    """User and system time of a process so far."""
    with open(f"/proc/{program.process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_bytes(program):
    with open(f"/proc/{program.process.pid}/statm", encoding="utf-8") as file:
        return int(file.read().split()[1]) * PAGE


def stream_bytes(program):
    """Bytes read and written so far by read and write calls: TCP and files."""
    with open(f"/proc/{program.process.pid}/io", encoding="utf-8") as file:
        lines = dict(line.split(": ") for line in file.read().splitlines())
    return int(lines["rchar"]) + int(lines["wchar"])


def gauges(host):
    """Unlabelled metrics of a daemon by name."""
    values = {}
    for line in mesh.fetch(host.operators, "/metrics")[1].splitlines():
        if line and line[0] != "#" and "{" not in line:
            name, value = line.split()[:2]
            values[name] = float(value)
    return values


def sample(host):
    """Counters of a daemon at one moment."""
    values = gauges(host)
    return {
        "time": time.monotonic(),
        "sent": values["pistachio_control_sent_bytes"],
        "received": values["pistachio_control_received_bytes"],
        "datagrams": values["pistachio_control_sent_datagrams"],
        "stream": stream_bytes(host.daemon),
        "cpu": cpu_seconds(host.daemon),
    }


def rates(before, after):
    elapsed = after["time"] - before["time"]
    return {name: (after[name] - before[name]) / elapsed
            for name in before if name != "time"}


def write_document(folder):
    """The demo's document without moves, so that the path stays the same."""
    with open(f"{mesh.ROOT}/examples/demo.toml", encoding="utf-8") as file:
        text = file.read()
    path = os.path.join(folder, "demo.toml")
    with open(path, "w", encoding="utf-8") as file:
        file.write(re.sub(r"max_moves_per_hour = \d+",
                          "max_moves_per_hour = 0", text))
    return path


def start(folder, hosts, zones=3):
    running = mesh.Mesh(folder, hosts=hosts, zones=zones,
                        services=["orders", "patterns"])
    try:
        running.start(seconds=90)
        running.load_document("demo", write_document(folder))
        running.wait_owned()
    except BaseException:
        running.stop()
        raise
    return running


def measure_idle(hosts):
    with tempfile.TemporaryDirectory(prefix="pistachio-bench-") as folder:
        running = start(folder, hosts)
        try:
            time.sleep(5)
            before = [sample(host) for host in running.hosts]
            time.sleep(SECONDS)
            after = [sample(host) for host in running.hosts]
            rows = [rates(*pair) for pair in zip(before, after)]
            rss = [resident_bytes(host.daemon) for host in running.hosts]
            return {"rows": rows, "rss": rss, "load": os.getloadavg()[0]}
        finally:
            running.stop()


def slope(sizes, values):
    """Least squares: growth per daemon."""
    if len(sizes) < 2:
        return 0.0
    return statistics.linear_regression(sizes, values).slope


def control(sizes):
    columns = ["sent", "received", "datagrams", "stream", "cpu"]
    means = {name: [] for name in columns + ["rss"]}
    print(f"{'hosts':>5} {'sent B/s':>9} {'recv B/s':>9} {'most B/s':>9} "
          f"{'dgrams/s':>9} {'TCP B/s':>9} {'CPU %':>6} {'max %':>6} "
          f"{'RSS MB':>7} {'load':>6}")
    for hosts in sizes:
        result = measure_idle(hosts)
        rows = result["rows"]
        for name in columns:
            means[name].append(statistics.mean(row[name] for row in rows))
        means["rss"].append(statistics.mean(result["rss"]))
        most = max(row["sent"] + row["received"] for row in rows)
        cpus = [row["cpu"] * 100 for row in rows]
        print(f"{hosts:5} {means['sent'][-1]:9.0f} {means['received'][-1]:9.0f}"
              f" {most:9.0f} {means['datagrams'][-1]:9.1f}"
              f" {means['stream'][-1]:9.0f} {statistics.mean(cpus):6.2f}"
              f" {max(cpus):6.2f} {means['rss'][-1] / 1e6:7.1f}"
              f" {result['load']:6.1f}", flush=True)
    print("slope per daemon in the mesh:")
    for name, values in means.items():
        print(f"  {name}: {slope(sizes, values):.6g}")


def find_owner(running, key):
    """Host that holds a key of the service `orders`."""
    path = f"/explain?service=orders&key={key}"
    told = json.loads(mesh.fetch(running.hosts[0].operators, path)[1])
    for host in running.hosts:
        for held in host.status()["held"]:
            if (held["service"], held["range"]) == ("orders", told["range"]):
                return host
    raise RuntimeError(f"no holder of {key}: {told}")


def run_http(*arguments):
    return subprocess.run([f"{mesh.BUILD}/bench_http", *arguments], check=True,
                          text=True, stdout=subprocess.PIPE).stdout


def path_cost(name, target, hosts, servers, rate):
    """CPU time per request of each process on the path."""
    programs = [host.daemon for host in hosts] + servers
    before = [cpu_seconds(program) for program in programs]
    out = run_http(f"--rate={rate}", f"--seconds={PATH_SECONDS}", target)
    spent = [cpu_seconds(program) - start
             for program, start in zip(programs, before)]
    count = rate * PATH_SECONDS
    micros = [f"{seconds / count * 1e6:.0f}" for seconds in spent]
    print(f"{name}: CPU us per request, daemons then server: {micros}")
    print("  " + out, end="", flush=True)


def find_ceiling(name, target, hosts, server):
    """Closed loop; shows which process is at the limit of a core."""
    programs = [host.daemon for host in hosts] + [server]
    before = [cpu_seconds(program) for program in programs]
    begin = time.monotonic()
    out = run_http("--connections=48", f"--seconds={PATH_SECONDS}", target)
    elapsed = time.monotonic() - begin
    shares = [f"{(cpu_seconds(program) - start) / elapsed:.2f}"
              for program, start in zip(programs, before)]
    print(f"{name}, 48 connections: cores used, daemons then server: {shares}")
    print("  " + out, end="", flush=True)


def path():
    with tempfile.TemporaryDirectory(prefix="pistachio-bench-") as folder:
        running = start(folder, hosts=4)
        try:
            time.sleep(2)
            owner = find_owner(running, "outlet-1")
            other = next(host for host in running.hosts if host is not owner)
            tail = "/orders/outlet-1/echo"
            direct, one, two = (f"127.0.0.1:{port}{tail}" for port in
                                (owner.server_port, owner.callers,
                                 other.callers))
            print(f"load {os.getloadavg()[0]:.1f}; direct, one, two hops:")
            for _ in range(3):
                print(run_http(f"--rate={PATH_RATE}",
                               f"--seconds={PATH_SECONDS}", direct, one, two),
                      end="", flush=True)
            path_cost("direct", direct, [], [owner.server], PATH_RATE)
            path_cost("one hop", one, [owner], [owner.server], PATH_RATE)
            path_cost("two hops", two, [other, owner], [owner.server],
                      PATH_RATE)
            find_ceiling("direct", direct, [], owner.server)
            find_ceiling("one hop", one, [owner], owner.server)
            find_ceiling("two hops", two, [other, owner], owner.server)
            print(f"load {os.getloadavg()[0]:.1f}")
        finally:
            running.stop()


def main():
    if sys.argv[1:2] == ["control"]:
        control([int(text) for text in sys.argv[2:]] or [10, 20, 40])
    elif sys.argv[1:] == ["path"]:
        path()
    else:
        sys.exit(__doc__)


if __name__ == "__main__":
    main()
