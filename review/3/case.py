"""Case 3: a planned restart after a new configuration that drops the class with the longest deadline.

Clients send tag lookups on connections that they keep. The configuration file is replaced by one that lacks the class
`monthly-settle`, with SIGHUP. 9 s later SIGTERM is sent, and SIGKILL after the longest deadline and 0.7 s. Requests
that came more than 0.7 s after SIGTERM and that SIGKILL finds unanswered are lost. With TROUBLE=0 no signal is
sent, and every request has to be answered.
"""
import os
import random
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lib import HOST, Coordinator, CouldNotRun, DataNode, Discovery, call, config, free_ports, run, wait_until

BEFORE = [("monthly-settle", 8.0), ("tag-lookup", 1.5)]
AFTER = [("tag-lookup", 1.5)]
CLIENTS = 12
PART_WORK_S = 0.16
# SIGKILL comes no sooner than the longest deadline and this after SIGTERM; the page's slack of 50 ms is added.
KILL_AFTER_S = 1.5 + 0.7 + 0.05
# RELOAD=0: the planned restart alone, of a process that had the second file from its start.
RELOAD = os.environ.get("RELOAD", "1") != "0"
# What came later than this after SIGTERM and is unanswered at SIGKILL is lost.
LATE_AFTER_S = 0.7
# New connections go on coming for this long after SIGTERM.
CONNECT_UNTIL_S = 0.4
# A request on its way when SIGKILL comes is not counted.
ON_ITS_WAY_S = 0.05


class Clients:
    """Clients that send one request at a time on a connection each, and connect anew where it was closed."""

    def __init__(self, case, port):
        self.case, self.port = case, port
        self.term_at, self.stopped = None, False
        self.lock, self.requests, self.next_id = threading.Lock(), [], 0
        self.threads = [threading.Thread(target=self.serve, daemon=True) for _ in range(CLIENTS)]
        for thread in self.threads:
            thread.start()

    def new_request(self, name, timeout_ms):
        with self.lock:
            self.next_id += 1
            request = {"id": f"{os.getpid():08x}{self.next_id:08x}", "sent": None, "end": None, "at": None}
            self.requests.append(request)
        shards = [self.next_id % 6, (self.next_id + 3) % 6]
        body = '{"parts":[{"id":%d,"w":0.5},{"id":%d,"w":0.5}],"expr":"c41e77d0"}' % tuple(shards)
        head = (
            f"POST /{name} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {request['id']}\r\n"
            f"X-Timeout: {timeout_ms}m\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return request, (head + body).encode()

    def may_connect(self):
        return self.term_at is None or time.monotonic() < self.term_at + CONNECT_UNTIL_S

    def serve(self):
        while not self.stopped and self.may_connect():
            try:
                connection = socket.create_connection((HOST, self.port), timeout=5.0)
            except OSError:
                time.sleep(0.05)
                continue
            with connection:
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                while not self.stopped and self.ask(connection):
                    time.sleep(random.uniform(0.01, 0.06))

    def ask(self, connection):
        """Sends one request and reads its answer; returns whether the connection may be used again."""
        request, message = self.new_request("tag-lookup", 1500)
        request["sent"] = time.monotonic()
        received, status = b"", "closed"
        try:
            connection.sendall(message)
            while True:
                head, blank, body = received.partition(b"\r\n\r\n")
                if blank:
                    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
                    if len(body) >= int(fields[b"content-length"]):
                        status = head.split(b" ")[1].decode()
                        request["end"], request["at"] = status, time.monotonic()
                        return fields.get(b"connection") != b"close"
                data = connection.recv(65536)
                if not data:
                    break
                received += data
        except OSError as error:
            status = type(error).__name__
        request["end"], request["at"] = status, time.monotonic()
        return False


def is_broken_without_disruption(case, clients):
    """The same time of requests with no signal; every one has to be answered before its time is up."""
    time.sleep(KILL_AFTER_S)
    clients.stopped = True
    time.sleep(1.5 + 0.3)
    sent = [request for request in clients.requests if request["sent"] is not None]
    lost = [request for request in sent if request["end"] is None or not request["end"].isdigit()]
    for request in sent:
        case.record("request", id=request["id"], end=request["end"], lost=int(request in lost))
    case.record("result", requests=len(sent), lost=len(lost))
    return bool(lost)


def main(case):
    nodes = [DataNode(case, PART_WORK_S) for _ in range(3)]
    discovery = Discovery(nodes)
    listen, control = free_ports(2)
    before, after = (config("n1", listen, discovery.port, classes, control) for classes in (BEFORE, AFTER))
    coordinator = Coordinator(case, "n1", before if RELOAD else after)
    coordinator.start()
    health = lambda: (call((HOST, listen), "GET", "/_health") or (0,))[0] == 200
    wait_until(health, 20.0, "the coordinator says yes")
    clients = Clients(case, listen)
    time.sleep(2.0)
    if case.trouble and RELOAD:
        coordinator.write_config(after)
        coordinator.signal(signal.SIGHUP)
        stats = lambda: b"edge_lb.reloads_ok=1\n" in (call((HOST, control), "GET", "/ops/stats") or (0, 0, b""))[2]
        wait_until(stats, 4.0, "the new configuration is taken")
        case.record("reloaded")
    # Longer than the deadline of the class that was dropped: by now nothing can be open under its rules.
    time.sleep(9.0)
    if not all(request["end"] == "200" for request in clients.requests if request["end"]):
        raise CouldNotRun("a request was not answered before SIGTERM")
    clients.term_at = time.monotonic()
    if not case.trouble:
        return is_broken_without_disruption(case, clients)
    coordinator.signal(signal.SIGTERM)
    ended = coordinator.wait(clients.term_at + KILL_AFTER_S - time.monotonic())
    kill_at = time.monotonic()
    if ended is None:
        # The state of the requests is taken before the kill: what is unanswered then, SIGKILL finds.
        unanswered = [request for request in clients.requests if request["end"] is None]
        kill_at = time.monotonic()
        coordinator.signal(signal.SIGKILL)
        coordinator.wait(5.0)
    else:
        unanswered = []
    clients.stopped = True
    time.sleep(0.3)
    lost = [
        request for request in unanswered
        if request["sent"] - clients.term_at > LATE_AFTER_S and kill_at - request["sent"] > ON_ITS_WAY_S
    ]
    for request in clients.requests:
        if request["sent"] is None:
            continue
        since_term = request["sent"] - clients.term_at
        took = request["at"] and f"{request['at'] - request['sent']:.3f}"
        case.record(
            "request", id=request["id"], sent_after_term=f"{since_term:.3f}", end=request["end"], took=took,
            lost=int(request in lost),
        )
    late = sum(1 for request in clients.requests if request["sent"] and request["sent"] - clients.term_at > LATE_AFTER_S)
    case.record("result", ended_by_itself=int(ended is not None), requests_after_700_ms=late, lost=len(lost))
    return bool(lost)


run(__file__, main)
