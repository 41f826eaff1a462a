"""Ports for processes that are about to listen."""

import unittest

from bilberryglade_lab import processes


class FreePortsTests(unittest.TestCase):
    """Ports that nobody else is given before they are used."""

    def test_not_for_outgoing_connections(self) -> None:
        """No connection that is opened meanwhile can take one of them."""
        outgoing = processes.outgoing_ports()
        for port in processes.free_ports(50):
            with self.subTest(port=port):
                self.assertNotIn(port, outgoing)

    def test_two_calls_share_none(self) -> None:
        """A port stays its taker's until that one listens on it."""
        first = processes.free_ports(40)
        second = processes.free_ports(40)
        self.assertFalse(set(first) & set(second))
        self.assertEqual(len(set(first)), len(first))
