#!/usr/bin/env python3
"""Puts a new version in the place of an old one under a steady stream of requests, with the toy service running.

    cargo run --example toy
    python3 examples/hand_over.py target/release/curlewdeck

The platform's part is played here: it holds the listening socket, and both processes inherit it as descriptor 3.
"""
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time

LISTEN = ("127.0.0.1", 9000)
BODY = json.dumps({"parts": [{"id": 0, "w": 0.5}, {"id": 3, "w": 0.5}], "expr": "c41e77d0"})


def start(program, control):
    env = dict(os.environ, LB_LISTEN_FD="3", LB_CONTROL=control)
    return subprocess.Popen([program, "serve", "--config", "examples/config.json"], pass_fds=(3,), env=env)


def call(control, method, path):
    connection = http.client.HTTPConnection(control, timeout=1)
    connection.request(method, path)
    answer = connection.getresponse()
    return answer.status, answer.read().decode()


def until_ready(control):
    while True:
        try:
            if call(control, "GET", "/ops/readiness")[0] == 200:
                return
        except OSError:
            pass
        time.sleep(0.05)


def client(number, stop, ends):
    connection, asked = None, 0
    while not stop.is_set():
        connection = connection or http.client.HTTPConnection(*LISTEN, timeout=5)
        asked += 1
        headers = {"X-Request-ID": f"{number}-{asked}", "X-Timeout": "4000m"}
        try:
            connection.request("POST", "/tag-lookup", BODY, headers)
            answer = connection.getresponse()
            answer.read()
            ends.append(answer.status)
            if answer.will_close:
                connection = None
        except OSError as error:
            ends.append(str(error))
            connection = None
        time.sleep(0.005)


def main(program):
    listener = socket.create_server(LISTEN, backlog=1024)
    os.dup2(listener.fileno(), 3, inheritable=True)
    stop, ends = threading.Event(), []
    old = start(program, "127.0.0.1:9900")
    until_ready("127.0.0.1:9900")
    clients = [threading.Thread(target=client, args=(n, stop, ends)) for n in range(4)]
    for thread in clients:
        thread.start()
    time.sleep(1)
    new = start(program, "127.0.0.1:9901")
    until_ready("127.0.0.1:9901")
    old.send_signal(signal.SIGTERM)
    print("the old one ended with", old.wait())
    time.sleep(1)
    stop.set()
    for thread in clients:
        thread.join()
    print(call("127.0.0.1:9901", "GET", "/ops/stats")[1])
    print({end: ends.count(end) for end in set(ends)})
    new.send_signal(signal.SIGTERM)
    new.wait()


if __name__ == "__main__":
    main(sys.argv[1])
