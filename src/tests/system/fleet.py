"""Test cluster: real daemons and simulated targets as processes on the loopback interface."""

import itertools
import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.error
import urllib.request

START_TIMEOUT_S = 20


PORT_RANGE = (10_000, 30_000)
PORT_STRIDE = 397  # Port offset between processes with consecutive process IDs.


def port_sequence():
    """Cycles through PORT_RANGE endlessly; the first port depends on the process ID."""
    first, last = PORT_RANGE
    begin = os.getpid() * PORT_STRIDE % (last - first)
    return itertools.cycle([first + (begin + i) % (last - first) for i in range(last - first)])


PORTS = port_sequence()


def free_ports(count):
    """Returns ports that are free now and lie below the range of ephemeral ports."""
    found = []
    while len(found) < count:
        port = next(PORTS)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
    return found


def wait_for(condition, timeout_s=START_TIMEOUT_S, interval_s=0.02):
    """Waits until condition() is true. Returns the elapsed seconds, or None after a timeout."""
    begin = time.monotonic()
    while time.monotonic() - begin < timeout_s:
        if condition():
            return time.monotonic() - begin
        time.sleep(interval_s)
    return None


def http(method, address, path, body=None, headers=None, timeout=10):
    """Returns (status, headers, body); without an answer the status is 0 and the body the error."""
    request = urllib.request.Request(f"http://{address}{path}", method=method, data=body,
                                     headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()
    except (OSError, ValueError) as error:
        return 0, {}, str(error).encode()


class Site:
    """Test cluster of daemons and targets; close() ends all its processes."""

    def __init__(self, build, hosts=3, controls=3, zones=3, config=None, traced=None,
                 settings=None, descriptors=None):
        """settings: added to those of each daemon; descriptors: limit of each daemon."""
        self.build = build
        self.settings = settings or {}
        self.descriptors = descriptors
        self.run_dir = tempfile.mkdtemp(prefix="bb-")
        self.traced = traced
        self.processes = {}
        self.commands = {}
        self.config = config or default_config()
        self.zones = [f"z{i}" for i in range(1, zones + 1)]
        self.hosts = [f"h{i}" for i in range(1, hosts + 1)]
        self.controls = self.hosts[:controls]
        ports = free_ports(4 * hosts)
        self.ports = {h: ports[4 * i:4 * i + 4] for i, h in enumerate(self.hosts)}
        self.keys = {}
        self.addresses = {}
        for i, host in enumerate(self.hosts):
            self.write_settings(host, self.zones[i % zones])
            self.start_host(host, found=host in self.controls)

    def write_settings(self, host, zone, data=None):
        callers, operators, targets, peers = self.ports[host]
        settings = {
            "host": host, "zone": zone, "control": host in self.controls,
            "callers": f"127.0.0.1:{callers}", "operators": f"127.0.0.1:{operators}",
            "targets": f"127.0.0.1:{targets}", "drainMs": 500,
            "controlHosts": {h: f"127.0.0.1:{self.ports[h][3]}" for h in self.controls},
            **self.settings}
        if host == self.traced:
            settings["traceFile"] = f"{self.run_dir}/{host}.trace"
        if host in self.controls:
            settings["dataFolder"] = data or f"{self.run_dir}/{host}"
            settings["peers"] = f"127.0.0.1:{peers}"
        with open(f"{self.run_dir}/{host}.json", "w", encoding="utf-8") as out:
            json.dump(settings, out)

    def start(self, name, command):
        self.commands[name] = command
        log = open(f"{self.run_dir}/{name}.log", "ab")
        limit = self.descriptors if name in self.hosts else None
        self.processes[name] = subprocess.Popen(
            command, stdout=log, stderr=log, preexec_fn=limit and (
                lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))))

    def start_host(self, host, found=False):
        """Starts a daemon. With found, it is a founding member of a new control group."""
        command = [f"{self.build}/bilberrybendd", "--settings", f"{self.run_dir}/{host}.json"]
        self.start(host, command + (["--found"] if found else []))
        self.commands[host] = command

    def start_target(self, name, zone, *options, kind="engine", service=None):
        """Starts a simulated target; a restarted target keeps its port."""
        port = self.addresses.get(name) or free_ports(1)[0]
        self.addresses[name] = port
        command = [f"{self.build}/fake_target", "--id", name, "--zone", zone, "--kind", kind,
                   "--address", f"127.0.0.1:{port}", "--announce-to"]
        command += [f"127.0.0.1:{self.ports[h][2]}" for h in self.hosts]
        if service:
            command += ["--service", service]
        self.start(name, command + list(options))

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def restart(self, name):
        self.start(name, self.commands[name])

    def alive(self, name):
        return self.processes[name].poll() is None

    def ctl(self, *words, timeout=20, hosts=None):
        """Runs bilberryctl. Returns (exit code, output): parsed JSON, or text if it is not JSON."""
        daemons = ",".join(f"127.0.0.1:{self.ports[h][1]}" for h in hosts or self.hosts
                           if self.alive(h))
        done = subprocess.run([f"{self.build}/bilberryctl", "--daemon", daemons, "--json",
                               "--timeout", str(timeout), *words],
                              capture_output=True, text=True, check=False)
        try:
            return done.returncode, json.loads(done.stdout)
        except ValueError:
            return done.returncode, done.stdout + done.stderr

    def apply(self, *options, config=None, timeout=20):
        path = tempfile.mkdtemp(dir=self.run_dir)
        with open(f"{path}/all.json", "w", encoding="utf-8") as out:
            json.dump(config or self.config, out)
        return self.ctl(*options, "apply", path, timeout=timeout)

    def set_up(self):
        """Applies the configuration and grants a key to each account."""
        code, out = self.apply("--wait")
        assert code == 0, out
        for account in self.config["accounts"]:
            code, out = self.ctl("--wait", "key", "grant", account["id"])
            assert code == 0, out
            self.keys[account["id"]] = out["key"]

    def status(self):
        return self.ctl("status")[1]

    def leader(self, timeout=1):
        """Returns the control host that reports itself as leader, or None. Timeout in seconds."""
        for host in self.controls:
            if not self.alive(host):
                continue
            code, _, body = http("GET", f"127.0.0.1:{self.ports[host][1]}", "/member",
                                 timeout=timeout)
            if code == 200 and json.loads(body)["leads"]:
                return host
        return None

    def wait_targets(self, count):
        return wait_for(lambda: len((self.status() or {}).get("targets") or {}) >= count)

    def statistics(self, target):
        """Returns the counters of a simulated target; see statistics() in fake_target.cpp."""
        _, _, body = http("GET", f"127.0.0.1:{self.addresses[target]}", "/statistics")
        return json.loads(body)

    def log_lines(self, name, word):
        """Returns the log lines of all runs of a process that contain the word."""
        with open(f"{self.run_dir}/{name}.log", encoding="utf-8", errors="replace") as lines:
            return [line.strip() for line in lines if word in line]

    def caller(self, host):
        """Returns the address at which the host accepts requests of callers."""
        return f"127.0.0.1:{self.ports[host][0]}"

    def call(self, host, account, path, body, **headers):
        all_headers = {"Content-Type": "application/json", **headers}
        if account:
            all_headers["Authorization"] = f"Bearer {self.keys.get(account, account)}"
        return http("POST", self.caller(host), path, json.dumps(body).encode(), all_headers)

    def load(self, seconds, profiles, seed=1, hosts=None):
        """Starts open-loop load. Returns a function that waits for its end: (summary, outcomes)."""
        name = f"{self.run_dir}/load-{seed}-{time.monotonic_ns()}"
        plan = {"seconds": seconds, "seed": seed, "profiles": profiles, "keys": self.keys,
                "hosts": [self.caller(h) for h in hosts or self.hosts]}
        with open(name + ".json", "w", encoding="utf-8") as out:
            json.dump(plan, out)
        process = subprocess.Popen([f"{self.build}/bilberryload", "--plan", name + ".json",
                                    "--outcomes", name + ".out"], stdout=subprocess.PIPE)

        def finish():
            summary = json.loads(process.communicate(timeout=seconds + 90)[0])
            with open(name + ".out", encoding="utf-8") as lines:
                return summary, [json.loads(line) for line in lines]
        return finish

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if not os.environ.get("KEEP_RUN"):
            shutil.rmtree(self.run_dir, ignore_errors=True)


