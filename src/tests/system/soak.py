"""Randomized soak test: injects faults into real daemons on loopback and checks the guarantees.

The seed determines the cluster, the load and the sequence of faults, which may overlap. Each seed
that has failed stays in REGRESSIONS with its cause.
"""

import argparse
import json
import os
import random
import signal
import socket
import sys
import threading
import time

from fleet import Site, default_config, free_ports, http, wait_for
from run import Report
from scenarios import (CONFIG, RATE, RECOVERY, TARGET_RATE, check_answers, check_targets,
                       mixed_load)

REGRESSIONS = {  # Seed: cause of its failure.
    4: "a new leader sent an order 3 s after its election; an old leader's order was in transit",
    6: "same cause as seed 4",
    41: "an operator request blocked the thread that ends pauses; a host was paused for 16 s"}
MAX_PAUSE_S = 3.0
MAX_ORDER_DELAY_S = 0.8  # Orders must arrive within 1 s; the rest allows for CPU load.
# A leader fault waits this long for an order, because new leaders delay their first orders.
ORDER_WAIT_S = 5.0
GUEST_RATE = 20  # Requests per second, and burst in requests; see default_config().
RECOVERY_S = 20
POLL_S = 0.1
TABLE_VERSION = "bilberrybend_table_version "


class FaultRelay:
    """TCP relay that can delay, reset or silence connections, or drop one direction."""

    def __init__(self, port, to_port, delayed_directions=("in", "out")):
        self.to_port = to_port
        self.delayed_directions = delayed_directions  # Directions that the delay applies to.
        self.delay = 0.0
        self.order_seen = threading.Event()  # Set when an order has arrived at the relay.
        self.dropped_directions = set()  # Directions whose bytes are dropped: "in", "out".
        self.generation = 0
        self.sockets = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(256)
        threading.Thread(target=self.accept, daemon=True).start()

    def restore(self):
        """Ends delays and one-way drops; after drops, resets the connections that lost bytes."""
        self.delay = 0.0
        if self.dropped_directions:
            self.dropped_directions = set()
            self.reset()

    def silence(self):
        """Drops all further bytes of the connections that are open now, without closing them."""
        self.generation += 1

    def reset(self):
        """Closes all open connections with a TCP reset."""
        for end in list(self.sockets):
            try:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection(("127.0.0.1", self.to_port))
            except OSError:
                client.close()
                continue
            self.sockets |= {client, server}
            for source, sink, direction in ((client, server, "in"), (server, client, "out")):
                threading.Thread(target=self.forward,
                                 args=(source, sink, direction, self.generation),
                                 daemon=True).start()

    def forward(self, source, sink, direction, generation):
        try:
            while data := source.recv(65536):
                if generation != self.generation or direction in self.dropped_directions:
                    continue
                if data.startswith(b"POST /orders "):
                    self.order_seen.set()
                if self.delay and direction in self.delayed_directions:
                    time.sleep(self.delay)
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            self.sockets.discard(end)
            try:
                end.close()
            except OSError:
                pass


class SoakSite(Site):
    """Test cluster with a fault relay in front of each control host and each engine."""

    def __init__(self, *args, **site_options):
        self.relays = {}
        self.engine_relays = {}
        super().__init__(*args, **site_options)

    def write_settings(self, host, zone, data=None):
        for control in self.controls:
            if control not in self.relays:
                port = free_ports(1)[0]
                self.relays[control] = (port, FaultRelay(port, self.ports[control][3]))
        super().write_settings(host, zone, data)
        path = f"{self.run_dir}/{host}.json"
        with open(path, encoding="utf-8") as text:
            settings = json.load(text)
        settings["controlHosts"] = {c: f"127.0.0.1:{self.relays[c][0]}" for c in self.controls}
        with open(path, "w", encoding="utf-8") as out:
            json.dump(settings, out)

    def start_engine(self, name, zone, *options):
        """Starts an engine. Returns its relay, which delays only requests to the engine."""
        self.addresses[name], front = free_ports(2)
        self.engine_relays[name] = FaultRelay(front, self.addresses[name],
                                              delayed_directions=("in",))
        self.start_target(name, zone, "--advertise", f"127.0.0.1:{front}", *options)
        return self.engine_relays[name]


