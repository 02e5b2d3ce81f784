"""Randomized fault soak: real daemons on loopback, faults from outside, promises checked meanwhile.

Each seed fixes the site, the load and the series of faults; faults overlap. A seed that ever failed
stays in REGRESSIONS with its cause.
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

from fleet import Site, default_folder, free_ports, http, wait_for
from run import Report
from scenarios import (CONFIG, RATE, SERVICE, check_answers, check_targets, mixed)

REGRESSIONS = {  # Seed: cause.
    4: "a new leader ordered 3 s after its election, when an order of the old one was on its way",
    6: "as 4",
    41: "an operator's call blocked the thread that ends pauses: a host stayed paused for 16 s"}
MOST_PAUSE_S = 3.0
MOST_ORDER_DELAY_S = 0.8  # An order must arrive within a second; the rest is for a busy machine.
ORDER_WAIT_S = 5.0  # A fault of the leader waits so long for an order: new leaders hold them back.
GUEST_RATE = 20  # Requests a second, and as many at once; see default_folder().
RECOVERY_S = 20
POLL_S = 0.1
TABLE_VERSION = "bilberrybend_table_version "


class FaultRelay:
    """Loopback proxy that delays, resets, cuts one way, or silences connections."""

    def __init__(self, port, to_port, slow=("in", "out")):
        self.to_port = to_port
        self.slow = slow  # Directions that are delayed.
        self.delay = 0.0
        self.order = threading.Event()  # An order has come in.
        self.deaf = set()  # Directions whose bytes are lost: "in", "out".
        self.generation = 0
        self.sockets = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(256)
        threading.Thread(target=self.accept, daemon=True).start()

    def heal(self):
        """New connections pass; those that lost bytes are cut."""
        self.delay = 0.0
        if self.deaf:
            self.deaf = set()
            self.reset()

    def silence(self):
        """Connections that are open now lose every byte from here on."""
        self.generation += 1

    def reset(self):
        """Cuts all open connections with a reset."""
        for end in list(self.sockets):
            try:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(("127.0.0.1", self.to_port))
            except OSError:
                near.close()
                continue
            self.sockets |= {near, far}
            for source, sink, way in ((near, far, "in"), (far, near, "out")):
                threading.Thread(target=self.pump, args=(source, sink, way, self.generation),
                                 daemon=True).start()

    def pump(self, source, sink, way, generation):
        try:
            while data := source.recv(65536):
                if generation != self.generation or way in self.deaf:
                    continue
                if data.startswith(b"POST /orders "):
                    self.order.set()
                if self.delay and way in self.slow:
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
    """A site whose control hosts and engines are reached through relays."""

    def __init__(self, *args, **more):
        self.relays = {}
        self.engine_relays = {}
        super().__init__(*args, **more)

    def write_settings(self, host, zone, data=None):
        for control in self.controls:
            if control not in self.relays:
                port = free_ports(1)[0]
                self.relays[control] = (port, FaultRelay(port, self.ports[control][3]))
        super().write_settings(host, zone, data)
        path = f"{self.run}/{host}.json"
        with open(path, encoding="utf-8") as text:
            settings = json.load(text)
        settings["controlHosts"] = {c: f"127.0.0.1:{self.relays[c][0]}" for c in self.controls}
        with open(path, "w", encoding="utf-8") as out:
            json.dump(settings, out)

    def start_engine(self, name, zone, *options):
        """Returns the relay, which delays what the engine gets."""
        self.addresses[name], front = free_ports(2)
        self.engine_relays[name] = FaultRelay(front, self.addresses[name], slow=("in",))
        self.start_target(name, zone, "--advertise", f"127.0.0.1:{front}", *options)
        return self.engine_relays[name]


class VersionWatch:
    """Reads each host's table version all the time: within a run of a host it never goes back."""

    def __init__(self, site, report):
        self.site, self.report = site, report
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        highest = {}
        while not self.ended.wait(POLL_S):
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
        self.ended.set()
        self.thread.join()


def check_rate(report, outcomes):
    """The guest's answers from its first call to its last answer, against its rate and burst."""
    served = [o for o in outcomes if o["account"] == "guest" and o["whole"]]
    if not served:
        return
    begin = min(o["at"] for o in served)
    span_s = (max(o["at"] + o["latency"] for o in served) - begin) / 1e6
    most = GUEST_RATE * (1 + span_s)
    report.check(RATE, len(served) <= most, f"{len(served)} in {span_s:.2f} s, at most {most:.0f}")


