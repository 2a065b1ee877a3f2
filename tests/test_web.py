"""Tests of the HTTP server's sockets."""

from __future__ import annotations

import socket

from plumvane.web import bind


def test_accepted_connections_allow_asyncio_to_set_tcp_nodelay() -> None:
    with bind("127.0.0.1", 0) as listening:
        listening.listen()
        with socket.create_connection(listening.getsockname()):
            accepted, _ = listening.accept()
            with accepted:
                # asyncio sets TCP_NODELAY only with this protocol number.
                assert accepted.proto == socket.IPPROTO_TCP
