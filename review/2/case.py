"""Servers send a second copy of some answers right behind them. See claim.txt."""

import asyncio
import itertools
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import standins as s

# With up to four commands each, 200 statements a second.
BATCHES_PER_SECOND = 80
MOST_COMMANDS = 4
RUN_S = 60
# Of the answers that come while nothing else waits on the connection; join+brink has "many".
COPIED_SHARE = 0.1
# Class, deadline and work of the brief, and its share of the statements.
CLASSES = {
    "balance-view": (2500, (0.099, 0.17), 0.49),
    "own-read": (1200, (0.039, 0.068), 0.40),
    "fare-post": (2000, (0.099, 0.17), 0.11),
}

SETTINGS = {
    "Balancers": 1, "Me": 0, "Zone": 0, "Zones": ["kacyiru", "remera"], "Discovery": "on_request",
    "Bounds": {"Cancel": True, "ConnectTimeout": 250000, "IdleClose": 15000000, "MaxAttempts": 8,
               "MaxOpen": 20000, "MaxRetryAfter": 1000000, "MayDuplicate": True, "MayProbe": True,
               "RetryAfter": True, "StreamsPerConn": 1},
    "Classes": [
        {"Name": "balance-view", "Repeat": "idempotent", "Slo": 600000, "HardLimit": 2500000,
         "Worth": 1.0, "LateWorth": 0.0},
        {"Name": "own-read", "Repeat": "idempotent", "Slo": 300000, "HardLimit": 1200000,
         "Worth": 2.0, "LateWorth": 0.0},
        {"Name": "fare-post", "Repeat": "at_most_once", "Slo": 1000000, "HardLimit": 2000000,
         "Worth": 4.0, "LateWorth": 0.5}],
    "Costs": {"Probe": 0.01, "CrossZone": 0.02},
    "Reporting": {"How": "probe", "Fields": ["x0", "x1", "utilization"]},
    "FamilyInfo": {"Checks": "wait", "ClassRead": ["bounded", "session", "write"],
                   "LagAllowed": [200000, 0, 0], "ProgressTold": True, "SessionMarks": "carried",
                   "CatchUpWait": 20000},
    "Rules": {"AnswerSlack": 20000, "Cold": 17000000, "ColdFrom": 0.16, "FallMultiple": 4.0,
              "Fall": 1000000, "DrainGrace": 250000, "MustAskIn": 10000000},
}


class World:
    def __init__(self, record):
        self.record = record
        self.copies = 0

    async def serve(self, node, text):
        statement = s.ID.search(text).group(1)
        name = next(name for name in CLASSES if f"c={name}," in text)
        if name == "fare-post" and not node.primary:
            return s.error("25006", "this is no primary") + node.state() + s.READY
        await asyncio.sleep(random.uniform(*CLASSES[name][1]))
        answer = s.row(statement) + node.state() + s.READY
        # A router sends one request at a time on a connection, so nothing else waits on it now.
        if s.trouble() and random.random() < COPIED_SHARE:
            self.copies += 1
            self.record.line(node.name, f"answers {statement}, with a second copy right behind")
            return [answer, answer]
        self.record.line(node.name, f"answers {statement}")
        return answer


def command(statement, name):
    what = (
        f"INSERT INTO items (id, doc) VALUES ('{statement}', '\\x9f03') RETURNING doc"
        if name == "fare-post"
        else f"SELECT doc FROM items WHERE id = '{statement}'"
    )
    return s.query(f"/* id={statement},c={name},d={CLASSES[name][0]},cluster=0 */ {what}")


async def ask(record, port, idle, answers, numbers):
    """A client sends one to four commands at once and reads their answers."""
    client = idle.pop() if idle else await s.Client(port).open()
    asked = []
    for _ in range(random.randint(1, MOST_COMMANDS)):
        name = random.choices(list(CLASSES), [share for _, _, share in CLASSES.values()])[0]
        asked.append((f"{next(numbers):016x}", name))
    client.writer.write(b"".join(command(*one) for one in asked))
    for statement, name in asked:
        record.line("client", f"asks {statement} {name}")
        answers[statement] = (name, s.Answer("none", "was not read"))
    for statement, name in asked:
        answer = await client.answer()
        answers[statement] = (name, answer)
        record.line("client", f"got for {statement}: {answer}")
        if answer.kind == "none":
            client.close()
            return
    idle.append(client)


async def case(record):
    world = World(record)
    nodes = [s.Node(f"db-{place + 1}", world) for place in range(4)]
    discovery = s.Discovery(record)
    for place, node in enumerate(nodes):
        await node.listen()
        discovery.put(node, SETTINGS["Zones"][place % 2], 0)
    nodes[0].primary = True
    await discovery.listen()
    router = s.Router(record, discovery, SETTINGS)
    idle, answers, asked, numbers = [], {}, [], itertools.count(1)
    try:
        await router.start()
        await router.ready()
        await asyncio.sleep(0.5)
        end = time.monotonic() + RUN_S
        while time.monotonic() < end:
            asked.append(
                asyncio.create_task(ask(record, router.port, idle, answers, numbers))
            )
            await asyncio.sleep(random.expovariate(BATCHES_PER_SECOND))
        await asyncio.wait(asked, timeout=10)
    finally:
        await router.end()
    served = sum(1 for _, answer in answers.values() if answer.kind == "served")
    record.line("sum", f"asked {len(answers)}, served {served}, second copies {world.copies}")
    if served < len(answers) / 2:
        raise s.CouldNotRun(f"only {served} of {len(answers)} were served")
    return [
        f"{statement} ({name}) was served with the value made for {answer.detail}"
        for statement, (name, answer) in sorted(answers.items())
        if answer.kind == "served" and answer.detail != statement
    ]


s.main(os.path.dirname(os.path.abspath(__file__)), case)
