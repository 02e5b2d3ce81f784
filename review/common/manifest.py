"""A manifest of two routes of one plain service, and what a client sends."""

import socket

from deployment import PREFIX

HOST = "desk.example"
KEY = "key-of-the-desk-0001"
TENANT = "desk"


def manifest(version):
    route = {"host": HOST, "timeoutMs": 8000, "latencyGoalMs": 600, "priority": 1,
             "public": False, "sticky": False, "resumable": False, "gapTargetMs": 300}
    return {"version": version,
            "routes": [
                dict(route, name="hold", pathPrefix="/hold/", kind="unsafe", attempts=1,
                     service="ledger"),
                dict(route, name="look", pathPrefix="/look/", kind="safe", attempts=2,
                     service="ledger"),
                dict(route, name="draft", pathPrefix="/draft/", kind="streaming", attempts=2,
                     service="writer", resumable=True, sticky=True)],
            "services": [
                {"name": "ledger", "healthPath": "/health", "maxConns": 100, "protocol": "h1",
                 "tls": False, "coldS": 0.0, "coldPerS": 0.0},
                {"name": "writer", "healthPath": "/health", "maxConns": 100, "protocol": "h1",
                 "tls": False, "coldS": 0.0, "coldPerS": 0.0}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1, "unit": "tokens",
                         "plainTokens": 200, "ratePerS": 100000, "burst": 100000}]}


def head(method, path, ident, *lines):
    """Returns the head of a request, without the empty line."""
    return "".join(line + "\r\n" for line in (
        f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"{PREFIX}Request-Id: {ident}",
        f"{PREFIX}Deadline-Ms: 6000", f"Authorization: Token {KEY}", *lines))


def exchange(address, data, seconds=3.0):
    """Sends bytes on a new connection. Returns all that comes until it closes or the time ends."""
    got = b""
    with socket.create_connection(address, timeout=seconds) as connection:
        connection.sendall(data)
        try:
            while chunk := connection.recv(65536):
                got += chunk
        except OSError:
            pass
    return got


def status_lines(data):
    return [line for line in data.decode("latin-1").split("\r\n") if line.startswith("HTTP/1.")]