def default_config():
    """Returns the accounts, models and routes that most scenarios use."""
    def account(name, rate=400, tokens=100_000, **more):
        return {"id": name, "requestsPerSecond": rate, "requestBurst": rate,
                "tokensPerSecond": tokens, "tokenBurst": tokens, **more}
    return {
        "accounts": [account("desk"), account("fairs"), account("guest", 20)],
        "models": [{"id": f"m{i}", "memoryMb": 16000, "adapters": ["x"], "timeLimitMs": 15000}
                   for i in range(1, 9)],
        "routes": [
            {"id": "calendar", "path": "/calendar", "service": "calendar", "repeatable": True,
             "timeLimitMs": 5000},
            {"id": "holds", "path": "/holds", "service": "holds", "repeatable": False,
             "timeLimitMs": 5000}]}


class Relay:
    """TCP relay that can drop all bytes of its open connections while new connections work."""

    def __init__(self, port, to_port):
        self.to_port = to_port
        self.lock = threading.Lock()
        self.generation = 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(256)
        threading.Thread(target=self.accept, daemon=True).start()

    def silence(self):
        """Drops all further bytes of the connections that are open now, without closing them."""
        with self.lock:
            self.generation += 1

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
                server = socket.create_connection(("127.0.0.1", self.to_port))
            except OSError:
                return
            for a, b in ((client, server), (server, client)):
                threading.Thread(target=self.forward, args=(a, b, self.generation),
                                 daemon=True).start()

    def forward(self, source, sink, generation):
        try:
            while True:
                data = source.recv(65536)
                if generation != self.generation:
                    connection_open = bool(data)
                    if not connection_open:
                        time.sleep(60)
                    continue
                if not data:
                    break
                sink.sendall(data)
        except OSError:
            pass
        for s in (source, sink):
            try:
                s.close()
            except OSError:
                pass
