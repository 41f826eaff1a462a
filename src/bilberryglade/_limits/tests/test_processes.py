"""A limit holds over several entries in real processes."""

import asyncio
import time
import unittest

from bilberryglade_lab import deployment, shapes

RATE = 20
BURST = 20
REQUESTS = 80


class FleetLimitTest(unittest.IsolatedAsyncioTestCase):
    """Requests of one organisation through every entry at the same time."""

    async def test_flood_through_all_entries(self) -> None:
        """All entries together admit no more than burst and rate allow."""
        fleet = deployment.Deployment(shapes.SMALL)
        self.addAsyncCleanup(fleet.stop)
        await fleet.start()
        entries = list(fleet.instances)
        began = time.monotonic()
        answers = await asyncio.gather(
            *(
                fleet.call(
                    entries[number % len(entries)],
                    'office',
                    f'/ledger/child-{number}',
                )
                for number in range(REQUESTS)
            ),
        )
        seconds = time.monotonic() - began
        statuses = [status for status, _ in answers]
        runs = [
            entry
            for target in fleet.targets
            for entry in await fleet.journal(target)
            if entry['organisation'] == 'office'
        ]
        self.assertLessEqual(len(runs), BURST + RATE * seconds)
        self.assertEqual(statuses.count(200), len(runs))
        self.assertEqual(statuses.count(429), REQUESTS - len(runs))
        self.assertGreaterEqual(len(runs), BURST // 2)
