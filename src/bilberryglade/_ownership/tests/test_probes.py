"""When a target counts as gone, and as live again."""

import unittest

from bilberryglade._ownership import probes


class StandingTest(unittest.TestCase):
    """Standings of one target."""

    def test_gone_after_failures_in_a_row(self) -> None:
        """Three failures over the least time; an answer starts anew."""
        standing = probes.Standing()
        for moment in (0.1, 0.3):
            standing = probes.after_failure(standing, moment)
            wanted = probes.state_wanted('live', standing, moment)
            self.assertEqual(wanted, 'live')
        gone = probes.after_failure(standing, 0.6)
        self.assertEqual(probes.state_wanted('live', gone, 0.6), 'gone')
        answered = probes.after_answer(gone)
        self.assertEqual(probes.state_wanted('live', answered, 0.6), 'live')

    def test_burst_of_refusals_is_not_enough(self) -> None:
        """Refused connections come at once; they must last, too."""
        standing = probes.Standing()
        for _ in range(9):
            standing = probes.after_failure(standing, 0.1)
        self.assertEqual(probes.state_wanted('live', standing, 0.1), 'live')

    def test_back_after_answers_in_a_row(self) -> None:
        """Three answers bring a target back; a drained one stays."""
        standing = probes.Standing()
        for expected in ('gone', 'gone', 'live'):
            standing = probes.after_answer(standing)
            wanted = probes.state_wanted('gone', standing, 0)
            self.assertEqual(wanted, expected)
        self.assertEqual(probes.state_wanted('drained', standing, 0), 'drained')
