"""What a coordinator sends when an instance starts."""

import unittest
from unittest import mock

from bilberryglade._instance import announcing


class GreetingTests(unittest.TestCase):
    """An instance that has just started."""

    def test_start_of_a_fleet_costs_its_coordinator_no_square(self) -> None:
        """Only the instance that started is told who coordinates."""
        members = mock.Mock()
        parts = [mock.MagicMock() for _ in range(5)]
        announcer = announcing.Announcer(members, *parts)
        announcer.greet('new')
        members.send_all.assert_not_called()
        told = {call.args[0] for call in members.send.call_args_list}
        self.assertEqual(told, {'new'})
