"""A server restarts under a new id, and now and then sends an answer twice."""

import asyncio
import os
import random
import sys
import time

from lib import fleet as fleets
from lib import http1
from lib.store import Store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

TIMEOUT_MS = 3000
WORK_S = 0.06
SLOTS = 6
BEAT_S = 1.2
# An entry is removed after three check-in intervals of silence.
EXPIRY_S = 3 * BEAT_S
CLIENTS_PER_GATEWAY = 12
PAUSE_S = 0.02
RUN_S = 96.0
# The faulty server crashes every so often, and is down for a second.
CRASH_EVERY_S = 5.0
DOWN_S = 1.0
# Share of its answers that it sends a second time, for some time after a start.
EXTRA_SHARE = 0.03
EXTRA_FOR_S = 5.0
KEY = "reviewkey0000000001"
HOST = "crew.example"


def manifest():
    def route(name, prefix, kind, attempts):
        return {
            "name": name,
            "host": HOST,
            "prefix": prefix,
            "kind": kind,
            "timeoutMs": TIMEOUT_MS,
            "targetLatencyMs": 300,
            "priority": 1,
            "service": "crew-app",
            "maxAttempts": attempts,
            "authExempt": False,
            "sticky": False,
            "resumable": False,
        }

    return {
        "version": 7,
        "routes": [route("part-booking", "/booking/", "non_idempotent", 1)],
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
            {"name": "crew-1", "apiKeys": [KEY], "priority": 1, "isolated": False}
        ],
    }


class Server:
    """Runs bookings. Each start is a new boot with a new id, at one address."""

    def __init__(self, record, store, runs, index, extra_share):
        self.record = record
        self.store = store
        self.runs = runs
        self.index = index
        self.extra_share = extra_share
        self.random = random.Random(index)
        self.ip = "127.0.70.%d" % (100 + index)
        self.port = 0
        self.boot = 0
        self.server = None
        self.channels = set()
        self.beat = None

    async def start(self):
        self.boot += 1
        self.ident = "i-%d%02d" % (self.index, self.boot)
        self.slots = asyncio.Semaphore(SLOTS)
        self.born = int(time.time() * 1000)
        self.extra_until = time.monotonic() + EXTRA_FOR_S
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat = asyncio.ensure_future(self._beat())
        self.record.write("%s starts at %s:%d" % (self.ident, self.ip, self.port))

    async def crash(self):
        self.record.write("%s crashes" % self.ident)
        self.beat.cancel()
        self.server.close()
        for writer in list(self.channels):
            writer.transport.abort()
        silent_for = time.monotonic() - self.last_beat
        asyncio.get_running_loop().call_later(
            EXPIRY_S - silent_for, self.store.remove, "servers", self.ident
        )

    async def _beat(self):
        sequence = 0
        while True:
            sequence += 1
            self.last_beat = time.monotonic()
            self.store.put(
                "servers",
                self.ident,
                {
                    "service": "crew-app",
                    "address": "%s:%d" % (self.ip, self.port),
                    "zone": fleets.ZONES[self.index],
                    "version": "v1",
                    "slots": SLOTS,
                    "state": "ready",
                    "coldLeftMs": 0,
                    "sequence": sequence,
                    "born": self.born,
                },
            )
            await asyncio.sleep(BEAT_S)

    async def _serve(self, reader, writer):
        ident = self.ident
        self.channels.add(writer)
        extra = b""
        try:
            while True:
                request = await http1.read_request(reader)
                if request is None or ident != self.ident:
                    break
                if extra:
                    # At the point where the next answer is expected.
                    writer.write(extra)
                    await writer.drain()
                attempt, answer = await self._answer(ident, request)
                writer.write(answer)
                await writer.drain()
                extra = b""
                if self._is_faulty() and self.random.random() < self.extra_share:
                    self.record.write(
                        "%s will send its answer to %s a second time"
                        % (ident, attempt)
                    )
                    extra = answer
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    def _is_faulty(self):
        restarted = self.boot > 1 and time.monotonic() < self.extra_until
        return TROUBLE and restarted

    async def _answer(self, ident, request):
        head = request[2]
        attempt = head.get("x-attempt-id", "")
        if head.get("x-expect-instance", ident) != ident:
            self.record.write(
                "%s answers %s with 421: expected %s"
                % (ident, attempt, head.get("x-expect-instance"))
            )
            fields = [
                ("X-Attempt-Id", attempt),
                ("X-Instance-Id", ident),
                ("X-Not-Executed", "1"),
            ]
            return attempt, http1.encode_answer(421, fields, b"")
        async with self.slots:
            self.runs.setdefault(attempt, []).append(ident)
            self.record.write("%s runs %s" % (ident, attempt))
            await asyncio.sleep(WORK_S)
        fields = [
            ("X-Attempt-Id", attempt),
            ("X-Server-Seal", "seal.%s.%s" % (ident, attempt)),
        ]
        return attempt, http1.encode_answer(200, fields, b"booked " + attempt.encode())


