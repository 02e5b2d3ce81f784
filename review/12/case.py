"""Manifests of many routes come in quick succession; checks the memory of the control daemons."""

import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-3"))
from site3 import Site, Platform, call, engine_config, route

ROUTES = 1400  # The largest big_config of the site files.
MODELS = 628
TENANTS = 19
STORM_S = 4.0
STORM_GAP_S = 0.06
STORMS = 12
PAUSE_S = 9.0  # From the begin of a storm to that of the next one.
IN_PROGRESS = 8  # "Up to eight orders may be in progress at once."
WATCH_S = 104.0


def manifest(version):
    """Each version changes the time-out of one route."""
    routes = [route(f"r{i}", f"/p{i}/", "streaming", "wording-desk",
                    timeoutMs=15001 if i == version % ROUTES else 15000) for i in range(ROUTES)]
    config = engine_config(version, routes)
    models = config["services"][0]["engine"]["models"]
    models += [dict(models[0], name=f"m{i:05}", adapters=1) for i in range(MODELS - len(models))]
    tenant = config["tenants"][0]
    config["tenants"] += [dict(tenant, name=f"t{i}", apiKeys=[f"key-{i}-0", f"key-{i}-1"])
                          for i in range(TENANTS - 1)]
    return json.dumps(config)


class Operator:
    """Sends manifests; moves on to another daemon, with more and more pause, until one is acked."""

    def __init__(self, site):
        self.site = site
        self.places = threading.Semaphore(IN_PROGRESS)
        self.version = 1
        self.sent = 0
        self.answers = {}
        self.acked = 0
        self.last_ack = time.monotonic()
        self.stopped = False
        self.threads = []

    def send_next(self):
        self.version += 1
        thread = threading.Thread(target=self.send, args=(self.version, manifest(self.version)))
        self.threads.append(thread)
        thread.start()

    def send(self, version, body):
        turn = version
        pause = 0.1
        while not self.stopped:
            self.sent += 1
            # "a second without a response (more for large bodies)"
            status, _, _ = call(self.site.controls[turn % len(self.site.controls)], "POST",
                                "/config/replace", body, {"Content-Type": "application/json"},
                                timeout=1.5)
            self.answers[status] = self.answers.get(status, 0) + 1
            if status == 200:
                self.acked += 1
                self.last_ack = time.monotonic()
                break
            turn += 1
            time.sleep(pause)
            pause = min(2 * pause, 1.6)
        self.places.release()

    def storm(self):
        end = time.monotonic() + STORM_S
        while time.monotonic() < end and not self.stopped:
            if self.places.acquire(timeout=0.1):
                self.send_next()
            time.sleep(STORM_GAP_S)


def play(site):
    trouble = os.environ.get("TROUBLE", "1") != "0"
    operator = Operator(site)
    site.configure(json.loads(manifest(operator.version)))
    platform = Platform(site)
    platform.start()
    begin = time.monotonic()
    turn = 0
    while time.monotonic() < begin + WATCH_S and not platform.is_broken():
        due = begin + turn * PAUSE_S
        if turn < STORMS and time.monotonic() >= due:
            turn += 1
            if trouble:
                operator.storm()
            elif operator.places.acquire(timeout=1):
                operator.send_next()
            site.record(f"versions sent up to {operator.version}, acknowledged {operator.acked}, "
                        f"answers {operator.answers}; most MB in use: "
                        f"{ {name: round(mb) for name, mb in platform.peaks.items()} }")
        if turn == STORMS and not any(thread.is_alive() for thread in operator.threads):
            break
        time.sleep(0.1)
    operator.stopped = True
    for thread in operator.threads:
        thread.join()
    platform.stopped = True
    platform.join()
    site.record(f"{operator.version} versions, {operator.sent} calls, {operator.acked} acknowledged, "
                f"answers {operator.answers}")
    site.record(f"ends for memory: {platform.ends}; most MB in use: "
                f"{ {name: round(mb) for name, mb in platform.peaks.items()} }")
    print(f"acknowledged {operator.acked} of {operator.version - 1}; ended for memory: "
          f"{platform.ends}", file=sys.stderr)
    return 1 if platform.is_broken() else 0


site = Site(FOLDER, controls=3, entries=2)
try:
    code = play(site)
finally:
    site.close()
sys.exit(code)
