"""Stand-ins of a small deployment: database members, discovery, clients, and the router's processes.

Everything is on loopback addresses and the real clock. Only the Python standard library is used.
"""

import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, folder):
        self.start = time.time()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text):
        with self.lock:
            self.file.write("%9.3f %s\n" % (time.time() - self.start, text))
            self.file.flush()


def free_ports(count, offsets=(0,)):
    """Returns ports below the range that the system hands out; all their offsets are free too."""
    found = []
    while len(found) < count:
        port = random.randrange(12000, 30000)
        if any(abs(port - other) < 2 or abs(abs(port - other) - 1000) < 2 for other in found):
            continue
        sockets = []
        try:
            for offset in offsets:
                probe = socket.socket()
                sockets.append(probe)
                probe.bind((HOST, port + offset))
            found.append(port)
        except OSError:
            pass
        finally:
            for probe in sockets:
                probe.close()
    return found


def message(kind, body):
    return kind + struct.pack("!I", len(body) + 4) + body


def ready():
    return message(b"Z", b"I")


def parameter(name, value):
    return message(b"S", name.encode() + b"\0" + str(value).encode() + b"\0")


def row(value, binary=True):
    column = b"doc\0" + struct.pack("!IhIhih", 0, 0, 17 if binary else 25, -1, -1, int(binary))
    return (
        message(b"T", struct.pack("!h", 1) + column)
        + message(b"D", struct.pack("!hi", 1, len(value)) + value)
        + message(b"C", b"SELECT 1\0")
    )


def error(code, text, severity="ERROR"):
    fields = b"S" + severity.encode() + b"\0C" + code.encode() + b"\0M" + text.encode() + b"\0\0"
    return message(b"E", fields)


def read_exactly(connection, count):
    data = b""
    while len(data) < count:
        part = connection.recv(count - len(data))
        if not part:
            raise EOFError
        data += part
    return data


def read_message(connection):
    head = read_exactly(connection, 5)
    return head[:1], read_exactly(connection, struct.unpack("!I", head[1:])[0] - 4)


def fields_of(text):
    """The names and values of the comment before a statement."""
    comment = text.split("/*", 1)[1].split("*/", 1)[0]
    pairs = [pair.split("=", 1) for pair in comment.strip().split(",")]
    return {name.strip(): value.strip() for name, value in pairs}


def key_of(text):
    return text.split("*/", 1)[1].split("'")[1]


class Reset(Exception):
    """The member's connection ends with a reset and no answer."""


class Member:
    """A database member. `answer(member, text, fields)` returns the messages before ReadyForQuery."""

    def __init__(self, name, record, answer, gauges):
        self.name = name
        self.record = record
        self.answer = answer
        self.gauges = gauges
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, 0))
        self.listener.listen(256)
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
        try:
            size = struct.unpack("!I", read_exactly(connection, 4))[0]
            read_exactly(connection, size - 4)
            welcome = message(b"R", struct.pack("!I", 0)) + parameter("server_version", "15.0")
            connection.sendall(welcome + message(b"K", b"\0" * 8) + ready())
            while True:
                kind, body = read_message(connection)
                if kind == b"X":
                    return
                if kind == b"Q":
                    connection.sendall(self.reply(body[:-1].decode()) + ready())
        except Reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except (EOFError, OSError):
            pass
        finally:
            connection.close()

    def reply(self, text):
        if not text.strip(" ;\r\n\t"):
            return message(b"I", b"")
        if text.startswith("SHOW gauges"):
            return row(self.gauges(self).encode(), binary=False)
        if text.startswith("SELECT 1"):
            return row(b"1", binary=False)
        if not text.startswith("/*"):
            return error("08P01", "no statement of a client")
        return self.answer(self, text, fields_of(text))


class Discovery:
    """Tells the list of members: whole at each call, then an empty line every 2 s."""

    def __init__(self, entries):
        self.entries = entries
        self.generation = 1
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, 0))
        self.listener.listen(256)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def text(self):
        full = {"generation": self.generation, "reset": True, "instances": self.entries}
        return json.dumps(full)

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        def chunk(text):
            connection.sendall(b"%x\r\n%s\r\n" % (len(text), text))

        try:
            request = b""
            while b"\r\n\r\n" not in request:
                part = connection.recv(4096)
                if not part:
                    return
                request += part
            connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            chunk(self.text().encode() + b"\n")
            while True:
                time.sleep(2)
                chunk(b"\n")
        except OSError:
            pass
        finally:
            connection.close()


def entry(member, group=0):
    return {
        "instanceId": member.name,
        "hostPort": "%s:%d" % (HOST, member.port),
        "zone": "east",
        "machineType": "m",
        "cell": group,
        "lifecycle": "in_service",
        "weight": 1.0,
        "startedAtMs": 0,
    }


