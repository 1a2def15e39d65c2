"""Helpers of the review's cases: coordinator processes, stand-ins on loopback, and the record.

Python's standard library only. Every address is a loopback address with a free port, every file is in a temporary
folder, and every process that a case starts is ended by `Case.close`.
"""
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"
# `run.sh` turns these into the statuses of a case, so that a script that dies does not look like a broken rule.
HELD, BROKEN, COULD_NOT_RUN = 0, 11, 12
LONGEST_S = 115


class CouldNotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


def free_ports(count, kind=socket.SOCK_STREAM):
    """Ports that were free a moment ago."""
    sockets = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    for s in sockets:
        s.bind((HOST, 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def run_command():
    """The command `run` of the deploy file."""
    for line in open(os.path.join(ROOT, "deploy", "balancer.toml")):
        if line.startswith("run = "):
            return line.split('"')[1]
    raise CouldNotRun("deploy/balancer.toml has no run")


class Coordinator:
    """One process of the deploy file's `run`, with a configuration and an edge file of its own."""

    def __init__(self, case, label, config, edge=""):
        self.case, self.label = case, label
        folder = os.path.join(case.folder, label)
        os.makedirs(folder, exist_ok=True)
        self.folder = folder
        self.config_file = os.path.join(folder, "config.json")
        self.edge_file = os.path.join(folder, "edge.toml")
        self.log_file = os.path.join(folder, "log")
        self.write_config(config)
        with open(self.edge_file, "w") as f:
            f.write(edge)
        self.process = None

    def write_config(self, config):
        self.config = config
        with open(self.config_file + ".new", "w") as f:
            json.dump(config, f)
        os.rename(self.config_file + ".new", self.config_file)

    def start(self):
        env = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "RUST_LOG"))}
        env.update(LB_CONFIG=self.config_file, TMPDIR=self.folder)
        command = f"{run_command()} --edge {self.edge_file}"
        log = open(self.log_file, "ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()
        self.case.processes.append(self.process)
        self.case.record("start", process=self.label, pid=self.process.pid)

    def signal(self, number):
        self.case.record("signal", process=self.label, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def wait(self, timeout):
        try:
            status = self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            return None
        self.case.record("ended", process=self.label, status=status)
        return status

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def log(self):
        with open(self.log_file, errors="replace") as f:
            return f.read()

    def log_lines(self, *words):
        return [line.strip() for line in self.log().splitlines() if any(word in line for word in words)]


class Case:
    """The folder, the processes and the record of one run of a case."""

    def __init__(self, file):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.lock = threading.Lock()
        self.file = open(os.path.join(os.path.dirname(os.path.abspath(file)), "record.txt"), "w")
        self.record("case", trouble=int(self.trouble))

    def now(self):
        return time.monotonic() - self.started

    def record(self, event, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{self.now():8.3f} {event} {text}\n")
                self.file.flush()

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        with self.lock:
            self.file.close()


def run(file, main):
    """Runs a case and exits with its status."""
    case = Case(file)

    def stop(number, _frame):
        raise CouldNotRun(f"ended by {signal.Signals(number).name}")

    # Whatever happens, the script ends its processes, and itself within its time.
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGALRM, stop)
    signal.alarm(LONGEST_S)
    try:
        broken = main(case)
        case.record("verdict", rule="broken" if broken else "held")
        print("the rule was broken" if broken else "the rule held")
        status = BROKEN if broken else HELD
    except CouldNotRun as error:
        case.record("verdict", rule="unknown", reason=str(error).replace("\n", " "))
        print(f"the case could not run: {error}")
        status = COULD_NOT_RUN
    except Exception as error:  # A fault of the script says nothing about the rule.
        case.record("verdict", rule="unknown", reason=repr(error))
        print(f"the case could not run: {error!r}")
        status = COULD_NOT_RUN
    finally:
        signal.alarm(0)
        case.close()
    sys.exit(status)


def call(address, method, path, body=b"", headers=None, timeout=5.0):
    """One HTTP call on a connection of its own: (status, headers, body), or None if there is no answer."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def wait_until(condition, timeout, what):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise CouldNotRun(f"not within {timeout} s: {what}")


class DataNode:
    """A data node by the protocol's page: answers the parts of `D` frames after `work` seconds, each once."""

    def __init__(self, case, work):
        self.case, self.work = case, work
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, 0))
        self.listener.listen(64)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        lock, cancelled = threading.Lock(), set()

        def send(letter, payload):
            frame = letter + payload
            with lock:
                try:
                    connection.sendall(len(frame).to_bytes(4, "little") + frame)
                except OSError:
                    pass

        def answer(name):
            if name in cancelled:
                return
            value = f"{hash(name) & 0xFFFFFFFFFFFFFFFF:016x}"
            send(b"O", f"{name} 200 {len(name)} -\n{value}".encode())

        buffer = b""
        while True:
            while len(buffer) >= 4 and len(buffer) >= 4 + int.from_bytes(buffer[:4], "little"):
                length = int.from_bytes(buffer[:4], "little")
                frame, buffer = buffer[4 : 4 + length], buffer[4 + length :]
                letter, rest = frame[:1], frame[1:]
                if letter == b"I":
                    send(b"I", b"200")
                elif letter == b"U":
                    send(b"U", b"-")
                elif letter == b"K":
                    cancelled.add(rest.decode())
                elif letter == b"D":
                    while rest:
                        line, rest = rest.split(b"\n", 1)
                        name, _shard, _list, size = line.decode().split(" ")
                        rest = rest[int(size) :]
                        self.case.record("part", node=self.port, id=name)
                        threading.Timer(self.work, answer, (name,)).start()
            try:
                data = connection.recv(65536)
            except OSError:
                return
            if not data:
                return
            buffer += data


