"""Tests of the loop around admission."""

import unittest
from unittest import mock

from bilberryglade._limits import quotas
from bilberryglade_lab.fakes import quota_entry


class PauseTest(unittest.IsolatedAsyncioTestCase):
    """A process that is paused after it spent a token."""

    async def test_token_grows_stale(self) -> None:
        """A pause costs the token; without the check it would be used."""
        cases = ((0.01, 0.05, True), (1, 0.05, False), (1, 100, True))
        for seconds, fresh_seconds, is_admitted in cases:
            bound = mock.patch.object(quotas, 'FRESH_SECONDS', fresh_seconds)
            with self.subTest(seconds=seconds, bound=fresh_seconds), bound:
                entry = quota_entry.FakeEntry()
                admission = await entry.admit_over_pause(seconds)
                self.assertEqual(admission.done(), is_admitted)
                admission.cancel()

    async def test_asks_again(self) -> None:
        """After the pause another token is asked for."""
        entry = quota_entry.FakeEntry()
        admission = await entry.admit_over_pause(1)
        self.assertEqual(entry.sent[-1]['needed'], 1)
        self.assertGreater(len(entry.sent), 1)
        admission.cancel()
