"""Loopback proxies that can be cut: while a proxy is cut, nothing passes in either direction, and
neither side is told.  Bytes that arrive meanwhile are lost with their connection."""

import selectors
import socket
import threading


class Proxy:
    """Forwards connections from its own port to PORT.  REPLACE: pairs of byte strings of equal
    length; the first is replaced by the second in what comes back from PORT."""

    def __init__(self, port, replace=()):
        self.target = port
        self.replace = list(replace)
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(200)
        self.port = self.listener.getsockname()[1]
        self.is_cut = False
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.listener, selectors.EVENT_READ, None)
        self.lock = threading.Lock()
        self.held = []  # connections of the time of a cut, which stay silent until it ends
        threading.Thread(target=self.run, daemon=True).start()

    def cut(self):
        with self.lock:
            self.is_cut = True

    def heal(self):
        with self.lock:
            self.is_cut = False
            for client, server in self.held:
                client.close()
                if server is not None:
                    server.close()
            self.held = []

    def run(self):
        while True:
            for key, _ in self.selector.select(0.1):
                with self.lock:
                    self.handle(key)

    def handle(self, key):
        if key.data is None:
            self.accept()
            return
        source, (sink, is_answer, pair) = key.fileobj, key.data
        if self.is_cut:
            self.drop(pair)
            self.held.append(pair)
            return
        try:
            data = source.recv(1 << 16)
            if is_answer:
                for old, new in self.replace:
                    data = data.replace(old, new)
            if data:
                sink.sendall(data)
        except OSError:
            data = b""
        if not data:
            self.drop(pair)
            for sock in pair:
                sock.close()

    def accept(self):
        client, _ = self.listener.accept()
        if self.is_cut:
            self.held.append((client, None))
            return
        try:
            server = socket.create_connection(("127.0.0.1", self.target), 2)
        except OSError:
            client.close()
            return
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (client, server)
        self.selector.register(client, selectors.EVENT_READ, (server, False, pair))
        self.selector.register(server, selectors.EVENT_READ, (client, True, pair))

    def drop(self, pair):
        for sock in pair:
            try:
                self.selector.unregister(sock)
            except (KeyError, ValueError):
                pass
