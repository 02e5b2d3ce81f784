"""Scenarios of clients that send more than a host reads.

Bytes that have arrived and not been read lie in the receive buffers of connections. The machine
counts them as memory of the process. Each scenario lets a crowd send as much as the host's
connections take and keeps them open. Checked: the host lives, its memory and unread bytes together
stay within the machine's memory that its settings state, and ordinary requests are answered. The
crowd and the bound were fixed before receive buffers had a bound of their own.
"""

import contextlib
import socket
import threading
import time

from fleet import Site, default_config, wait_for
from uncontrolled_clients import (ANSWERED, BODY_BYTES, HOST, LIVES, MEMORY, MIB, anonymous_bytes,
                                  chunk, chunked, with_length)

CI = {"pipelined_bodies_behind_a_wait", "crowd_of_one_byte_chunks", "pipelined_small_requests",
      "pipelined_long_heads_behind_a_wait", "crowd_of_half_heads",
      "requests_to_operators_whose_answers_are_not_read"}

MEMORY_MB = 48  # The daemons' memoryMb.
CROWD = 360  # Clients at once; a host with MEMORY_MB allows 384 connections of callers.
OPERATORS_CROWD = 200  # Each other port allows 256 connections.
MAX_SENT = MIB  # By one client; more than a connection's buffers on both ends take.
PUSH_S = 8  # Time in which the crowd sends as much as it can.
PIECE_BYTES = 60_000  # A small body: at most 64 KiB.
HEAD_FIELDS = 400  # At most 512 are taken.
HEAD_BYTES = 15_000  # At most 16,384 are taken.
SLOW_MS = "20000"  # Longer than the crowd acts.


def unread_bytes(ports):
    """Returns the bytes that have arrived on connections to these local ports, not yet read."""
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as lines:
        next(lines)
        for line in lines:
            fields = line.split()
            if int(fields[1].rpartition(":")[2], 16) in ports and fields[3] != "0A":  # Listening.
                total += int(fields[4].partition(":")[2], 16)
    return total


class Watch:
    """Measures the most memory and unread bytes of a host, together, while the block runs."""

    def __init__(self, site):
        self.pid = site.processes[HOST].pid
        self.ports = set(site.ports[HOST])
        self.most = (0, 0)
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self):
        while not self.stopped.wait(0.1):
            try:
                sample = (anonymous_bytes(self.pid), unread_bytes(self.ports))
            except (OSError, StopIteration):
                return  # The process has ended, which another check reports.
            self.most = max(self.most, sample, key=sum)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stopped.set()
        self.thread.join()


def push(address, crowd, first, repeated):
    """Opens connections that send first, then repeated, as long as the host takes bytes.

    Returns the open connections; nothing is read from them."""
    ip, port = address.split(":")
    count = MAX_SENT // len(repeated) + 1
    connections = {}
    for _ in range(crowd):
        try:
            connection = socket.create_connection((ip, int(port)), timeout=5)
        except OSError:
            continue
        connection.setblocking(False)
        connections[connection] = memoryview(first + repeated * count)
    end = time.monotonic() + PUSH_S
    while time.monotonic() < end:
        for connection, left in connections.items():
            with contextlib.suppress(OSError):  # Full, or closed by the host.
                connections[connection] = left[connection.send(left[:256 << 10]):]
        time.sleep(0.02)
    return list(connections)


def ordinary(site):
    """Returns the status of a request of another account than the crowd's; tries again after a
    refusal, as callers do."""
    status = 0
    for _ in range(5):
        status = site.call(HOST, "fairs", "/calendar", "x")[0]
        if status == 200:
            break
        time.sleep(1)
    return status


