"""Stand-ins for the cases 6 to 10: discovery, data nodes, a proxy, processes. Loopback only, standard library only."""

import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "curlewdeck")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 11, 2  # run.sh turns 11 into 1, so that a fault of Python itself is not taken for a broken rule
LIMIT_S = 115  # a case that takes longer ends as one that could not run


class NotRun(Exception):
    """The case could not run; says nothing about the rule."""


class Case:
    """A running case: its record, its temporary folder and the processes that it has started."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.tmp = tempfile.mkdtemp(prefix="case-")
        self.processes = []
        self.say("trouble" if TROUBLE else "no trouble (TROUBLE=0)")

    def say(self, text):
        with self.lock:
            if self.file.closed:
                return
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.began, text))
            self.file.flush()

    def end(self):
        for process in self.processes:
            process.kill()
        shutil.rmtree(self.tmp, ignore_errors=True)
        with self.lock:
            self.file.close()


def run(folder, case_main):
    """Runs a case and exits with its verdict."""
    if not os.path.exists(PROGRAM):
        print("the program is not built", file=sys.stderr)
        sys.exit(NOT_RUN)
    case = Case(folder)

    def finish(verdict, text):
        case.say("verdict: " + text)
        print(text, flush=True)
        case.end()
        os._exit(verdict)

    watchdog = threading.Timer(LIMIT_S, finish, (NOT_RUN, "could not run: out of time"))
    watchdog.daemon = True
    watchdog.start()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: finish(NOT_RUN, "could not run: told to end"))
    try:
        broken = case_main(case)
    except Exception as e:  # NotRun, or a fault of the case itself
        finish(NOT_RUN, "could not run: %s" % (e if isinstance(e, NotRun) else repr(e)))
    finish(BROKEN if broken else HELD, "broken: " + broken if broken else "held")


def free_ports(count):
    """Ports that were free a moment ago, all different; below the range that the system gives to connections."""
    held, ports = [], []
    candidate = 10000 + (os.getpid() * 37 + time.time_ns() // 1000) % 20000
    while len(ports) < count:
        candidate = 10000 + (candidate - 10000 + 1) % 20000
        probe = socket.socket()
        try:
            probe.bind(("127.0.0.1", candidate))
        except OSError:
            probe.close()
            continue
        held.append(probe)
        ports.append(candidate)
    for probe in held:
        probe.close()
    return ports


class Process:
    """A process of the project, started as the deploy file starts it."""

    def __init__(self, case, name, args, env=None, pass_fds=()):
        self.case, self.name, self.args = case, name, args
        self.env = dict(os.environ, **(env or {}))
        self.env.setdefault("RUST_LOG", "info,may=warn,may::io::event_loop=off")
        self.pass_fds = pass_fds
        self.child = None
        case.processes.append(self)

    def start(self):
        self.log_path = os.path.join(self.case.tmp, self.name + ".log")
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                [PROGRAM] + self.args, cwd=self.case.tmp, env=self.env, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, pass_fds=self.pass_fds)
        self.case.say("start %s pid=%d" % (self.name, self.child.pid))
        return self

    def alive(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        self.case.say("signal %s %s" % (signal.Signals(number).name, self.name))
        if self.alive():
            self.child.send_signal(number)

    def wait(self, seconds):
        try:
            return self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def kill(self):
        if self.alive():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as f:
            return f.read()


def wait_until(seconds, check, interval=0.05):
    """Waits until the check is true; returns its last value."""
    end = time.monotonic() + seconds
    while True:
        value = check()
        if value or time.monotonic() >= end:
            return value
        time.sleep(interval)


def http(port, method, path, body=b"", headers=(), timeout=5.0):
    """One call on a connection of its own. Returns (status, headers, body), or None if there was no whole answer."""
    if isinstance(body, str):
        body = body.encode()
    head = "%s %s HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\nContent-Length: %d\r\n" % (
        method, path, len(body))
    head += "".join("%s: %s\r\n" % pair for pair in headers) + "\r\n"
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=timeout) as s:
            s.settimeout(timeout)
            s.sendall(head.encode() + body)
            return read_response(s)
    except OSError:
        return None


def read_response(s):
    data = b""
    while b"\r\n\r\n" not in data:
        got = s.recv(65536)
        if not got:
            return None
        data += got
    head, rest = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            while b"\r\n" not in rest:
                got = s.recv(65536)
                if not got:
                    return None
                rest += got
            size_text, rest = rest.split(b"\r\n", 1)
            size = int(size_text.split(b";")[0], 16)
            while len(rest) < size + 2:
                got = s.recv(65536)
                if not got:
                    return None
                rest += got
            body += rest[:size]
            rest = rest[size + 2:]
            if size == 0:
                return status, headers, body
    if "content-length" in headers:
        length = int(headers["content-length"])
        while len(rest) < length:
            got = s.recv(65536)
            if not got:
                return None
            rest += got
        return status, headers, rest[:length]
    while True:
        got = s.recv(65536)
        if not got:
            return status, headers, rest
        rest += got


def serve(target, host="127.0.0.1", port=0):
    """Accepts connections, each served in a thread of its own. Returns the listening socket."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(512)

    def accept():
        while True:
            try:
                s, _ = listener.accept()
            except OSError:
                return
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=guarded, args=(target, s), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return listener


