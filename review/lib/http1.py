"""Just enough HTTP/1.1 for the stand-ins."""

import asyncio

REASONS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class Head:
    """First line and fields of a message; field names are in lower case."""

    def __init__(self, first_line, fields):
        self.first_line = first_line
        self.fields = fields

    def get(self, name, default=None):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    """Returns the next head, or None if the connection ended before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return Head(lines[0], fields)


async def read_request(reader):
    """Returns (method, target, head, body), or None at the connection's end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head.first_line.split(" ", 2)
    body = b""
    length = int(head.get("content-length", "0"))
    if length:
        body = await reader.readexactly(length)
    return method, target, head, body


def encode_answer(status, fields, body):
    lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status"))]
    lines += ["%s: %s" % field for field in fields]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Answer:
    """An answer as a client has seen it."""

    def __init__(self):
        self.status = 0
        self.head = None
        self.body = b""
        self.complete = False
        self.error = ""


async def read_answer(reader, take=None):
    """Reads one answer to its end.

    `take(reader)` is awaited in place of a plain read and returns some bytes,
    or b"" at the end of the connection; a slow client paces itself there.
    """
    answer = Answer()
    buf = bytearray()

    async def more():
        try:
            data = await (take(reader) if take else reader.read(65536))
        except ConnectionError as error:
            answer.error = type(error).__name__
            data = b""
        buf.extend(data)
        return bool(data)

    while b"\r\n\r\n" not in buf:
        if not await more():
            answer.error = answer.error or "closed before the head"
            return answer
    raw, _, rest = bytes(buf).partition(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        fields[name.strip().lower()] = value.strip()
    answer.head = Head(lines[0], fields)
    answer.status = int(lines[0].split(" ")[1])
    buf = bytearray(rest)
    body = bytearray()
    answer.body = body
    if fields.get("transfer-encoding", "") == "chunked":
        while True:
            while b"\r\n" not in buf:
                if not await more():
                    answer.error = answer.error or "closed in the answer"
                    return answer
            line, _, rest = bytes(buf).partition(b"\r\n")
            size = int(line, 16)
            buf = bytearray(rest)
            while len(buf) < size + 2:
                if not await more():
                    body.extend(buf[:size])
                    answer.error = answer.error or "closed in the answer"
                    return answer
            body.extend(buf[:size])
            del buf[: size + 2]
            if size == 0:
                answer.complete = True
                return answer
    length = int(fields.get("content-length", "0"))
    while len(buf) < length:
        if not await more():
            body.extend(buf)
            answer.error = answer.error or "closed in the answer"
            return answer
    body.extend(buf[:length])
    answer.complete = True
    return answer
