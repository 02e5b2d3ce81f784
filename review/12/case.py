"""Clients that nobody controls name adapters that do not exist; checks the memory of the daemons."""

import asyncio
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-3"))
from site3 import Site, call, engine_config, model_headers, request_headers, route, MODEL, PREFIX

ENTRY_MEMORY_MB = 120  # The smallest machine of the sheets.
CONNECTIONS = 120  # At each entry daemon.
NAME_BYTES = 15_000  # Within maxHeaderBytes, 16,384.
DEADLINE_MS = 300
ATTACK_S = 80.0
RESTART_S = 0.5
ENDS = 3  # From the rule: three times in the day,
MACHINES = 2  # on a tenth of the machines in use, two at least.


def memory_mb(process):
    """Memory of its own that the process holds; 0 if it has ended."""
    try:
        with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("RssAnon")) / 1024
    except (OSError, StopIteration):
        return 0.0


class Platform(threading.Thread):
    """Kills a process that uses more than its machine has, and starts it again, as DEPLOY.md says."""

    def __init__(self, site):
        super().__init__(daemon=True)
        self.site = site
        self.names = [name for name in site.processes if name.split("-")[0] in ("core", "front")]
        self.ends = dict.fromkeys(self.names, 0)
        self.peaks = dict.fromkeys(self.names, 0.0)
        self.stopped = False

    def run(self):
        while not self.stopped:
            for name in self.names:
                process = self.site.processes[name]
                used = memory_mb(process)
                self.peaks[name] = max(self.peaks[name], used)
                limit = self.site.memory_mb[name.split("-")[0]]
                if used <= limit and process.poll() is None:
                    continue
                self.ends[name] += 1
                self.site.record(f"{name} uses {used:.0f} MB of {limit} MB and is killed")
                process.send_signal(signal.SIGKILL)
                process.wait()
                time.sleep(RESTART_S)
                self.site.restart(name)
            time.sleep(0.1)

    def is_broken(self):
        return sum(1 for count in self.ends.values() if count >= ENDS) >= MACHINES


async def ask(address, number, trouble, counts, until):
    """One client: requests one after the other, each for a name of its own."""
    host, port = address.rsplit(":", 1)
    sent = 0
    while time.monotonic() < until[0]:
        writer = None
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            while time.monotonic() < until[0]:
                sent += 1
                adapter = f"a{number}-{sent}-".ljust(NAME_BYTES, "x")
                model = f"{MODEL}/{adapter}" if trouble else MODEL
                headers = request_headers(f"c{number}-{sent}", DEADLINE_MS,
                                          {PREFIX + "Model": model, PREFIX + "Token-Count": "1,1"})
                lines = ["POST /show/1 HTTP/1.1", "Content-Length: 0"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
                status = int(head.split()[1])
                counts[status] = counts.get(status, 0) + 1
                if b"chunked" in head.lower():
                    await asyncio.wait_for(reader.readuntil(b"0\r\n\r\n"), 5)
                    continue
                length = next(int(line.split(b":")[1]) for line in head.split(b"\r\n")
                              if line.lower().startswith(b"content-length"))
                await asyncio.wait_for(reader.readexactly(length), 5)
        except (OSError, EOFError, ValueError, asyncio.TimeoutError, asyncio.LimitOverrunError):
            counts["closed"] = counts.get("closed", 0) + 1
            await asyncio.sleep(0.2)
        finally:
            if writer is not None:
                writer.close()


async def attack(site, platform, trouble, counts):
    until = [time.monotonic() + ATTACK_S]
    clients = [asyncio.create_task(ask(entry, i * CONNECTIONS + n, trouble, counts, until))
               for i, entry in enumerate(site.entries) for n in range(CONNECTIONS)]
    noted = time.monotonic()
    while time.monotonic() < until[0] and not platform.is_broken():
        await asyncio.sleep(0.2)
        if time.monotonic() - noted >= 5:
            noted = time.monotonic()
            used = {name: round(memory_mb(site.processes[name])) for name in platform.names}
            site.record(f"answered so far: {counts}; MB in use: {used}")
    until[0] = 0
    await asyncio.gather(*clients)


def play(site):
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site.configure(engine_config(1, [route("r-show", "/show/", "streaming", "wording-desk",
                                           latencyGoalMs=600, timeoutMs=15000)]))
    for engine in ("i-a", "i-b", "i-c", "i-d"):
        site.engine(engine, "wording-desk", events=3, gap_ms=10)
    site.warm_up("POST", "/show/1", model_headers(MODEL), count=8)
    platform = Platform(site)
    platform.start()
    counts = {}
    kind = "adapters that do not exist" if trouble else "the model"
    site.record(f"{CONNECTIONS} clients at each entry daemon ask for {kind}")
    asyncio.run(attack(site, platform, trouble, counts))
    platform.stopped = True
    platform.join()
    ordinary = [call(entry, "POST", "/show/1", b"x",
                     request_headers(f"ordinary-{i}", 2500, model_headers(MODEL)))[0]
                for i, entry in enumerate(site.entries)]
    site.record(f"answers: {counts}; ordinary requests afterwards: {ordinary}")
    site.record(f"ends for memory: {platform.ends}; most MB in use: "
                f"{ {name: round(peak) for name, peak in platform.peaks.items()} }")
    print(f"processes ended for memory: {platform.ends}", file=sys.stderr)
    return 1 if platform.is_broken() else 0


site = Site(FOLDER, entries=2, entry_memory_mb=ENTRY_MEMORY_MB)
try:
    code = play(site)
finally:
    site.close()
sys.exit(code)
