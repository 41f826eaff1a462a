"""How long a fleet is without a coordinator."""

import asyncio
import time
import typing
import unittest
from unittest import mock

import result

from bilberryglade._values import stored
from bilberryglade.platform.tests import deployment

#: A key is served again so many seconds after a loss.
SERVED_AGAIN_SECONDS: typing.Final = 3.0
#: Seconds of a call that nobody answers.
LOST_CALL_SECONDS: typing.Final = 0.9


async def unanswered(*_: typing.Any, **named: typing.Any) -> typing.Any:
    """Stands for a call of the store that is cut off from it."""
    await asyncio.sleep(LOST_CALL_SECONDS)
    return result.Err(stored.Failure.unclear)


class TakeoverTests(unittest.IsolatedAsyncioTestCase):
    """The coordinator is cut off."""

    async def asyncSetUp(self) -> None:
        """Three instances, one of which coordinates."""
        self.world = deployment.Deployment()
        await self.world.start(instances=3)
        self.addAsyncCleanup(self.world.stop)

    async def test_successor_comes_in_time_though_the_cut_follows_a_claim(
        self,
    ) -> None:
        """Guards against a lease that counts from when a follower looked."""
        cut = self.world.leading()
        lease = self.world.parts(cut).candidacy
        claim = lease.state.newest
        await self.world.until(lambda: lease.state.newest != claim)
        others = [
            self.world.parts(number).candidacy
            for number in range(3)
            if number != cut
        ]
        began = time.monotonic()
        with (
            mock.patch.object(lease.members, 'send_all'),
            mock.patch.object(lease.members, 'send'),
            mock.patch.object(lease.client, '_call', unanswered),
        ):
            await self.world.until(lambda: any(one.holds for one in others))
        self.assertLess(time.monotonic() - began, SERVED_AGAIN_SECONDS)