def guarded(target, s):
    try:
        target(s)
    except OSError:
        pass
    finally:
        try:
            s.close()
        except OSError:
            pass


class Discovery:
    """Discovery as the protocol's page has it: the whole list, and watches with a heartbeat every 2 s."""

    def __init__(self, case, members):
        self.case = case
        self.cond = threading.Condition()
        self.rev = 1
        self.members = {m["uid"]: m for m in members}
        self.changes = []  # (rev, [entries])
        self.listener = serve(self.connection)
        self.port = self.listener.getsockname()[1]

    def update(self, entries):
        """Changes entries; those that are removed leave the list."""
        with self.cond:
            self.rev += 1
            for entry in entries:
                if entry["state"] == "removed":
                    self.members.pop(entry["uid"], None)
                else:
                    self.members[entry["uid"]] = entry
            self.changes.append((self.rev, entries))
            self.cond.notify_all()
            self.case.say("discovery rev=%d %s" % (self.rev, json.dumps(entries)))

    def whole(self):
        return {"rev": self.rev, "all": True, "targets": list(self.members.values())}

    def before_answer(self, s, head):
        """Called with the head of each call before it is answered."""

    def connection(self, s):
        data = b""
        while True:
            while b"\r\n\r\n" not in data:
                got = s.recv(65536)
                if not got:
                    return
                data += got
            head, data = data.split(b"\r\n\r\n", 1)
            target = head.split(b" ")[1].decode()
            self.before_answer(s, head)
            if "stream=1" in target:
                self.watch(s, target)
                return
            with self.cond:
                body = json.dumps(self.whole()).encode()
            s.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
                      + body)

    def watch(self, s, target):
        index = 0
        for pair in target.partition("?")[2].split("&"):
            if pair.startswith("index="):
                index = int(pair[6:] or 0)
        s.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

        def line(text):
            data = text.encode() + b"\n"
            s.sendall(b"%x\r\n%s\r\n" % (len(data), data))

        with self.cond:
            first, at = json.dumps(self.whole()), self.rev
        line(first)
        while True:
            with self.cond:
                self.cond.wait_for(lambda: self.rev > at, timeout=2.0)
                fresh = [c for c in self.changes if c[0] > at]
            if not fresh:
                line("")
            for rev, entries in fresh:
                line(json.dumps({"rev": rev, "all": False, "targets": entries}))
                at = rev


