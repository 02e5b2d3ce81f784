"""A request inside the body of another one must not run, whatever the framing header looks like."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))

from deployment import Deployment, Record, wait_for
from engine import Engine
from manifest import exchange, head, manifest, status_lines

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))


def serve(engine, sock, request):
    return engine.answer(sock, request, b"done " + request.body)


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    site = Deployment(record, cores=3, fronts=1)
    try:
        engine = Engine(site, "ledger", "i-ledger-1", "zone-1", serve)
        if site.order("POST", "/config/replace", manifest(1))[0] != 200:
            return 2
        ready = wait_for(lambda: site.is_ready() and b"200 OK" in exchange(
            site.front(), (head("GET", "/look/first", "first", "Connection: close")
                           + "\r\n").encode(), 1.0), 20)
        if not ready:
            return 2
        inner = (head("POST", "/hold/inner", "inner", "Content-Length: 0") + "\r\n").encode()
        name = "Content-Length :" if TROUBLE else "Content-Length:"
        outer = (head("POST", "/hold/outer", "outer", f"{name} {len(inner)}") + "\r\n").encode()
        record.write("client sends one request, id outer, whose body is the text of another one;",
                     "framing header:", repr(f"{name} {len(inner)}"))
        got = exchange(site.front(), outer + inner)
        record.write("client got", status_lines(got))
        ran = [request for request in engine.runs if request.id in ("inner", "outer")]
        smuggled = [request for request in ran if request.id == "inner"]
        changed = [request for request in ran if request.id == "outer" and request.body != inner]
        record.write("runs of the request inside:", len(smuggled), "- runs of the outer request",
                     "with another body:", len(changed))
        if not TROUBLE and len(ran) != 1:
            return 2
        return 1 if smuggled or changed else 0
    finally:
        site.close()


sys.exit(main())
