"""Stand-ins for the scripts of the third review: the platform's store, upstreams, clients, and a
starter of the project's own program. Standard library only; loopback addresses only."""
import base64
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target/bin/galenaroad_platform")  # `run` of deploy/system.toml
T0 = time.monotonic()
NET = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))


def now():
    return time.monotonic() - T0


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()

    def __call__(self, *parts):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (now(), " ".join(str(p) for p in parts)))
            self.file.flush()


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


def read_message(f):
    """Reads one HTTP message with a length or in chunks. Returns (first line, fields, body)."""
    line = f.readline()
    if not line:
        return None
    line = line.decode("latin-1").strip()
    fields = {}
    while True:
        h = f.readline()
        if not h:
            return None
        h = h.decode("latin-1").strip()
        if not h:
            break
        k, _, v = h.partition(":")
        fields[k.strip().lower()] = v.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = f.readline()
            if not size:
                return None
            size = int(size.split(b";")[0], 16)
            if size == 0:
                while f.readline().strip():
                    pass
                break
            body += f.read(size)
            f.readline()
    elif "content-length" in fields:
        want = int(fields["content-length"])
        body = f.read(want)
        if len(body) < want:
            return None
    return line, fields, body


class Server:
    """Accepts connections, one thread each, and calls handle(connection, first line, fields, body)
    for each request. handle returns False to end the connection."""

    def __init__(self, ip, port, handle):
        self.address = "%s:%d" % (ip, port)
        self.handle = handle
        self.open = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, port))
        self.listener.listen(256)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                c, _ = self.listener.accept()
            except OSError:
                return
            c.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.add(c)
            threading.Thread(target=self.serve, args=(c,), daemon=True).start()

    def serve(self, c):
        f = c.makefile("rb")
        try:
            while True:
                m = read_message(f)
                if m is None or self.handle(c, *m) is False:
                    break
        except (OSError, ValueError):
            pass
        self.open.discard(c)
        try:
            c.close()
        except OSError:
            pass

    def stop(self, reset=False):
        """Ends the server: nobody listens, and its connections are closed, as of a process that
        has ended."""
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for c in list(self.open):
            try:
                c.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def answer(c, status, fields=(), body=b"", reason="OK"):
    head = "HTTP/1.1 %d %s\r\n" % (status, reason)
    for k, v in fields:
        head += "%s: %s\r\n" % (k, v)
    head += "Content-Length: %d\r\n\r\n" % len(body)
    c.sendall(head.encode() + body)


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it: rows in tables and parts, one
    counter of versions, atomic conditional writes, a feed of changes."""

    def __init__(self, ip, record):
        self.record = record
        self.rows = {}  # (table, part, key) -> (value, version)
        self.log = []  # (version, table, part, key)
        self.version = 1
        self.changed = threading.Condition()
        self.down = False
        self.server = Server(ip, free_port(ip), self.handle)
        self.address = self.server.address

    def put(self, table, key, value, part=""):
        with self.changed:
            self.version += 1
            self.rows[(table, part, key)] = (base64.b64encode(value.encode()).decode(), self.version)
            self.log.append((self.version, table, part, key))
            self.changed.notify_all()

    def row(self, k):
        if k not in self.rows:
            return {"table": k[0], "part": k[1], "key": k[2], "removed": True,
                    "schema_version": self.version}
        value, version = self.rows[k]
        return {"table": k[0], "part": k[1], "key": k[2], "value": value,
                "schema_version": version}

    def reply(self, c, status, value):
        value["schema_version"] = self.version
        value["now_ms"] = int(now() * 1000) + 1000
        answer(c, status, [("Content-Type", "application/json")], json.dumps(value).encode())

    def handle(self, c, line, fields, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        from urllib.parse import parse_qsl
        q = dict(parse_qsl(query, keep_blank_values=True))
        if self.down:
            answer(c, 503, reason="Service Unavailable")
            return
        time.sleep(0.004)
        if path == "/api/rows-get":
            with self.changed:
                keys = sorted(k for k in self.rows if k[0] == q["table"] and
                              k[1] == q.get("part", "") and k[2] >= q.get("from", "") and
                              ("target" not in q or k[2] < q["target"]))
                limit = min(int(q.get("limit", 500)), 500)
                self.reply(c, 200, {"rows": [self.row(k) for k in keys[:limit]],
                                    "has_more": len(keys) > limit})
        elif path == "/api/rows-parts":
            with self.changed:
                parts = sorted({k[1] for k in self.rows if k[0] == q["table"]})
                self.reply(c, 200, {"parts": parts, "has_more": False})
        elif path == "/api/rows-feed":
            until = time.monotonic() + int(q.get("wait_ms", 0)) / 1000
            after = int(q["after"])
            with self.changed:
                while True:
                    keys = {}
                    for version, *k in self.log:
                        if version > after and k[0] == q["table"]:
                            keys[tuple(k)] = version
                    left = until - time.monotonic()
                    if keys or left <= 0 or self.down:
                        break
                    self.changed.wait(left)
                self.reply(c, 200, {"rows": [self.row(k) for k in sorted(keys, key=keys.get)]})
        elif path == "/api/rows-tx" and method == "POST":
            tx = json.loads(body)
            with self.changed:
                for e in tx.get("expect", []):
                    k = (e["table"], e.get("part", ""), e["key"])
                    have = self.rows[k][1] if k in self.rows else 0
                    if have != e["schema_version"]:
                        rows = [self.row(x) for x in
                                [(y["table"], y.get("part", ""), y["key"]) for y in tx["expect"]]
                                if x in self.rows]
                        self.reply(c, 412, {"rows": rows})
                        return
                self.version += 1
                for u in tx.get("upserts", []):
                    k = (u["table"], u.get("part", ""), u["key"])
                    self.rows[k] = (u["value"], self.version)
                    self.log.append((self.version, *k))
                for u in tx.get("remove", []):
                    k = (u["table"], u.get("part", ""), u["key"])
                    self.rows.pop(k, None)
                    self.log.append((self.version, *k))
                self.changed.notify_all()
                self.reply(c, 200, {})
        else:
            answer(c, 404)


class Upstream:
    """One upstream: it answers requests as run(c, request) says and sends heartbeats to the
    control address of its own machine."""

    def __init__(self, machine, service, uid, record, run=None, slots=7, born=None):
        self.machine, self.service, self.uid, self.record = machine, service, uid, record
        self.slots = slots
        self.born = int(time.time() * 1000) if born is None else born
        self.sequence = 0
        self.state = "ready"
        self.run = run
        self.ran = []  # (time, request id, fields)
        self.acks = {}  # state -> time of its first acknowledgement
        self.alive = True
        self.lock = threading.Lock()
        ip, port = machine.app_addr.split(":")
        self.server = Server(ip, int(port), self.handle)
        threading.Thread(target=self.beats, daemon=True).start()

    def handle(self, c, line, fields, body):
        method, target, _ = line.split(" ")
        rid = fields.get("x-request-id", "")
        if target == "/health":
            answer(c, 200 if self.state == "ready" else 503, [("X-Instance-Id", self.uid)])
            return
        expected = fields.get("x-expect-instance", self.uid)
        if expected != self.uid:
            self.record("upstream", self.uid, "rejects (421)", rid, "meant for", expected)
            answer(c, 421, [("X-Request-Id", rid), ("X-Not-Executed", "1"),
                            ("X-Instance-Id", self.uid)], reason="Misdirected Request")
            return
        with self.lock:
            self.ran.append((now(), rid, fields))
        self.record("upstream", self.uid, self.service, "runs", rid, method, target,
                    "X-Deadline-Ms", fields.get("x-deadline-ms"), "body", len(body))
        if self.run:
            return self.run(self, c, rid, method, target, fields, body)
        answer(c, 200, self.stamp(rid), b"done " + rid.encode())

    def stamp(self, rid):
        return [("X-Request-Id", rid), ("X-Response-Stamp", "st." + rid)]

    def call_control(self, method, body=None, timeout=1.0):
        ip, port = self.machine.control.split(":")
        h = http.client.HTTPConnection(ip, int(port), timeout=timeout)
        try:
            h.request(method, "/api/instances/" + self.uid, body,
                      {"Content-Type": "application/json"} if body else {})
            r = h.getresponse()
            r.read()
            return r.status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            h.close()

    def beat(self):
        self.sequence += 1
        state = self.state
        body = json.dumps({"address": self.machine.app_addr, "born": self.born,
                           "info": {"service": self.service, "version": "v1",
                                    "zone": self.machine.zone, "slots": self.slots},
                           "status": {"state": state, "sequence": self.sequence,
                                      "cold_left_ms": 0}})
        status = self.call_control("PUT", body)
        if status and 200 <= status < 300 and state not in self.acks:
            self.acks[state] = now()
            self.record("upstream", self.uid, "born", self.born, "says", state,
                        "acknowledged with", status)
        return status

    def beats(self):
        while self.alive:
            self.beat()
            for _ in range(15):
                if not self.alive:
                    return
                time.sleep(0.1)

    def drain(self):
        self.state = "draining"
        return self.beat()

    def leave(self):
        self.record("upstream", self.uid, "sends DELETE")
        status = self.call_control("DELETE", timeout=4.0)
        self.record("upstream", self.uid, "DELETE answered with", status)
        return status

    def end(self):
        """Ends at once, as a crash does."""
        self.alive = False
        self.server.stop()
        self.record("upstream", self.uid, "has ended")


class Machine:
    """A machine with the project's program on it."""
    count = 0

    def __init__(self, store, record, folder, service, zone="ash-a", region="ash", bounds=None,
                 limits=None, heartbeat_ms=1500):
        Machine.count += 1
        self.name = "sidecar-%s-%d" % (zone, Machine.count)
        self.ip = "%s.%d" % (NET, Machine.count + 1)
        self.zone, self.region, self.service = zone, region, service
        self.record, self.folder, self.store = record, folder, store
        port = lambda: "%s:%d" % (self.ip, free_port(self.ip))
        self.inbound, self.outbound, self.ready_addr = port(), port(), port()
        self.control, self.app_addr = port(), port()
        self.bounds = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
                       "catch_up_s": 4, "drain_ms": 2000, "grace_period_s": 6,
                       "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
                       "max_stretch_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
                       "budget_extra": 58, "recovery_s": 15, "probes_per_s": 3,
                       "floor_share": 0.7}
        self.bounds.update(bounds or {})
        self.limits = {"cpu_share": 0.2, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0}
        self.limits.update(limits or {})
        self.heartbeat_ms = heartbeat_ms
        self.process = None
        self.bootstrap = True
        self.write_settings()

    def write_settings(self):
        t = lambda d, n: "".join("%s%s: %s\n" % (" " * n, k, json.dumps(v)) for k, v in d.items())
        text = "self:\n" + t({"node_name": self.name, "role": "relay", "machine_class": "sidecar",
                              "serves": ["sidecar"], "ip": self.ip, "zone": self.zone,
                              "region": self.region, "tolerance_member": False,
                              "bootstrap": self.bootstrap, "data_dir": None,
                              "app_addr": self.app_addr, "service": self.service}, 2)
        text += "  limits:\n" + t(self.limits, 4)
        text += "network:\n  listen:\n" + t({"inbound": self.inbound, "outbound": self.outbound,
                                             "ready": self.ready_addr, "control": self.control}, 4)
        text += "  port_range: [7620, 7635]\n  seeds: []\n  zones: {ash-a: ash, ash-b: ash}\n"
        text += "platform:\n" + t({"discovery": "local", "entry": "local",
                                   "heartbeat_ms": self.heartbeat_ms}, 2)
        text += "  platform:\n" + t({"address": self.store.address, "form": "table",
                                     "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 5.0,
                                     "partition_writes_s": 200, "row_bytes": 65536,
                                     "across": False, "history_s": 20, "blob_bytes": 8388608,
                                     "blob_ms": 25.0, "blob_mb_s": 80.0}, 4)
        text += "terms:\n  contracts: [base, drain, config, cost, retry, recover, health, platform]\n"
        text += "  fault_tolerance: {machines: 2, zones: 0, regions: 0}\n"
        text += "  bounds:\n" + t(self.bounds, 4)
        self.settings = os.path.join(self.folder, self.name + ".yaml")
        with open(self.settings, "w") as f:
            f.write(text)

    def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["GALENAROAD_NODE_FILE"] = self.settings
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen([os.environ.get("GALENAROAD_PROGRAM", PROGRAM)], cwd=ROOT,
                                        env=env, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        self.bootstrap = False
        self.record("machine", self.name, self.service, "program started")

    def signal(self, number):
        self.record("machine", self.name, "gets signal", signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def is_ready(self):
        ip, port = self.ready_addr.split(":")
        h = http.client.HTTPConnection(ip, int(port), timeout=0.5)
        try:
            h.request("GET", "/api/ready")
            return h.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            h.close()

    def wait_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.is_ready():
                return True
            time.sleep(0.1)
        return False


ids = iter(range(1, 10 ** 9))
PREFIX = "%08x" % random.getrandbits(32)


def new_id():
    return "%s%08x" % (PREFIX, next(ids))


class Client:
    """A client of one machine. It keeps its connection for many requests."""

    def __init__(self, machine, record):
        self.machine, self.record = machine, record
        self.connection = None

    def open(self):
        ip, port = self.machine.outbound.split(":")
        self.connection = socket.create_connection((ip, int(port)), timeout=1.0)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, method, host, path, deadline_ms, body=b"", rid=None, extra=()):
        """Returns (request id, status or None, fields, body or None)."""
        rid = rid or new_id()
        if self.connection is None:
            self.open()
        head = "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n" % (
            method, path, host, rid, deadline_ms)
        for k, v in extra:
            head += "%s: %s\r\n" % (k, v)
        if body or method in ("POST", "PUT"):
            head += "Content-Length: %d\r\n" % len(body)
        started = now()
        self.record("client at", self.machine.name, "sends", rid, method, path, "deadline",
                    deadline_ms)
        status, fields, got = None, {}, None
        try:
            self.connection.settimeout(deadline_ms / 1000.0)
            self.connection.sendall(head.encode() + b"\r\n" + body)
            f = self.connection.makefile("rb")
            m = read_message(f)
            if m:
                status, fields, got = int(m[0].split(" ")[1]), m[1], m[2]
        except OSError as e:
            fields = {"error": str(e)}
        self.record("client at", self.machine.name, "gets", rid, "status", status, "after",
                    "%.0f ms" % ((now() - started) * 1000), "stamp",
                    fields.get("x-response-stamp"), "retry-after", fields.get("retry-after"),
                    "bytes", None if got is None else len(got), fields.get("error", ""))
        if status is None or fields.get("connection", "").lower() == "close":
            self.close()
        return rid, status, fields, got

    def close(self):
        if self.connection:
            self.connection.close()
            self.connection = None


def config(version, routes, services, idle_timeout_ms=15000):
    return json.dumps({
        "version": version, "routes": routes,
        "services": {s: {"health_path": "/health", "max_connections": 330, "protocol": "h1",
                         "tls": False} for s in services},
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                   "header_timeout_ms": 3000, "idle_timeout_ms": idle_timeout_ms},
        "base_version": 0})


