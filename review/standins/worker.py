"""Stand-in of a worker, after "Workers -> controller nodes" and "Controller nodes -> workers" of
PROTOCOL-ringrock.md. It runs no programs: a task is a span of time."""
import json
import random
import threading
import time

from wire import Connection, Server

REPORT_TIMEOUT_S = 4.0
CHANGE_PAUSE_S = 0.5
NEXT_NODE_PAUSE_S = 1.0


class Task:
    def __init__(self, piece, attempt, job):
        self.piece, self.attempt, self.job = piece, attempt, job
        self.state, self.cause, self.saved = "fetching", None, False
        self.until = 0.0   # when the state ends by itself; 0: never
        self.run = None    # entry of world.runs


class World:
    """What the stand-ins of one run share: the jobs that users submitted, and every run of a task.

    nodes: {controller name: address for workers}, in the order of the settings."""

    def __init__(self, record, report_s, lease_s):
        self.record = record
        self.report_s, self.lease_s = report_s, lease_s
        self.nodes = {}
        self.jobs = {}        # id -> submission with run_s
        self.done = set()     # pieces whose result is kept
        self.runs = []        # {piece, try, machine, from, until, end}
        self.lock = threading.RLock()
        self.resolve = lambda job_id: job_id  # id under which the description of a job is found

    def note(self, text, *values):
        self.record.note(text, *values)

    def find_job(self, job_id):
        with self.lock:
            return self.jobs.get(self.resolve(job_id))


