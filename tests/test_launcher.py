"""Tests of the launcher that starts fleets of real processes."""

from __future__ import annotations

from standins.launcher import free_port, loopback_host

PORTS = 3000


def test_ports_of_a_fleet_are_distinct() -> None:
    """A port named twice ends the process that binds it second."""
    host = loopback_host()
    assert len({free_port(host) for _ in range(PORTS)}) == PORTS
