"""Whole instances when the store comes back older."""

import typing
import unittest

from bilberryglade._ownership import owners
from bilberryglade._values import stored
from bilberryglade.platform.tests import deployment

OK: typing.Final = 200
#: Seconds since the copy from which the store comes back, and an age at which
#: there was nothing yet.
COPY_SECONDS: typing.Final = 1.5
BEFORE_ALL: typing.Final = 60
#: Fraction of requests that are answered meanwhile at the least.
SERVED_FRACTION: typing.Final = 0.9
REQUESTS: typing.Final = 40
#: All of a route's requests go to one service, whose keys have owners.
CONFIGURATION: typing.Final = deployment.CONFIGURATION.replace(
    b', {"service": "other", "weight": 10}', b''
).replace(b'"weight": 90', b'"weight": 100')


class OlderStoreTests(unittest.IsolatedAsyncioTestCase):
    """Three instances, configuration 7 in force."""

    async def asyncSetUp(self) -> None:
        """The store names its era."""
        self.world = deployment.Deployment()
        await self.world.start(3, CONFIGURATION)
        self.addAsyncCleanup(self.world.stop)
        self.model = self.world.store.service.model
        self.model.names_era = True

    def tables(self) -> list[owners.Tables]:
        """Returns the tables that the instances know."""
        return [running.parts.steward.tables for running in self.world.entries]

    def is_in_era(self, era: int) -> bool:
        """Tells whether all instances act in an era, on the same tables."""
        versions = {one.version for one in self.tables()}
        eras = {stored.era_of(version) for version in versions}
        return len(versions) == 1 and eras == {era} and self.world.is_settled()

    def fences(self) -> list[int]:
        """Returns the fences of all ranges."""
        owned = self.tables()[0].services['ledger']
        return [one.entry.fence for one in owned]

    async def serve(self, era: int) -> float:
        """Asks for keys until all is in an era; returns the share answered."""
        statuses: list[int] = []
        while len(statuses) < REQUESTS or not self.is_in_era(era):
            key = str(len(statuses) * 997 % 65536)
            answer = await self.world.ask('/look/x', x_shard_key=key)
            statuses.append(answer.status)
        return statuses.count(OK) / len(statuses)

    async def test_requests_go_on(self) -> None:
        """Callers are served, fences rise, and the newest version stays."""
        fences = self.fences()
        config = CONFIGURATION.replace(
            b'"config_version": 7', b'"config_version": 9'
        )
        self.world.write('keyed.op', 'config', config)
        await self.world.until(lambda: self.world.versions() == {9})
        for era in (1, 2):
            self.model.go_back(COPY_SECONDS)
            self.assertGreater(await self.serve(era), SERVED_FRACTION)
            self.assertEqual(self.world.versions(), {9})
            self.assertGreater(min(self.fences()), max(fences))
            fences = self.fences()

    async def test_store_that_has_lost_everything(self) -> None:
        """Instances go on with what they know, and write it again."""
        self.model.go_back(BEFORE_ALL)
        self.assertGreater(await self.serve(1), SERVED_FRACTION)
        self.assertEqual(self.world.versions(), {7})
