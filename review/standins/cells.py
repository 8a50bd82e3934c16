"""Two cells on loopback, and the links between them."""
import hashlib
import os
import select
import socket
import threading
import time

from bench import Deployment
from cloud import Cloud
from store import Store
from wire import free_port


def copy_id(home, ref, claim):
    """The id of a job's copy in another cell (docs/cells.md, "Names")."""
    digest = hashlib.sha256(("%s/%s/%d" % (home, ref, claim)).encode()).digest()
    return "req-8%020d" % int.from_bytes(digest[:8], "big")


class Link:
    """A TCP proxy. While it is cut it carries no byte; connections made or used then are reset when it
    is mended."""

    def __init__(self, listen_host, target, source_host):
        self.target, self.source_host = target, source_host
        self.is_cut = False
        self.pairs = []
        self.lock = threading.Lock()
        self.listener = socket.create_server((listen_host, 0), backlog=64)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self):
        self.is_cut = True

    def mend(self):
        with self.lock:
            for pair in self.pairs:
                for end in pair:
                    end.close()
            self.pairs.clear()
        self.is_cut = False

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            threading.Thread(target=self.carry, args=(client,), daemon=True).start()

    def carry(self, client):
        while self.is_cut:
            time.sleep(0.02)
        try:
            server = socket.create_connection(self.target, 1.0, (self.source_host, 0))
        except OSError:
            client.close()
            return
        server.settimeout(None)
        for end in (client, server):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self.lock:
            self.pairs.append((client, server))
        try:
            while True:
                ready, _, _ = select.select([client, server], [], [], 0.1)
                for end in ready:
                    while self.is_cut:
                        time.sleep(0.02)
                    data = end.recv(65536)
                    if not data:
                        return
                    (server if end is client else client).sendall(data)
        except (OSError, ValueError):
            pass
        finally:
            client.close()
            server.close()


class Cells:
    """Cells with two controllers each. zones: {cell: zone}. Every controller reaches those of other
    cells over a link of its own direction."""

    def __init__(self, record, folder, world_of, zones, builds, capacity, boot_s, workers, teams,
                 state, list_lag_s, settings):
        self.names = list(zones)
        self.stores = {cell: Store(state["value_kb"], state["txn_ops"]) for cell in self.names}
        self.worlds = {cell: world_of(cell) for cell in self.names}
        self.clouds = {cell: Cloud(self.worlds[cell], builds[cell], capacity[cell], list_lag_s,
                                   boot_s) for cell in self.names}
        hosts = {cell: "127.0.%d.1" % (i + 1) for i, cell in enumerate(self.names)}
        ports = {}
        for cell in self.names:
            for k in range(2):
                ports[cell, k] = free_port(hosts[cell])
        self.links = []
        self.deployments = {}
        for cell in self.names:
            text = 'cell = "%s"\n' % cell
            for name, value in settings.items():
                text += "%s = %s\n" % (name, value)
            for k in range(2):
                text += 'controller "%s%d" { endpoint = "%s:%d" }\n' % (cell, k, hosts[cell],
                                                                        ports[cell, k])
            for other in self.names:
                if other == cell:
                    continue
                text += 'neighbour "%s" {\n  networks = {"%s/32"}\n' % (other, hosts[other])
                for k in range(2):
                    link = Link(hosts[other], (hosts[other], ports[other, k]), hosts[cell])
                    self.links.append(link)
                    text += '  controller "%s%d" { endpoint = "%s" }\n' % (other, k, link.address)
                text += "}\n"
            path = os.path.join(folder, cell + ".conf")
            with open(path, "w", encoding="utf-8") as file:
                file.write(text)
            self.deployments[cell] = Deployment(
                record, folder, ["%s%d" % (cell, k) for k in range(2)], [zones[cell]],
                self.stores[cell], self.clouds[cell], workers, teams, state, list_lag_s,
                cells_file=path)
            self.worlds[cell].nodes = self.deployments[cell].addresses

    def start(self):
        for deployment in self.deployments.values():
            deployment.start()
        for deployment in self.deployments.values():
            deployment.wait_ready()

    def cut(self):
        for link in self.links:
            link.cut()

    def mend(self):
        for link in self.links:
            link.mend()
