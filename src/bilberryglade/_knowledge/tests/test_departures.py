"""Who is told that a target leaves."""

import unittest
from unittest import mock

from bilberryglade._knowledge import departures, reading
from bilberryglade._membership import candidacy, fleet
from bilberryglade._targets import directory
from bilberryglade._targets.tests import samples


class DepartureTests(unittest.TestCase):
    """An instance gets the word of a target."""

    def told(self, *, holds: bool, is_heard: bool) -> list[str]:
        """Returns the addresses that are told, while `c` was coordinator."""
        peers = mock.Mock()
        self.send_all = peers.send_all
        own = fleet.Member('a', 'a1', 'at-a', 'x')
        members = fleet.Fleet(own, peers)
        for name in ('b', 'c'):
            members.take(fleet.Member(name, name, f'at-{name}', 'x'))
        lease = mock.Mock(
            spec=candidacy.Candidacy,
            holds=holds,
            is_heard=is_heard,
            coordinator='c',
        )
        reader = reading.Reader(members, mock.Mock(), lease, 2.0)
        self.departures = departures.Departures(members, reader, lease, 2.0)
        self.departures.notice(samples.target())
        peers.send_all.side_effect = lambda names, _: list(names)
        addresses = [call.args[0] for call in peers.send.call_args_list]
        for call in peers.send_all.call_args_list:
            addresses.extend(call.args[0])
        return addresses

    def test_word_of_a_leaving_target_outlives_a_silent_coordinator(
        self,
    ) -> None:
        """Guards against a word that only a lost coordinator is told."""
        cases = (
            (True, True, 'at-b at-c'),
            (False, True, 'at-c'),
            (False, False, 'at-b at-c'),
        )
        for holds, is_heard, expected in cases:
            with self.subTest(holds=holds, is_heard=is_heard):
                told = self.told(holds=holds, is_heard=is_heard)
                self.assertEqual(' '.join(told), expected)

    def test_what_others_were_told_is_not_told_again(self) -> None:
        """While nobody coordinates, each that gets the word would tell all."""
        self.told(holds=False, is_heard=False)
        self.send_all.reset_mock()
        life = directory.life_of(samples.target(name='u'))
        self.departures.hear(
            {
                'kind': 'leaving',
                'sender': 'b',
                'lives': [{'target': life.target, 'born': life.born}],
            }
        )
        self.departures.notice(samples.target(name='u'))
        self.send_all.assert_not_called()
