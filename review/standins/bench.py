"""Controllers as processes, users, the record, and the end of a run."""
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from wire import Connection, call, free_port

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def note(self, text, *values):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.began, text % values))
            self.file.flush()

    def say(self, text, *values):
        self.note(text, *values)
        print(text % values, flush=True)


class NotRun(Exception):
    """The case could not run."""


def run_command():
    """The command of the deploy file that starts a controller, without the settings file."""
    with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
        words = tomllib.load(file)["run"].split()
    words[0] = os.path.join(ROOT, words[0])
    if not os.access(words[0], os.X_OK):
        raise NotRun("%s is not built" % words[0])
    return words


class Controller:
    def __init__(self, record, folder, name, settings, environment):
        self.record, self.name = record, name
        self.path = os.path.join(folder, name + ".toml")
        self.log = os.path.join(folder, name + ".log")
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(settings)
        self.environment = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"),
                                **environment)
        self.process = None

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(run_command() + [self.path], cwd=ROOT, stderr=log,
                                            stdout=log, stdin=subprocess.DEVNULL,
                                            env=self.environment)
        self.record.note("controller %s: started", self.name)

    def signal(self, number):
        self.process.send_signal(number)
        self.record.note("controller %s: %s", self.name, signal.Signals(number).name)

    def kill(self):
        if self.process:
            self.signal(signal.SIGKILL)
            self.process.wait()
            self.process = None

    def ended(self):
        return self.process is not None and self.process.poll() is not None


class Deployment:
    """The controllers of one deployment, on loopback. workers: the table of that name in the
    settings. teams: list of tables. cells_file: path of the settings of cells, or None."""

    def __init__(self, record, folder, names, zones, store, cloud, workers, teams, state, list_lag_s,
                 objectives=(), cells_file=None):
        self.record = record
        ports = {name: (free_port(), free_port()) for name in names}
        self.addresses = {name: "127.0.0.1:%d" % ports[name][0] for name in names}
        self.controllers = {}
        environment = {"RINGROCK_CELLS": cells_file} if cells_file else {}
        for i, name in enumerate(names):
            text = 'node_name = "%s"\nzone = "%s"\nbind = "%s"\npeer_listen = "127.0.0.1:%d"\n' % (
                name, zones[i % len(zones)], self.addresses[name], ports[name][1])
            for k, other in enumerate(names):
                if other != name:
                    text += '[[seeds]]\nnode_name = "%s"\nzone = "%s"\nendpoint = "127.0.0.1:%d"\n' \
                        % (other, zones[k % len(zones)], ports[other][1])
            text += '[services]\ncloud = "%s"\nstate = "%s"\n' % (cloud.address, store.address)
            text += '[deployment]\nnodes = %d\nzones = [%s]\nclock_off_ms = 100.0\n' % (
                len(names), ", ".join('"%s"' % zone for zone in zones))
            for team in teams:
                text += "[[deployment.teams]]\n" + format_table(team)
            for objective in objectives:
                text += "[[deployment.objectives]]\n" + format_table(objective)
            text += "[deployment.workers]\n" + format_table(workers)
            text += "[deployment.state]\n" + format_table(state)
            text += "[deployment.cloud]\nrps = 10.0\nlist_lag_s = %.1f\n" % list_lag_s
            text += "[deployment.limits]\ncore_share = 0.12\nram_mb = 200.0\nmax_sockets = 3500\n"
            self.controllers[name] = Controller(record, folder, name, text, environment)

    def start(self):
        for controller in self.controllers.values():
            controller.start()

    def wait_ready(self, timeout_s=25):
        until = time.monotonic() + timeout_s
        for name, address in self.addresses.items():
            while call(address, "GET", "/ready", timeout_s=1)[0] != 200:
                if self.controllers[name].ended():
                    raise NotRun("controller %s ended" % name)
                if time.monotonic() > until:
                    raise NotRun("controller %s is not ready" % name)
                time.sleep(0.05)
        self.record.note("controllers ready: %s", " ".join(self.addresses))

    def kill(self):
        for controller in self.controllers.values():
            controller.kill()


def format_table(table):
    text = ""
    for key, value in table.items():
        text += "%s = %s\n" % (key, '"%s"' % value if isinstance(value, str) else value)
    return text


