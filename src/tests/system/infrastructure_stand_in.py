"""Strict stand-in of the infrastructure's interface: checks each call of the daemons against the
rules of docs/design/hard-load.md, and at times answers slowly, wrongly or not at all."""

import collections
import json
import random
import socket
import struct
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

PREFIX = "X-Bilberrybend-"
LEASE_S = 3.0  # Holders never act in the order A, B, A within this time.
SLOW_S = (0.2, 1.2)  # Below the time limit of a call, 1.5 s.
SILENT_S = 2.5  # Above that limit.
MAX_CLOCK_ERROR_S = 0.3  # Daemons may take a window for ended by so much too early.
MAX_BODY_BYTES = 64 << 20
# Behaviour in a faulty period, and its weight. A call whose answer is lost may have been accepted.
FAULTS = {"prompt": 8, "slow": 3, "throttled": 2, "unavailable": 2, "unavailable_accepted": 2,
          "reset": 2, "reset_accepted": 2, "silent": 1, "silent_accepted": 1}


class Infrastructure(ThreadingHTTPServer):
    """Takes POST /usage and POST /scale. breaches lists what broke a rule, in words."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, window_s=None, calls_per_s=50, bounds=None, seed=1):
        """bounds: (least, most) number of targets by service."""
        super().__init__(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server_port}"
        self.window_s = window_s
        self.calls_per_s = calls_per_s
        self.bounds = bounds or {}
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.faulty = False
        self.down = False  # While set, each connection is reset at once.
        self.breaches = []
        self.answers = collections.Counter()  # Behaviours that calls have met.
        self.arrivals = collections.deque()  # Times of the calls of the last second.
        self.reports = {}  # Window: counts in its first report, accepted or not.
        self.accepted = {}  # Window: counts in the accepted report.
        self.orders = []  # Accepted orders (service, zone, desired), with repeats.
        self.last_order = {}  # Subject: (desired, fence) of the last order answered with 200.
        self.fences = collections.defaultdict(list)  # Subject: (fence, holder) of each call.
        self.acts = collections.defaultdict(dict)  # Subject: {holder: time of its last call}.
        self.last_holder = {}  # Subject: holder of the last call.
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def breach(self, text):
        print(f"    breach at the infrastructure: {text}", flush=True)
        self.breaches.append(text)

    def handle_error(self, request, client_address):
        pass  # The daemon has closed the connection, which the rules allow.

    def choose(self):
        """Returns the behaviour towards the next call; the lock is held."""
        now = time.monotonic()
        while self.arrivals and self.arrivals[0] <= now - 1:
            self.arrivals.popleft()
        self.arrivals.append(now)
        if len(self.arrivals) > self.calls_per_s:
            self.breach(f"{len(self.arrivals)} calls within a second")
            return "throttled"
        if not self.faulty:
            return "prompt"
        return self.random.choices(list(FAULTS), list(FAULTS.values()))[0]

    def check_holder(self, subject, holder, fence):
        """Checks holder and fencing token of a call, in the order of arrival; the lock is held."""
        seen = self.fences[subject]
        for other_fence, other in seen:
            if other_fence == fence and other != holder:
                self.breach(f"{subject}: token {fence} of {other} and of {holder}")
        if seen and fence < max(seen)[0]:
            self.breach(f"{subject}: token {fence} of {holder} after {max(seen)}")
        if (fence, holder) not in seen:
            seen.append((fence, holder))
        acts, now = self.acts[subject], time.monotonic()
        last = self.last_holder.get(subject, holder)
        if last != holder and now - acts.get(holder, now - LEASE_S) < LEASE_S:
            self.breach(f"{subject}: {holder}, {last}, {holder} within {now - acts[holder]:.2f} s")
        acts[holder] = now
        self.last_holder[subject] = holder

    def check_usage(self, body):
        """Checks a report; the lock is held. Returns whether it is well formed."""
        window, counts = body.get("windowId"), body.get("counts")
        valid = (set(body) == {"windowId", "counts"} and is_count(window)
                 and isinstance(counts, dict) and all(is_count(n) for n in counts.values()))
        if not valid:
            self.breach(f"malformed report {str(body)[:200]}")
            return False
        if self.window_s and (window + 1) * self.window_s > time.time() + MAX_CLOCK_ERROR_S:
            self.breach(f"window {window} reported before its end")
        if self.reports.setdefault(window, counts) != counts:
            self.breach(f"window {window}: {self.reports[window]}, then {counts}")
        return True

    def check_order(self, body, fence):
        """Checks an order; the lock is held. Returns whether it is well formed."""
        valid = (set(body) == {"service", "zone", "desired"} and is_count(body["desired"])
                 and all(isinstance(body[name], str) and body[name]
                         for name in ("service", "zone")))
        if not valid:
            self.breach(f"malformed order {str(body)[:200]}")
            return False
        least, most = self.bounds.get(body["service"], (0, 1 << 30))
        if not least <= body["desired"] <= most:
            self.breach(f"order outside {least} to {most}: {body}")
        subject = ("scale", body["service"], body["zone"])
        if self.last_order.get(subject) == (body["desired"], fence):
            self.breach(f"the order equals the last one: {body}")
        return True

    def accept(self, path, body):
        """Records that the call is in effect; the lock is held."""
        if path == "/usage":
            self.accepted[body["windowId"]] = body["counts"]
        else:
            self.orders.append((body["service"], body["zone"], body["desired"]))

    def missing_windows(self):
        """Returns the windows without an accepted report between the first and the last one."""
        with self.lock:
            windows = sorted(self.accepted)
        return sorted(set(range(windows[0], windows[-1] + 1)) - set(windows)) if windows else []

    def total(self, account):
        with self.lock:
            return sum(counts.get(account, 0) for counts in self.accepted.values())

    def last_window(self):
        with self.lock:
            return max(self.accepted, default=None)


def is_count(value):
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


class Handler(BaseHTTPRequestHandler):
    """Handles one call; a call without its whole body does not count."""

    protocol_version = "HTTP/1.1"

    def do_POST(self):
        server = self.server
        if server.down:
            self.reset()
            return
        length = self.headers.get("Content-Length", "")
        if not length.isdigit() or int(length) > MAX_BODY_BYTES:
            with server.lock:
                server.breach(f"length of the body {length!r}")
            self.answer(400)
            return
        raw = self.rfile.read(int(length))
        if len(raw) < int(length):
            server.answers["cut"] += 1
            self.close_connection = True
            return
        with server.lock:
            behaviour = server.choose()
            body, fence = self.check(raw)
            server.answers[behaviour if body is not None else "invalid"] += 1
            if behaviour.endswith("_accepted") and body is not None:
                server.accept(self.path, body)
        if body is None:
            self.answer(400)
        else:
            self.behave(behaviour, body, fence)

    def check(self, raw):
        """Checks a call; the lock is held. Returns its body and token, or None and None."""
        server = self.server
        fields = {}
        for name in ("Content-Type", PREFIX + "Duty-Holder", PREFIX + "Fencing-Token"):
            values = self.headers.get_all(name) or []
            fields[name] = values[0] if len(values) == 1 else ""
        holder, fence = fields[PREFIX + "Duty-Holder"], fields[PREFIX + "Fencing-Token"]
        try:
            body = json.loads(raw)
        except ValueError:
            body = None
        if (self.path not in ("/usage", "/scale") or fields["Content-Type"] != "application/json"
                or not holder or not fence.isdigit() or not isinstance(body, dict)):
            server.breach(f"malformed call {self.path} {fields} {raw[:200]}")
            return None, None
        usage = self.path == "/usage"
        if not (server.check_usage(body) if usage else server.check_order(body, int(fence))):
            return None, None
        # All windows are one subject.
        subject = ("usage",) if usage else ("scale", body["service"], body["zone"])
        server.check_holder(subject, holder, int(fence))
        return body, int(fence)

    def behave(self, behaviour, body, fence):
        server = self.server
        if behaviour == "throttled":
            self.answer(429)
        elif behaviour.startswith("unavailable"):
            self.answer(503)
        elif behaviour.startswith("reset"):
            self.reset()
        elif behaviour.startswith("silent"):
            time.sleep(SILENT_S)
            self.close_connection = True
        else:
            if behaviour == "slow":
                time.sleep(server.random.uniform(*SLOW_S))
            with server.lock:
                server.accept(self.path, body)
            if self.answer(200) and behaviour == "prompt" and self.path == "/scale":
                with server.lock:
                    server.last_order["scale", body["service"], body["zone"]] = (
                        body["desired"], fence)

    def answer(self, status):
        try:
            self.send_response(status)
            self.send_header("Content-Length", "0")
            self.end_headers()
            self.wfile.flush()
            return True
        except OSError:
            return False

    def reset(self):
        """Closes the connection with a TCP reset."""
        self.close_connection = True
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.connection.close()

    def do_GET(self):
        with self.server.lock:
            self.server.breach(f"GET {self.path}")
        self.answer(405)

    def log_message(self, *_):
        pass