class Client:
    def __init__(self, record, gateway, name, statuses, refused):
        self.refused = refused
        self.record = record
        self.gateway = gateway
        self.name = name
        self.statuses = statuses

    async def run(self, until):
        loop = asyncio.get_running_loop()
        n = 0
        while loop.time() < until:
            reader, writer = await asyncio.open_connection(*self.gateway.front)
            answer = http1.Answer()
            while loop.time() < until:
                attempt = "%s%010d" % (self.name, n)
                n += 1
                writer.write(
                    (
                        "POST /booking/valve HTTP/1.1\r\nHost: %s\r\n"
                        "X-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Key: %s\r\n"
                        "Content-Length: 0\r\n\r\n" % (HOST, attempt, TIMEOUT_MS, KEY)
                    ).encode()
                )
                answer = await http1.read_answer(reader)
                self.statuses[answer.status] = self.statuses.get(answer.status, 0) + 1
                if answer.status == 503:
                    self.refused.append(attempt)
                if answer.status != 200:
                    self.record.write("client has of %s: %d" % (attempt, answer.status))
                if not answer.complete:
                    break
                await asyncio.sleep(PAUSE_S)
            writer.close()


async def play(record):
    store = Store()
    await store.start("127.0.70.200")
    store.put("op", "config", manifest())
    runs = {}
    servers = [
        Server(record, store, runs, index, EXTRA_SHARE if index == 0 else 0.0)
        for index in range(3)
    ]
    for server in servers:
        await server.start()
    await asyncio.sleep(0.1)
    fleet = fleets.Fleet(record, 3, store.address)
    statuses = {}
    refused = []
    try:
        await fleet.start()
        await asyncio.sleep(1.0)
        loop = asyncio.get_running_loop()
        until = loop.time() + RUN_S
        calls = []
        for g, gateway in enumerate(fleet.gateways):
            for n in range(CLIENTS_PER_GATEWAY):
                client = Client(record, gateway, "c%d%02d" % (g, n), statuses, refused)
                calls.append(asyncio.ensure_future(client.run(until)))
        while TROUBLE and loop.time() < until - CRASH_EVERY_S:
            await asyncio.sleep(CRASH_EVERY_S - DOWN_S)
            await servers[0].crash()
            await asyncio.sleep(DOWN_S)
            await servers[0].start()
        await asyncio.gather(*calls)
        return judge(record, runs, statuses, refused)
    finally:
        fleet.stop()


def judge(record, runs, statuses, refused):
    twice = {attempt: by for attempt, by in runs.items() if len(by) > 1}
    for attempt, by in twice.items():
        record.write("TWICE: %s was run by %s" % (attempt, " and ".join(by)))
    for attempt in refused:
        if attempt in runs:
            record.write("also REFUSED: %s was answered 503 and has run" % attempt)
    record.write(
        "%d bookings run, %d of them more than once; answers by status: %s"
        % (len(runs), len(twice), sorted(statuses.items()))
    )
    if twice:
        return 1
    return 0 if statuses.get(200) else 2


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