def route(host, prefix, kind, service, timeout_ms=4000, goal_ms=2500, attempts=2, priority=1):
    return {"host": host, "prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
            "latency_goal_ms": goal_ms, "priority": priority, "service": service,
            "max_attempts": attempts}


class Case:
    """Folder, record, temporary folder and the end of all processes of a script."""

    def __init__(self, path):
        self.folder = os.path.dirname(os.path.abspath(path))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(self.folder)
        self.temporary = tempfile.mkdtemp(prefix="review3-")
        self.machines = []
        self.record("trouble:", self.trouble)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    def machine(self, store, service, **more):
        m = Machine(store, self.record, self.temporary, service, **more)
        self.machines.append(m)
        return m

    def main(self, body):
        result = 2
        try:
            if not os.access(os.environ.get("GALENAROAD_PROGRAM", PROGRAM), os.X_OK):
                self.record("no program at", PROGRAM)
            else:
                result = body()
        except Exception as e:  # the case couldn't run
            import traceback
            self.record("error", repr(e), traceback.format_exc())
            result = 2
        finally:
            for m in self.machines:
                m.kill()
            if os.environ.get("KEEP"):
                print(self.temporary)
            else:
                shutil.rmtree(self.temporary, ignore_errors=True)
            self.record("result", result)
        try:
            print({0: "the rule held", 1: "the rule was broken",
                   2: "the case could not run"}[result], flush=True)
        except OSError:
            pass
        os._exit(result)
