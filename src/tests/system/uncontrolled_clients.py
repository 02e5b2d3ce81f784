"""Scenarios of clients that nobody controls: large, unfinished and oversized bodies, many connections.

Each scenario starts real daemons with low limits and lets a small crowd of clients act on one host
that serves callers. Checked is only what does not depend on the machine's speed: the process lives,
its memory and descriptors stay under a fixed bound, refusals arrive, and ordinary requests are
answered. The bounds were fixed before the daemon had limits of its own.
"""

import contextlib
import os
import socket
import threading
import time

from fleet import Site, default_config, wait_for

LIVES = "no client ends or hangs a process"
MEMORY = "a process stays within its memory"
DESCRIPTORS = "a process stays within its descriptors"
ANSWERED = "ordinary callers are answered beside uncontrolled clients"
REFUSED = "a body over the limit is refused without being read to its end"

CI = {"large_bodies_at_once", "bodies_that_stop_short", "chunked_bodies_that_stop_short",
      "bodies_of_one_byte_chunks", "bodies_over_the_limit", "connections_without_end"}

MIB = 1 << 20
BODY_BYTES = MIB  # maxBodyBytes of the daemons.
CROWD = 80  # Clients at once.
# 80 bodies of 1 MiB do not fit; a daemon that holds 24 of them does.
MAX_GROWTH_BYTES = 48 * MIB
DESCRIPTOR_LIMIT = 192  # RLIMIT_NOFILE of the daemons of one scenario.
MAX_DESCRIPTORS = 160
MANY_CONNECTIONS = 150
SMALL_CHUNKS = 96 << 10  # One-byte chunks of one client.
PIECE_BYTES = 64 << 10
MAX_SENT_OVER_LIMIT = 48 * MIB  # Far above the limit and all buffers between client and daemon.
SETTLE_S = 1.5  # Time in which the clients' last bytes are read.
ANSWER_TIMEOUT_S = 15
HOST = "h2"  # Serves callers and is no member of the control group.


def anonymous_bytes(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as lines:
        return next(int(line.split()[1]) << 10 for line in lines if line.startswith("RssAnon:"))


def open_descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


class Watch:
    """Measures the most memory and descriptors that a process uses while the block runs."""

    def __init__(self, pid):
        self.pid = pid
        self.before = anonymous_bytes(pid)
        self.growth = 0
        self.descriptors = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self):
        while not self.stopped.wait(0.01):
            try:
                self.growth = max(self.growth, anonymous_bytes(self.pid) - self.before)
                self.descriptors = max(self.descriptors, open_descriptors(self.pid))
            except (OSError, StopIteration):
                return  # The process has ended, which another check reports.

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stopped.set()
        self.thread.join()


class Client:
    """Connection of a client that sends raw bytes."""

    def __init__(self, address):
        ip, port = address.split(":")
        self.socket = socket.create_connection((ip, int(port)), timeout=ANSWER_TIMEOUT_S)

    def send(self, data):
        """Returns False if the server has closed the connection."""
        try:
            self.socket.sendall(data)
            return True
        except OSError:
            return False

    def read_status(self):
        """Returns the status of the first answer; 0 if the connection ends without one, None after
        the timeout."""
        received = b""
        try:
            while b"\r\n" not in received:
                piece = self.socket.recv(65536)
                if not piece:
                    return 0
                received += piece
        except TimeoutError:
            return None
        except OSError:
            return 0
        return int(received.split(b" ")[1])

    def close(self):
        self.socket.close()


def head(site, framing):
    return (f"POST /calendar HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer "
            f"{site.keys['desk']}\r\nContent-Type: text/plain\r\n{framing}\r\n\r\n").encode()


def with_length(site, length):
    return head(site, f"Content-Length: {length}")


def chunked(site):
    return head(site, "Transfer-Encoding: chunked")


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Crowd:
    """Clients that act at once and keep their connections open until close()."""

    def __init__(self, address, number, act):
        self.clients = []
        self.results = []
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.run, args=(address, act), daemon=True)
                        for _ in range(number)]
        for thread in self.threads:
            thread.start()

    def run(self, address, act):
        try:
            client = Client(address)
        except OSError:
            return
        with self.lock:
            self.clients.append(client)
        result = act(client)
        with self.lock:
            self.results.append(result)

    def wait(self):
        for thread in self.threads:
            thread.join(4 * ANSWER_TIMEOUT_S)

    def close(self):
        for client in self.clients:
            client.close()


@contextlib.contextmanager
def small_site(build, target_options=(), descriptors=None):
    """Starts a control member, a host with low limits, and a service."""
    site = Site(build, hosts=2, controls=1, zones=1, config=default_config(),
                settings={"maxBodyBytes": BODY_BYTES}, descriptors=descriptors)
    try:
        site.start_target("c1", "z1", *target_options, kind="service", service="calendar")
        site.set_up()
        site.wait_targets(1)
        wait_for(lambda: ordinary(site) == 200)
        yield site
    finally:
        site.close()


