"""Guards against a port that an outgoing connection takes before its server.

Seen in CI: a process did not start because the port picked for it, out of the
ephemeral range, had become the source port of a connection of the test.
"""

import random
import socket

from sassafrashold.standins import ports


def test_no_port_is_one_that_an_outgoing_connection_may_get():
    first = ports.first_ephemeral()
    assert all(ports.free_port() < first for _ in range(200))


def test_each_port_is_handed_out_once():
    taken = [ports.free_port() for _ in range(200)]
    assert len(set(taken)) == len(taken)


def test_a_bound_port_is_passed_over():
    first = ports.PortSource(random.Random(7)).take()
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", first))
        sock.listen()
        assert ports.PortSource(random.Random(7)).take() != first
