"""What callers are told of requests that were tried more than once."""

import time
import unittest
from unittest import mock

from bilberryglade._delivery import delivery
from bilberryglade._state import state
from bilberryglade._targets.tests import raw_target
from bilberryglade._values import outcomes

LOST = outcomes.Unknown(outcomes.Reason.answer_lost)
REFUSED = outcomes.NotRun(outcomes.Reason.target_refused)


class RetriedTests(unittest.IsolatedAsyncioTestCase):
    """A request that may be repeated, at a target without others beside it."""

    async def deliver(self, *tried: outcomes.Outcome) -> outcomes.Outcome:
        """Returns what is told if the attempts end like this."""
        reader = mock.Mock(view=state.ClusterState())
        watch = mock.Mock(is_quarantined=lambda _: False)
        under_test = delivery.Delivery(
            'i',
            reader,
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            watch,
        )
        request = raw_target.request(repeatable=True)._replace(
            deadline=time.monotonic() + 10
        )
        with (
            mock.patch.object(
                under_test, '_try', mock.AsyncMock(side_effect=tried)
            ),
            mock.patch.object(delivery, 'owner_of', return_value=mock.Mock()),
        ):
            return await under_test.deliver(request)

    async def test_refusal_after_a_lost_attempt_promises_nothing(self) -> None:
        """One attempt may have run, whatever the others met."""
        told = await self.deliver(LOST, REFUSED, REFUSED, REFUSED)
        self.assertEqual(told, LOST)
        told = await self.deliver(REFUSED, REFUSED, REFUSED, REFUSED)
        assert isinstance(told, outcomes.NotRun)
        self.assertEqual(told.reason, REFUSED.reason)
