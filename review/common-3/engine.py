"""Stand-in for one engine: beats at the control daemons, runs requests and notes what it runs.

Started with one argument, a JSON object: id, service, port, controls, record, and
  slots          requests that it runs at once
  models         names of the models that it holds at its start
  load_s         time of a load, of any model
  events         events of a stream
  first          number of the first event
  gap_ms         time between two events
  pause_after    number of the event behind which the engine makes no events for pause_ms
  comment        whether it then sends a comment line, as a keep-alive
  only           only for requests whose id begins so; others have three events and no pause
"""

import json
import socket
import sys
import threading
import time
import urllib.request

PREFIX = "X-Bilberrybend-"
OPTIONS = json.loads(sys.argv[1])
BORN = int(time.time() * 1000)
RECORD = open(OPTIONS["record"], "a", encoding="utf-8")
LOCK = threading.Lock()
STREAMS = OPTIONS["service"] == "wording-desk"
MODELS = list(OPTIONS.get("models", ["daka510000"]))
CHANGED = threading.Event()  # The next heartbeat is sent at once.


class Orders:
    """Orders that the engine has accepted; it carries out one at a time."""

    accepted = 0
    busy = False

    @classmethod
    def take(cls, order):
        """Returns the status of the answer. This engine has no adapters."""
        if order.get("adapter"):
            return 400
        with LOCK:
            held = order["model"] in MODELS
            if held == (order["op"] == "load"):
                return 200
            if cls.busy or order.get("precondition", cls.accepted) != cls.accepted:
                return 409
            cls.accepted += 1
            cls.busy = True
        threading.Thread(target=cls.carry_out, args=(order,), daemon=True).start()
        return 202

    @classmethod
    def carry_out(cls, order):
        if order["op"] == "load":
            time.sleep(OPTIONS.get("load_s", 6.0))
        with LOCK:
            if order["op"] == "load":
                MODELS.append(order["model"])
            else:
                MODELS.remove(order["model"])
            cls.busy = False
        note(what="order", request="", op=order["op"], model=order["model"])
        CHANGED.set()


def described_models():
    with LOCK:
        return [{"name": name, "version": 1, "adapters": []} for name in MODELS]


def note(**fields):
    fields["at"] = time.monotonic()
    with LOCK:
        RECORD.write(json.dumps(fields) + "\n")
        RECORD.flush()


def beat():
    number = 0
    turn = 0
    while True:
        number += 1
        state = {"service": OPTIONS["service"], "address": f"127.0.0.1:{OPTIONS['port']}",
                 "zone": "ub-north", "version": "v1", "slots": OPTIONS.get("slots", 64 if STREAMS else 6),
                 "state": "ready", "coldLeftMs": 0, "seqNo": number, "born": BORN}
        if STREAMS:
            state.update(stage="colocated", models=described_models(),
                         atHand={"inMemory": MODELS, "onDisk": MODELS})
        url = f"http://{OPTIONS['controls'][turn]}/instances/{OPTIONS['id']}/heartbeat"
        request = urllib.request.Request(url, json.dumps(state).encode(),
                                         {"Content-Type": "application/json"})
        try:
            urllib.request.urlopen(request, timeout=1).read()
        except OSError:
            turn = (turn + 1) % len(OPTIONS["controls"])
        CHANGED.wait(0.4)
        CHANGED.clear()


def read_request(connection, buffered):
    """Returns the head's first line, the headers and the bytes behind the request."""
    while b"\r\n\r\n" not in buffered:
        more = connection.recv(65536)
        if not more:
            return None
        buffered += more
    head, rest = buffered.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    while len(rest) < length:
        more = connection.recv(65536)
        if not more:
            return None
        rest += more
    return lines[0], headers, rest[:length], rest[length:]


def send_plain(connection, status, headers, body):
    text = f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers)
    connection.sendall(text.encode() + b"\r\n" + body)


def caller_left(connection):
    """Whether the daemon has closed the connection."""
    try:
        return connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def wait(connection, seconds):
    """Works for some time; an engine drops a request when its connection closes."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if caller_left(connection):
            return False
        time.sleep(min(0.01, max(0, end - time.monotonic())))
    return True


def send_chunk(connection, text):
    data = text.encode()
    connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))


def run_stream(connection, request, headers, own):
    first = OPTIONS.get("first", 1)
    short = not request.startswith(OPTIONS.get("only", ""))
    last = first + (2 if short else OPTIONS.get("events", 10) - 1)
    resumed = headers.get("last-event-id")
    begin = int(resumed) + 1 if resumed else first
    note(what="runs", request=request, resumed=resumed)
    head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    connection.sendall(head.encode() + "".join(f"{n}: {v}\r\n" for n, v in own).encode() + b"\r\n")
    try:
        for number in range(begin, last + 1):
            if not wait(connection, OPTIONS.get("gap_ms", 30) / 1000):
                note(what="dropped", request=request, event=number)
                return False
            send_chunk(connection, f"id: {number}\ndata: piece-{number}\n\n")
            note(what="sent", request=request, event=number)
            if number != OPTIONS.get("pause_after") or not request.startswith(OPTIONS["only"]):
                continue
            if OPTIONS.get("comment"):
                send_chunk(connection, ": keep-alive\n\n")
                note(what="comment", request=request, event=number)
            if not wait(connection, OPTIONS["pause_ms"] / 1000):
                note(what="dropped", request=request, event=number)
                return False
        connection.sendall(b"0\r\n\r\n")
    except OSError:
        note(what="dropped", request=request)
        return False
    note(what="done", request=request)
    return True


def serve(connection):
    buffered = b""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with connection:
        while True:
            found = read_request(connection, buffered)
            if found is None:
                return
            line, headers, body, buffered = found
            method, path, _ = line.split(" ", 2)
            request = headers.get((PREFIX + "Request-Id").lower(), "")
            if path == "/report":
                body = json.dumps({"stage": "colocated", "busy": Orders.busy, "waiting": 0,
                                   "seqNo": Orders.accepted, "models": described_models(),
                                   "running": 0, "kvUsed": 0, "kvTotal": 118861, "handles": 0})
                send_plain(connection, 200, [("Content-Type", "application/json")], body.encode())
                continue
            if path == "/order":
                send_plain(connection, Orders.take(json.loads(body)), [], b"")
                continue
            if path == "/health":
                send_plain(connection, 200, [(PREFIX + "Instance-Id", OPTIONS["id"])], b"")
                continue
            expected = headers.get((PREFIX + "Expect-Instance").lower(), OPTIONS["id"])
            own = [(PREFIX + "Request-Id", request), (PREFIX + "Instance-Id", OPTIONS["id"])]
            model = headers.get((PREFIX + "Model").lower())
            if expected != OPTIONS["id"] or (STREAMS and model not in MODELS):
                send_plain(connection, 421, own + [(PREFIX + "Not-Executed", "1")], b"")
                continue
            own.append((PREFIX + "Server-Seal", "3e1b.07.5a2." + request))
            if STREAMS:
                if not run_stream(connection, request, headers, own):
                    return
            else:
                note(what="runs", request=request, method=method)
                time.sleep(0.03)
                send_plain(connection, 200, own, ("body of " + request).encode())
                note(what="done", request=request)


def main():
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind(("127.0.0.1", OPTIONS["port"]))
    listening.listen(128)
    threading.Thread(target=beat, daemon=True).start()
    while True:
        connection, _ = listening.accept()
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


main()
