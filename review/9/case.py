"""A fleet takes a version by which a bounded read becomes a session read; reads go on meanwhile."""

import json
import os
import subprocess
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import standin as s  # noqa: E402

NAMES = ["n1", "n2", "n3"]
LEASE_MS = 400  # the default, with 1000 ms for stated_ms
BOUND = 0.5  # seconds; the rule on sockets is 50 ms longer
SLACK = 0.05
SHIP = 0.010
SLOW_GROWTH = 0.75  # applying takes ten times as long at a use of 0.4: 1 s of log takes 4 s


class Group:
    """One primary that never changes and its replicas, which answer from what they have."""

    def __init__(self):
        self.slow_since = None
        self.stale = []
        self.lock = threading.Lock()

    def lag(self, now):
        return SHIP + (0 if self.slow_since is None else SLOW_GROWTH * (now - self.slow_since))

    def position(self, member, now):
        return now if member.name == "db-1" else now - self.lag(now)

    def gauges(self, member):
        now = time.time()
        return "x0=%.6f,x1=%d,util=0.2" % (self.position(member, now), member.name == "db-1")

    def answer(self, member, text, fields):
        now = time.time()
        behind = now - self.position(member, now)
        time.sleep(0.003)
        if behind > BOUND + SLACK:
            member.record.line("%s answers %s, %.2f s behind" % (member.name, fields["id"], behind))
            with self.lock:
                self.stale.append((now, fields["id"], behind))
        role = "master" if member.name == "db-1" else "replica"
        return s.row(("%.3f" % (now - behind)).encode()) + s.parameter("part", role)


def settings(read):
    return {
        "Balancers": len(NAMES), "Me": 0, "Zone": 0, "Zones": ["east"], "Discovery": "on_request",
        "Bounds": {
            "Cancel": True, "ConnectTimeout": 250000, "IdleClose": 15000000, "MaxAttempts": 10,
            "MaxOpen": 5000, "MaxRetryAfter": 500000, "MayDuplicate": True, "MayProbe": True,
            "RetryAfter": True, "StreamsPerConn": 1},
        "Classes": [
            {"Name": "report-list", "Repeat": "idempotent", "Slo": 400000, "HardLimit": 1000000,
             "Worth": 3.0},
            {"Name": "submit-write", "Repeat": "deduplicated", "Group": "cell", "Window": 3000000,
             "Slo": 300000, "HardLimit": 5000000, "Worth": 3.0, "LateWorth": 0.3}],
        "Costs": {"Probe": 0.0, "CrossZone": 0.0},
        "Reporting": {"How": "probe", "Fields": ["x0", "x1", "utilization"]},
        "FamilyInfo": {
            "Checks": "none", "ClassRead": [read, "write"], "LagAllowed": [500000, 0],
            "ProgressTold": False, "SessionMarks": "remembered"},
        "Rules": {
            "AnswerSlack": 20000, "Cold": 18000000, "ColdFrom": 0.2, "FallMultiple": 2.5,
            "Fall": 1500000, "DrainGrace": 2000000, "MustAskIn": 10000000},
    }


def time_of(line):
    """The time of a line of a router's log, which is local time to the millisecond."""
    whole, fraction = line[:23].split(".")
    return time.mktime(time.strptime(whole, "%Y-%m-%dT%H:%M:%S")) + float("0." + fraction)


