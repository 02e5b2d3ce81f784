"""A small deployment on loopback: the project's daemons as processes, with rendered templates.

The daemons run the commands of deploy/system.toml with settings from the templates that it names.
Stand-ins for engines, clients and the operator are in this folder as well; they follow the
published protocol.
"""

import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PREFIX = "X-Bilberrybend-"
BOUNDS = {"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 8, "configMs": 2000,
          "budgetRatio": 0.2, "budgetSlack": 54, "quotaOver": 0.1, "quotaSlack": 11000,
          "evacMs": 5000, "leaseMs": 3000}


def lookup(scope, name):
    value = scope
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render(text, fields):
    """Renders the placeholders and sections that the project's templates use."""
    def section(match):
        value = lookup(fields, match.group(1))
        if value is None or value is False:
            return ""
        entries = value if isinstance(value, list) else [value]
        out = []
        for index, entry in enumerate(entries):
            body = match.group(2).replace("{{.}}", str(entry))
            out.append(body.replace("{{,}}", "," if index + 1 < len(entries) else ""))
        return "".join(out)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

    def value_of(match):
        value = lookup(fields, match.group(1))
        if value is None:
            return ""
        return str(value).lower() if isinstance(value, bool) else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", value_of, text)


def free_port(ips):
    """Returns a port that is free on all of the addresses."""
    for _ in range(200):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return port
        except OSError:
            continue
    raise RuntimeError("no free port")


class Record:
    """Lines of record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()
        self.lock = threading.Lock()

    def write(self, *words):
        with self.lock:
            print(f"{time.monotonic() - self.begin:8.3f}", *words, file=self.file, flush=True)


class Deployment:
    """Core and front daemons of one deployment; close() ends all processes."""

    def __init__(self, record, cores=3, fronts=2):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        # The script's time limit ends it by SIGTERM; its `finally` then ends the daemons.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.core_ips = [f"127.77.1.{i + 1}" for i in range(cores)]
        self.front_ips = [f"127.77.2.{i + 1}" for i in range(fronts)]
        ips = self.core_ips + self.front_ips
        self.ports = {name: free_port(ips) for name in ("front", "ready", "control", "in0", "in1")}
        self.processes = {}
        self.fields = {}
        for index, ip in enumerate(self.core_ips):
            self.add(f"core-{index + 1}", "control", ip, index)
        for index, ip in enumerate(self.front_ips):
            self.add(f"front-{index + 1}", "entry", ip, index)
        for name in self.fields:
            self.start(name)
        for name in self.fields:
            self.fields[name]["bootstrap"] = False

    def add(self, name, role, ip, index):
        self.fields[name] = {
            "nodeName": name, "role": role, "ip": ip, "zone": f"zone-{index % 2 + 1}",
            "innerPorts": [self.ports["in0"], self.ports["in1"]], "bootstrap": True,
            "seeds": [f"{seed}:{self.ports['control']}" for seed in self.core_ips[:3]],
            "dataDir": os.path.join(self.folder, name + "-data"), "bounds": BOUNDS,
            "listen": {"front": f"{ip}:{self.ports['front']}",
                       "ready": f"{ip}:{self.ports['ready']}",
                       "control": f"{ip}:{self.ports['control']}"}}

    def start(self, name):
        role = self.roles[self.fields[name]["role"]]
        settings = os.path.join(self.folder, name + ".json")
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as template:
            text = render(template.read(), self.fields[name])
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        command = role["run"].replace("/etc/bilberrybend/node.toml", settings).split()
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
        self.record.write("started", name, "pid", self.processes[name].pid)

    def signal(self, name, number):
        self.record.write("signal", signal.Signals(number).name, "to", name)
        self.processes[name].send_signal(number)

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def control(self, index=0):
        return f"{self.core_ips[index % len(self.core_ips)]}:{self.ports['control']}"

    def front(self, index=0):
        return (self.front_ips[index], self.ports["front"])

    def is_ready(self, index=0):
        return call("GET", f"{self.front_ips[index]}:{self.ports['ready']}", "/readiness")[0] == 200

    def order(self, method, path, body=None, first=0, tries=40):
        """Sends an order like the operator: to one daemon after the other until it is clear."""
        for attempt in range(tries):
            address = self.control(first + attempt)
            status, answer = call(method, address, path, body, timeout=1.0)
            self.record.write("operator", method, path, "to", address, "->", status)
            if status == 200 or 400 <= status < 500:
                return status, answer
            time.sleep(min(0.05 * (attempt + 1), 0.5))
        return 0, b""


def call(method, address, path, body=None, timeout=2.0, headers=None):
    """Returns (status, body); status 0 if there was no answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = json.dumps(body).encode() if isinstance(body, dict) else body
        all_headers = {"Content-Type": "application/json"} if data else {}
        all_headers.update(headers or {})
        connection.request(method, path, data, all_headers)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def wait_for(condition, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return False
