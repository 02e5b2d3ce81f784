"""Stand-in for a server of a plain service or a model engine, with a strict HTTP/1.1 reader."""

import json
import socket
import threading
import time

from deployment import PREFIX, call


class BadRequest(Exception):
    """The bytes are no HTTP/1.1 request."""


class Request:
    """One request as it was read: method, path, headers in lower case, body."""

    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.id = headers.get((PREFIX + "Request-Id").lower(), "")


class Connection:
    """Reads requests from a socket as RFC 9112 asks; rejects what is malformed."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def read_head(self):
        while b"\r\n\r\n" not in self.buffer:
            self.fill()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        return head

    def read_bytes(self, count):
        while len(self.buffer) < count:
            self.fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def read_request(self):
        lines = self.read_head().decode("latin-1").split("\r\n")
        words = lines[0].split(" ")
        if len(words) != 3 or not words[2].startswith("HTTP/1."):
            raise BadRequest(lines[0])
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if not colon or name != name.strip() or not name or "\r" in line or "\n" in line:
                raise BadRequest(line)
            headers[name.lower()] = value.strip()
        if "transfer-encoding" in headers:
            raise BadRequest("transfer-encoding")
        body = self.read_bytes(int(headers.get("content-length", "0")))
        return Request(words[0], words[1], headers, body)


class Engine:
    """Listens on a loopback address, sends heartbeats and hands each request to `serve`."""

    def __init__(self, deployment, service, ident, zone, serve, models=None, slots=8,
                 ip="127.77.3.1", quiet=False):
        self.deployment = deployment
        self.record = deployment.record
        self.service = service
        self.ident = ident
        self.zone = zone
        self.serve = serve
        self.models = models
        self.slots = slots
        self.quiet = quiet  # Runs are neither kept nor written to the record.
        self.state = "ready"
        self.sequence = 0
        self.orders = 0
        self.runs = []
        self.stopped = False
        self.born = int(time.time() * 1000)
        self.listener = socket.create_server((ip, 0))
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        first = 0
        while not self.stopped:
            self.sequence += 1
            body = {"service": self.service, "address": self.address, "zone": self.zone,
                    "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0,
                    "seqNo": self.sequence, "born": self.born}
            if self.models is not None:
                body.update(stage="colocated", models=self.models)
            for attempt in range(3):
                status, _ = call("POST", self.deployment.control(first),
                                 f"/instances/{self.ident}/heartbeat", body, timeout=1.0)
                if status == 200:
                    break
                first += 1
            time.sleep(1.0)

    def accept(self):
        while not self.stopped:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.handle, args=(sock,), daemon=True).start()

    def handle(self, sock):
        connection = Connection(sock)
        try:
            while True:
                request = connection.read_request()
                if request.path == "/report":
                    self.answer(sock, request, json.dumps(self.report()).encode())
                    continue
                if not self.quiet:
                    self.runs.append(request)
                    self.record.write("server", self.ident, "runs", request.method, request.path,
                                      "id", request.id, "body", len(request.body), "bytes")
                if not self.serve(self, sock, request):
                    return
        except BadRequest as error:
            self.record.write("server", self.ident, "rejects the bytes", repr(str(error)))
            sock.sendall(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n"
                         + PREFIX.encode() + b"Not-Executed: 1\r\n\r\n")
        except (EOFError, OSError):
            pass
        finally:
            sock.close()

    def report(self):
        return {"stage": "colocated", "models": self.models or [], "busy": False,
                "seqNo": self.orders, "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 90000,
                "handles": 0}

    def answer(self, sock, request, body, status="200 OK", extra=""):
        head = (f"HTTP/1.1 {status}\r\n{PREFIX}Request-Id: {request.id}\r\n"
                f"{PREFIX}Server-Seal: seal-{self.ident}\r\nContent-Length: {len(body)}\r\n{extra}\r\n")
        sock.sendall(head.encode("latin-1") + body)
        return True

    def stop(self):
        self.stopped = True
        self.listener.close()
