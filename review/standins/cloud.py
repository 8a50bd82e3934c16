"""Stand-in of the cloud, after "Controller nodes -> cloud" of PROTOCOL-ringrock.md."""
import threading
import time

from wire import Server
from worker import Worker


class Cloud:
    """builds: list of catalogue entries. capacity: {(build, ward): most machines at a time}. Machines
    are ordinary ones only. Workers share `world`."""

    def __init__(self, world, builds, capacity, list_lag_s, boot_s):
        self.world = world
        self.builds = builds
        self.capacity = capacity
        self.list_lag_s = list_lag_s
        self.boot_s = boot_s
        self.lock = threading.Lock()
        self.machines = {}  # name -> [worker, rented at, up at, gone at or None]
        self.hires = {}     # hire -> names
        self.last_number = 0
        self.server = Server(self.serve)
        self.address = self.server.address

    def add_machine(self, build, ward, boot_s):
        """Rents a machine; it is up after boot_s. Caller holds the lock."""
        self.last_number += 1
        name = "vm-%06d" % self.last_number
        entry = next(b for b in self.builds if b["sku"] == build)
        worker = Worker(self.world, name, build, ward, entry)
        now = time.monotonic()
        self.machines[name] = [worker, now, now + boot_s, None]
        threading.Timer(boot_s, worker.begin).start()
        return name

    def add_running(self, build, ward):
        """A machine of the operators, up at the start."""
        with self.lock:
            name = self.add_machine(build, ward, 0)
            self.machines[name][1] -= 3600
            return self.machines[name][0]

    def serve(self, method, path, query, body):
        now = time.monotonic()
        with self.lock:
            if (method, path) == ("GET", "/catalog"):
                return 200, {"builds": self.builds}
            if (method, path) == ("GET", "/machines"):
                return self.list(query, now)
            if (method, path) == ("POST", "/machines"):
                return self.rent(body, now)
            if (method, path) == ("POST", "/machines/release"):
                for name in body["stones"]:
                    machine = self.machines.get(name)
                    if machine and machine[3] is None:
                        machine[3] = now
                        machine[0].vanish()
                        self.world.note("cloud: released %s", name)
                return 200, {}
        return 404, {"error": "no such path"}

    def list(self, query, now):
        """The machines as they were list_lag_s ago."""
        then = now - self.list_lag_s
        rows = []
        for name in sorted(self.machines):
            worker, rented_at, up_at, gone_at = self.machines[name]
            if rented_at <= then and (gone_at is None or gone_at > then) and \
                    name > query.get("from", ""):
                rows.append({"ref": name, "addr": worker.address, "build": worker.build,
                             "ward": worker.ward, "loaners": False,
                             "standing": "running" if up_at <= then else "starting",
                             "age_s": then - rented_at})
        limit = min(int(query.get("limit", 500)), 500)
        return 200, {"stones": rows[:limit], "more": len(rows) > limit}

    def rent(self, body, now):
        hire = body["hire"]
        if hire not in self.hires:
            build, ward = body["build"], body["ward"]
            used = sum(1 for worker, _, _, gone_at in self.machines.values()
                       if gone_at is None and (worker.build, worker.ward) == (build, ward))
            count = min(body["how_many"], 50, self.capacity.get((build, ward), 0) - used)
            if count <= 0 or body["loaners"]:
                return 503, {"error": "no capacity"}
            self.hires[hire] = [self.add_machine(build, ward, self.boot_s) for _ in range(count)]
            self.world.note("cloud: %s rented %s", hire, " ".join(self.hires[hire]))
        return 200, {"stones": self.hires[hire]}
