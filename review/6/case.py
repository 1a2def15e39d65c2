"""Watches are reset and calls of discovery fail in a crowd: a data node that drains then has to get nothing new."""

import json
import os
import socket
import struct
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "tools-2"))
from standins import (DataNode, Discovery, NotRun, Process, TROUBLE, free_ports, http, member, run,  # noqa: E402
                      settings, wait_until, write_config)

SHARDS = 6
TOLD_S = 6.0 + 0.25 + 0.05  # told, the grace of the rule, and what every limit on sockets is longer
CROWD_S = 25.0
WAIT_S = 1.8  # how long a call waits in the crowd before it fails
OTHER = b"X-Caller: another-coordinator"


class CrowdedDiscovery(Discovery):
    """Discovery whose open watches are reset once; the calls of one coordinator then wait too long, and fail."""

    def __init__(self, case, members):
        self.crowded, self.streams = False, []
        super().__init__(case, members)

    def connection(self, s):
        self.streams.append(s)
        super().connection(s)

    def reset_watches(self):
        for s in self.streams:
            try:
                s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                s.close()
            except OSError:
                pass
        self.streams = []

    def before_answer(self, s, head):
        if self.crowded and OTHER not in head:
            time.sleep(WAIT_S)
            self.case.say("discovery answers 503 to a call that has waited too long")
            s.sendall(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            raise ConnectionAbortedError


def main(case):
    def value(part):
        time.sleep(0.05)
        return 200, 1, "%016x" % part["shard"]

    nodes = [DataNode(case, "s-%d" % c, value) for c in range(3)]
    discovery = CrowdedDiscovery(case, [member("s-%d" % c, nodes[c].port, c) for c in range(3)])
    listen = free_ports(1)[0]
    config = write_config(case, "n1", listen, discovery.port, settings(balancers=3))
    process = Process(case, "n1", ["serve"], {"LB_CONFIG": config}).start()

    def ready():
        reply = http(listen, "GET", "/_health")
        return bool(reply) and reply[0] == 200

    if not wait_until(30, ready):
        raise NotRun("the coordinator did not become ready")
    told, over = [], threading.Event()

    def other():
        """Another coordinator: opens its watch again after the reset, and is told."""
        while not over.is_set():
            try:
                with socket.create_connection(("127.0.0.1", discovery.port)) as s:
                    s.sendall(b"GET /catalog/members?stream=1&index=1 HTTP/1.1\r\nHost: discovery\r\n" + OTHER + b"\r\n\r\n")
                    while True:
                        data = s.recv(65536)
                        if not data:
                            break
                        if b"draining" in data and not told:
                            told.append(time.monotonic())
                            case.say("another coordinator is told that s-1 drains")
            except OSError:
                case.say("another coordinator's watch has ended")
            time.sleep(0.2)

    threading.Thread(target=other, daemon=True).start()
    answered, lock = {}, threading.Lock()

    def client(number):
        count = 0
        while not over.is_set():
            count += 1
            body = json.dumps({"parts": [{"id": s, "w": 1 / SHARDS} for s in range(SHARDS)], "expr": "c41e77d0"})
            reply = http(listen, "POST", "/plaza-ranking", body,
                         [("X-Request-ID", "q%d-%d" % (number, count)), ("X-Timeout", "1000m")])
            with lock:
                answered[reply[0] if reply else "none"] = answered.get(reply[0] if reply else "none", 0) + 1
            time.sleep(0.2)

    for number in range(3):
        threading.Thread(target=client, args=(number,), daemon=True).start()
    time.sleep(4)
    if TROUBLE:
        case.say("all open watches are reset; new calls of n1 come into a crowd")
        discovery.crowded = True
        discovery.reset_watches()
    time.sleep(3)
    discovery.update([member("s-1", nodes[1].port, 1, state="draining")])
    drained = time.monotonic()
    time.sleep(CROWD_S)
    over.set()
    if not told or told[0] - drained > 1:
        raise NotRun("the other coordinator was not told in time")
    case.say("answers by status: %s" % answered)
    if not process.alive():
        return "the coordinator ended by itself"
    late = [part["at"] - drained for part in nodes[1].parts if part["at"] - drained > TOLD_S]
    if late:
        return "%d parts reached the draining data node, from %.1f to %.1f s after discovery told that it drains" % (
            len(late), min(late), max(late))
    return None


run(FOLDER, main)