class Client:
    """One client's connection; a statement at a time."""

    def __init__(self, port, timeout=10):
        self.connection = socket.create_connection((HOST, port), timeout=timeout)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        body = struct.pack("!I", 196608) + b"user\0app\0database\0shop\0\0"
        self.connection.sendall(struct.pack("!I", len(body) + 4) + body)
        self.until_ready()

    def until_ready(self):
        """Returns ('row', value) or ('error', code) or ('empty', '')."""
        result = ("empty", "")
        while True:
            kind, body = read_message(self.connection)
            if kind == b"D":
                result = ("row", body[6:].decode("latin-1"))
            elif kind == b"E":
                parts = dict((part[:1], part[1:]) for part in body.split(b"\0") if part)
                result = ("error", parts[b"C"].decode())
                if parts.get(b"S") == b"FATAL":
                    return result
            elif kind == b"Z":
                return result

    def send(self, text):
        self.connection.sendall(message(b"Q", text.encode() + b"\0"))

    def ask(self, text):
        """Returns the result; ('closed', '') where the connection ended with no whole answer."""
        try:
            self.send(text)
            return self.until_ready()
        except (EOFError, OSError):
            return ("closed", "")

    def close(self):
        self.connection.close()


def deploy_command():
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
        return tomllib.load(file)["run"]


class Router:
    """A router process, started by `run` of the deploy file."""

    def __init__(self, name, folder, port, discovery, settings, operator=None, known=None):
        self.name = name
        self.folder = folder
        self.port = port
        self.file = os.path.join(folder, name + ".json")
        self.log = os.path.join(folder, name + ".log")
        self.operator = None
        self.known = known or {"generation": 0, "reset": True, "instances": []}
        if operator is not None:
            self.operator = os.path.join(folder, name + ".ini")
            with open(self.operator, "w", encoding="utf-8") as file:
                file.write(operator)
        self.write(discovery, settings)
        self.process = None
        self.ended = False

    def write(self, discovery, settings):
        """Replaces the start file in one piece."""
        content = {
            "name": self.name,
            "listen": "%s:%d" % (HOST, self.port),
            "discovery": "%s:%d" % (HOST, discovery),
            "seed": "%x" % random.getrandbits(60),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.known,
            "settings": settings,
        }
        self.discovery = discovery
        with open(self.file + ".new", "w", encoding="utf-8") as file:
            json.dump(content, file)
        os.replace(self.file + ".new", self.file)

    def start(self):
        if self.ended:
            raise CannotRun("the case is over")
        temporary = tempfile.mkdtemp(dir=self.folder)
        environment = dict(os.environ)
        environment.update(
            GW_NAME=self.name,
            GW_LISTEN="%s:%d" % (HOST, self.port),
            GW_DISCOVERY="%s:%d" % (HOST, self.discovery),
            GW_CONFIG=self.file,
            TMPDIR=temporary,
        )
        command = deploy_command()
        if self.operator:
            command += " --operator " + self.operator
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL)

    def signal(self, number):
        self.process.send_signal(number)

    def await_ready(self, seconds=30):
        end = time.time() + seconds
        while time.time() < end and self.process.poll() is None:
            try:
                client = Client(self.port, timeout=2)
                result = client.ask("")
                client.close()
                if result == ("empty", ""):
                    return
            except (OSError, EOFError):
                pass
            time.sleep(0.05)
        raise CannotRun(self.name + " was not ready in time: " + self.log_text()[-2000:])

    def log_text(self):
        with open(self.log, encoding="utf-8") as file:
            return file.read()

    def await_log(self, text, seconds, count=1):
        end = time.time() + seconds
        while time.time() < end:
            if self.log_text().count(text) >= count:
                return
            time.sleep(0.02)
        raise CannotRun("%s did not log %s: %s" % (self.name, text, self.log_text()[-2000:]))

    def end(self):
        self.ended = True
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def run_case(folder, play):
    """Plays a case: exit code 1 if its rule was broken, 0 if it held, 2 if it couldn't run."""
    def told_to_end(number, frame):
        raise CannotRun("told to end by signal %d" % number)

    signal.signal(signal.SIGTERM, told_to_end)
    record = Record(folder)
    temporary = tempfile.mkdtemp()
    routers = []
    code = 2
    try:
        broken = play(record, temporary, routers)
        record.line("the rule was broken" if broken else "the rule held")
        print("broken" if broken else "held")
        code = 1 if broken else 0
    except (CannotRun, OSError, EOFError, subprocess.SubprocessError) as fault:
        record.line("the case couldn't run: %r" % fault)
        print("could not run: %s" % fault)
    finally:
        for router in routers:
            router.end()
        if os.environ.get("KEEP"):
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)
