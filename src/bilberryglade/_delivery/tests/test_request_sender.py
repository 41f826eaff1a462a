"""Sends to targets: reported crashes, and when a request counts as sent."""

import asyncio
import unittest
from unittest import mock

from bilberryglade._delivery import request_sender
from bilberryglade._knowledge import knowledge
from bilberryglade._membership import fleet
from bilberryglade._routing.tests import samples as requests
from bilberryglade._targets import choosing, directory
from bilberryglade._targets.tests import samples
from bilberryglade._values import clock


async def never_answered(*_: object) -> request_sender.ExchangeResult:
    """Waits for its end."""
    await asyncio.sleep(3600)
    raise AssertionError


class SenderCase(unittest.IsolatedAsyncioTestCase):
    """An instance that knows one target."""

    def setUp(self) -> None:
        """Lists one warm target to which nothing has been sent."""
        self.target = samples.target()
        listed = directory.put(directory.Directory(), self.target)
        reader = mock.Mock(known=knowledge.Knowledge(directory=listed))
        own = fleet.Member('b', 'b1', '127.0.0.1:1', 'x')
        members = fleet.Fleet(own, mock.Mock())
        self.sender = request_sender.RequestSender(
            reader,
            members,
            mock.Mock(),
            cold_rate_limit=lambda _: 20,
            broker=mock.Mock(),
            versions=mock.Mock(),
        )


class CrashReportTests(SenderCase):
    """A crash that another instance reports."""

    def is_cold(self) -> bool:
        """Returns whether the target counts as cold at this instance."""
        view = self.sender.view(self.target)
        return choosing.is_cold(view, clock.now())

    def test_reported_crash_makes_target_cold(self) -> None:
        """After the report the target counts as cold."""
        self.assertFalse(self.is_cold())
        self.sender.mark_doubtful(str(directory.life_of(self.target)))
        self.assertTrue(self.is_cold())

    def test_crash_of_earlier_incarnation_is_ignored(self) -> None:
        """A crash of an earlier incarnation does not affect the present one."""
        earlier = self.target._replace(born=self.target.born - 1)
        self.sender.mark_doubtful(str(directory.life_of(earlier)))
        self.assertFalse(self.is_cold())


class ConnectingTests(SenderCase):
    """A request that may run once, while its connection is being opened."""

    async def test_unsent_request_does_not_count_as_at_its_target(self) -> None:
        """Only its first byte makes it one that may have run."""
        self.sender.exchange = mock.AsyncMock(side_effect=never_answered)
        request = requests.incoming()
        request.progress.note_sent()
        admitted = mock.Mock(route=mock.Mock(repeatable=False))
        sending = asyncio.create_task(
            self.sender.send(request, admitted, self.target, seconds=1)
        )
        await asyncio.sleep(0)
        self.assertFalse(self.sender.is_unrepeatable_in_flight(request))
        request.progress.note_sent()
        self.assertTrue(self.sender.is_unrepeatable_in_flight(request))
        sending.cancel()
        await asyncio.wait((sending,))
        self.assertFalse(self.sender.is_unrepeatable_in_flight(request))


class WarmingTests(SenderCase):
    """Which instances may send to a cold target that no dispatcher grants."""

    def may_warm(self) -> bool:
        """Returns whether this instance may."""
        return self.sender.view(self.target).may_warm

    def test_choice_follows_the_members(self) -> None:
        """Guards against too many senders, or none, after members changed."""
        members = self.sender.members
        self.sender.cold_rate_limit = lambda _: 4
        seen = set()
        for number in range(40):
            name = f'm{number}'
            members.take(fleet.Member(name, 'boot', f'127.0.0.1:{number}', 'x'))
            expected = self.sender._rank('t') < 2  # noqa: SLF001
            self.assertEqual(self.may_warm(), expected or number < 1)
            seen.add(self.may_warm())
        self.assertEqual(seen, {True, False})
        for number in range(39):
            members.drop(f'm{number}')
        self.assertTrue(self.may_warm())