@contextlib.contextmanager
def small_site(build):
    """Starts a control member, a host with little memory, and two services: a quick and a slow
    one."""
    settings = {"maxBodyBytes": BODY_BYTES, "memoryMb": MEMORY_MB}
    site = Site(build, hosts=2, controls=1, zones=1, config=default_config(), settings=settings)
    try:
        site.start_target("c1", "z1", kind="service", service="calendar")
        site.start_target("s1", "z1", "--service-ms", SLOW_MS, "--concurrent", "600",
                          kind="service", service="holds")
        site.set_up()
        site.wait_targets(2)
        wait_for(lambda: ordinary(site) == 200)
        yield site
    finally:
        site.close()


def act_on(site, report, address, crowd, first, repeated):
    process = site.processes[HOST]
    with Watch(site) as watch:
        connections = push(address, crowd, first, repeated)
        status = ordinary(site)
        report.check(ANSWERED, status == 200, f"status {status} beside the open connections")
        for connection in connections:
            connection.close()
        status = ordinary(site)
        report.check(ANSWERED, status == 200, f"status {status} afterwards")
    report.check(LIVES, process.poll() is None, f"ended with {process.poll()}")
    memory, unread = (amount / MIB for amount in watch.most)
    report.check(MEMORY, memory + unread <= MEMORY_MB,
                 f"{memory:.1f} MiB of memory and {unread:.1f} MiB unread")
    print(f"    at most {memory:.1f} MiB of memory and {unread:.1f} MiB unread", flush=True)


def slow_request(site):
    """Returns a request that a target works on while the crowd acts."""
    return with_length(site, 2).replace(b"/calendar", b"/holds") + b"{}"


def scenario_pipelined_bodies_behind_a_wait(build, report, seed):
    """Requests with bodies behind one that waits for its answer take bounded memory."""
    del seed
    with small_site(build) as site:
        body = with_length(site, PIECE_BYTES) + b"x" * PIECE_BYTES
        act_on(site, report, site.caller(HOST), CROWD, slow_request(site), body)


def scenario_crowd_of_one_byte_chunks(build, report, seed):
    """Bodies in chunks of one byte, which arrive faster than they are read, take bounded memory."""
    del seed
    with small_site(build) as site:
        act_on(site, report, site.caller(HOST), CROWD, chunked(site), chunk(b"x") * 10_000)


def scenario_pipelined_small_requests(build, report, seed):
    """Many small requests behind each other on each connection take bounded memory."""
    del seed
    with small_site(build) as site:
        request = with_length(site, 2) + b"{}"
        act_on(site, report, site.caller(HOST), CROWD, request, request * 300)


def long_head(site):
    """Returns the head of a request of HEAD_FIELDS fields with HEAD_BYTES together."""
    field = b"X-%03d: " + b"h" * (HEAD_BYTES // HEAD_FIELDS - 9) + b"\r\n"
    fields = b"".join(field % number for number in range(HEAD_FIELDS))
    return with_length(site, 2)[:-2] + fields + b"\r\n"


def scenario_pipelined_long_heads_behind_a_wait(build, report, seed):
    """Long heads of many fields behind a request that waits for its answer take bounded memory."""
    del seed
    with small_site(build) as site:
        act_on(site, report, site.caller(HOST), CROWD, slow_request(site), long_head(site) + b"{}")


def scenario_crowd_of_half_heads(build, report, seed):
    """Long heads that stop just short of their end, behind small requests, take bounded memory."""
    del seed
    with small_site(build) as site:
        small = with_length(site, 2) + b"{}"
        act_on(site, report, site.caller(HOST), CROWD, small * 20 + long_head(site)[:-2], b"X")


def scenario_requests_to_operators_whose_answers_are_not_read(build, report, seed):
    """Requests to the operators' port of clients that read no answer take bounded memory."""
    del seed
    with small_site(build) as site:
        request = b"GET /metrics HTTP/1.1\r\nHost: h.example\r\n\r\n"
        act_on(site, report, f"127.0.0.1:{site.ports[HOST][1]}", OPERATORS_CROWD, request,
               request * 100)
