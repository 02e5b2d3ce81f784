"""Simulates the platform for one scenario: an engine with heartbeats, and operator requests."""

import json
import os
import socket
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import fleet

CONTROL_IPS = ["127.0.0.2", "127.0.0.4", "127.0.0.5"]
ENTRY_IP = "127.0.0.3"
PREFIX = "X-Bilberrybend-"
EVENT_COUNT = 5
HEARTBEAT_INTERVAL_S = 0.3


class Engine(ThreadingHTTPServer):
    """Engine with one loaded model: streams events, answers plain calls, and records requests."""

    daemon_threads = True

    def __init__(self, site):
        super().__init__(("127.0.0.1", 0), EngineHandler)
        self.site = site
        self.received = []
        self.sequence = 0
        self.incarnation = int(time.time() * 1000)
        threading.Thread(target=self.serve_forever, daemon=True).start()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def send_heartbeats(self):
        while True:
            self.sequence += 1
            state = {"service": "llm", "address": f"127.0.0.1:{self.server_port}", "zone": "z1",
                     "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
                     "stage": "colocated", "seqNo": self.sequence, "born": self.incarnation,
                     "models": [{"name": "m", "version": 1, "adapters": []}],
                     "atHand": {"inMemory": ["m"], "onDisk": ["m"]}}
            fleet.http("POST", self.site.control, "/instances/i-1/heartbeat",
                       json.dumps(state).encode(), {"Content-Type": "application/json"})
            time.sleep(HEARTBEAT_INTERVAL_S)


class EngineHandler(BaseHTTPRequestHandler):
    """Handles one request and records its method, path, headers and body unchanged."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        if self.path == "/report":
            self.send_answer(json.dumps({"seqNo": 0, "busy": False}).encode())
        else:
            self.do_POST()

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.server.received.append((self.command, self.path, dict(self.headers), body))
        if self.path.startswith("/chat/"):
            self.send_stream()
        else:
            self.send_answer(b"plain " + body)

    def send_head(self, content_type):
        self.send_response(200)
        self.send_header("Content-Type", content_type)
        self.send_header(PREFIX + "Request-Id", self.headers.get(PREFIX + "Request-Id", ""))
        self.send_header(PREFIX + "Server-Seal", "sealed")

    def send_answer(self, body):
        self.send_head("application/octet-stream")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def send_stream(self):
        self.send_head("text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(1, EVENT_COUNT + 1):
            event = f"id: {number}\ndata: x{number}\n\n".encode()
            self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            self.wfile.flush()
        self.wfile.write(b"0\r\n\r\n")

    def log_message(self, *_):
        pass


def platform_config(version):
    route = {"host": "h.example", "timeoutMs": 5000, "latencyGoalMs": 600, "priority": 1,
             "attempts": 1, "public": False, "service": "llm"}
    return {"version": version,
            "routes": [dict(route, name="chat", pathPrefix="/chat/", kind="streaming",
                            gapTargetMs=300),
                       dict(route, name="hold", pathPrefix="/hold/", kind="unsafe")],
            "services": [{"name": "llm", "coldPerS": 12.0, "engine": {
                "weightsMb": 230000.0, "adapterSlots": 8, "loadsPerS": 4.2, "models": [
                    {"name": "m", "weightsMb": 70000.0, "loadS": 6.0, "diskS": 1.6,
                     "adapters": 0, "adapterMb": 66.0}]}}],
            "tenants": [{"name": "tengri", "apiKeys": ["secret-key"], "unit": "tokens",
                         "plainTokens": 200, "ratePerS": 0, "burst": 0}]}


class PlatformSite:
    """Control daemons and one entry daemon that use the platform's protocol."""

    def __init__(self, build, controls=1, control_settings=None, entry_settings=None):
        self.build = build
        self.run_dir = tempfile.mkdtemp(prefix="bb-")
        callers, ready, control, operators, peers = fleet.free_ports(5)
        ips = CONTROL_IPS[:controls]
        self.callers = f"{ENTRY_IP}:{callers}"
        self.ready = f"{ENTRY_IP}:{ready}"
        common = {"zone": "z1", "edge": "platform", "drainMs": 300,
                  "controlSeeds": [f"{ip}:{control}" for ip in ips]}
        self.processes = {}
        self.controls = {}  # Name of each control daemon: its address for engines and operators.
        self.operators = {}  # Name of each control daemon: its operators' port.
        for i, ip in enumerate(ips):
            name = f"control{i + 1}"
            self.controls[name] = f"{ip}:{control}"
            self.operators[name] = f"{ip}:{operators}"
            self.start(dict(common, host=name, entry=False, control=True, found=True,
                            voters=controls, dataFolder=f"{self.run_dir}/{name}-data",
                            targets=self.controls[name], operators=self.operators[name],
                            peers=f"{ip}:{peers}", **(control_settings or {})))
        self.start(dict(common, host="entry", entry=True, control=False,
                        callers=self.callers, readiness=self.ready,
                        operators=f"{ENTRY_IP}:{operators}", peers=f"{ENTRY_IP}:{peers}",
                        **(entry_settings or {})))
        self.engine = Engine(self)

    @property
    def control(self):
        """Address of a control daemon that runs."""
        return next((address for name, address in self.controls.items() if self.alive(name)),
                    next(iter(self.controls.values())))

    def alive(self, name):
        return self.processes[name].poll() is None

    def start(self, settings):
        with open(f"{self.run_dir}/{settings['host']}.json", "w", encoding="utf-8") as out:
            json.dump(settings, out)
        self.start_process(settings["host"])

    def start_process(self, name):
        log = open(f"{self.run_dir}/{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [os.path.abspath(f"{self.build}/bilberrybendd"), "--settings",
             f"{self.run_dir}/{name}.json"], stdout=log, stderr=log)

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def leader(self):
        """Returns the name of the control daemon that reports itself as leader, or None."""
        for name, address in self.operators.items():
            if not self.alive(name):
                continue
            status, _, body = fleet.http("GET", address, "/member", timeout=1)
            if status == 200 and json.loads(body)["leads"]:
                return name
        return None

    def replace_config(self, document):
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        return fleet.http("POST", self.control, "/config/replace", body,
                          {"Content-Type": "application/json"})[0]

    def call(self, path, body=b"{}", key="secret-key", **extra_headers):
        headers = {"Host": "h.example", PREFIX + "Request-Id": "r-1", PREFIX + "Model": "m",
                   PREFIX + "Token-Count": "100,20", PREFIX + "Deadline-Ms": "4000",
                   "Authorization": f"Token {key}"}
        headers.update(extra_headers)
        return fleet.http("POST", self.callers, path, body, headers)

    def raw(self, text):
        """Sends raw bytes to the caller port. Returns all bytes until the connection closes."""
        ip, port = self.callers.split(":")
        with socket.create_connection((ip, int(port)), timeout=5) as connection:
            connection.sendall(text)
            answer = b""
            while chunk := connection.recv(65536):
                answer += chunk
        return answer

    def close(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.engine.shutdown()
