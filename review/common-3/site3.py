"""A small deployment on loopback addresses: control daemons, entry daemons, engines and clients.

The daemons are started with the command of deploy/system.toml; their settings are the templates of
platform/, filled in with the values of a small deployment.
"""

import http.client
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HERE = os.path.dirname(os.path.abspath(__file__))
PREFIX = "X-Bilberrybend-"
KEY = "i9n73hh2b9wu3fexd9dn"
HOST = "ficu95.example"
MODEL = "daka510000"  # Busy: held by all engines.
RARE_MODEL = "rada7437b5"  # Held by one engine.
SKIPPED = 2  # Exit status of a case that could not run.
BOUNDS = {"budgetRatio": 0.2, "budgetSlack": 54, "graceS": 8, "leaseMs": 3000, "quotaOver": 0.1,
          "quotaSlack": 11000}


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def render(text, fields):
    """Fills in a settings template: sections, lists and values, as the platform does."""
    def lookup(name, scope):
        if name == ".":
            return scope[-1]
        for table in reversed(scope):
            value = table
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def expand(part, scope, last):
        section = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.S)
        match = section.search(part)
        if match:
            value = lookup(match.group(1), scope)
            items = value if isinstance(value, list) else ([] if not value else [value])
            inner = "".join(expand(match.group(2), scope + [item], i + 1 == len(items))
                            for i, item in enumerate(items))
            return (expand(part[:match.start()], scope, last) + inner
                    + expand(part[match.end():], scope, last))

        def value_of(found):
            name = found.group(1)
            if name == ",":
                return "" if last else ","
            value = lookup(name, scope)
            if value is None:
                return ""
            return str(value).lower() if isinstance(value, bool) else str(value)
        return re.sub(r"\{\{([^}]+)\}\}", value_of, part)

    return expand(text, [fields], True)


class Record:
    """What was sent, answered and run; written to record.txt of the case."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} s  {text}\n")
        self.file.flush()


def call(address, method, path, body=None, headers=None, timeout=2.0):
    """One request on a connection of its own. Returns status, headers and body; status 0: none."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