JOB = {"lane": "archive-rerun", "crew": "library-crew", "shape": "batch", "rank": "low", "pieces": 1,
       "vcpus": 6.0, "cards": 1.0, "mem_gb": 48.0, "cast": "img-01", "pull_gb": 0.2, "builds": None,
       "ward": None, "one_zone": False, "apart": False, "loaners": False, "guess_s": 90.0,
       "cairn_s": 0.0, "stash_s": 0.0, "due_s": None}


class Users:
    """Users behind the load balancer: a new connection goes to the next node that answers /ready."""

    def __init__(self, world, deployment):
        self.world, self.deployment = world, deployment
        self.next = 0

    def healthy(self):
        """The address of the next healthy node, or None."""
        addresses = list(self.deployment.addresses.values())
        for _ in addresses:
            address = addresses[self.next % len(addresses)]
            self.next += 1
            if call(address, "GET", "/ready", timeout_s=1)[0] == 200:
                return address
        return None

    def submit(self, ref, run_s, **fields):
        """Submits as the page says, for up to 60 s. Returns the final status, None: given up."""
        job = dict(JOB, ref=ref, **fields)
        with self.world.lock:
            self.world.jobs[ref] = dict(job, run_s=run_s)
        began = time.monotonic()
        while time.monotonic() - began < 60:
            address = self.healthy()
            status, answer = call(address, "POST", "/submissions", job) if address else (None, None)
            self.world.note("user: submit %s pieces %d: %s %s", ref, job["pieces"], status, answer)
            if status in (200, 201, 400, 422):
                return status
            time.sleep(1.0)
        return None

    def poll(self, ref, address=None):
        """One poll. Returns (status, answer); status None: no response within 2 s."""
        address = address or self.healthy()
        if not address:
            return None, None
        status, answer = call(address, "GET", "/submissions/" + ref, timeout_s=2)
        self.world.note("user: poll %s: %s %s", ref, status, answer)
        return status, answer

    def cancel(self, ref):
        began = time.monotonic()
        while time.monotonic() - began < 60:
            address = self.healthy()
            status, answer = call(address, "POST", "/submissions/%s/cancel" % ref) \
                if address else (None, None)
            self.world.note("user: cancel %s: %s %s", ref, status, answer)
            if status == 200:
                return answer
            time.sleep(1.0)
        return None


def wait_for(condition, timeout_s, step_s=0.05):
    """Waits until the condition holds. Returns its value, false after the time."""
    until = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value or time.monotonic() > until:
            return value
        time.sleep(step_s)


def overlaps(runs, same_task):
    """Starts of a task while it is on another machine: pairs (earlier run, later run).
    same_task(run) returns what identifies the task."""
    found = []
    for later in runs:
        for earlier in runs:
            if earlier is not later and same_task(earlier) == same_task(later) and \
                    earlier["machine"] != later["machine"] and \
                    earlier["from"] <= later["from"] and \
                    (earlier["until"] is None or earlier["until"] > later["from"]):
                found.append((earlier, later))
    return found


def main(case_folder, scenario, limit_s=118):
    """Runs scenario(record, folder, trouble), which returns HELD or BROKEN, and exits with it. All
    controllers that the scenario registers in `controllers` are ended."""
    record = Record(case_folder)
    folder = tempfile.mkdtemp(prefix="ringrock-review-")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployments = []
    result = NOT_RUN

    def finish(code):
        for deployment in deployments:
            deployment.kill()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
        record.say("exit %d", code)
        os._exit(code)

    def on_signal(number, frame):
        record.say("stopped by signal %d", number)
        finish(NOT_RUN)

    def on_limit():
        record.say("not run: over %d s", limit_s)
        finish(NOT_RUN)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    timer = threading.Timer(limit_s, on_limit)
    timer.daemon = True
    timer.start()
    try:
        record.say("trouble: %s", "on" if trouble else "off")
        result = scenario(record, folder, trouble, deployments)
    except NotRun as error:
        record.say("not run: %s", error)
    except Exception as error:  # a fault of the test itself is no result
        import traceback
        record.say("not run: %r", error)
        traceback.print_exc()
    finish(result)
