"""A client sends many commands at once. See claim.txt."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import standins as s

COMMANDS = 12
ROUNDS = 5
# The protocol: values of at most 64 KiB, written in hexadecimal.
VALUE_BYTES = 64 * 1024
# The brief: the work of a statement of this workload is 99 to 170 ms in the mean.
WORK_S = (0.099, 0.17)
DEADLINE_MS = 2000

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
        self.runs = {}

    async def serve(self, node, text):
        statement = s.ID.search(text).group(1)
        if not node.primary:
            return s.error("25006", "this is no primary") + node.state() + s.READY
        await asyncio.sleep(random.uniform(*WORK_S))
        self.runs[statement] = node.name
        self.record.line(node.name, f"ran {statement}")
        return s.row(statement) + node.state() + s.READY


def fare_post(statement):
    value = "\\x" + os.urandom(VALUE_BYTES).hex()
    return (
        f"/* id={statement},c=fare-post,d={DEADLINE_MS},cluster=0 */ "
        f"INSERT INTO items (id, doc) VALUES ('{statement}', '{value}') RETURNING doc"
    )


async def post(record, port, number):
    """One client posts its fares: all at once, or without the trouble each after the answer.

    Returns the answers, and when the last byte of the last command had been written.
    """
    client = await s.Client(port).open()
    # With these limits drain() returns once the system has taken every byte.
    client.writer.transport.set_write_buffer_limits(high=0)
    statements = [f"{number * 100 + place:016x}" for place in range(COMMANDS)]
    answers = {}
    written = asyncio.get_running_loop().create_future()

    async def write():
        client.writer.write(b"".join(s.query(fare_post(statement)) for statement in statements))
        for statement in statements:
            record.line("client", f"sends {statement}")
        try:
            await client.writer.drain()
            record.line("client", "has written the last byte of the last command")
            written.set_result(time.monotonic())
        except ConnectionError:
            written.set_result(None)

    writing = asyncio.create_task(write()) if s.trouble() else None
    for statement in statements:
        if s.trouble():
            answer = await asyncio.wait_for(client.answer(), 10)
        else:
            record.line("client", f"sends {statement}")
            answer = await asyncio.wait_for(client.ask(fare_post(statement)), 10)
        answers[statement] = (answer, time.monotonic())
        record.line("client", f"got for {statement}: {answer}")
    if writing is not None:
        await writing
    client.close()
    return answers, written.result() if written.done() else None


async def case(record):
    world = World(record)
    nodes = [s.Node(name, world) for name in ("db-1", "db-2", "db-3")]
    discovery = s.Discovery(record)
    for place, node in enumerate(nodes):
        await node.listen()
        discovery.put(node, SETTINGS["Zones"][place % 2], 0)
    nodes[0].primary = True
    await discovery.listen()
    router = s.Router(record, discovery, SETTINGS)
    answers = {}
    broken = []
    try:
        await router.start()
        await router.ready()
        await asyncio.sleep(1)
        for number in range(1, ROUNDS + 1):
            posted, written_at = await post(record, router.port, number)
            answers.update({statement: answer for statement, (answer, _) in posted.items()})
            broken += [
                f"{statement} was taken and never answered: the router ended the connection"
                for statement, (answer, ended_at) in posted.items()
                if answer.kind == "none" and written_at is not None and written_at < ended_at
            ]
            await asyncio.sleep(0.5)
    finally:
        await router.end()
    kinds = [answer.kind for answer in answers.values()]
    record.line("sum", f"asked {len(kinds)}, served {kinds.count('served')}, "
                       f"refused {kinds.count('refused')}, no answer {kinds.count('none')}")
    if kinds.count("served") < ROUNDS:
        raise s.CouldNotRun("hardly anything was served")
    return broken


s.main(os.path.dirname(os.path.abspath(__file__)), case)