class VersionMonitor:
    """Polls the table version of each host; it must not decrease within a run of the daemon."""

    def __init__(self, site, report):
        self.site, self.report = site, report
        self.stop_requested = threading.Event()
        self.thread = threading.Thread(target=self.monitor, daemon=True)
        self.thread.start()

    def monitor(self):
        highest = {}
        while not self.stop_requested.wait(POLL_S):
            for host in self.site.hosts:
                process = self.site.processes[host]
                address = f"127.0.0.1:{self.site.ports[host][1]}"
                status, _, body = http("GET", address, "/metrics", timeout=0.3)
                lines = [line for line in body.decode().splitlines()
                         if status == 200 and line.startswith(TABLE_VERSION)]
                if not lines or self.site.processes[host] is not process:
                    continue
                version = int(lines[0].split()[1])
                before = highest.get(process.pid, 0)
                self.report.check(CONFIG, version >= before, f"{host}: {version} after {before}")
                highest[process.pid] = max(version, before)

    def stop(self):
        self.stop_requested.set()
        self.thread.join()


def check_rate(report, outcomes):
    """Checks that the answers to account "guest" did not exceed its rate and burst.

    The time is measured from the first call to the end of the last answer.
    """
    served = [o for o in outcomes if o["account"] == "guest" and o["whole"]]
    if not served:
        return
    begin = min(o["at"] for o in served)
    span_s = (max(o["at"] + o["latency"] for o in served) - begin) / 1e6
    limit = GUEST_RATE * (1 + span_s)
    report.check(RATE, len(served) <= limit,
                 f"{len(served)} in {span_s:.2f} s, at most {limit:.0f}")


