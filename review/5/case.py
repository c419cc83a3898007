"""A new manifest adds a route for prompts whose answers aren't streams."""

import asyncio
import json
import os
import sys
import time

from lib import fleet as fleets
from lib import http1
from lib.store import Store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

TIMEOUT_MS = 4000
BEAT_S = 1.2
MODEL = "m0"
HOST = "crew.example"
TENANTS = {"walled": True, "crew-1": False, "crew-2": False}
KEYS = {name: "reviewkey%s" % name for name in TENANTS}
# Two parts that all tenants' prompts begin with, and one of the request's own.
SHARED_PARTS = "5c1e07a2:2520,91bd3f06:3780"


def manifest(version, with_new_route):
    def route(name, prefix, kind):
        return {
            "name": name,
            "host": HOST,
            "prefix": prefix,
            "kind": kind,
            "timeoutMs": TIMEOUT_MS,
            "targetLatencyMs": 600,
            "priority": 1,
            "service": "llm-pool",
            "maxAttempts": 2,
            "authExempt": False,
            "sticky": True,
            "resumable": kind == "streaming",
            "gapTargetMs": 400,
        }

    routes = [route("log-triage", "/triage/", "streaming")]
    if with_new_route:
        routes.append(route("triage-brief", "/brief/", "idempotent"))
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "llm-pool",
                "healthPath": "/health",
                "maxConns": 720,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 64,
                    "kvCapacityTokens": 106560,
                    "kvTokenBytes": 35136,
                    "linkMbps": 1100000.0,
                    "maxInflight": 12,
                    "models": [{"name": MODEL}],
                },
            }
        ],
        "limits": fleets.LIMITS,
        "tenants": [
            {
                "name": name,
                "apiKeys": [KEYS[name]],
                "priority": 1,
                "isolated": isolated,
            }
            for name, isolated in TENANTS.items()
        ],
    }


