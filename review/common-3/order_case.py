"""Resumable streams of which one engine crashes; checks the rule ORDER at the clients."""

import os
import signal
import sys
import time

from site3 import Site, StreamClient, engine_config, route, MODEL_HEADERS

STREAMS = 12
EVENTS = 8
ENGINES = ["i-a", "i-b", "i-c", "i-d"]
DOWN_S = 4.0


def run(folder, first, pause_after, comment):
    site = Site(folder)
    try:
        return play(site, first, pause_after, comment)
    finally:
        site.close()


def paused(site, engine, pause_after):
    """Requests that the engine has brought to the pause and works on."""
    notes = [n for n in site.runs(engine) if n["request"].startswith("case-")]
    at_pause = {n["request"] for n in notes if n["what"] == "sent" and n["event"] == pause_after}
    return at_pause - {n["request"] for n in notes if n["what"] in ("done", "dropped")}


def play(site, first, pause_after, comment):
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site.configure(engine_config(1, [route("r-show", "/show/", "streaming", "wording-desk",
                                           attempts=2, resumable=True)]))
    options = {"events": EVENTS, "first": first, "gap_ms": 10, "pause_after": pause_after,
               "pause_ms": 700, "comment": comment, "only": "case-"}
    for engine in ENGINES:
        site.engine(engine, "wording-desk", **options)
    site.warm_up("POST", "/show/1", MODEL_HEADERS)
    clients = [StreamClient(site, site.entries[0], f"/show/{i}", f"case-{i}")
               for i in range(STREAMS)]
    end = time.monotonic() + 10
    while time.monotonic() < end:
        waiting = {engine: paused(site, engine, pause_after) for engine in ENGINES}
        if sum(len(requests) for requests in waiting.values()) == STREAMS:
            break
        time.sleep(0.02)
    else:
        site.skip("the streams did not come to their pause together")
    crashed = max(ENGINES, key=lambda engine: len(waiting[engine]))
    if trouble:
        time.sleep(0.2)  # What the engines have sent has reached the clients.
        site.signal(crashed, signal.SIGKILL)
        back = time.monotonic() + DOWN_S
    for client in clients:
        client.thread.join()
    if trouble:
        time.sleep(max(0, back - time.monotonic()))
        site.engine(crashed + "2", "wording-desk", **options)
    for engine in ENGINES:
        for note in site.runs(engine):
            if note["request"].startswith("case-") and note["what"] != "sent":
                site.record(f"engine {engine}: {note}")
    if any(client.status != 200 for client in clients):
        site.skip("a stream was not begun")
    wanted = list(range(first, first + EVENTS))
    broken = [c for c in clients if (c.pieces != wanted if c.complete
                                     else c.pieces != wanted[:len(c.pieces)])]
    resumed = sum(1 for e in ENGINES for n in site.runs(e) if n["what"] == "runs" and n["resumed"])
    site.record(f"{STREAMS} streams, {resumed} resumed, {len(broken)} break the rule ORDER")
    for client in broken:
        site.record(f"request {client.request}: pieces {client.pieces}")
    print(f"{len(broken)} of {STREAMS} streams break the rule ORDER", file=sys.stderr)
    return 1 if broken else 0