def play(record, folder, routers):
    group = Group()
    members = [s.Member("db-%d" % n, record, group.answer, group.gauges) for n in (1, 2, 3)]
    discovery = s.Discovery([s.entry(member) for member in members])
    clients = dict(zip(NAMES, s.free_ports(len(NAMES))))
    peers = dict(zip(NAMES, s.free_ports(len(NAMES))))
    voters = dict(zip(NAMES, s.free_ports(len(NAMES), offsets=(0, 1000))))

    def places(ports):
        return ",".join("%s@%s:%d" % (name, s.HOST, port) for name, port in ports.items())

    for name in NAMES:
        operator = (
            "[fleet]\nname = reports\npeers = %s\nvoters = %s\nfolder = %s\nlease_ms = %d\n"
            "stated_ms = %d\n"
            % (places(peers), places(voters), os.path.join(folder, "vote-" + name), LEASE_MS,
               1000))
        routers.append(s.Router(
            name, folder, clients[name], discovery.port, settings("bounded"), operator))
    for router in routers:
        router.start()
    for router in routers:
        router.await_ready(45)
    record.line("three routers are ready, all of them vote; report-list is bounded by 500 ms")
    stopped = threading.Event()
    served = {}

    def read(router):
        number = 0
        client = s.Client(router.port)
        while not stopped.is_set():
            number += 1
            identity = "%s-%05d" % (router.name, number)
            result = client.ask(
                "/* id=%s,c=report-list,d=900,cluster=0 */ SELECT doc FROM items WHERE id = 'a'"
                % identity)
            if result[0] == "row":
                served[identity] = result[1]
            elif result[0] == "closed":
                client = s.Client(router.port)
            time.sleep(0.01)

    for router in routers:
        threading.Thread(target=read, args=(router,), daemon=True).start()
    end = time.time() + 20
    while len(served) < 50:
        if time.time() > end:
            raise s.CannotRun("no reads are served")
        time.sleep(0.1)
    end = time.time() + 25
    while not all(is_leased(router) for router in routers):
        if time.time() > end:
            raise s.CannotRun("not all routers have leases")
        time.sleep(0.1)
    time.sleep(2)
    group.slow_since = time.time()
    record.line("db-2 and db-3 apply the log more slowly from now on")
    time.sleep(3)
    before = len(group.stale)
    proposed_at = time.time()
    in_force_at = None
    if s.TROUBLE:
        file = os.path.join(folder, "session.json")
        with open(file, "w", encoding="utf-8") as out:
            json.dump(settings("session"), out)
        done = subprocess.run(
            ["java", "-jar", os.path.join(s.ROOT, "target", "basaltlever.jar"), "settings",
             "propose", file, "--why", "reports of a session", "--operator", routers[0].operator],
            cwd=s.ROOT, capture_output=True, text=True, timeout=40, check=False)
        text = (done.stdout + done.stderr).strip().replace("\n", " | ")
        record.line("settings propose: exit %d, %s" % (done.returncode, text))
        if done.returncode != 0:
            raise s.CannotRun("the version was not taken")
    else:
        time.sleep(4)
    stopped.set()
    time.sleep(1)
    for router in routers:
        for line in router.log_text().splitlines():
            if any(word in line for word in ("fleet_keeps", "fleet_leader", "BRING_INTO_FORCE")):
                record.line("log of %s: %s" % (router.name, line))
            if "BRING_INTO_FORCE" in line and time_of(line) > proposed_at:
                in_force_at = min(in_force_at or time_of(line), time_of(line))
    if s.TROUBLE and in_force_at is None:
        raise s.CannotRun("no log tells when the version came into force")
    # Until the leader asks its voters to bring the version into force, the bounded one holds.
    until = in_force_at or time.time()
    wrong = [one for one in group.stale if one[0] < until - 0.01 and one[1] in served]
    record.line("%d reads served; stale while the bounded version was in force: %d, of which %d "
                "before the proposal" % (len(served), len(wrong), before))
    if in_force_at:
        record.line("proposed at %.3f, not in force before %.3f"
                    % (proposed_at - record.start, in_force_at - record.start))
    return len(wrong) > 0


def is_leased(router):
    lines = [line for line in router.log_text().splitlines() if "fleet_keeps" in line]
    return bool(lines) and "careful=false" in lines[-1] and "prepared=none" in lines[-1]


if __name__ == "__main__":
    s.run_case(HERE, play)
