"""Lines on a late loop and on what goes to other instances."""

import unittest
from unittest import mock

import prometheus_client

from bilberryglade._observability import pace, peer_traffic
from bilberryglade._observability.tests import recording
from bilberryglade._peers import network


class LinesCase(unittest.TestCase):
    """Collects the fields of lines."""

    def setUp(self) -> None:
        """Has no line."""
        self.lines = recording.record(self)


class PaceTests(LinesCase):
    """A timer that runs late."""

    def test_lines_on_lateness_are_bounded(self) -> None:
        """A late timer has a line, at most once a second."""
        taken = pace.Pace(prometheus_client.CollectorRegistry())
        for late_seconds, now in ((0.01, 1), (0.7, 2), (0.9, 2.5), (1.4, 3.1)):
            taken.take(late_seconds, now)
        told = [line.fields for line in self.lines]
        self.assertEqual(told, [{'ms': 700}, {'ms': 1400}])
        self.assertEqual(taken.late_seconds, 1.4)


class TrafficTests(LinesCase):
    """Bytes by kind of message."""

    def test_each_line_tells_what_came_since_the_last(self) -> None:
        """Kinds of which nothing was sent are left out."""
        peers = mock.Mock(sent_kinds={'lead': network.Sent(2, 300)})
        traffic = peer_traffic.PeerTraffic(peers)
        traffic.tell(0)
        peers.sent_kinds['relay'] = network.Sent(1, 9000)
        traffic.tell(1)
        traffic.tell(6)
        told = [line.fields['bytes'] for line in self.lines]
        self.assertEqual(told, [{'lead': 300}, {'relay': 9000}])
