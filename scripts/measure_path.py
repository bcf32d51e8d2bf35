#!/usr/bin/env python3
"""Measures the running fleet on loopback and writes raw figures as CSV.

Starts only the project's own programs, ends them by process id, and sends traffic to 127.0.0.1.
Usage: measure_path.py BUILD_DIR OUT_DIR [latency|connections|fleet]...
"""
import csv
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time

TICKS = os.sysconf("SC_CLK_TCK")
CONTRACT = """business: tetteh
hosts: [tetteh.example]
services:
  - {name: finder, floor_slots: 1, policy: fast}
routes:
  - {prefix: /finder, service: finder, timeout_ms: 2000}
"""


class Fleet:
    """Daemons and stand-ins in processes of their own."""

    def __init__(self, build):
        self.bin = os.path.join(build, "bin")
        self.folder = tempfile.mkdtemp(prefix="galenaroad-measure-")
        self.processes = {}
        self.addresses = {}
        os.mkdir(os.path.join(self.folder, "contracts"))
        with open(os.path.join(self.folder, "contracts", "tetteh.yaml"), "w") as file:
            file.write(CONTRACT)

    def start(self, name, program, *arguments):
        path = os.path.join(self.folder, name + ".json")
        log = open(os.path.join(self.folder, name + ".log"), "w")
        command = [os.path.join(self.bin, program), *arguments, "--addresses-file", path]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)
        return path

    def addresses_of(self, name, path):
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            try:
                with open(path) as file:
                    self.addresses[name] = json.load(file)
                    return self.addresses[name]
            except (OSError, ValueError):
                time.sleep(0.02)
        raise RuntimeError(f"{name} did not start")

    def start_daemon(self, name, join, region="ash"):
        settings = os.path.join(self.folder, name + ".yaml")
        with open(settings, "w") as file:
            file.write(
                f"instance: {name}\nregion: {region}\ndata_centre: {region}-1\n"
                'addresses: {entry: "127.0.0.1:0", peer: "127.0.0.1:0", admin: "127.0.0.1:0"}\n'
                f"join_ranges: [{join}]\n"
                'platform: {table_service: "127.0.0.1:1", object_store: "127.0.0.1:1"}\n'
                "telemetry: {log_level: warning}\n"
                f"contracts_folder: {self.folder}/contracts\n")
        return self.start(name, "galenaroadd", "--settings", settings)

    def stop(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.wait(timeout=15)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def resident_kib(self, name):
        with open(f"/proc/{self.processes[name].pid}/status") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))

    def cpu_seconds(self, name):
        with open(f"/proc/{self.processes[name].pid}/stat") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS


def get(address, path, host="tetteh.example"):
    connection = http.client.HTTPConnection(address, timeout=5)
    connection.request("GET", path, headers={"Host": host})
    response = connection.getresponse()
    body = response.read()
    connection.close()
    return response.status, body


def wait_for(condition, seconds):
    start = time.monotonic()
    while time.monotonic() - start < seconds:
        try:
            if condition():
                return time.monotonic() - start
        except OSError:
            pass
        time.sleep(0.05)
    raise RuntimeError("a condition was not reached in time")


def percentile(values, share):
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * share))]


