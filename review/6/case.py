"""Two planned restarts of each follower, one at a time: promised keys have to stay readable."""

import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "tools-2"))
from standins import Group, NotRun, TROUBLE, http, run, wait_until  # noqa: E402

KEYS = 20
READ_BOUND_S = 20  # an election takes 2 s by the page


def main(case):
    group = Group(case)
    leader = group.start()
    first, second = [i for i in range(3) if i != leader]
    case.say("leader n%d, followers n%d and n%d" % (leader + 1, first + 1, second + 1))
    promised, rounds = {}, [0]

    def put(times):
        """Puts at the leader, each an entry of the log."""
        while times > 0:
            rounds[0] += 1
            keys, value = ["k%02d" % n for n in range(min(KEYS, times))], "v%d" % rounds[0]
            for key, status in group.put_all(leader, keys, value).items():
                if status != 200:
                    raise NotRun("a put was not promised: %s" % status)
                promised[key] = value
            times -= len(keys)

    def put_until(index):
        put(index - group.applied(leader))

    def snapshot(i):
        reply = http(group.control[i], "POST", "/group/snapshot")
        case.say("snapshot at n%d: %s" % (i + 1, reply and reply[0]))

    def restart(i, puts):
        """A planned restart. The platform goes on once the coordinator says that it is ready, and some seconds more."""
        if TROUBLE:
            group.members[i].signal(signal.SIGTERM)
            if group.members[i].wait(15) is None:
                raise NotRun("a coordinator did not end after SIGTERM")
        put(puts)
        if TROUBLE:
            group.members[i].start()
            if not wait_until(30, lambda: group.ready(i)):
                raise NotRun("a restarted coordinator is not ready")
            wait_until(5, lambda: group.applied(i) == group.applied(leader))
            time.sleep(1)
        case.say("status of n%d: %s" % (i + 1, group.status(i)))

    put_until(300)
    snapshot(second)
    put_until(600)
    snapshot(leader)
    put_until(1010)
    restart(first, 40)
    put_until(1310)
    restart(second, 40)
    case.say("the second round of restarts")
    restart(first, 1)
    if group.leader() is None:
        case.say("the group has no leader after one restart")
    restart(second, 0)

    case.say("all restarts are over; %d keys were promised" % len(promised))
    unread = dict(promised)

    def read_all():
        for key, value in sorted(unread.items()):
            for i in range(3):
                reply = http(group.control[i], "GET", "/group/keys/" + key, timeout=1)
                if reply and reply[0] == 200 and reply[2].decode() == value:
                    del unread[key]
                    break
            else:
                return False
        return True

    read_all_in_time = wait_until(READ_BOUND_S, read_all, interval=1)
    for i in range(3):
        case.say("end: n%d running=%s %s" % (i + 1, group.members[i].alive(), group.status(i)))
        for line in group.members[i].log().split("\n"):
            if "quarantined" in line or "waits to be added" in line:
                case.say("log of n%d: %s" % (i + 1, line.replace(case.tmp, "TMP")))
    if not read_all_in_time:
        return "%d of %d promised keys cannot be read at any member" % (len(unread), len(promised))
    return None


run(FOLDER, main)
