"""A sound server of a plain service, registered in the store."""

import asyncio
import time

from lib import http1


class PlainServer:
    """Runs requests for `work_s` and answers `body_bytes` bytes at once."""

    def __init__(self, record, store, ident, service, zone, work_s, body_bytes):
        self.record = record
        self.store = store
        self.ident = ident
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.body_bytes = body_bytes
        self.sequence = 0
        self.address = ""
        self.server = None
        self.born = int(time.time() * 1000)
        self.runs = {}  # attempt id -> times
        self.answered = {}  # attempt id -> when the answer's last byte was taken

    async def start(self, ip):
        self.server = await asyncio.start_server(self._serve, ip, 0, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        asyncio.ensure_future(self._beat())

    def entry(self, state="ready"):
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": state,
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _beat(self):
        while True:
            self.store.put("servers", self.ident, self.entry())
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await http1.read_request(reader)
                if request is None:
                    break
                await self._run(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _run(self, request, writer):
        method, target, head, _ = request
        attempt = head.get("x-attempt-id", "")
        if head.get("x-expect-instance", self.ident) != self.ident:
            fields = [
                ("X-Instance-Id", self.ident),
                ("X-Attempt-Id", attempt),
                ("X-Not-Executed", "1"),
            ]
            writer.write(http1.encode_answer(421, fields, b""))
            return
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.record.write("%s runs %s %s %s" % (self.ident, attempt, method, target))
        await asyncio.sleep(self.work_s)
        fields = [("X-Attempt-Id", attempt), ("X-Server-Seal", "seal." + attempt)]
        pattern = (attempt + ".").encode()
        body = (pattern * (self.body_bytes // len(pattern) + 1))[: self.body_bytes]
        writer.write(http1.encode_answer(200, fields, body))
        await writer.drain()
        self.answered[attempt] = self.record.now()
        self.record.write(
            "%s has answered %s with 200 and %d bytes"
            % (self.ident, attempt, self.body_bytes)
        )
