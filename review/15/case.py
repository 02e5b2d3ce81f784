"""One of two engines with a model crashes under load. The clients of its streams leave while these
wait for a place at the other engine."""

import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-3"))
from site3 import Site, StreamClient, engine_config, model_headers, route, MODEL, RARE_MODEL

SLOTS = 16
STREAMS = 28
EVENTS = 57
ENGINES = {"i-a": [MODEL, RARE_MODEL], "i-b": [MODEL, RARE_MODEL], "i-c": [MODEL], "i-d": [MODEL]}
GAP_S = 2.4  # The longest of 2 s, four times the objective (600 ms), eight times the pause (300 ms).
DOWN_S = 4.5
LATE_S = 0.5  # From the rule GONE.
A_FEW = 5
WATCH_S = 10.0


def play(site):
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site.configure(engine_config(1, [route("r-show", "/show/", "streaming", "wording-desk",
                                           attempts=2, resumable=True, latencyGoalMs=600,
                                           timeoutMs=15000)]))
    options = {"events": EVENTS, "gap_ms": 100, "only": "case-", "slots": SLOTS}
    for engine, models in ENGINES.items():
        site.engine(engine, "wording-desk", models=models, **options)
    site.warm_up("POST", "/show/1", model_headers(MODEL), count=40)
    site.warm_up("POST", "/show/1", model_headers(RARE_MODEL), count=20)
    clients = [StreamClient(site, site.entries[0], f"/show/{i}", f"case-{i}", deadline_ms=15000,
                            gap_s=GAP_S, model=RARE_MODEL) for i in range(STREAMS)]
    end = time.monotonic() + 2
    while min(len(client.pieces) for client in clients) < 3 and time.monotonic() < end:
        time.sleep(0.02)
    if min(len(client.pieces) for client in clients) < 3:
        site.skip("the streams have not begun")
    if trouble:
        site.signal("i-a", signal.SIGKILL)
    crashed = time.monotonic()
    for client in clients:
        client.thread.join()
    if trouble:
        time.sleep(max(0, crashed + DOWN_S - time.monotonic()))
        site.engine("i-a2", "wording-desk", **dict(options, models=[]))
        time.sleep(max(0, crashed + WATCH_S - time.monotonic()))
    left = {c.request: c.left_at for c in clients if c.left_at is not None}
    late = []
    for engine in list(ENGINES) + ["i-a2"]:
        for note in site.runs(engine):
            if note["request"].startswith("case-") and note["what"] != "sent":
                site.record(f"engine {engine}: {note}")
            if note["what"] == "runs" and note["request"] in left:
                after = note["at"] - left[note["request"]]
                if after > LATE_S:
                    late.append((note["request"], engine, round(after, 2)))
    for request, engine, after in late:
        site.record(f"request {request} reached engine {engine} {after} s after its client had left")
    text = f"{len(left)} of {STREAMS} clients left; {len(late)} requests reached an engine later"
    site.record(text)
    print(text, file=sys.stderr)
    return 1 if len(late) > A_FEW else 0


site = Site(FOLDER)
try:
    code = play(site)
finally:
    site.close()
sys.exit(code)
