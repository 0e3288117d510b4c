"""Stand-ins of clients, database servers and discovery, and the start of a router.

Everything listens on loopback addresses and free ports. Each stand-in does what the pages of the
project allow it to do and nothing else. All of them share one record of what happened.
"""

import asyncio
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import shutil
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class CouldNotRun(Exception):
    """The case could not run, which is not a verdict about the router."""


class Record:
    """Lines of record.txt, with the seconds since the start of the run."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, who, what):
        self.file.write(f"{time.monotonic() - self.started:9.4f} {who:<12} {what}\n")

    def close(self):
        self.file.close()


# ---- Messages of version 3 of the protocol.


def message(kind, body=b""):
    return kind + struct.pack("!i", len(body) + 4) + body


READY = message(b"Z", b"I")


def parameter(name, value):
    return message(b"S", name.encode() + b"\0" + value.encode() + b"\0")


def row(value):
    data = value if isinstance(value, bytes) else value.encode()
    description = struct.pack("!h", 1) + b"doc\0" + struct.pack("!ihihih", 0, 0, 25, -1, -1, 0)
    return (
        message(b"T", description)
        + message(b"D", struct.pack("!hi", 1, len(data)) + data)
        + message(b"C", b"SELECT 1\0")
    )


def error(code, text, severity="ERROR"):
    fields = f"S{severity}\0C{code}\0M{text}\0\0".encode()
    return message(b"E", fields)


async def read_message(reader):
    head = await reader.readexactly(5)
    length = struct.unpack("!i", head[1:])[0]
    return head[:1], await reader.readexactly(length - 4)


async def read_startup(reader):
    length = struct.unpack("!i", await reader.readexactly(4))[0]
    return await reader.readexactly(length - 4)


def startup():
    body = struct.pack("!i", 196608) + b"user\0app\0database\0shop\0\0"
    return struct.pack("!i", len(body) + 4) + body


def query(text):
    return message(b"Q", text.encode() + b"\0")


ID = re.compile(r"[ *,]id=([0-9a-z]+)")
TIME_LEFT = re.compile(r"[ *,]d=(\d+)")


class Node:
    """One database server. What a statement does is decided by the method `serve`."""

    def __init__(self, name, world):
        self.name = name
        self.world = world
        self.primary = False
        self.position = time.time()
        self.lag_s = 0.006
        self.reported = None
        self.tells_position = True
        self.connections = set()

    async def listen(self):
        self.server = await asyncio.start_server(
            self.connected, "127.0.0.1", 0, backlog=256, limit=1 << 21
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.refresh = asyncio.create_task(self.refresh_report())

    async def refresh_report(self):
        # The pages: a report is refreshed every 60 to 190 ms.
        while True:
            self.reported = f"x0={self.current_position():.6f},x1={int(self.primary)},utilization=0.3"
            await asyncio.sleep(0.1)

    def current_position(self):
        # A primary stands at the present, a replica gets the log some milliseconds later. A
        # position never goes back.
        now = time.time()
        self.position = max(self.position, now if self.primary else now - self.lag_s)
        return self.position

    def state(self):
        """The parameters before ReadyForQuery: the role and, where it is told, the position."""
        told = parameter("part", "master" if self.primary else "replica")
        if self.tells_position:
            told += parameter("caught_up_to", str(int(self.current_position() * 1000)))
        return told

    async def connected(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(writer)
        try:
            await read_startup(reader)
            writer.write(message(b"R", struct.pack("!i", 0)) + READY)
            while True:
                kind, body = await read_message(reader)
                if kind != b"Q":
                    break
                text = body[:-1].decode("latin-1")
                if text.startswith("SHOW gauges"):
                    writer.write(row(self.reported) + self.state() + READY)
                elif text.startswith("SELECT 1"):
                    writer.write(row("1") + self.state() + READY)
                elif text.startswith("/*"):
                    answer = await self.world.serve(self, text)
                    if answer is None:
                        break
                    # Several parts are written one right behind the other.
                    for part in answer if isinstance(answer, list) else [answer]:
                        writer.write(part)
                else:
                    writer.write(message(b"I") + READY)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Discovery:
    """The endpoint list over HTTP/1.1: the whole list, or a watch on its changes."""

    def __init__(self, record):
        self.record = record
        self.generation = 1
        self.entries = {}
        self.changed_at = {}
        self.watches = set()

    async def listen(self):
        self.server = await asyncio.start_server(self.connected, "127.0.0.1", 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, node, zone, cell, lifecycle="in_service"):
        self.entries[node.name] = {
            "instanceId": node.name,
            "hostPort": f"127.0.0.1:{node.port}",
            "zone": zone,
            "machineType": "m",
            "cell": cell,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }
        self.changed_at[node.name] = self.generation

    def whole(self):
        return {
            "generation": self.generation,
            "reset": True,
            "instances": list(self.entries.values()),
        }

    @staticmethod
    def chunk(data):
        return f"{len(data):x}\r\n".encode() + data + b"\r\n"

    async def connected(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            self.record.line("discovery", "asked " + target)
            text = json.dumps(self.whole(), separators=(",", ":")).encode() + b"\n"
            if "follow=1" not in target:
                writer.write(
                    f"HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
                return
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + self.chunk(text)
            )
            while not writer.is_closing():
                await asyncio.sleep(2)
                writer.write(self.chunk(b"\n"))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Answer:
    """The final answer that a client read: served, refused, failed or none."""

    def __init__(self, kind, detail):
        self.kind = kind
        self.detail = detail

    def __str__(self):
        return f"{self.kind} {self.detail}"


class Client:
    """One connection of a usual client."""

    def __init__(self, port):
        self.port = port

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.port, limit=1 << 21
        )
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writer.write(startup())
        while (await read_message(self.reader))[0] != b"Z":
            pass
        return self

    async def answer(self):
        """Reads one answer, up to its ReadyForQuery, or up to the end of the connection."""
        value = None
        code = None
        complete = False
        try:
            while True:
                kind, body = await read_message(self.reader)
                if kind == b"D":
                    value = body[6:].decode("latin-1")
                elif kind == b"C":
                    complete = True
                elif kind == b"E":
                    fields = body.split(b"\0")
                    code = next(f[1:].decode() for f in fields if f[:1] == b"C")
                    if any(f == b"SFATAL" for f in fields):
                        return self.of_code(code + " fatal")
                elif kind == b"Z":
                    break
        except (asyncio.IncompleteReadError, ConnectionError) as end:
            if code is None:
                return Answer("none", type(end).__name__)
        if code is not None:
            return self.of_code(code)
        return Answer("served", value) if complete else Answer("failed", "no row")

    @staticmethod
    def of_code(code):
        return Answer("refused" if code[:5] in ("53300", "57P03") else "failed", code)

    async def ask(self, text):
        self.writer.write(query(text))
        return await self.answer()

    def close(self):
        self.writer.close()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Router:
    """One router, started by the command `run` of the deploy file."""

    def __init__(self, record, discovery, settings, known=None, memory_mb=192, sockets=1024):
        self.record = record
        self.port = free_port()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": known or discovery.whole(),
            "settings": settings,
        }
        self.process = None

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as deploy:
            command = tomllib.load(deploy)["run"]
        for built in ("target/basaltlever.jar", "target/basaltlever.jsa"):
            if not os.path.exists(os.path.join(ROOT, built)):
                raise CouldNotRun(f"{built} is missing: run the build of the deploy file")
        path = os.path.join(self.folder, "config.json")
        with open(path, "w", encoding="utf-8") as config:
            json.dump(self.config, config)
        temporary = os.path.join(self.folder, "tmp")
        os.mkdir(temporary)
        environment = dict(
            os.environ,
            GW_NAME=self.config["name"],
            GW_LISTEN=self.config["listen"],
            GW_DISCOVERY=self.config["discovery"],
            GW_CONFIG=path,
            TMPDIR=temporary,
        )
        self.log = open(os.path.join(self.folder, "router.log"), "wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.record.line("router", f"started, process {self.process.pid}")

    async def ready(self, limit_s=30):
        """Waits until the router answers an empty query, as the front does."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CouldNotRun("the router ended before it was ready: " + self.log_text())
            try:
                client = await Client(self.port).open()
                client.writer.write(query(""))
                while (await read_message(client.reader))[0] != b"Z":
                    pass
                client.close()
                self.record.line("router", "ready")
                return
            except (ConnectionError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.05)
        raise CouldNotRun("the router was not ready in time: " + self.log_text())

    def log_text(self):
        with open(os.path.join(self.folder, "router.log"), encoding="utf-8", errors="replace") as f:
            return f.read()[-4000:]

    def terminate(self):
        self.record.line("router", "SIGTERM sent")
        self.process.send_signal(signal.SIGTERM)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.process is not None:
            self.record.line("router", f"ended with {self.process.returncode}")
            self.log.close()
            for line in self.log_text().splitlines():
                self.record.file.write("          router log   " + line + "\n")
        shutil.rmtree(self.folder, ignore_errors=True)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


async def run(case, record):
    """Runs a case for 110 s at most; a signal to end it ends its processes too."""
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(case(record), 110)


def main(folder, case):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)
    code = 2
    try:
        broken = asyncio.run(run(case, record))
        for line in broken:
            record.line("rule", "BROKEN " + line)
        code = 1 if broken else 0
        verdict = f"broken {len(broken)} times" if broken else "held"
        record.line("verdict", f"{verdict}, trouble {'on' if trouble() else 'off'}")
        print(f"{verdict}, trouble {'on' if trouble() else 'off'}")
        for line in broken[:5]:
            print("  " + line)
    except (Exception, asyncio.CancelledError) as fault:
        # Only a verdict may exit with 1.
        record.line("verdict", f"could not run: {fault!r}")
        print(f"could not run: {fault!r}")
    finally:
        record.close()
    sys.exit(code)
