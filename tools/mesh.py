"""Starts a mesh of daemons with stand-ins on loopback; for demo and benches."""

import http.client
import json
import os
import signal
import socket
import subprocess
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.path.join(ROOT, "build")

SETTINGS = """
log_level = "info"
[daemon]
host = "host-{index}"
zone = "zone-{zone}"
region = "region-1"
address = "127.0.0.1"
inner_port = {inner}
callers_port = {callers}
operators_port = {operators}
[server]
address = "127.0.0.1"
port = {server}
services = [{services}]
slots = {slots}
checks_fences = {checks}
[log]
address = "127.0.0.1"
port = {log}
"""


def free_ports(count):
    """Ports that nobody listens on, for TCP and UDP alike."""
    sockets, ports = [], []
    while len(ports) < count:
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sockets += [tcp, udp]
        tcp.bind(("127.0.0.1", 0))
        try:
            udp.bind(("127.0.0.1", tcp.getsockname()[1]))
        except OSError:
            continue
        ports.append(tcp.getsockname()[1])
    for item in sockets:
        item.close()
    return ports


def fetch(port, path, method="GET", timeout=5):
    """Status and body of one small request."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path)
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    finally:
        connection.close()


class Program:
    """One child process; its output goes to a file."""

    def __init__(self, arguments, output):
        self.output = output
        with open(output, "ab") as stream:
            self.process = subprocess.Popen(
                arguments, stdout=stream, stderr=stream)

    def alive(self):
        return self.process.poll() is None

    def send(self, number):
        if self.alive():
            self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()


class Host:
    """A backend server and the daemon beside it."""

    def __init__(self, mesh, index, zone, ports):
        self.mesh, self.index, self.zone = mesh, index, zone
        self.inner, self.callers, self.operators, self.server_port = ports
        self.server = self.daemon = None

    def start_server(self):
        mesh = self.mesh
        self.server = Program(
            [f"{BUILD}/standin_server", f"--port={self.server_port}",
             f"--slots={mesh.slots}", f"--fencing={mesh.fencing}"],
            mesh.file(f"server-{self.index}.log"))

    def start_daemon(self):
        mesh = self.mesh
        path = mesh.file(f"daemon-{self.index}.toml")
        names = ", ".join(f'"{name}"' for name in mesh.services)
        with open(path, "w", encoding="utf-8") as stream:
            stream.write(SETTINGS.format(
                index=self.index, zone=self.zone, inner=self.inner,
                callers=self.callers, operators=self.operators,
                server=self.server_port, services=names, slots=mesh.slots,
                checks="true" if mesh.fencing == "checked" else "false",
                log=mesh.log_port))
        self.daemon = Program(
            [f"{BUILD}/pistachiod", f"--settings={path}"],
            mesh.file(f"daemon-{self.index}.log"))

    def status(self):
        return json.loads(fetch(self.operators, "/status")[1])

    def record(self):
        """What the backend server ran, by its own record."""
        body = fetch(self.server_port, "/record", timeout=30)[1]
        return [json.loads(line) for line in body.splitlines() if line]


class Mesh:
    """Log stand-in, hosts and a document."""

    def __init__(self, folder, hosts, zones, services, slots=9,
                 fencing="checked"):
        self.folder, self.services = folder, services
        self.slots, self.fencing = slots, fencing
        os.makedirs(folder, exist_ok=True)
        ports = free_ports(1 + 4 * hosts)
        self.log_port = ports[0]
        self.log = None
        self.hosts = [
            Host(self, index + 1, index % zones + 1,
                 ports[1 + 4 * index:5 + 4 * index])
            for index in range(hosts)]

    def file(self, name):
        return os.path.join(self.folder, name)

    def start(self, seconds=20):
        self.log = Program([f"{BUILD}/standin_log", f"--port={self.log_port}"],
                           self.file("log.log"))
        for host in self.hosts:
            host.start_server()
        for host in self.hosts:
            host.start_daemon()
        self.wait(lambda: len(self.hosts[0].status()["members"]) ==
                  len(self.hosts), "all daemons to join", seconds)

    def wait(self, condition, what, seconds=20):
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            try:
                if condition():
                    return
            except (OSError, ValueError, KeyError, http.client.HTTPException):
                pass
            time.sleep(0.05)
        raise RuntimeError(f"waited {seconds} s for {what}")

    def ctl(self, *arguments, check=True):
        return subprocess.run(
            [f"{BUILD}/pistachioctl", *arguments], check=check, text=True,
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT).stdout

    def load_document(self, section, path):
        """Founds the document and brings one section into force."""
        key = self.file("ops.key")
        teams = self.file("teams")
        entry = self.ctl("document", "keygen", f"--out={key}", "--team=ops",
                         f"--sections=teams,{section}")
        with open(teams, "w", encoding="utf-8") as stream:
            stream.write(entry)
        log = f"--log=127.0.0.1:{self.log_port}"
        common = [log, f"--key={key}", "--team=ops"]
        print(self.ctl("document", "edit", "--section=teams",
                       f"--file={teams}", *common), end="")
        print(self.ctl("document", "edit", f"--section={section}",
                       f"--file={path}", *common), end="")

    def wait_owned(self):
        """Until each range has a holder that serves it."""
        def owned():
            entries = self.hosts[0].status()["entries"]
            return entries and all("holder" in entry for entry in entries)
        self.wait(owned, "all ranges to be held")

    def log_fault(self, mode):
        fetch(self.log_port, f"/faults?mode={mode}", "POST")

    def stop(self):
        programs = [host.daemon for host in self.hosts]
        programs += [host.server for host in self.hosts] + [self.log]
        for program in programs:
            if program:
                program.kill()
