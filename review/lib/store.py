"""The platform's store, as far as the gateway calls it."""

import asyncio
import base64
import json
import time
import urllib.parse

from lib import http1

MAX_ROWS = 500


class Store:
    """Keeps rows in tables. Answers are linearizable."""

    def __init__(self):
        self.rows = {}  # (table, part, key) -> [value, version]
        self.removed = {}  # (table, part, key) -> version
        self.version = 0
        self.changed = asyncio.Event()
        self.began = time.monotonic()
        self.server = None
        self.address = ""
        self.writers = set()
        self.writes = []  # (time, entries) of applied transactions of callers

    async def start(self, ip):
        self.server = await asyncio.start_server(self._serve, ip, 0, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def now_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value, part=""):
        """A write of the operator or of a server."""
        self.version += 1
        self.rows[(table, part, key)] = [json.dumps(value).encode(), self.version]
        self.removed.pop((table, part, key), None)
        self._wake()

    def remove(self, table, key, part=""):
        self.version += 1
        self.rows.pop((table, part, key), None)
        self.removed[(table, part, key)] = self.version
        self._wake()

    def _row(self, place):
        value, version = self.rows[place]
        return {
            "table": place[0],
            "part": place[1],
            "key": place[2],
            "value": base64.b64encode(value).decode(),
            "rowVersion": version,
        }

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await http1.read_request(reader)
                if request is None:
                    break
                status, answer = await self._answer(*request)
                body = json.dumps(answer).encode()
                writer.write(
                    http1.encode_answer(
                        status, [("Content-Type", "application/json")], body
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, method, target, _head, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/rows-get":
            return 200, self._get(query)
        if url.path == "/rows-feed":
            return 200, await self._feed(query)
        if url.path == "/rows-tx" and method == "POST":
            await asyncio.sleep(0.005)
            return self._commit(json.loads(body))
        return 404, {}

    def _stamp(self, answer):
        answer["rowVersion"] = self.version
        answer["nowMs"] = self.now_ms()
        return answer

    def _get(self, query):
        places = sorted(
            place
            for place in self.rows
            if place[0] == query["table"]
            and place[1] == query.get("part", "")
            and place[2] >= query.get("from", "")
            and ("to" not in query or place[2] < query["to"])
        )
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        rows = [self._row(place) for place in places[:limit]]
        return self._stamp({"rows": rows, "hasMore": len(places) > limit})

    def _changes(self, table, after):
        changes = [
            (row[1], self._row(place))
            for place, row in self.rows.items()
            if place[0] == table and row[1] > after
        ]
        for place, version in self.removed.items():
            if place[0] == table and version > after:
                changes.append(
                    (
                        version,
                        {
                            "table": place[0],
                            "part": place[1],
                            "key": place[2],
                            "rowVersion": version,
                            "tombstone": True,
                        },
                    )
                )
        return [row for _, row in sorted(changes, key=lambda it: it[0])]

    async def _feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            changed = self.changed
            rows = self._changes(query["table"], after)
            left = until - time.monotonic()
            if rows or left <= 0:
                return self._stamp({"rows": rows})
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _commit(self, entries):
        def place(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        for entry in entries.get("expected", []):
            row = self.rows.get(place(entry))
            if (row[1] if row else 0) != entry["rowVersion"]:
                found = [
                    self._row(place(it))
                    for it in entries["expected"]
                    if place(it) in self.rows
                ]
                return 412, self._stamp({"rows": found})
        self.version += 1
        for entry in entries.get("put", []):
            value = base64.b64decode(entry["value"])
            self.rows[place(entry)] = [value, self.version]
            self.removed.pop(place(entry), None)
        for entry in entries.get("remove", []):
            if self.rows.pop(place(entry), None) is not None:
                self.removed[place(entry)] = self.version
        self.writes.append((time.monotonic(), entries))
        self._wake()
        return 200, self._stamp({})
