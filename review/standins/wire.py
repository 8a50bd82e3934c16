"""MessagePack, and HTTP/1.1 with MessagePack bodies, for the stand-ins of the review.

Only the part that PROTOCOL-ringrock.md uses: maps with text keys, lists, text, numbers, booleans and
null.
"""
import http.client
import http.server
import socket
import struct
import threading
import urllib.parse


def pack(value):
    out = bytearray()
    _pack(value, out)
    return bytes(out)


def _pack_size(size, out, fix, fix_max, formats):
    if fix is not None and size <= fix_max:
        out.append(fix | size)
        return
    for first, code, limit in formats:
        if size <= limit:
            out.append(first)
            out += struct.pack(code, size)
            return
    raise ValueError("too large")


def _pack(value, out):
    if value is None:
        out.append(0xC0)
    elif value is True or value is False:
        out.append(0xC3 if value else 0xC2)
    elif isinstance(value, int):
        if 0 <= value < 0x80:
            out.append(value)
        elif value >= 0:
            out.append(0xCF)
            out += struct.pack(">Q", value)
        else:
            out.append(0xD3)
            out += struct.pack(">q", value)
    elif isinstance(value, float):
        out.append(0xCB)
        out += struct.pack(">d", value)
    elif isinstance(value, str):
        data = value.encode()
        _pack_size(len(data), out, 0xA0, 31,
                   ((0xD9, ">B", 0xFF), (0xDA, ">H", 0xFFFF), (0xDB, ">I", 0xFFFFFFFF)))
        out += data
    elif isinstance(value, (list, tuple)):
        _pack_size(len(value), out, 0x90, 15, ((0xDC, ">H", 0xFFFF), (0xDD, ">I", 0xFFFFFFFF)))
        for item in value:
            _pack(item, out)
    elif isinstance(value, dict):
        _pack_size(len(value), out, 0x80, 15, ((0xDE, ">H", 0xFFFF), (0xDF, ">I", 0xFFFFFFFF)))
        for key, item in value.items():
            _pack(key, out)
            _pack(item, out)
    else:
        raise TypeError(type(value))


def unpack(data):
    value, end = _unpack(data, 0)
    if end != len(data):
        raise ValueError("bytes after the value")
    return value


_NUMBERS = {0xCA: ">f", 0xCB: ">d", 0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q",
            0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q"}
_SIZES = {0xD9: ">B", 0xDA: ">H", 0xDB: ">I", 0xDC: ">H", 0xDD: ">I", 0xDE: ">H", 0xDF: ">I"}


def _unpack(data, at):
    first = data[at]
    at += 1
    if first < 0x80:
        return first, at
    if first >= 0xE0:
        return first - 0x100, at
    if first < 0x90:
        return _unpack_map(data, at, first & 0x0F)
    if first < 0xA0:
        return _unpack_list(data, at, first & 0x0F)
    if first < 0xC0:
        return _unpack_text(data, at, first & 0x1F)
    if first == 0xC0:
        return None, at
    if first in (0xC2, 0xC3):
        return first == 0xC3, at
    if first in _NUMBERS:
        code = _NUMBERS[first]
        return struct.unpack_from(code, data, at)[0], at + struct.calcsize(code)
    if first in _SIZES:
        code = _SIZES[first]
        size = struct.unpack_from(code, data, at)[0]
        at += struct.calcsize(code)
        if first <= 0xDB:
            return _unpack_text(data, at, size)
        if first <= 0xDD:
            return _unpack_list(data, at, size)
        return _unpack_map(data, at, size)
    raise ValueError("unexpected byte 0x%02x" % first)


def _unpack_text(data, at, size):
    if at + size > len(data):
        raise ValueError("truncated")
    return bytes(data[at:at + size]).decode(), at + size


def _unpack_list(data, at, size):
    items = []
    for _ in range(size):
        item, at = _unpack(data, at)
        items.append(item)
    return items, at


def _unpack_map(data, at, size):
    items = {}
    for _ in range(size):
        key, at = _unpack(data, at)
        items[key], at = _unpack(data, at)
    return items, at


class Server:
    """An HTTP server on a free port of 127.0.0.1. handler(method, path, query, body) returns
    (status, value); value None: no body. A handler that raises Dropped closes the connection without
    an answer."""

    class Dropped(Exception):
        pass

    def __init__(self, handler):
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def serve(self):
                length = int(self.headers.get("Content-Length") or 0)
                raw = self.rfile.read(length) if length else b""
                parts = urllib.parse.urlsplit(self.path)
                query = {key: values[0] for key, values in
                         urllib.parse.parse_qs(parts.query, keep_blank_values=True).items()}
                try:
                    body = unpack(raw) if raw else None
                except (ValueError, IndexError, struct.error):
                    body = ValueError
                try:
                    status, value = outer.handler(self.command, parts.path, query, body)
                except Server.Dropped:
                    self.close_connection = True
                    return
                data = b"" if value is None else pack(value)
                head = "HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n" % (
                    status, len(data), "Content-Type: application/msgpack\r\n" if data else "")
                try:
                    self.wfile.write(head.encode() + data)
                    self.wfile.flush()
                except OSError:
                    self.close_connection = True

            do_GET = do_POST = do_DELETE = serve

        class Threads(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, request, address):
                pass

        self.handler = handler
        self.http = Threads(("127.0.0.1", 0), Handler)
        self.port = self.http.server_address[1]
        self.address = "127.0.0.1:%d" % self.port
        threading.Thread(target=self.http.serve_forever, args=(0.05,), daemon=True).start()


class Connection:
    """A kept connection of a client. call() returns (status, value); status None: no answer within
    the time limit, or the connection failed."""

    def __init__(self, address):
        self.address = address
        self.http = None

    def close(self):
        if self.http:
            self.http.close()
            self.http = None

    def call(self, method, path, value=None, timeout_s=5.0):
        host, port = self.address.rsplit(":", 1)
        try:
            if not self.http:
                self.http = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
                self.http.connect()
                self.http.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.http.sock.settimeout(timeout_s)
            body = None if value is None else pack(value)
            headers = {"Content-Type": "application/msgpack"} if body is not None else {}
            self.http.request(method, path, body, headers)
            answer = self.http.getresponse()
            data = answer.read()
            if answer.will_close:
                self.close()
            return answer.status, unpack(data) if data else None
        except (OSError, http.client.HTTPException, ValueError, IndexError):
            self.close()
            return None, None


def call(address, method, path, value=None, timeout_s=5.0):
    """One request over a connection of its own."""
    connection = Connection(address)
    try:
        return connection.call(method, path, value, timeout_s)
    finally:
        connection.close()


def free_port(host="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]