class Engine:
    """A model server that keeps the parts of prompts under `X-Cache-Salt`."""

    def __init__(self, record, store, index, breaches):
        self.record = record
        self.store = store
        self.index = index
        self.ident = "i-%d" % index
        self.breaches = breaches
        self.parts = {}  # (salt, model, ids up to the part) -> tenant that made it
        self.address = ""
        self.born = int(time.time() * 1000)
        self.runs = 0

    async def start(self):
        server = await asyncio.start_server(
            self._serve, "127.0.70.%d" % (100 + self.index), 0, limit=1 << 20
        )
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        asyncio.ensure_future(self._beat())

    def _models(self):
        return [{"name": MODEL, "version": 1, "adapters": []}]

    async def _beat(self):
        sequence = 0
        while True:
            sequence += 1
            self.store.put(
                "servers",
                self.ident,
                {
                    "service": "llm-pool",
                    "address": self.address,
                    "zone": fleets.ZONES[self.index],
                    "version": "v1",
                    "slots": 64,
                    "state": "ready",
                    "coldLeftMs": 0,
                    "stage": "colocated",
                    "models": self._models(),
                    "sequence": sequence,
                    "born": self.born,
                },
            )
            await asyncio.sleep(BEAT_S)

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await http1.read_request(reader)
                if request is None:
                    break
                writer.write(await self._answer(*request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, _method, target, head, _body):
        kind = [("Content-Type", "application/json")]
        if target.startswith("/kv-events"):
            await asyncio.sleep(int(head.get("wait-ms", "0")) / 1000)
            events = {"bootEpoch": self.born, "next": 1, "lost": False, "events": []}
            return http1.encode_answer(200, kind, json.dumps(events).encode())
        if target.startswith("/report"):
            report = {
                "stage": "colocated",
                "models": self._models(),
                "busy": False,
                "sequence": 0,
                "queued": 0,
                "active": 0,
                "kvUsed": 0,
                "kvTotal": 106560,
                "handles": 0,
            }
            return http1.encode_answer(200, kind, json.dumps(report).encode())
        return await self._run(target, head)

    async def _run(self, target, head):
        attempt = head.get("x-attempt-id", "")
        tenant = head.get("x-tenant", "")
        salt = head.get("x-cache-salt")
        model = head.get("x-model")
        self.runs += 1
        used = []
        ids = ()
        names = [it.split(":")[0] for it in head.get("x-prompt-prefix", "").split(",")]
        for name in names:
            ids += (name,)
            maker = self.parts.get((salt, model, ids))
            if maker is None:
                break
            used.append(maker)
        for n in range(len(names)):
            self.parts.setdefault((salt, model, tuple(names[: n + 1])), tenant)
        self.record.write(
            "%s runs %s %s for %s, salt %s, uses %d kept parts"
            % (self.ident, attempt, target, tenant, salt, len(used))
        )
        for maker in used:
            walled = TENANTS[tenant] or TENANTS[maker]
            if maker != tenant and walled:
                self.breaches.append((attempt, tenant, maker))
                self.record.write(
                    "WALL: %s of %s uses a part that %s made" % (attempt, tenant, maker)
                )
        await asyncio.sleep(0.06)
        fields = [
            ("X-Attempt-Id", attempt),
            ("X-Server-Seal", "seal." + attempt),
            ("X-Weight-Versions", "1"),
        ]
        if target.startswith("/triage/"):
            body = b"".join(b"id: %d\ndata: token\n\n" % n for n in range(1, 6))
            fields.append(("Content-Type", "text/event-stream"))
        else:
            body = b'{"stage":"final amplifier"}'
            fields.append(("Content-Type", "application/json"))
        return http1.encode_answer(200, fields, body)


async def request(record, gateway, attempt, tenant, path):
    reader, writer = await asyncio.open_connection(*gateway.front)
    writer.write(
        (
            "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n"
            "X-Deadline-Ms: %d\r\nX-Key: %s\r\nX-Model: %s\r\n"
            "X-Token-Count: 6400,20\r\nX-Prompt-Prefix: %s,%s:100\r\n"
            "Content-Length: 0\r\n\r\n"
            % (
                path,
                HOST,
                attempt,
                TIMEOUT_MS,
                KEYS[tenant],
                MODEL,
                SHARED_PARTS,
                attempt,
            )
        ).encode()
    )
    answer = await http1.read_answer(reader)
    writer.close()
    record.write("%s has of %s %s: %d" % (tenant, attempt, path, answer.status))
    return answer.status


async def play(record):
    store = Store()
    await store.start("127.0.70.200")
    store.put("op", "config", manifest(7, False))
    breaches = []
    engines = [Engine(record, store, index, breaches) for index in range(3)]
    for engine in engines:
        await engine.start()
    await asyncio.sleep(0.1)
    fleet = fleets.Fleet(record, 3, store.address)
    statuses = []
    try:
        await fleet.start()
        await asyncio.sleep(2.0)
        paths = ["/triage/log"]
        for n in range(120):
            if n == 40 and TROUBLE:
                record.write("the operator adds a route")
                store.put("op", "config", manifest(9, True))
                await asyncio.sleep(fleets.BOUNDS["configMs"] / 1000)
                paths.append("/brief/log")
            tenant = list(TENANTS)[n % len(TENANTS)]
            gateway = fleet.gateways[n // 3 % 3]
            attempt = "%08x" % (0xA0000000 + n)
            path = paths[n // 9 % len(paths)]
            statuses.append(await request(record, gateway, attempt, tenant, path))
    finally:
        fleet.stop()
    served = statuses.count(200)
    record.write("%d of %d requests served" % (served, len(statuses)))
    record.write("%d uses of parts across the wall" % len(breaches))
    if breaches:
        return 1
    return 0 if served == len(statuses) else 2


def main():
    record = fleets.Record("record.txt")
    try:
        result = asyncio.run(play(record))
    except (OSError, RuntimeError) as error:
        record.write("the case couldn't run: %s" % error)
        result = 2
    record.write("result %d (TROUBLE=%d)" % (result, TROUBLE))
    return result


sys.exit(main())