class Discovery:
    """Discovery by the protocol's page: the whole list, and watches with an empty line every 2 s."""

    def __init__(self, nodes):
        self.targets = [
            {"uid": f"s-{cell}", "endpoint": f"{HOST}:{node.port}", "az": "a", "model": "m", "pod_group": cell,
             "state": "up", "capacity_hint": 1.0, "boot_ms": 0}
            for cell, node in enumerate(nodes)
        ]
        self.listener = socket.socket()
        self.listener.bind((HOST, 0))
        self.listener.listen(64)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        body = json.dumps({"rev": 1, "all": True, "targets": self.targets})
        buffer = b""
        try:
            while True:
                while b"\r\n\r\n" in buffer:
                    head, buffer = buffer.split(b"\r\n\r\n", 1)
                    target = head.split(b" ")[1].decode()
                    if "stream=1" not in target:
                        reply = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}"
                        connection.sendall(reply.encode())
                        continue
                    connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    line = body + "\n"
                    while True:
                        connection.sendall(f"{len(line):x}\r\n{line}\r\n".encode())
                        time.sleep(2.0)
                        line = "\n"
                data = connection.recv(65536)
                if not data:
                    return
                buffer += data
        except OSError:
            pass
        finally:
            connection.close()


def config(name, listen, discovery, classes, control=None):
    """The configuration of a small deployment: 3 data nodes, 6 shards, each held by two of them.

    `classes` are pairs of a name and its deadline in seconds; each has to be whole and is safe to repeat.
    """
    value = {
        "name": name, "listen": f"{HOST}:{listen}", "discovery": f"{HOST}:{discovery}", "seed": os.urandom(8).hex(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"rev": 0, "all": True, "targets": []},
        "settings": {
            "balancers": 1,
            "classes": [
                {"name": name, "aim_ns": int(deadline * 5e8), "deadline_ns": int(deadline * 1e9),
                 "effect": "idempotent", "group": "all", "importance": 1.0, "late_worth": 0.3,
                 "repeat_window_ns": 5000000000, "streamed": False}
                for name, deadline in classes
            ],
            "client_habits": {"marks_retry": True},
            "discovery": "on_request",
            "domain": {"batch": 1, "class_floor": [1.0] * len(classes), "class_partial": [0.9] * len(classes),
                       "complete_from": [1.0] * len(classes), "in_a_row": 2, "overhead_ns": 0, "positions": 3,
                       "ranges": 6, "second_step": [0] * len(classes), "warm_keys": False},
            "domain_type": "fanout",
            "limits": {"cancel": True, "conn_idle_ns": 30000000000, "connect_timeout_ns": 250000000,
                       "max_attempts": 4, "max_open": 200, "max_retry_after_ns": 2000000000, "may_duplicate": True,
                       "multiplex": 32, "peers": False, "probes": True, "retry_after": True},
            "locality": "a",
            "rules": {"answer_slack_ns": 20000000, "cold_ns": 17000000000, "cold_share": 0.15,
                      "drain_grace_ns": 250000000, "fall_ns": 1000000000, "must_ask_in_ns": 10000000000,
                      "tip_multiple": 2.5},
            "tick_ns": 5000000, "weights": "rough", "worth_by": "request", "zones": ["a"],
        },
    }
    if control is not None:
        value["control"] = f"{HOST}:{control}"
    return value