def member(uid, port, cell, state="up", boot_ms=0, zone="a"):
    return {"uid": uid, "endpoint": "127.0.0.1:%d" % port, "az": zone, "model": "small-2c", "pod_group": cell,
            "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}


class DataNode:
    """A data node that speaks frames. `reply(part)` gives (end, score, value), or None for no answer."""

    def __init__(self, case, name, reply, on_call=None):
        self.case, self.name, self.reply, self.on_call = case, name, reply, on_call
        self.listener = serve(self.connection)
        self.port = self.listener.getsockname()[1]
        self.parts = []  # (time, id, shard, params, text)
        self.given_up = []
        self.lock = threading.Lock()
        self.sockets = set()

    def connection(self, s):
        with self.lock:
            self.sockets.add(s)
        write = threading.Lock()
        try:
            buffer = b""
            while True:
                while len(buffer) < 4 or len(buffer) < 4 + struct.unpack("<I", buffer[:4])[0]:
                    got = s.recv(65536)
                    if not got:
                        return
                    buffer += got
                size = struct.unpack("<I", buffer[:4])[0]
                frame, buffer = buffer[4:4 + size], buffer[4 + size:]
                self.frame(s, write, frame)
        finally:
            with self.lock:
                self.sockets.discard(s)

    def send(self, s, write, letter, rest):
        with write:
            s.sendall(struct.pack("<I", 1 + len(rest)) + letter + rest)

    def frame(self, s, write, frame):
        letter, rest = frame[:1], frame[1:]
        if letter == b"D":
            while rest:
                line, _, rest = rest.partition(b"\n")
                part_id, shard, params, length = line.decode().split(" ")
                text, rest = rest[:int(length)], rest[int(length):]
                part = {"id": part_id, "shard": int(shard), "params": params, "text": text, "at": time.monotonic()}
                with self.lock:
                    self.parts.append(part)
                self.case.say("%s part %s shard=%s %s" % (self.name, part_id, shard, params))
                threading.Thread(target=self.answer, args=(s, write, part), daemon=True).start()
        elif letter == b"K":
            with self.lock:
                self.given_up.append((time.monotonic(), rest.decode()))
            self.case.say("%s given up %s" % (self.name, rest.decode()))
        elif letter == b"I":
            self.send(s, write, b"I", b"200")
        elif letter == b"U":
            self.send(s, write, b"U", b"-")

    def answer(self, s, write, part):
        replied = self.reply(part)
        if replied is None:
            return
        end, score, value = replied
        if isinstance(value, str):
            value = value.encode()
        try:
            self.send(s, write, b"O", ("%s %d %d -\n" % (part["id"], end, score)).encode() + value)
        except OSError:
            pass


def settings(**changes):
    """Settings of a small deployment, as in examples/config.json."""
    with open(os.path.join(ROOT, "examples", "config.json"), encoding="utf-8") as f:
        found = json.load(f)["settings"]
    found.update(changes)
    return found


def write_config(case, name, listen, discovery, found_settings, **more):
    config = {"name": name, "listen": "127.0.0.1:%d" % listen, "discovery": "127.0.0.1:%d" % discovery,
              "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
              "known": {"rev": 0, "all": True, "targets": []}, "settings": found_settings}
    config.update(more)
    path = os.path.join(case.tmp, name + ".json")
    with open(path + ".new", "w", encoding="utf-8") as f:
        json.dump(config, f)
    os.rename(path + ".new", path)
    return path


class Group:
    """A group of coordinators, founded and started as docs/replication.md says, each with a data node in its list."""

    def __init__(self, case, size=3, tick_ms=100, copied=False):
        self.case, self.size, self.tick_ms, self.copied = case, size, tick_ms, copied
        self.node = DataNode(case, "node", lambda part: (200, 1, "%016x" % part["shard"]))
        self.discovery = Discovery(case, [member("s-%d" % c, self.node.port, c) for c in range(3)])
        ports = free_ports(3 * size)
        self.listen, self.control, self.client = ports[:size], ports[size:2 * size], ports[2 * size:]
        self.members = []
        for i in range(size):
            edge = self.write_edge(i, dict(enumerate(self.listen)))
            config = write_config(case, "n%d" % (i + 1), self.client[i], self.discovery.port, settings())
            found = subprocess.run([PROGRAM, "group", "found", "--edge", edge, "--id", str(i + 1)],
                                   capture_output=True, text=True, check=False)
            if found.returncode:
                raise NotRun("group found: " + found.stderr)
            self.members.append(Process(case, "n%d" % (i + 1), ["serve", "--edge", edge], {"LB_CONFIG": config}))

    def write_edge(self, i, addresses):
        """Writes the edge file of a member; `addresses` are those in its file, by place."""
        path = os.path.join(self.case.tmp, "edge%d.toml" % (i + 1))
        with open(path, "w", encoding="utf-8") as f:
            if self.copied:
                state = os.path.join(self.case.tmp, "state%d" % (i + 1))
                os.makedirs(state, exist_ok=True)
                f.write('[state]\nfolder = "%s"\nevery_s = 2\ncopied = true\n' % state)
            f.write('[group]\nfolder = "%s"\nlisten = "127.0.0.1:%d"\ncontrol = "127.0.0.1:%d"\ntick_ms = %d\n' % (
                os.path.join(self.case.tmp, "group%d" % (i + 1)), addresses[i], self.control[i], self.tick_ms))
            f.write("[group.members]\n")
            for n, port in sorted(addresses.items()):
                f.write('%d = "127.0.0.1:%d"\n' % (n + 1, port))
        return path

    def put_all(self, i, keys, value):
        """Puts at a member, eight at a time. Returns the status of each; None where there was no answer."""
        statuses, queue, lock = {}, list(keys), threading.Lock()

        def work():
            while True:
                with lock:
                    if not queue:
                        return
                    key = queue.pop(0)
                reply = http(self.control[i], "PUT", "/group/keys/" + key, value)
                with lock:
                    statuses[key] = reply and reply[0]

        workers = [threading.Thread(target=work) for _ in range(8)]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()
        return statuses

    def status(self, i):
        reply = http(self.control[i], "GET", "/group/status", timeout=2)
        if not reply or reply[0] != 200:
            return {}
        return dict(line.split("=", 1) for line in reply[2].decode().split("\n") if "=" in line)

    def applied(self, i):
        return int(self.status(i).get("applied", "0"))

    def leader(self):
        for i in range(self.size):
            if self.members[i].alive() and self.status(i).get("role") == "leader":
                return i
        return None

    def start(self):
        for process in self.members:
            process.start()
        if wait_until(30, lambda: self.leader() is not None) is not True:
            raise NotRun("the group found no leader")
        for i in range(self.size):
            if not wait_until(30, lambda i=i: self.ready(i)):
                raise NotRun("a coordinator did not become ready")
        leader = self.leader()
        if leader is None:
            raise NotRun("the leader changed at the start")
        return leader

    def ready(self, i):
        reply = http(self.client[i], "GET", "/_health", timeout=2)
        return bool(reply) and reply[0] == 200
