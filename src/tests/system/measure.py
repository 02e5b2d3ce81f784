"""Benchmarks with real processes: cost of one daemon, and cost of control by cluster size."""

import argparse
import json
import os
import sys
import time

from fleet import Site, default_config, wait_for

# Numbers of hosts, targets and models of each run.
SLOPE_POINTS = ((4, 4, 20), (12, 4, 20), (24, 4, 20), (36, 4, 20), (12, 24, 20), (12, 48, 20),
                (12, 4, 220))
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def process_usage(pid):
    """Returns the CPU seconds and resident MiB of a process."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{pid}/status", encoding="ascii") as f:
        resident = next(int(line.split()[1]) for line in f if line.startswith("VmRSS"))
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND, resident / 1024


def loopback_bytes():
    """Returns the bytes received on the loopback interface since boot."""
    with open("/proc/net/dev", encoding="ascii") as f:
        return next(int(line.split()[1]) for line in f if line.strip().startswith("lo:"))


def unlimited_config():
    """Returns the default configuration with request rates that do not limit a benchmark."""
    config = default_config()
    for account in config["accounts"]:
        account.update(requestsPerSecond=100000, requestBurst=100000)
    return config


def speed(build):
    """Measures the latency that one daemon adds to a direct call, and its throughput."""
    site = Site(build, hosts=1, controls=1, zones=1, config=unlimited_config())
    try:
        for i in range(4):
            site.start_target(f"c{i}", "z1", "--service-ms", "0", "--concurrent", "64",
                              kind="service", service="calendar")
        site.set_up()
        site.wait_targets(4)
        profile = {"account": "desk", "path": "/calendar", "timeLimitMs": 4000}
        site.load(3, [{**profile, "perSecond": 500}])()
        rows = []
        for rate in (100, 500, 1000, 2000, 3000, 4000, 5000, 6000):
            hosts = site.hosts
            daemon_address = site.caller
            site.caller = lambda host: f"127.0.0.1:{site.addresses['c0']}"
            direct, _ = site.load(3, [{**profile, "perSecond": rate}], rate)()
            site.caller = daemon_address
            before = process_usage(site.processes["h1"].pid)
            begin = time.monotonic()
            through, _ = site.load(3, [{**profile, "perSecond": rate}], rate, hosts)()
            elapsed = time.monotonic() - begin
            after = process_usage(site.processes["h1"].pid)
            proxied, unproxied = through["all"], direct["all"]
            rows.append({
                "perSecond": rate, "served": proxied["whole"] / proxied["sent"],
                "directMs": unproxied["latencyMs"], "throughMs": proxied["latencyMs"],
                "addedP50Ms": proxied["latencyMs"]["p50"] - unproxied["latencyMs"]["p50"],
                "addedP99Ms": proxied["latencyMs"]["p99"] - unproxied["latencyMs"]["p99"],
                "cores": (after[0] - before[0]) / elapsed, "residentMb": after[1]})
            print(json.dumps(rows[-1]), flush=True)
    finally:
        site.close()


def waiting(build):
    """Measures the memory of a daemon before and while a thousand requests wait in its queue."""
    site = Site(build, hosts=1, controls=1, zones=1, config=unlimited_config())
    try:
        site.start_target("l1", "z1", "--service-ms", "4000", "--concurrent", "1", kind="service",
                          service="calendar")
        site.set_up()
        site.wait_targets(1)
        before = process_usage(site.processes["h1"].pid)[1]
        finish = site.load(0.5, [{"account": "desk", "path": "/calendar", "perSecond": 2000,
                                  "timeLimitMs": 5000}])
        time.sleep(2.5)
        after = process_usage(site.processes["h1"].pid)[1]
        finish()
        print(json.dumps({"waiting": 1000, "beforeMb": before, "afterMb": after}))
    finally:
        site.close()


def slopes(build):
    """Measures CPU time, memory and loopback traffic of control for each of SLOPE_POINTS."""
    for hosts, targets, models in SLOPE_POINTS:
        config = unlimited_config()
        config["models"] = [{"id": f"m{i}", "adapters": [f"a{j}" for j in range(26)]}
                            for i in range(models)]
        site = Site(build, hosts=hosts, controls=3, config=config)
        try:
            for i in range(targets):
                site.start_target(f"e{i}", site.zones[i % 3])
            site.set_up()
            site.wait_targets(targets)
            time.sleep(3)
            before = {h: process_usage(site.processes[h].pid) for h in site.hosts}
            loopback_total, begin = loopback_bytes(), time.monotonic()
            time.sleep(8)
            elapsed = time.monotonic() - begin
            loopback_total = loopback_bytes() - loopback_total
            after = {h: process_usage(site.processes[h].pid) for h in site.hosts}
            leader = site.leader()

            def cores_used(host):
                return (after[host][0] - before[host][0]) / elapsed
            entries = [h for h in site.hosts if h not in site.controls]
            followers = [h for h in site.controls if h != leader]
            mean = lambda names, value: sum(value(h) for h in names) / len(names)  # noqa: E731
            print(json.dumps({
                "hosts": hosts, "targets": targets, "models": models,
                "entryCore": mean(entries, cores_used), "followerCore": mean(followers, cores_used),
                "leaderCore": cores_used(leader),
                "entryMb": mean(entries, lambda h: after[h][1]),
                "leaderMb": after[leader][1],
                "loopbackBytesPerSecond": loopback_total / elapsed}), flush=True)
        finally:
            site.close()


def force(build):
    """Measures the time until a change is in force on all hosts, and the time without a leader."""
    site = Site(build, hosts=9, controls=3)
    try:
        site.set_up()
        times = []
        for i in range(40):
            begin = time.monotonic()
            site.ctl("--wait", "zone", "out" if i % 2 else "in", "z9")
            times.append(time.monotonic() - begin)
        times.sort()
        print(json.dumps({"inForceS": {"p50": times[20], "p95": times[37], "most": times[-1]}}))
        gaps = []
        for _ in range(12):
            leader = site.leader()
            site.kill(leader)
            gaps.append(wait_for(lambda: site.leader() not in (None, leader), 5, 0.005))
            site.restart(leader)
            time.sleep(1.5)
        gaps.sort()
        print(json.dumps({"withoutLeaderS": {"p50": gaps[6], "most": gaps[-1]}}))
    finally:
        site.close()


TICK_EVENT = [8, {}]  # Trace event by position: index of the alternative, content.


def record(build):
    """Writes a trace of one host to stdout, with three kinds of requests and a withdrawn key."""
    config = default_config()
    config["models"] = config["models"][:2]
    site = Site(build, config=config, traced="h1")
    try:
        site.start_target("e1", "z1", "--disk-load-ms", "150", "--remote-load-ms", "300")
        site.start_target("l1", "z2", kind="service", service="holds")
        site.start_target("c1", "z1", kind="service", service="calendar")
        site.set_up()
        site.wait_targets(3)
        site.load(1, [{"account": "desk", "model": "m1", "perSecond": 6, "tokens": 3},
                      {"account": "fairs", "path": "/holds", "perSecond": 8, "idempotent": True},
                      {"account": "guest", "path": "/calendar", "perSecond": 60}],
                  hosts=["h1"])()
        site.ctl("--wait", "key", "withdraw", site.keys["desk"].split(".")[0])
        site.call("h1", "desk", "/calendar", {})
        time.sleep(0.3)
        site.kill("h1")
        with open(f"{site.run_dir}/h1.trace", encoding="utf-8") as trace:
            for line in trace:
                if not line.endswith("}\n"):
                    continue
                content = json.loads(line)
                event = content.get("event", [0])
                operator = event[0] == 7 or event[0] == 3 and event[1]["message"][0] == 3
                if operator:
                    # Operator events are long and need no decision. A tick takes their
                    # place, because the step may send a report that was due.
                    line = json.dumps({"at": content["at"], "event": TICK_EVENT}) + "\n"
                sys.stdout.write(line)
    finally:
        site.close()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("what", choices=["speed", "waiting", "slopes", "force", "record"])
    options = parser.parse_args()
    globals()[options.what](options.build)
    sys.exit(0)
