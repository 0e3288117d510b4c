"""A read that must never run twice, while its group changes its primary. See claim.txt."""

import asyncio
import itertools
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import standins as s

READS_PER_SECOND = 20
RUN_S = 40
FIRST_CHANGE_S = 4
CHANGE_EVERY_S = 4
# The brief: one that drains or is switched hands over within 0.31 to 0.76 s.
HAND_OVER_S = 0.5
# The brief: the work of a statement of this workload is 51 to 88 ms in the mean.
WORK_S = (0.051, 0.088)
DEADLINE_MS = 1200

SETTINGS = {
    "Balancers": 1, "Me": 0, "Zone": 0, "Zones": ["karachi-dc"], "Discovery": "on_request",
    "Bounds": {"Cancel": True, "ConnectTimeout": 250000, "IdleClose": 15000000, "MaxAttempts": 10,
               "MaxOpen": 5000, "MaxRetryAfter": 500000, "MayDuplicate": True, "MayProbe": True,
               "RetryAfter": True, "StreamsPerConn": 1},
    "Classes": [
        {"Name": "report-list", "Repeat": "idempotent", "Slo": 400000, "HardLimit": 1000000,
         "Worth": 3.0, "LateWorth": 0.0},
        {"Name": "credit-balance", "Repeat": "at_most_once", "Slo": 300000, "HardLimit": 1200000,
         "Worth": 1.0, "LateWorth": 0.2},
        {"Name": "submit-write", "Repeat": "deduplicated", "Group": "cell", "Window": 3000000,
         "Slo": 300000, "HardLimit": 5000000, "Worth": 3.0, "LateWorth": 0.3}],
    "Costs": {"Probe": 0.011, "CrossZone": 0.0},
    "Reporting": {"How": "probe", "Fields": ["x0", "x1", "utilization"]},
    "FamilyInfo": {"Checks": "none", "ClassRead": ["bounded", "fresh", "write"],
                   "LagAllowed": [500000, 0, 0], "ProgressTold": False,
                   "SessionMarks": "remembered"},
    "Rules": {"AnswerSlack": 20000, "Cold": 18000000, "ColdFrom": 0.2, "FallMultiple": 2.5,
              "Fall": 1500000, "DrainGrace": 2000000, "MustAskIn": 10000000},
}


class World:
    """A group of three servers. A read runs where it is sent, as the group does not check reads."""

    def __init__(self, record):
        self.record = record
        self.runs = {}

    async def serve(self, node, text):
        statement = s.ID.search(text).group(1)
        if text.split("*/", 1)[1].lstrip().startswith("INSERT") and not node.primary:
            return s.error("25006", "this is no primary") + node.state() + s.READY
        await asyncio.sleep(random.uniform(*WORK_S))
        self.runs.setdefault(statement, []).append(node.name)
        role = "primary" if node.primary else "replica"
        self.record.line(node.name, f"ran {statement} as {role}, answers its row")
        return s.row(f"{statement} at {node.name}") + node.state() + s.READY


async def change_primary(record, nodes):
    """A planned change every few seconds: for half a second the group has no primary."""
    await asyncio.sleep(FIRST_CHANGE_S)
    for place in itertools.count(1):
        old = next(node for node in nodes if node.primary)
        new = nodes[place % len(nodes)]
        old.primary = False
        record.line("group", f"{old.name} has handed over and is a replica now")
        await asyncio.sleep(HAND_OVER_S)
        new.primary = True
        record.line("group", f"{new.name} is the primary now")
        await asyncio.sleep(CHANGE_EVERY_S - HAND_OVER_S)


async def read(record, port, idle, answers, number):
    client = idle.pop() if idle else await s.Client(port).open()
    statement = f"{number:016x}"
    record.line("client", f"asks {statement}")
    answers[statement] = await client.ask(
        f"/* id={statement},c=credit-balance,d={DEADLINE_MS},cluster=0 */ "
        f"SELECT doc FROM items WHERE id = '{statement}'"
    )
    record.line("client", f"got for {statement}: {answers[statement]}")
    idle.append(client)


async def case(record):
    world = World(record)
    nodes = [s.Node(name, world) for name in ("db-1", "db-2", "db-3")]
    for node in nodes:
        node.tells_position = False
    discovery = s.Discovery(record)
    for node in nodes:
        await node.listen()
        discovery.put(node, "karachi-dc", 0)
    nodes[0].primary = True
    await discovery.listen()
    router = s.Router(record, discovery, SETTINGS)
    try:
        await router.start()
        await router.ready()
        changes = asyncio.create_task(change_primary(record, nodes)) if s.trouble() else None
        idle, answers, asked = [], {}, []
        end = time.monotonic() + RUN_S
        while time.monotonic() < end:
            asked.append(
                asyncio.create_task(read(record, router.port, idle, answers, len(asked) + 1))
            )
            await asyncio.sleep(1 / READS_PER_SECOND)
        await asyncio.gather(*asked)
        if changes is not None:
            changes.cancel()
    finally:
        await router.end()
    served = sum(1 for answer in answers.values() if answer.kind == "served")
    record.line("sum", f"asked {len(asked)}, served {served}, ran {len(world.runs)}")
    if served < len(asked) / 2:
        raise s.CouldNotRun(f"only {served} of {len(asked)} were served")
    broken = []
    for statement, ran in sorted(world.runs.items()):
        answer = answers.get(statement)
        if len(ran) > 1:
            broken.append(f"{statement} must never run twice and ran {len(ran)} times: {ran}")
        elif answer is not None and answer.kind == "refused":
            broken.append(f"{statement} ran at {ran} and was answered {answer}")
    return broken


s.main(os.path.dirname(os.path.abspath(__file__)), case)
