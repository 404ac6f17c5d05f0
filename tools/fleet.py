"""A fleet next to a running system, with one control VM and one entry.

Its entry calls the system's stand-ins directly, without agents.
"""
import json
import os
import shutil

from system import ROOT, Process, request, wait_for

HOST = "x"  # bench-load's Host header


def routing(customers):
    routes = [
        {"name": "read", "prefix": "/svc/portal-web/", "type": "safe",
         "service": "web", "attempts": 2},
        {"name": "chat", "prefix": "/v1/", "type": "stream",
         "service": "lm", "attempts": 1}]
    for r in routes:
        r.update(host=HOST, timeoutMs=30000)
    out = {"version": 1, "routes": routes,
           "services": [{"name": "web"}, {"name": "lm"}]}
    if customers:
        out["tenants"] = customers
    return out


class Fleet:
    """A control VM and an entry, with the entry's addresses.

    addr is for callers, status for its metrics.
    """

    def __init__(self, folder, build, ports, endpoints, customers=None):
        """endpoints: service -> address of a running stand-in."""
        self.customers = customers
        self.headers = {"Host": HOST}
        if customers:
            self.headers["Authorization"] = (
                "Bearer " + customers[0]["keys"][0])
        self.folder, self.build = folder, os.path.join(ROOT, build)
        shutil.rmtree(folder, ignore_errors=True)
        os.makedirs(folder)
        self.endpoints = endpoints
        self.frame, self.operator, self.listing = ports[:3]
        self.addr, self.status, own = ports[3:6]
        self.procs = [
            Process("list", [os.path.join(self.build, "standin"), "platform",
                             "--listen", self.listing],
                    os.path.join(folder, "list.log")),
            self._daemon("control", self.frame, {"control_vm": {
                "data": os.path.join(folder, "data"), "found_group": True}},
                {"operator_listen": self.operator}),
            self._daemon("entry", own, {}, {
                "listen": self.addr, "ready_listen": self.status})]

    def _daemon(self, role, listen, more, fleet):
        path = os.path.join(self.folder, role + ".json")
        settings = dict({
            "role": role, "name": "fleet-" + role, "domain": "za",
            "log_level": "warn", "listen": listen, "control": [self.frame],
            "fleet": dict(fleet, on=True, vm_list=self.listing)}, **more)
        with open(path, "w") as f:
            json.dump(settings, f)
        return Process(role, [os.path.join(self.build, "sapphireshiftd"),
                              path], os.path.join(self.folder, role + ".log"))

    def _try(self, addr, method, path, body=None):
        try:
            return request(addr, method, path, body, self.headers)[0]
        except OSError:
            return 0

    def start(self):
        body = {"next": None, "instances": [
            {"id": "i-" + service, "service": service, "addr": addr,
             "zone": "za", "slots": 4096, "state": "ready",
             "version": "v1", "coldLeftMs": 0}
            for service, addr in self.endpoints.items()]}
        for p in self.procs:
            p.start()
        wait_for(lambda: self._try(self.listing, "PUT", "/", body) == 200,
                 why="the list is up")
        wait_for(lambda: self._try(
            self.operator, "POST", "/sapphireshift/Config.Put",
            routing(self.customers)) == 200, why="the routing is in force")
        wait_for(lambda: self._try(
            self.addr, "GET", "/svc/portal-web/seats/1") == 200,
            why="the fleet's entry answers")

    def kill(self):
        for p in self.procs:
            if p.alive():
                p.kill()
