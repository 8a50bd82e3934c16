"""Stand-in of the state service, after "Controller nodes -> state service" of PROTOCOL-ringrock.md."""
import bisect
import json
import threading
import time

from wire import Server

LOG_MAX = 10000
ROWS_MAX = 1000
PAGE_BYTES_MAX = 512 * 1024


class Store:
    def __init__(self, value_kb=8.0, txn_ops=32):
        self.value_kb = value_kb
        self.txn_ops = txn_ops
        self.lock = threading.Condition()
        self.rows = {}      # key -> (value, mark, tether)
        self.keys = []      # sorted
        self.epoch = 0
        self.log = []       # (mark, key, value or None)
        self.leases = {}    # id -> [life in seconds, end]
        self.last_lease = 0
        self.server = Server(self.serve)
        self.address = self.server.address
        threading.Thread(target=self.expire, daemon=True).start()

    # ---- changes, under the lock ----

    def write(self, key, value, tether):
        if value is None:
            del self.rows[key]
            self.keys.pop(bisect.bisect_left(self.keys, key))
        else:
            if key not in self.rows:
                bisect.insort(self.keys, key)
            self.rows[key] = (value, self.epoch, tether)
        self.log.append((self.epoch, key, value))

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [key for key, row in self.rows.items() if row[2] == lease]
        if gone:
            self.epoch += 1
            for key in gone:
                self.write(key, None, 0)
            self.lock.notify_all()

    def expire(self):
        while True:
            time.sleep(0.02)
            with self.lock:
                now = time.monotonic()
                for lease in [i for i, (_, end) in self.leases.items() if end <= now]:
                    self.end_lease(lease)

    # ---- requests ----

    def serve(self, method, path, query, body):
        if body is ValueError:
            return 400, {"error": "malformed"}
        with self.lock:
            if method == "GET" and path == "/watch":
                return self.watch(query)
            if method == "GET" and path == "/store":
                return self.read_page(query)
            if method == "GET" and path.startswith("/store/"):
                key = path[len("/store/"):]
                if key not in self.rows:
                    return 404, {"epoch": self.epoch}
                value, mark, tether = self.rows[key]
                row = {"path": key, "v": value, "mark": mark}
                if tether:
                    row["tether"] = tether
                return 200, row
            if method == "POST" and path == "/commit":
                return self.commit(body)
            if path == "/holds" or path.startswith("/holds/"):
                return self.serve_lease(method, path, body)
        return 404, {"error": "no such path"}

    def read_page(self, query):
        prefix, after = query.get("starts", ""), query.get("from", "")
        limit = min(int(query.get("limit", ROWS_MAX)), ROWS_MAX)
        at = bisect.bisect_right(self.keys, after) if after else 0
        at = max(at, bisect.bisect_left(self.keys, prefix))
        rows, size = [], 0
        while at < len(self.keys) and self.keys[at].startswith(prefix):
            key = self.keys[at]
            value, mark, _ = self.rows[key]
            size += len(json.dumps(value)) + len(key) + 32
            if len(rows) == limit or size > PAGE_BYTES_MAX:
                return 200, {"rows": rows, "more": True, "epoch": self.epoch}
            rows.append({"path": key, "v": value, "mark": mark})
            at += 1
        return 200, {"rows": rows, "more": False, "epoch": self.epoch}

    def watch(self, query):
        prefix, after = query.get("starts", ""), int(query["from"])
        until = time.monotonic() + min(int(query.get("hold_ms", 0)), 60000) / 1000
        while True:
            if len(self.log) > LOG_MAX:
                del self.log[:len(self.log) - LOG_MAX]
            if self.log and self.log[0][0] > after + 1 and len(self.log) == LOG_MAX:
                return 410, {"epoch": self.epoch}
            first = bisect.bisect_right(self.log, after, key=lambda entry: entry[0])
            found = []
            for mark, key, value in self.log[first:]:
                if key.startswith(prefix):
                    found.append({"delete": key, "mark": mark} if value is None else
                                 {"put": key, "v": value, "mark": mark})
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"epoch": self.epoch, "log": found}
            self.lock.wait(left)

    def commit(self, body):
        guards, apply = body.get("guards") or [], body.get("apply") or []
        if len(apply) > self.txn_ops or len(guards) > 4 * self.txn_ops:
            return 400, {"error": "too large"}
        for change in apply:
            if "put" not in change:
                continue
            if change.get("tether") and change["tether"] not in self.leases:
                return 400, {"error": "no such lease"}
            if len(json.dumps(change["v"], separators=(",", ":"))) > self.value_kb * 1024:
                return 400, {"error": "too large"}
        if len(json.dumps(body, separators=(",", ":"))) > 64 * 1024:
            return 400, {"error": "too large"}
        failed = [guard["path"] for guard in guards
                  if (self.rows[guard["path"]][1] if guard["path"] in self.rows else 0)
                  != guard["mark"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if apply:
            self.epoch += 1
            for change in apply:
                if "put" in change:
                    self.write(change["put"], change["v"], change.get("tether") or 0)
                elif change["delete"] in self.rows:
                    self.write(change["delete"], None, 0)
            self.lock.notify_all()
        return 200, {"epoch": self.epoch}

    def serve_lease(self, method, path, body):
        now = time.monotonic()
        if method == "POST" and path == "/holds":
            self.last_lease += 1
            life_s = body["life_ms"] / 1000
            self.leases[self.last_lease] = [life_s, now + life_s]
            return 200, {"tether": self.last_lease}
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self.end_lease(lease)
        else:
            self.leases[lease][1] = now + self.leases[lease][0]
        return 200, {"tether": lease}
