"""A small deployment on loopback addresses for the scripts of this review: daemons of the deploy
file as processes, and stand-ins for the operator, the engines and the clients.

The settings are those that the two templates in platform/ give for a site with the bounds of
sites/plumachim.toml."""

import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = os.path.join(ROOT, "target", "bilberrybendd")
PREFIX = "X-Bilberrybend-"
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
BEAT_S = 0.4


def free_ports(count):
    """Returns ports that are free on 127.0.0.1 now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for s in sockets:
            s.bind(("127.0.0.1", 0))
        return [s.getsockname()[1] for s in sockets]
    finally:
        for s in sockets:
            s.close()


def read_answer(stream, method="POST"):
    """Reads one answer from a file of a socket.

    Returns (status, headers, body, complete); status 0 if the connection ended before one."""
    line = stream.readline()
    if not line:
        return 0, {}, b"", False
    status = int(line.split()[1])
    headers = {}
    while True:
        line = stream.readline()
        if line in (b"\r\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if status == 100:
        return read_answer(stream, method)
    if "content-length" in headers:
        length = int(headers["content-length"])
        body = stream.read(length)
        return status, headers, body, len(body) == length
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = stream.readline()
            if not size.endswith(b"\r\n"):
                return status, headers, body, False
            length = int(size.split(b";")[0], 16)
            chunk = stream.read(length)
            body += chunk
            if len(chunk) != length or stream.readline() != b"\r\n":
                return status, headers, body, False
            if length == 0:
                return status, headers, body, True
    return status, headers, stream.read(), True


def http(method, address, path, body=b"", headers=(), timeout=5.0):
    """Sends one request on a new connection. Returns what read_answer() does."""
    ip, port = address.split(":")
    try:
        with socket.create_connection((ip, int(port)), timeout=timeout) as connection:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {address}",
                     f"Content-Length: {len(body)}", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in headers]
            connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return read_answer(connection.makefile("rb"), method)
    except OSError:
        return 0, {}, b"", False


class Site:
    """Control daemons, entry daemons and the operator. close() ends all processes."""

    def __init__(self, controls=3, entries=1, control_ips=None, proxies=None):
        self.run_dir = tempfile.mkdtemp(prefix="review-")
        self.ports = dict(zip(("callers", "ready", "control", "operators", "peers"),
                              free_ports(5)))
        self.control_ips = control_ips or [f"127.0.0.{11 + i}" for i in range(controls)]
        self.entry_ips = [f"127.0.0.{31 + i}" for i in range(entries)]
        self.processes = {}
        for i, ip in enumerate(self.control_ips):
            self.write_settings(f"core-{i + 1}", self.control_settings(f"core-{i + 1}", ip))
        for i, ip in enumerate(self.entry_ips):
            self.write_settings(f"front-{i + 1}", self.entry_settings(f"front-{i + 1}", ip))
        for name in list(self.settings_names()):
            self.start(name)

    def settings_names(self):
        return sorted(n[:-5] for n in os.listdir(self.run_dir) if n.endswith(".json"))

    def common(self, name, ip):
        return {"host": name, "zone": "riobamba-a", "edge": "platform",
                "operators": f"{ip}:{self.ports['operators']}",
                "peers": f"{ip}:{self.ports['peers']}",
                "controlSeeds": [f"{c}:{self.ports['control']}" for c in self.control_ips[:3]],
                "retryShare": 0.2, "retryBurst": 58, "graceSeconds": 8, "drainMs": 2500}

    def control_settings(self, name, ip):
        return dict(self.common(name, ip), entry=False, control=True,
                    dataFolder=f"{self.run_dir}/{name}-data",
                    targets=f"{ip}:{self.ports['control']}", found=True, voters=5,
                    orderSeparationMs=3000, rateLeeway=0.1, burstLeeway=11000, prefetch=True,
                    memoryMb=256, maxDescriptors=4096)

    def entry_settings(self, name, ip):
        return dict(self.common(name, ip), entry=True, control=False,
                    callers=f"{ip}:{self.ports['callers']}", memoryMb=260, maxDescriptors=4100,
                    readiness=f"{ip}:{self.ports['ready']}")

    def write_settings(self, name, settings):
        with open(f"{self.run_dir}/{name}.json", "w", encoding="utf-8") as out:
            json.dump(settings, out)

    def start(self, name):
        log = open(f"{self.run_dir}/{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [DAEMON, "--settings", f"{self.run_dir}/{name}.json"], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.run_dir, "LANG": "C.UTF-8"})

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def alive(self, name):
        return self.processes[name].poll() is None

    def controls(self):
        return [f"{ip}:{self.ports['control']}" for ip in self.control_ips]

    def callers(self, entry=0):
        return f"{self.entry_ips[entry]}:{self.ports['callers']}"

    def ready(self, entry=0):
        return http("GET", f"{self.entry_ips[entry]}:{self.ports['ready']}", "/readiness",
                    timeout=1.0)[0] == 200

    def operate(self, method, path, body=b"", attempts=40):
        """Calls the control daemons in turn, as the operator does. Returns (status, body)."""
        status, answer = 0, b""
        for attempt in range(attempts):
            address = self.controls()[attempt % len(self.control_ips)]
            status, _, answer, _ = http(method, address, path, body,
                                        [("Content-Type", "application/json")], 1.0)
            if status in (200, 400, 409, 412, 413, 422):
                return status, answer
            time.sleep(0.15)
        return status, answer

    def replace_config(self, document):
        return self.operate("POST", "/config/replace", json.dumps(document).encode())[0]

    def wait_ready(self, timeout_s=20.0):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if all(self.ready(i) for i in range(len(self.entry_ips))):
                return True
            time.sleep(0.1)
        return False

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if not os.environ.get("KEEP_RUN"):
            shutil.rmtree(self.run_dir, ignore_errors=True)


def config(version, routes, services, tenants=None):
    """Returns a configuration with the limits of the pages' example."""
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": tenants if tenants is not None else [
                {"name": "hule930", "apiKeys": [KEY], "priority": 1, "unit": "tokens",
                 "plainTokens": 200, "ratePerS": 0, "burst": 0}]}