class Site:
    """Processes of one case; all are ended by close()."""

    def __init__(self, folder, controls=3, entries=1, entry_memory_mb=260):
        self.record = Record(folder)
        self.memory_mb = {"core": 256, "front": entry_memory_mb}
        self.run = tempfile.mkdtemp(prefix="review3-")
        self.processes = {}
        self.closed = False
        self.settings = {}
        self.daemon = os.path.join(ROOT, "target", "bilberrybendd")
        if not os.path.exists(self.daemon):
            self.skip("target/bilberrybendd is missing: run the build of the deploy file first")
        ports = {name: free_port() for name in ("control", "front", "ready", "peers", "inner")}
        self.ports = ports
        seeds = [f"127.0.1.{i + 1}:{ports['control']}" for i in range(controls)]
        self.controls = seeds
        self.entries = [f"127.0.2.{i + 1}:{ports['front']}" for i in range(entries)]
        self.ready = [f"127.0.2.{i + 1}:{ports['ready']}" for i in range(entries)]
        for i in range(controls):
            self.add(f"core-{i + 1}", f"127.0.1.{i + 1}", "control.json", seeds)
        for i in range(entries):
            self.add(f"front-{i + 1}", f"127.0.2.{i + 1}", "entry.json", seeds)

    def add(self, name, ip, template, seeds):
        fields = {"nodeName": name, "zone": "ub-north", "ip": ip, "seeds": seeds, "bootstrap": True,
                  "innerPorts": [self.ports["peers"], self.ports["inner"]],
                  "dataDir": os.path.join(self.run, name),
                  "listen": {"front": f"{ip}:{self.ports['front']}",
                             "ready": f"{ip}:{self.ports['ready']}",
                             "control": f"{ip}:{self.ports['control']}"},
                  "bounds": BOUNDS, "limits": {"memoryMb": self.memory_mb[name.split("-")[0]], "maxFds": 4096}}
        with open(os.path.join(ROOT, "platform", template), encoding="utf-8") as file:
            text = render(file.read(), fields)
        json.loads(text)
        path = os.path.join(self.run, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        self.settings[name] = path
        self.start(name, [self.daemon, "--settings", path])

    def start(self, name, command):
        if self.closed:
            return
        log = open(os.path.join(self.run, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, cwd=ROOT)
        log.close()

    def restart(self, name):
        self.start(name, [self.daemon, "--settings", self.settings[name]])

    def engine(self, name, service, **options):
        """Starts engine.py; returns its address."""
        port = free_port()
        options = dict(options, id=name, service=service, port=port, controls=self.controls,
                       record=os.path.join(self.run, name + ".runs"))
        self.start(name, [sys.executable, os.path.join(HERE, "engine.py"), json.dumps(options)])
        return f"127.0.0.1:{port}"

    def signal(self, name, number):
        self.record(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def runs(self, name):
        """What the engine has noted, one object a line."""
        path = os.path.join(self.run, name + ".runs")
        if not os.path.exists(path):
            return []
        with open(path, encoding="utf-8") as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

    def configure(self, config):
        """Sends the configuration until it is acknowledged."""
        body = json.dumps(config)
        end = time.monotonic() + 20
        while time.monotonic() < end:
            for control in self.controls:
                status, _, _ = call(control, "POST", "/config/replace", body,
                                    {"Content-Type": "application/json"})
                if status == 200:
                    self.record(f"configuration {config['version']} acknowledged")
                    return
            time.sleep(0.3)
        self.skip("no daemon acknowledged the configuration")

    def warm_up(self, method, path, headers, count=30, seconds=20):
        """Sends requests to each entry daemon until @p count of them were served there."""
        for i, entry in enumerate(self.entries):
            end = time.monotonic() + seconds
            served = 0
            number = 0
            while served < count and time.monotonic() < end:
                number += 1
                status, _, _ = call(entry, method, path, b"x" if method == "POST" else None,
                                    request_headers(f"warm-up-{i}-{number}", 8000, headers),
                                    timeout=8)
                served += 1 if status == 200 else 0
                time.sleep(0.01 if status == 200 else 0.1)
            if served < count:
                self.skip("the requests of the warm-up are not served")
        self.record("the warm-up is served")

    def skip(self, why):
        self.record(f"not run: {why}")
        print(f"not run: {why}", file=sys.stderr)
        self.close()
        sys.exit(SKIPPED)

    def close(self):
        self.closed = True
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.run)
            return
        if not os.path.isdir(self.run):
            return  # Closed before.
        for root, folders, files in os.walk(self.run, topdown=False):
            for item in files:
                os.unlink(os.path.join(root, item))
            for item in folders:
                os.rmdir(os.path.join(root, item))
        os.rmdir(self.run)


def memory_mb(process):
    """Memory of its own that the process holds; 0 if it has ended."""
    try:
        with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("RssAnon")) / 1024
    except (OSError, StopIteration):
        return 0.0


class Platform(threading.Thread):
    """Kills a process that uses more than its machine has, and starts it again, as DEPLOY.md says."""

    RESTART_S = 0.5
    ENDS = 3  # From the rule Fault: three times in the day,
    MACHINES = 2  # on a tenth of the machines in use, two at least.

    def __init__(self, site):
        super().__init__(daemon=True)
        self.site = site
        self.names = [name for name in site.processes if name.split("-")[0] in ("core", "front")]
        self.ends = dict.fromkeys(self.names, 0)
        self.peaks = dict.fromkeys(self.names, 0.0)
        self.stopped = False

    def run(self):
        while not self.stopped and not self.site.closed:
            for name in self.names:
                process = self.site.processes[name]
                used = memory_mb(process)
                self.peaks[name] = max(self.peaks[name], used)
                limit = self.site.memory_mb[name.split("-")[0]]
                if used <= limit and process.poll() is None:
                    continue
                self.ends[name] += 1
                self.site.record(f"{name} uses {used:.0f} MB of {limit} MB and is killed")
                process.send_signal(signal.SIGKILL)
                process.wait()
                time.sleep(self.RESTART_S)
                self.site.restart(name)
            time.sleep(0.1)

    def is_broken(self):
        return sum(1 for count in self.ends.values() if count >= self.ENDS) >= self.MACHINES


class StreamClient:
    """Sends one request for a stream and reads its pieces until the stream ends.

    @param gap_s: the client leaves if it gets no event for so long.
    """

    def __init__(self, site, entry, path, request, deadline_ms=25000, gap_s=None, model=MODEL):
        self.request = request
        self.status = 0
        self.pieces = []  # Numbers of the events, in their order.
        self.complete = False  # Whether the stream ended as complete.
        self.site = site
        self.address = entry.rsplit(":", 1)
        self.path = path
        self.headers = request_headers(request, deadline_ms, model_headers(model))
        self.timeout = gap_s or deadline_ms / 1000 + 1
        self.left_at = None  # When the client has closed its connection before the end.
        self.connection = None
        self.thread = threading.Thread(target=self.read)
        site.record(f"sent: POST {path}, request {request}")
        self.thread.start()

    def read(self):
        try:
            self.connection = socket.create_connection((self.address[0], int(self.address[1])),
                                                       timeout=self.timeout)
            head = [f"POST {self.path} HTTP/1.1", "Content-Length: 6"]
            head += [f"{name}: {value}" for name, value in self.headers.items()]
            self.connection.sendall(("\r\n".join(head) + "\r\n\r\nprompt").encode())
            with self.connection.makefile("rb") as answer:
                self.read_answer(answer)
        except TimeoutError:
            self.connection.close()
            self.left_at = time.monotonic()
            self.site.record(f"request {self.request}: its client has left after a gap")
        except (OSError, ValueError) as error:
            self.site.record(f"request {self.request}: {error!r}")
        finally:
            if self.connection is not None:
                self.connection.close()
        self.site.record(f"answered: request {self.request}, status {self.status}, pieces "
                         f"{self.pieces}, {'complete' if self.complete else 'not complete'}")

    def read_answer(self, answer):
        """Reads the head, then chunks up to the last one; a body without it is not complete."""
        line = answer.readline()
        if not line:
            return
        self.status = int(line.split()[1])
        while line not in (b"\r\n", b""):
            line = answer.readline()
        events = b""
        while self.status == 200:
            line = answer.readline()
            if not line.endswith(b"\r\n"):
                return
            size = int(line.split(b";")[0], 16)
            data = answer.read(size + 2)
            if len(data) < size + 2:
                return
            if size == 0:
                self.complete = True
                return
            events += data[:size]
            lines = events.split(b"\n")
            events = lines.pop()
            self.pieces += [int(item[3:]) for item in lines if item.startswith(b"id:")]


def request_headers(request, deadline_ms, more=None):
    headers = {"Host": HOST, PREFIX + "Request-Id": request, PREFIX + "Deadline-Ms": str(deadline_ms),
               "Authorization": "Token " + KEY}
    headers.update(more or {})
    return headers


def engine_config(version, routes):
    """A configuration with one service of model engines, and a plain service."""
    models = [{"name": name, "weightsMb": 72700.0, "loadS": 6.0, "adapters": 0,
               "adapterMb": 66.0, "warmS": 1.2, "diskS": 1.6} for name in (MODEL, RARE_MODEL)]
    engine = {"slots": 64, "kvCapacity": 118861, "weightsMb": 230000.0, "adapterSlots": 8,
              "loadsPerS": 4.2, "models": models}
    services = [{"name": "wording-desk", "healthPath": "/health", "maxConns": 360,
                 "protocol": "h1", "tls": False, "coldS": 3.0, "coldPerS": 12.0, "engine": engine},
                {"name": "booking-ledger", "healthPath": "/health", "maxConns": 100,
                 "protocol": "h1", "tls": False, "coldS": 0.0, "coldPerS": 0.0}]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1, "unit": "tokens",
                         "plainTokens": 200, "ratePerS": 32154, "burst": 32154}]}


def route(name, prefix, kind, service, **more):
    fields = {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": 25000,
              "latencyGoalMs": 3000, "priority": 1, "service": service, "attempts": 1,
              "public": False, "sticky": False, "resumable": False, "gapTargetMs": 300}
    fields.update(more)
    return fields


def model_headers(model):
    return {PREFIX + "Model": model, PREFIX + "Token-Count": "1460,80"}


MODEL_HEADERS = model_headers(MODEL)
