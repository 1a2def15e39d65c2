#!/usr/bin/env python3
"""Pages through a listing of the desk front, and goes on from the last cursor after a refusal.

    desk_client.py ADDRESS SET [--limit N] [--state FILE]

Needs nothing but the standard library. Rows go to standard output, a JSON object a line. With --state the cursor is
kept in FILE after each page, so that a run that was cut off goes on where it stood: each row is printed once.
"""

import argparse
import http.client
import json
import os
import random
import sys
import time

TRIES = 8


def ask(address, set_name, query):
    """Asks once. Returns status, body and seconds to stay away (None: not said)."""
    connection = http.client.HTTPConnection(address, timeout=30)
    try:
        body = json.dumps(query)
        connection.request("POST", f"/v1/sets/{set_name}/query", body, {"Content-Type": "application/json"})
        answer = connection.getresponse()
        retry = answer.getheader("Retry-After")
        return answer.status, json.loads(answer.read()), float(retry) if retry else None
    finally:
        connection.close()


def page(address, set_name, query):
    """Asks until a page has come, as long as trying again is of use."""
    pause, why = 0.2, ""
    for _ in range(TRIES):
        try:
            status, body, retry = ask(address, set_name, query)
        except (OSError, http.client.HTTPException, ValueError) as e:
            status, body, retry = 0, {"detail": str(e)}, None
        if status == 200:
            return body
        why = f"{status}: {body.get('detail', '')}"
        if 400 <= status < 500:
            break
        # Never earlier than the service said; a little later, so that not all clients come back at once.
        pause = retry if retry is not None else pause * 2
        print(f"desk_client: {why}; again in {pause:.1f} s", file=sys.stderr)
        time.sleep(pause * random.uniform(1.0, 1.3))
    sys.exit(f"desk_client: {why}")


def keep(path, cursor):
    """Writes the state whole or not at all."""
    with open(path + ".new", "w", encoding="utf-8") as file:
        file.write(cursor)
        file.flush()
        os.fsync(file.fileno())
    os.replace(path + ".new", path)


def main():
    words = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    words.add_argument("address")
    words.add_argument("set")
    words.add_argument("--limit", type=int, default=10)
    words.add_argument("--state")
    words.add_argument("--timeout-ms", type=int, default=5000)
    words = words.parse_args()
    query = {"op": "list", "limit": words.limit, "timeoutMs": words.timeout_ms}
    if words.state and os.path.exists(words.state):
        with open(words.state, encoding="utf-8") as file:
            query["cursor"] = file.read()
    pages = rows = 0
    while True:
        answer = page(words.address, words.set, query)
        for row in answer["rows"]:
            print(json.dumps(row, ensure_ascii=False))
        sys.stdout.flush()
        pages, rows = pages + 1, rows + len(answer["rows"])
        if not answer["whole"]:
            waiting = ", ".join(f"range {m['range']} {m['reason']}" for m in answer["missing"])
            print(f"desk_client: {answer['coverage']} of the data; {waiting}", file=sys.stderr)
        if "next" not in answer:
            break
        query["cursor"] = answer["next"]
        if words.state:
            keep(words.state, answer["next"])
        if not answer["rows"]:
            time.sleep(1)  # Only missing ranges owe rows.
    if words.state and os.path.exists(words.state):
        os.remove(words.state)
    print(f"desk_client: {rows} rows on {pages} pages", file=sys.stderr)


if __name__ == "__main__":
    main()