def timed_requests(address, seconds, threads, gap):
    """Sends requests over keep-alive connections and returns their times in milliseconds."""
    times, lock = [], threading.Lock()

    def run():
        connection = http.client.HTTPConnection(address, timeout=5)
        own, end = [], time.monotonic() + seconds
        while time.monotonic() < end:
            start = time.perf_counter()
            connection.request("GET", "/finder?q=a", headers={"Host": "tetteh.example"})
            response = connection.getresponse()
            response.read()
            if response.status == 200:
                own.append((time.perf_counter() - start) * 1000)
            time.sleep(gap)
        with lock:
            times.extend(own)

    workers = [threading.Thread(target=run) for _ in range(threads)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    return times


def two_daemons(build, backends=4):
    fleet = Fleet(build)
    path = fleet.start_daemon("a", "")
    peer = fleet.addresses_of("a", path)["peer"]
    fleet.addresses_of("b", fleet.start_daemon("b", f'"{peer}"'))
    for number in range(backends):
        name = f"finder-{number}"
        path = fleet.start(name, "standin_backend_server", "--name", name, "--business", "tetteh",
                           "--service", "finder", "--slots", "64", "--connections", "330",
                           "--admin", fleet.addresses["b"]["admin"], "--service-time-ms", "0")
        fleet.addresses_of(name, path)
    wait_for(lambda: get(fleet.addresses["a"]["entry"], "/finder?q=a")[0] == 200, 20)
    return fleet


def measure_latency(build, out):
    fleet = two_daemons(build)
    try:
        with open(os.path.join(out, "latency.csv"), "w", newline="") as file:
            writer = csv.writer(file)
            writer.writerow(["path", "connections", "requests_per_s", "p50_ms", "p99_ms"])
            for threads, gap in ((1, 0.01), (2, 0.01), (4, 0.01), (8, 0.01)):
                for path, address in (("direct", fleet.addresses["finder-0"]["address"]),
                                      ("two_daemons", fleet.addresses["a"]["entry"])):
                    times = timed_requests(address, 8, threads, gap)
                    writer.writerow([path, threads, round(len(times) / 8, 1),
                                     round(percentile(times, 0.5), 3),
                                     round(percentile(times, 0.99), 3)])
                    file.flush()
    finally:
        fleet.stop()


def measure_connections(build, out):
    fleet = two_daemons(build, 1)
    held = []
    try:
        with open(os.path.join(out, "connections.csv"), "w", newline="") as file:
            writer = csv.writer(file)
            writer.writerow(["idle_connections", "entry_resident_kib"])
            for count in (0, 50, 100, 150, 200):
                while len(held) < count:
                    connection = http.client.HTTPConnection(fleet.addresses["a"]["entry"],
                                                            timeout=5)
                    connection.request("GET", "/finder?q=a", headers={"Host": "tetteh.example"})
                    connection.getresponse().read()
                    held.append(connection)
                writer.writerow([count, fleet.resident_kib("a")])
    finally:
        for connection in held:
            connection.close()
        fleet.stop()


def measure_fleet(build, out):
    """Brings up fleets of real daemons without the table and measures their idle cost."""
    with open(os.path.join(out, "fleet.csv"), "w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(["daemons", "all_know_all_s", "all_ready_s", "cpu_share_of_a_core",
                         "resident_kib"])
        for count in (10, 20, 40):
            fleet = Fleet(build)
            try:
                path = fleet.start_daemon("d0", "")
                join = '"' + fleet.addresses_of("d0", path)["peer"] + '"'
                start = time.monotonic()
                paths = {f"d{n}": fleet.start_daemon(f"d{n}", join) for n in range(1, count)}
                for name, path in paths.items():
                    fleet.addresses_of(name, path)
                admins = [entry["admin"] for entry in fleet.addresses.values()]

                def known(admin):
                    return len(json.loads(get(admin, "/v1/fleet")[1])["members"])

                wait_for(lambda: all(known(admin) == count for admin in admins), 60)
                converged = time.monotonic() - start
                wait_for(lambda: all(get(admin, "/ready")[0] == 200 for admin in admins), 60)
                ready = time.monotonic() - start
                before = sum(fleet.cpu_seconds(name) for name in fleet.processes)
                time.sleep(15)
                used = sum(fleet.cpu_seconds(name) for name in fleet.processes) - before
                memory = max(fleet.resident_kib(name) for name in fleet.processes)
                writer.writerow([count, round(converged, 2), round(ready, 2),
                                 round(used / 15 / count, 5), memory])
                file.flush()
            finally:
                fleet.stop()


def main():
    build, out, *parts = sys.argv[1:]
    os.makedirs(out, exist_ok=True)
    measures = {"latency": measure_latency, "connections": measure_connections,
                "fleet": measure_fleet}
    for part in parts or measures:
        measures[part](build, out)


if __name__ == "__main__":
    main()