class Worker:
    def __init__(self, world, name, build, ward, entry):
        self.world, self.name, self.build, self.ward = world, name, build, ward
        self.capacity = (entry["vcpus"], entry["cards"], entry["mem_gb"])
        self.pull_gb_per_s = entry["pull_gb_per_s"]
        self.images = set()
        self.tasks = {}       # (piece, try) -> Task
        self.tenure, self.tally, self.warrant = 1, 0, 0
        self.lock = threading.RLock()
        self.server = Server(self.serve)
        self.address = self.server.address
        self.up = False
        self.gone = False
        self.changed = threading.Event()
        self.answered_sent_at = 0.0
        self.node = 0         # index into the names of world.nodes
        self.report_sizes = []   # (time, size as JSON, status)
        self.leases_lost = 0

    def begin(self):
        with self.lock:
            if self.gone:
                return
            self.up = True
            self.answered_sent_at = time.monotonic()
        threading.Thread(target=self.tick_forever, daemon=True).start()
        threading.Thread(target=self.report_forever, daemon=True).start()

    def vanish(self):
        """The machine is gone with everything on it."""
        with self.lock:
            self.gone, self.up = True, False
            for task in self.tasks.values():
                self.close_run(task, "machine gone")
            self.tasks.clear()
        self.changed.set()

    # ---- tasks, under the lock ----

    def open_run(self, task):
        with self.world.lock:
            task.run = {"piece": task.piece, "try": task.attempt, "machine": self.name,
                        "from": time.monotonic(), "until": None, "end": None}
            self.world.runs.append(task.run)
        self.world.note("worker %s: %s try %d starts", self.name, task.piece, task.attempt)

    def close_run(self, task, end):
        if task.run and task.run["until"] is None:
            task.run["until"], task.run["end"] = time.monotonic(), end
            self.world.note("worker %s: %s try %d ends: %s", self.name, task.piece, task.attempt,
                            end)

    def exit_task(self, task, cause, saved=False):
        self.close_run(task, cause)
        task.state, task.cause, task.saved, task.until = "ended", cause, saved, 0
        self.changed.set()

    def used(self):
        used = [0.0, 0.0, 0.0]
        for task in self.tasks.values():
            if task.state != "ended":
                for i, field in enumerate(("vcpus", "cards", "mem_gb")):
                    used[i] += task.job[field]
        return used

    def start(self, piece, attempt, used):
        if (piece, attempt) in self.tasks:
            return
        job_id, number = piece.rsplit("/", 1)
        job = self.world.find_job(job_id)
        task = Task(piece, attempt, job)
        self.tasks[(piece, attempt)] = task
        self.changed.set()
        if not job or int(number) >= job["pieces"]:
            task.state, task.cause = "ended", "no_such"
            return
        need = (job["vcpus"], job["cards"], job["mem_gb"])
        if any(other.piece == piece and other.state != "ended" and other is not task
               for other in self.tasks.values()):
            task.state, task.cause = "ended", "in_use"
        elif any(used[i] + need[i] > self.capacity[i] + 1e-6 for i in range(3)):
            task.state, task.cause = "ended", "full"
        else:
            for i in range(3):
                used[i] += need[i]
            fetch_s = 0 if job["cast"] in self.images else job["pull_gb"] / self.pull_gb_per_s
            task.until = time.monotonic() + fetch_s
            if fetch_s == 0:
                self.run_task(task)

    def run_task(self, task):
        """The task has its image."""
        self.images.add(task.job["cast"])
        task.state = "running"
        self.open_run(task)
        if task.piece in self.world.done:
            self.exit_task(task, "done")
            return
        task.until = time.monotonic() + task.job["run_s"] if task.job["shape"] == "batch" else 0
        self.changed.set()

    def stop(self, task, leave_s):
        if task.state == "ended":
            return
        stash_s = task.job["stash_s"]
        if task.state == "running" and task.job["cairn_s"] > 0 and leave_s >= stash_s:
            task.state, task.until = "flushing", time.monotonic() + stash_s
            self.changed.set()
        elif task.state != "flushing" or leave_s == 0:
            self.exit_task(task, "halted")

    def execute(self, orders):
        used = self.used()
        for order in orders or []:
            key = (order["piece"], order["try"])
            if order["verb"] == "start":
                self.start(key[0], key[1], used)
            elif order["verb"] == "stop" and key in self.tasks:
                self.stop(self.tasks[key], order.get("leave_s") or 0)
            elif order["verb"] == "reap" and key in self.tasks and \
                    self.tasks[key].state == "ended":
                del self.tasks[key]
                self.changed.set()

    def accept_token(self, warrant):
        """Returns whether a message with this token counts."""
        if not isinstance(warrant, int) or warrant < self.warrant:
            return False
        if warrant > self.warrant:
            self.warrant = warrant
        return True

    def report(self):
        self.tally += 1
        pieces = []
        for task in self.tasks.values():
            row = {"piece": task.piece, "try": task.attempt, "standing": task.state}
            if task.cause:
                row["cause"] = task.cause
            if task.saved:
                row["saved"] = True
            pieces.append(row)
        return {"stone": self.name, "addr": self.address, "build": self.build, "ward": self.ward,
                "loaners": False, "tenure": self.tenure, "tally": self.tally,
                "warrant": self.warrant, "recall_s": None, "pieces": pieces}

    # ---- commands ----

    def serve(self, method, path, query, body):
        with self.lock:
            if not self.up:
                raise Server.Dropped
            if (method, path) == ("GET", "/status"):
                return 200, self.report()
            if (method, path) != ("POST", "/do") or not isinstance(body, dict):
                return 400, {"error": "malformed"}
            if "warrant" not in body or "tenure" not in body:
                return 400, {"error": "malformed"}
            if body["tenure"] != self.tenure or not self.accept_token(body["warrant"]):
                return 409, self.report()
            if body.get("orders"):
                self.world.note("worker %s: commands %s", self.name,
                                " ".join("%s %s/%d" % (o["verb"], o["piece"], o["try"])
                                         for o in body["orders"][:4]) +
                                (" ... (%d)" % len(body["orders"])
                                 if len(body["orders"]) > 4 else ""))
            self.execute(body.get("orders"))
            return 200, self.report()

    # ---- time ----

    def tick(self):
        now = time.monotonic()
        if now - self.answered_sent_at > self.world.lease_s:
            for task in self.tasks.values():
                self.close_run(task, "lease lost")
            self.world.note("worker %s: lease lost, %d tasks forgotten", self.name,
                            len(self.tasks))
            self.tasks.clear()
            self.leases_lost += 1
            self.tenure += 1
            self.answered_sent_at = now
            self.changed.set()
        for task in list(self.tasks.values()):
            if not task.until or now < task.until:
                continue
            if task.state == "fetching":
                self.run_task(task)
            elif task.state == "running":
                with self.world.lock:
                    self.world.done.add(task.piece)
                self.exit_task(task, "done")
            elif task.state == "flushing":
                self.exit_task(task, "halted", True)

    def tick_forever(self):
        while self.up:
            with self.lock:
                if self.up:
                    self.tick()
            time.sleep(0.02)

    # ---- reports ----

    def next_node(self, name=None):
        names = list(self.world.nodes)
        if name in names and names.index(name) != self.node:
            self.node = names.index(name)
            return 0.1
        self.node = (self.node + 1) % len(names)
        return NEXT_NODE_PAUSE_S

    def report_forever(self):
        connection, sent_at = None, 0.0
        while self.up:
            self.changed.clear()
            with self.lock:
                report, tenure = self.report(), self.tenure
            names = list(self.world.nodes)
            address = self.world.nodes[names[self.node % len(names)]]
            if not connection or connection.address != address:
                if connection:
                    connection.close()
                connection = Connection(address)
            sent_at = time.monotonic()
            status, answer = connection.call("POST", "/hello", report, REPORT_TIMEOUT_S)
            self.report_sizes.append(
                (sent_at, len(json.dumps(report, separators=(",", ":"))), status))
            if time.monotonic() - sent_at > REPORT_TIMEOUT_S:
                status = None
            pause_s = 0.0
            if status == 200:
                with self.lock:
                    if self.up and self.tenure == tenure and \
                            self.accept_token((answer or {}).get("warrant")):
                        self.answered_sent_at = sent_at
                        self.execute(answer.get("orders"))
            else:
                connection.close()
                named = (answer or {}).get("answers_to") if status == 421 else None
                pause_s = self.next_node(named)
            if pause_s:
                time.sleep(pause_s)
                continue
            due_at = sent_at + self.world.report_s * random.uniform(0.75, 1.25)
            self.changed.wait(max(0.0, due_at - time.monotonic()))
            time.sleep(max(0.0, sent_at + CHANGE_PAUSE_S - time.monotonic()))
