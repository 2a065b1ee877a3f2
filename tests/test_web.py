"""Serving of HTTP."""

from __future__ import annotations

import socket

from plumvane.web import bind


def test_accepted_connections_send_without_delay() -> None:
    with bind("127.0.0.1", 0) as listening:
        listening.listen()
        with socket.create_connection(listening.getsockname()):
            accepted, _ = listening.accept()
            with accepted:
                # asyncio sets TCP_NODELAY by this protocol number.
                assert accepted.proto == socket.IPPROTO_TCP