class Soak:
    """Soak run with one seed."""

    def __init__(self, build, seed, seconds, report, max_hosts):
        self.random = random.Random(seed)
        # Separate random sequence, so that leader faults do not change the other faults of a seed.
        self.leader_random = random.Random(f"leader {seed}")
        self.seconds, self.report, self.seed = seconds, report, seed
        hosts = self.random.randint(3, max_hosts)
        self.engines = self.random.randint(2, max(4, hosts // 4))
        self.site = SoakSite(build, hosts=hosts)
        self.scheduled = []  # (monotonic time, function), such as the end of a fault
        self.operators = []
        self.accepted_version = 0
        self.handed_over_engines = 0  # Number of engines with orders from several leaders.
        self.faults = []

    def start_targets(self):
        site = self.site
        for i in range(self.engines):
            site.start_engine(f"e{i + 1}", site.zones[i % 3], "--disk-load-ms", "150",
                              "--remote-load-ms", "400", "--memory-mb", "48000")
        lost = str(self.random.choice([0, 5, 15]))
        site.start_target("l1", "z1", "--fault-percent", lost, kind="service", service="holds")
        site.start_target("c1", site.zones[0], kind="service", service="calendar")
        # Never paused or killed, so that it counts the arrivals as they come.
        site.start_target("c2", site.zones[1], "--request-rate",
                          str(self.random.choice([0.5, 2, 8])), "--rate-after-ms",
                          str(self.random.randint(1000, 4000)), "--rate-for-ms", "6000",
                          kind="service", service="calendar")
        site.set_up()
        site.wait_targets(self.engines + 3)

    def schedule(self, seconds, function):
        self.scheduled.append((time.monotonic() + seconds, function))

    def restart(self, name):
        if not self.site.alive(name):
            self.site.restart(name)

    def kill_host(self):
        names = self.random.sample(self.site.hosts, self.random.choice([1, 1, 1, 2, 3]))
        for name in names:
            if self.site.alive(name):
                self.site.kill(name)
            if name in self.site.controls and self.random.random() < 0.3:
                self.append_torn_record(name)
            self.schedule(self.random.uniform(0.1, 2), lambda n=name: self.restart(n))
        return names

    def append_torn_record(self, host):
        """Appends part of a record to the journal, as if power failed before it was synced."""
        data_dir = f"{self.site.run_dir}/{host}"
        with open(f"{data_dir}/journal", "ab") as out:
            out.write(self.random.randbytes(self.random.randint(1, 40)))

    def shut_down_host(self):
        name = self.random.choice(self.site.hosts)
        if self.site.alive(name):
            self.site.signal(name, signal.SIGTERM)
        self.schedule(self.random.uniform(1.5, 4), lambda: self.kill_and_restart(name))
        return name

    def kill_and_restart(self, name):
        if self.site.alive(name):
            self.site.kill(name)
        self.site.restart(name)

    def pause_process(self):
        name = self.random.choice(self.site.hosts + ["l1", "c1", "e1"])
        if not self.site.alive(name):
            return name
        process = self.site.processes[name]
        process.send_signal(signal.SIGSTOP)
        self.schedule(self.random.uniform(0.1, MAX_PAUSE_S),
                      lambda: process.poll() is None and process.send_signal(signal.SIGCONT))
        return name

    def kill_engine(self):
        name = f"e{self.random.randint(1, self.engines)}"
        if self.site.alive(name):
            self.site.kill(name)
        self.schedule(self.random.uniform(0.2, 2), lambda: self.restart(name))
        return name

    def disturb_link(self):
        control = self.random.choice(self.site.controls)
        relay = self.site.relays[control][1]
        kind = self.random.choice(["silence", "reset", "delay", "in", "out"])
        if kind == "silence":
            relay.silence()
        elif kind == "reset":
            relay.reset()
        elif kind == "delay":
            relay.delay = self.random.uniform(0.02, 0.3)
        else:
            relay.dropped_directions = {kind}
        self.schedule(self.random.uniform(0.5, 3), relay.restore)
        return control, kind

    def disturb_leader(self):
        """Delays orders in transit and makes the leader fail while its orders are delayed."""
        kind = self.leader_random.choice(["pause", "pause", "end", "end", "in", "out"])
        delay = self.leader_random.choice([0, self.leader_random.uniform(0.2, MAX_ORDER_DELAY_S),
                                           MAX_ORDER_DELAY_S])
        seconds = self.leader_random.uniform(0.3, 2)
        for relay in self.site.engine_relays.values():
            relay.order_seen.clear()
            relay.delay = delay
        latest = time.monotonic() + ORDER_WAIT_S

        def inject():
            ordered = any(relay.order_seen.is_set() for relay in self.site.engine_relays.values())
            if not ordered and time.monotonic() < latest:
                self.schedule(0, inject)
                return
            for relay in self.site.engine_relays.values():
                self.schedule(delay, relay.restore)
            leader = self.site.leader(timeout=0.2)
            self.faults.append((kind, leader, "with an order" if ordered else "without an order"))
            if leader:
                self.apply_leader_fault(leader, kind, seconds)
        self.schedule(0, inject)
        return kind, round(delay, 2), round(seconds, 2)

    def apply_leader_fault(self, leader, kind, seconds):
        process = self.site.processes[leader]
        if kind == "pause":
            process.send_signal(signal.SIGSTOP)
            self.schedule(seconds,
                          lambda: process.poll() is None and process.send_signal(signal.SIGCONT))
        elif kind == "end":
            process.send_signal(signal.SIGTERM)
            self.schedule(seconds, lambda: self.kill_and_restart(leader))
        else:
            relay = self.site.relays[leader][1]
            relay.dropped_directions = {kind}
            self.schedule(seconds, relay.restore)

    def run_in_thread(self, function):
        """Runs an operator request in a thread, so that it does not delay scheduled faults."""
        thread = threading.Thread(target=function, daemon=True)
        thread.start()
        self.operators.append(thread)

    def apply_configuration(self):
        config = default_config()
        config["accounts"][0]["requestsPerSecond"] = rate = 400 + self.random.randint(1, 200)

        def operate():
            code, out = self.site.apply(config=config, timeout=3)
            if code == 0:
                self.accepted_version = max(self.accepted_version, out["version"])
        self.run_in_thread(operate)
        return rate

    def take_zone_out(self):
        zone = self.random.choice(self.site.zones)
        self.run_in_thread(lambda: self.site.ctl("zone", "out", zone, timeout=2))
        self.schedule(self.random.uniform(0.5, 2), lambda: self.run_in_thread(
            lambda: self.site.ctl("zone", "in", zone, timeout=5)))
        return zone

    def inject_faults(self):
        actions = [self.kill_host, self.kill_host, self.shut_down_host, self.pause_process,
                   self.pause_process, self.kill_engine, self.disturb_link, self.disturb_link,
                   self.apply_configuration, self.take_zone_out]
        begin = time.monotonic()
        next_fault = begin + 1
        last = self.seconds - MAX_PAUSE_S  # No fault starts later; the last new leader stays.
        leader_fault_times = [self.leader_random.uniform(0.5, 2), last]
        while (now := time.monotonic()) < begin + self.seconds or self.scheduled:
            for item in [item for item in self.scheduled if item[0] <= now]:
                self.scheduled.remove(item)
                item[1]()
            if next_fault <= now < begin + last:
                action = self.random.choice(actions)
                self.faults.append((round(now - begin, 2), action.__name__, action()))
                next_fault = now + self.random.choice([0.05, 0.3, 0.8, 1.5])
            if leader_fault_times and begin + leader_fault_times[0] <= now:
                leader_fault_times.pop(0)
                self.faults.append((round(now - begin, 2), "disturb_leader", self.disturb_leader()))
            time.sleep(0.02)

    def check_recovery(self):
        """Checks that after the faults all hosts serve, with the last accepted configuration."""
        site = self.site
        for operator in self.operators:
            operator.join()
        for name in site.processes:
            self.restart(name)
        for zone in site.zones:
            wait_for(lambda z=zone: site.ctl("zone", "in", z, timeout=5)[0] == 0, RECOVERY_S)

        def served(path, body):
            return all(site.call(h, "desk", path, body)[0] == 200 for h in site.hosts)
        for path, body in (("/calendar", {}), (
                "/v1/completions", {"model": "m1", "prompt": "p", "max_tokens": 2})):
            elapsed = wait_for(lambda p=path, b=body: served(p, b), RECOVERY_S, 0.2)
            self.report.check(RECOVERY, elapsed is not None, f"{path} is not served on every host")

        def in_force():
            status = site.status()
            return isinstance(status, dict) and status.get("inForce", 0) >= self.accepted_version
        self.report.check(CONFIG, wait_for(in_force, RECOVERY_S, 0.2) is not None,
                          f"accepted version {self.accepted_version} is not in force")

    def run(self):
        monitor = None
        try:
            self.start_targets()
            monitor = VersionMonitor(self.site, self.report)
            profiles = mixed_load() + [{"account": "guest", "path": "/calendar", "perSecond": 40,
                                        "timeLimitMs": 2000}]
            # More models than fit into the engines, so that orders are sent continuously.
            profiles += [{"account": "desk", "model": f"m{i}", "perSecond": 2, "tokens": 2,
                          "timeLimitMs": 10000} for i in range(3, 9)]
            finish = self.site.load(self.seconds, profiles, self.seed)
            self.inject_faults()
            _, outcomes = finish()
            check_answers(self.report, outcomes, limit_s=11 + MAX_PAUSE_S)
            check_rate(self.report, outcomes)
            self.check_recovery()
            check_targets(self.report, self.site, engines=self.engines)
            seen = self.site.statistics("c2")
            self.report.check(TARGET_RATE, seen["arrivalsOverRate"] == 0, f"{seen}")
            self.handed_over_engines = sum(self.site.statistics(f"e{i + 1}")["holders"] > 1
                                           for i in range(self.engines))
        finally:
            if monitor:
                monitor.stop()
            self.site.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seeds", default="1-2", help="FIRST-LAST, or 'fresh' for one by the clock")
    parser.add_argument("--seconds", type=float, default=10, help="of load and faults per seed")
    parser.add_argument("--most-hosts", type=int, default=6)
    options = parser.parse_args()
    if options.seeds == "fresh":
        first = last = int(time.time())
    else:
        first, _, last = options.seeds.partition("-")
    failed = []
    for seed in list(range(int(first), int(last or first) + 1)):
        report = Report()
        soak = Soak(options.build, seed, options.seconds, report, options.most_hosts)
        soak.run()
        breaches = sum(report.failures.values())
        print(f"seed {seed}: {len(soak.faults)} faults, {sum(report.checks.values())} checks, "
              f"{breaches} failed, {soak.handed_over_engines} engines had several leaders' orders",
              flush=True)
        if breaches:
            failed.append(seed)
            print(f"  faults: {soak.faults}", flush=True)
    print(f"failed seeds: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