def ordinary(site, size=2):
    """Returns the status of one ordinary request; tries again after a refusal, as callers do."""
    status = 0
    for _ in range(5):
        status = site.call(HOST, "desk", "/calendar", "x" * (size - 2))[0]
        if status == 200:
            break
        time.sleep(1)
    return status


def act_on(site, report, number, act, while_open=True):
    """Lets a crowd act, checks process, memory and descriptors, and returns the clients' results."""
    process = site.processes[HOST]
    with Watch(process.pid) as watch:
        crowd = Crowd(site.caller(HOST), number, act)
        crowd.wait()
        time.sleep(SETTLE_S)
        if while_open:
            status = ordinary(site)
            report.check(ANSWERED, status == 200, f"status {status} beside the open connections")
            status = ordinary(site, BODY_BYTES)
            report.check(ANSWERED, status == 200,
                         f"status {status} for a large body beside the open connections")
        crowd.close()
        status = ordinary(site)
        report.check(ANSWERED, status == 200, f"status {status} afterwards")
    report.check(LIVES, process.poll() is None, f"ended with {process.poll()}")
    report.check(MEMORY, watch.growth <= MAX_GROWTH_BYTES, f"grew by {watch.growth / MIB:.1f} MiB")
    print(f"    memory grew by {watch.growth / MIB:.1f} MiB, {watch.descriptors} descriptors, "
          f"results { {r: crowd.results.count(r) for r in set(crowd.results)} }", flush=True)
    return watch, crowd.results


def scenario_large_bodies_at_once(build, report, seed):
    """Whole bodies of the largest size at once, which a slow target works on, take bounded memory."""
    del seed
    body = b"x" * BODY_BYTES
    slow = ("--service-ms", "2000", "--concurrent", "200")
    with small_site(build, target_options=slow) as site:
        def act(client):
            client.send(with_length(site, BODY_BYTES) + body)
            return client.read_status()
        act_on(site, report, CROWD, act, while_open=False)


def scenario_bodies_that_stop_short(build, report, seed):
    """Announced bodies that stop one byte before their end, sent in pieces, take bounded memory."""
    del seed
    piece = b"x" * PIECE_BYTES
    with small_site(build) as site:
        def act(client):
            sent = client.send(with_length(site, BODY_BYTES))
            for _ in range(BODY_BYTES // PIECE_BYTES - 1):
                sent = sent and client.send(piece)
            return sent and client.send(piece[:-1])
        act_on(site, report, CROWD, act)


def scenario_chunked_bodies_that_stop_short(build, report, seed):
    """Bodies in large chunks without a last chunk take bounded memory."""
    del seed
    piece = chunk(b"x" * PIECE_BYTES)
    with small_site(build) as site:
        def act(client):
            sent = client.send(chunked(site))
            for _ in range(BODY_BYTES // PIECE_BYTES):
                sent = sent and client.send(piece)
            return sent
        act_on(site, report, CROWD, act)


def scenario_bodies_of_one_byte_chunks(build, report, seed):
    """Bodies in chunks of one byte without a last chunk take bounded memory."""
    del seed
    pieces = chunk(b"x") * SMALL_CHUNKS
    with small_site(build) as site:
        act_on(site, report, CROWD, lambda client: client.send(chunked(site)) and
               client.send(pieces))


def scenario_bodies_over_the_limit(build, report, seed):
    """Bodies over the limit are refused when the limit is known to be passed, not at their end."""
    del seed
    piece = chunk(b"x" * PIECE_BYTES)
    with small_site(build) as site:
        def announce(client):
            client.send(with_length(site, 8 * BODY_BYTES) + b"x" * 1024)
            return client.read_status()

        def send_on(client):
            sent = 0
            client.send(chunked(site))
            while sent < MAX_SENT_OVER_LIMIT and client.send(piece):
                sent += len(piece)
            return sent < MAX_SENT_OVER_LIMIT

        _, results = act_on(site, report, CROWD // 4, announce)
        report.check(REFUSED, results == [413] * (CROWD // 4), f"announced: {results}")
        _, results = act_on(site, report, CROWD // 4, send_on)
        report.check(REFUSED, all(results), f"not announced: {results}")


def scenario_connections_without_end(build, report, seed):
    """Connections that send half a head and stay open leave descriptors and room for callers."""
    del seed
    with small_site(build, descriptors=DESCRIPTOR_LIMIT) as site:
        half = b"POST /calendar HTTP/1.1\r\nHost: h.exam"
        watch, _ = act_on(site, report, MANY_CONNECTIONS, lambda client: client.send(half))
        report.check(DESCRIPTORS, watch.descriptors <= MAX_DESCRIPTORS,
                     f"{watch.descriptors} of {DESCRIPTOR_LIMIT} descriptors")