def route(name, prefix, service, kind, **more):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": 5000,
            "latencyGoalMs": 600, "priority": 1, "service": service, "attempts": 1,
            "public": False, "sticky": False, "resumable": False, **more}


def plain_service(name):
    return {"name": name, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": False,
            "coldS": 0.0, "coldPerS": 0.0}


class Server(threading.Thread):
    """Stand-in for an engine of a plain service: one thread for each connection, heartbeats.

    Subclasses change answer()."""

    def __init__(self, site, name, service, slots=6, zone="riobamba-a", beats=True):
        super().__init__(daemon=True)
        self.site, self.name_, self.service, self.slots, self.zone = site, name, service, slots, zone
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.lock = threading.Lock()
        self.runs = []  # Request ids in the order in which they ran.
        self.beating = beats
        self.start()
        threading.Thread(target=self.beat_forever, daemon=True).start()

    def state(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": "ready", "coldLeftMs": 0,
                "born": self.born}

    def beat(self):
        with self.lock:
            self.sequence += 1
            body = json.dumps(dict(self.state(), seqNo=self.sequence)).encode()
        for address in self.site.controls():
            if http("POST", address, f"/instances/{self.name_}/heartbeat", body,
                    [("Content-Type", "application/json")], 1.0)[0] == 200:
                return True
        return False

    def beat_forever(self):
        while True:
            if self.beating:
                self.beat()
            time.sleep(BEAT_S)

    def run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while True:
                request = self.read_request(stream)
                if request is None:
                    break
                if not self.answer(connection, *request):
                    break
        except (OSError, ValueError):
            pass
        finally:
            try:
                connection.close()
            except OSError:
                pass

    @staticmethod
    def read_request(stream):
        line = stream.readline().decode("latin-1").split()
        if len(line) != 3:
            return None
        headers = {}
        while True:
            text = stream.readline()
            if text in (b"\r\n", b""):
                break
            name, _, value = text.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        body = stream.read(int(headers.get("content-length", 0)))
        return line[0], line[1], headers, body

    def note_run(self, request_id):
        with self.lock:
            self.runs.append(request_id)

    def seal(self, request_id):
        return f"{self.name_}.{request_id}"

    def head(self, headers, status=200, extra=()):
        request_id = headers.get(PREFIX.lower() + "request-id", "")
        lines = [f"HTTP/1.1 {status} OK", f"{PREFIX}Request-Id: {request_id}",
                 f"{PREFIX}Server-Seal: {self.seal(request_id)}"]
        return lines + [f"{name}: {value}" for name, value in extra]

    def answer(self, connection, method, path, headers, body):
        """Answers one request. Returns whether the connection goes on."""
        if method == "GET" and path == "/health":
            connection.sendall(f"HTTP/1.1 200 OK\r\n{PREFIX}Instance-Id: {self.name_}\r\n"
                               "Content-Length: 0\r\n\r\n".encode())
            return True
        expected = headers.get(PREFIX.lower() + "expect-instance")
        if expected not in (None, self.name_):
            connection.sendall(f"HTTP/1.1 421 Misdirected Request\r\n{PREFIX}Instance-Id: "
                               f"{self.name_}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        return self.run_request(connection, method, path, headers, body)

    def run_request(self, connection, method, path, headers, body):
        request_id = headers.get(PREFIX.lower() + "request-id", "")
        self.note_run(request_id)
        text = f"ran {request_id}".encode()
        lines = self.head(headers, extra=[("Content-Length", len(text))])
        connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
        return True


class Client:
    """Stand-in for a client that keeps its connection open."""

    def __init__(self, address, timeout=8.0):
        ip, port = address.split(":")
        self.connection = socket.create_connection((ip, int(port)), timeout=timeout)
        self.stream = self.connection.makefile("rb")

    def send(self, method, path, request_id, body=b"", headers=(), deadline_ms=4000):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"{PREFIX}Request-Id: {request_id}",
                 f"{PREFIX}Deadline-Ms: {deadline_ms}", f"Authorization: Token {KEY}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if method != "GET" or body:
            lines.append(f"Content-Length: {len(body)}")
        self.connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def receive(self):
        try:
            return read_answer(self.stream)
        except (OSError, ValueError):
            return 0, {}, b"", False

    def call(self, *args, **more):
        self.send(*args, **more)
        return self.receive()

    def close(self):
        self.stream.close()
        self.connection.close()