class Soak:
    """One seed."""

    def __init__(self, build, seed, seconds, report, most_hosts):
        self.random = random.Random(seed)
        self.leader_random = random.Random(f"leader {seed}")  # A series of its own.
        self.seconds, self.report, self.seed = seconds, report, seed
        hosts = self.random.randint(3, most_hosts)
        self.engines = self.random.randint(2, max(4, hosts // 4))
        self.site = SoakSite(build, hosts=hosts)
        self.undo = []  # (time, function)
        self.operators = []
        self.accepted = 0
        self.handed_over = 0  # Engines that got orders of more than one leader.
        self.log = []

    def start_targets(self):
        site = self.site
        for i in range(self.engines):
            site.start_engine(f"e{i + 1}", site.zones[i % 3], "--disk-load-ms", "150",
                              "--remote-load-ms", "400", "--memory-mb", "48000")
        lost = str(self.random.choice([0, 5, 15]))
        site.start_target("l1", "z1", "--fault-percent", lost, kind="service", service="holds")
        for i in range(2):
            site.start_target(f"c{i + 1}", site.zones[i], kind="service", service="calendar")
        site.set_up()
        site.wait_targets(self.engines + 3)

    def later(self, seconds, function):
        self.undo.append((time.monotonic() + seconds, function))

    def restart(self, name):
        if not self.site.alive(name):
            self.site.restart(name)

    def kill_host(self):
        names = self.random.sample(self.site.hosts, self.random.choice([1, 1, 1, 2, 3]))
        for name in names:
            if self.site.alive(name):
                self.site.kill(name)
            if name in self.site.controls and self.random.random() < 0.3:
                self.tear_journal(name)
            self.later(self.random.uniform(0.1, 2), lambda n=name: self.restart(n))
        return names

    def tear_journal(self, host):
        """As after a loss of power: a record that was not synced is there in part."""
        folder = f"{self.site.run}/{host}"
        with open(f"{folder}/journal", "ab") as out:
            out.write(self.random.randbytes(self.random.randint(1, 40)))

    def shut_down_host(self):
        name = self.random.choice(self.site.hosts)
        if self.site.alive(name):
            self.site.signal(name, signal.SIGTERM)
        self.later(self.random.uniform(1.5, 4), lambda: self.replace(name))
        return name

    def replace(self, name):
        if self.site.alive(name):
            self.site.kill(name)
        self.site.restart(name)

    def pause(self):
        name = self.random.choice(self.site.hosts + ["l1", "c1", "e1"])
        if not self.site.alive(name):
            return name
        process = self.site.processes[name]
        process.send_signal(signal.SIGSTOP)
        self.later(self.random.uniform(0.1, MOST_PAUSE_S),
                   lambda: process.poll() is None and process.send_signal(signal.SIGCONT))
        return name

    def kill_engine(self):
        name = f"e{self.random.randint(1, self.engines)}"
        if self.site.alive(name):
            self.site.kill(name)
        self.later(self.random.uniform(0.2, 2), lambda: self.restart(name))
        return name

    def trouble_link(self):
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
            relay.deaf = {kind}
        self.later(self.random.uniform(0.5, 3), relay.heal)
        return control, kind

    def strike_leader(self):
        """Orders are late on their way, and the leader that gave them is lost just then."""
        kind = self.leader_random.choice(["pause", "pause", "end", "end", "in", "out"])
        delay = self.leader_random.choice([0, self.leader_random.uniform(0.2, MOST_ORDER_DELAY_S),
                                           MOST_ORDER_DELAY_S])
        seconds = self.leader_random.uniform(0.3, 2)
        for relay in self.site.engine_relays.values():
            relay.order.clear()
            relay.delay = delay
        latest = time.monotonic() + ORDER_WAIT_S

        def strike():
            ordered = any(relay.order.is_set() for relay in self.site.engine_relays.values())
            if not ordered and time.monotonic() < latest:
                self.later(0, strike)
                return
            for relay in self.site.engine_relays.values():
                self.later(delay, relay.heal)
            leader = self.site.leader(timeout=0.2)
            self.log.append((kind, leader, "with an order" if ordered else "without an order"))
            if leader:
                self.lose_leader(leader, kind, seconds)
        self.later(0, strike)
        return kind, round(delay, 2), round(seconds, 2)

    def lose_leader(self, leader, kind, seconds):
        process = self.site.processes[leader]
        if kind == "pause":
            process.send_signal(signal.SIGSTOP)
            self.later(seconds,
                       lambda: process.poll() is None and process.send_signal(signal.SIGCONT))
        elif kind == "end":
            process.send_signal(signal.SIGTERM)
            self.later(seconds, lambda: self.replace(leader))
        else:
            relay = self.site.relays[leader][1]
            relay.deaf = {kind}
            self.later(seconds, relay.heal)

    def aside(self, function):
        """Operators act on their own: faults must not wait for their calls."""
        thread = threading.Thread(target=function, daemon=True)
        thread.start()
        self.operators.append(thread)

    def apply_configuration(self):
        folder = default_folder()
        folder["accounts"][0]["requestsPerSecond"] = rate = 400 + self.random.randint(1, 200)

        def operate():
            code, out = self.site.apply(folder=folder, timeout=3)
            if code == 0:
                self.accepted = max(self.accepted, out["version"])
        self.aside(operate)
        return rate

    def take_zone_out(self):
        zone = self.random.choice(self.site.zones)
        self.aside(lambda: self.site.ctl("zone", "out", zone, timeout=2))
        self.later(self.random.uniform(0.5, 2), lambda: self.aside(
            lambda: self.site.ctl("zone", "in", zone, timeout=5)))
        return zone

    def play(self):
        actions = [self.kill_host, self.kill_host, self.shut_down_host, self.pause, self.pause,
                   self.kill_engine, self.trouble_link, self.trouble_link,
                   self.apply_configuration, self.take_zone_out]
        begin = time.monotonic()
        due = begin + 1
        last = self.seconds - MOST_PAUSE_S  # No fault begins later: the successor stays.
        strikes = [self.leader_random.uniform(0.5, 2), last]
        while (now := time.monotonic()) < begin + self.seconds or self.undo:
            for item in [item for item in self.undo if item[0] <= now]:
                self.undo.remove(item)
                item[1]()
            if due <= now < begin + last:
                action = self.random.choice(actions)
                self.log.append((round(now - begin, 2), action.__name__, action()))
                due = now + self.random.choice([0.05, 0.3, 0.8, 1.5])
            if strikes and begin + strikes[0] <= now:
                strikes.pop(0)
                self.log.append((round(now - begin, 2), "strike_leader", self.strike_leader()))
            time.sleep(0.02)

    def check_recovery(self):
        """All faults are over: everything serves again, and what was accepted is in force."""
        site = self.site
        for operator in self.operators:
            operator.join()
        for name in site.processes:
            self.restart(name)
        for zone in site.zones:
            wait_for(lambda z=zone: site.ctl("zone", "in", z, timeout=5)[0] == 0, RECOVERY_S)

        def served(path, body):
            return all(site.call(h, "desk", path, body)[0] == 200 for h in site.hosts)
        for path, body in (("/calendar", {}), ("/v1/completions", {"model": "m1", "prompt": "p", "max_tokens": 2})):
            took = wait_for(lambda p=path, b=body: served(p, b), RECOVERY_S, 0.2)
            self.report.check(SERVICE, took is not None, f"{path} is not served on every host")

        def in_force():
            status = site.status()
            return isinstance(status, dict) and status.get("inForce", 0) >= self.accepted
        self.report.check(CONFIG, wait_for(in_force, RECOVERY_S, 0.2) is not None,
                          f"version {self.accepted} was accepted and is not in force")

    def run(self):
        watch = None
        try:
            self.start_targets()
            watch = VersionWatch(self.site, self.report)
            profiles = mixed() + [{"account": "guest", "path": "/calendar", "perSecond": 40,
                                   "timeLimitMs": 2000}]
            # More models than the engines hold: orders go out all the time.
            profiles += [{"account": "desk", "model": f"m{i}", "perSecond": 2, "tokens": 2,
                          "timeLimitMs": 10000} for i in range(3, 9)]
            finish = self.site.load(self.seconds, profiles, self.seed)
            self.play()
            _, outcomes = finish()
            check_answers(self.report, outcomes, limit_s=11 + MOST_PAUSE_S)
            check_rate(self.report, outcomes)
            self.check_recovery()
            check_targets(self.report, self.site, engines=self.engines)
            self.handed_over = sum(self.site.statistics(f"e{i + 1}")["holders"] > 1
                                   for i in range(self.engines))
        finally:
            if watch:
                watch.stop()
            self.site.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seeds", default="1-2", help="FIRST-LAST, or 'fresh' for one by the clock")
    parser.add_argument("--seconds", type=float, default=10, help="of load and faults a seed")
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
        print(f"seed {seed}: {len(soak.log)} faults, {sum(report.checks.values())} checks, "
              f"{breaches} failed, {soak.handed_over} engines had several leaders' orders",
              flush=True)
        if breaches:
            failed.append(seed)
            print(f"  faults: {soak.log}", flush=True)
    print(f"failed seeds: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
