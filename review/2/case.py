"""The last tenants are taken out of the manifest, and with them all keys."""

import asyncio
import os
import sys

from lib import fleet as fleets
from lib import http1
from lib.servers import PlainServer
from lib.store import Store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

TIMEOUT_MS = 3000
HOST = "crew.example"
KEYS = ["reviewkeycrew1", "reviewkeycrew2"]
UNKNOWN_KEY = "neverinanymanifest"
ROUNDS = 20


def manifest(version, keys):
    return {
        "version": version,
        "routes": [
            {
                "name": "part-booking",
                "host": HOST,
                "prefix": "/booking/",
                "kind": "non_idempotent",
                "timeoutMs": TIMEOUT_MS,
                "targetLatencyMs": 300,
                "priority": 1,
                "service": "crew-app",
                "maxAttempts": 1,
                "authExempt": False,
                "sticky": False,
                "resumable": False,
            }
        ],
        "services": [
            {
                "name": "crew-app",
                "healthPath": "/health",
                "maxConns": 200,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": fleets.LIMITS,
        "tenants": [
            {"name": "crew-" + key[-1], "apiKeys": [key], "isolated": False}
            for key in keys
        ],
    }


async def request(record, gateway, attempt, key):
    reader, writer = await asyncio.open_connection(*gateway.front)
    writer.write(
        (
            "POST /booking/valve HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n"
            "X-Deadline-Ms: %d\r\nX-Key: %s\r\nContent-Length: 0\r\n\r\n"
            % (HOST, attempt, TIMEOUT_MS, key)
        ).encode()
    )
    answer = await http1.read_answer(reader)
    writer.close()
    record.write("client has of %s, key %s: %d" % (attempt, key, answer.status))
    return answer.status


async def play(record):
    store = Store()
    await store.start("127.0.70.200")
    store.put("op", "config", manifest(7, KEYS))
    servers = []
    for index, zone in enumerate(fleets.ZONES):
        server = PlainServer(
            record, store, "i-%d" % index, "crew-app", zone, 0.06, 800
        )
        await server.start("127.0.70.%d" % (100 + index))
        servers.append(server)
    await asyncio.sleep(0.1)
    fleet = fleets.Fleet(record, 3, store.address)
    unknown = []
    dropped = []
    served = 0
    refused = 0
    try:
        await fleet.start()
        await asyncio.sleep(2.0)
        for phase, keys in enumerate([KEYS, KEYS[:1], []]):
            if phase and not TROUBLE:
                break
            if phase:
                record.write("the operator leaves the keys %s" % keys)
                store.put("op", "config", manifest(7 + 2 * phase, keys))
                await asyncio.sleep(fleets.BOUNDS["configMs"] / 1000 + 0.5)
            for n in range(ROUNDS):
                gateway = fleet.gateways[n % 3]
                for k, key in enumerate(KEYS + [UNKNOWN_KEY]):
                    attempt = "p%dn%02dk%d" % (phase, n, k)
                    if key == UNKNOWN_KEY:
                        unknown.append(attempt)
                    elif key not in keys:
                        dropped.append(attempt)
                    status = await request(record, gateway, attempt, key)
                    served += status == 200
                    refused += status == 401
    finally:
        fleet.stop()
    runs = set()
    for server in servers:
        runs.update(server.runs)
    ran_unknown = [it for it in unknown if it in runs]
    ran_dropped = [it for it in dropped if it in runs]
    for attempt in ran_unknown:
        record.write("ROUTE: %s has run, with a key no manifest held" % attempt)
    for attempt in ran_dropped:
        record.write("also CONFIG: %s has run, with a dropped key" % attempt)
    record.write(
        "%d served, %d refused with 401; run with an unknown key %d, with a "
        "dropped one %d" % (served, refused, len(ran_unknown), len(ran_dropped))
    )
    if ran_unknown:
        return 1
    return 0 if served and refused else 2


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
