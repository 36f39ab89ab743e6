"""Reading and writing of HTTP/1.1 messages on raw sockets, for the stand-ins."""

import asyncio


class Message:
    """A request or a response.

    Attributes
    ----------
    first_line : str
        Request line or status line.
    headers : list of tuple of str
        Names in lower case, and values.
    body : bytes
        The body, as far as it was read.
    is_whole : bool
        Whether the message was read to its end, by its own framing.
    """

    def __init__(self, first_line, headers):
        self.first_line = first_line
        self.headers = headers
        self.body = b""
        self.is_whole = False

    def header(self, name, default=""):
        """Return the first value of a header."""
        for key, value in self.headers:
            if key == name.lower():
                return value
        return default

    @property
    def method(self):
        """Return the method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        """Return the target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self):
        """Return the status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader):
    """Read a request line or status line, and the header lines."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return Message(lines[0], headers)


async def read_body(reader, message, is_response=False, on_data=None):
    """Read a body; a reset or an early end leaves ``is_whole`` false.

    Parameters
    ----------
    on_data : callable or None
        Called with each part.
    """

    def add(part):
        message.body += part
        if on_data is not None:
            on_data(part)

    try:
        if "chunked" in message.header("transfer-encoding").lower():
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                if size:
                    add(await reader.readexactly(size))
                await reader.readexactly(2)
                if not size:
                    break
        elif message.header("content-length"):
            left = int(message.header("content-length"))
            while left:
                part = await reader.read(left)
                if not part:
                    return message
                add(part)
                left -= len(part)
        elif is_response:
            while part := await reader.read(65536):
                add(part)
        message.is_whole = True
    except (OSError, EOFError, ValueError):
        message.is_whole = False
    return message


async def read_message(reader, is_response=False, on_data=None):
    """Read a whole message."""
    message = await read_head(reader)
    return await read_body(reader, message, is_response, on_data)


def encode(first_line, headers, body=b""):
    """Return the bytes of a message."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(address, data, timeout_s):
    """Send a request on a new connection; return the response or why there is none."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            return await read_message(reader, is_response=True)
    except (OSError, EOFError, ValueError, TimeoutError) as error:
        return error
    finally:
        if writer is not None:
            writer.close()
