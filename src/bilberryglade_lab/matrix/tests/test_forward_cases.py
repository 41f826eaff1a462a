"""The forward's rows fail where a protection is taken out."""

import functools
import typing
import unittest
from collections import abc
from unittest import mock

from bilberryglade._delivery import forward_protocol
from bilberryglade_lab.matrix import forward_cases

SEEDS = range(200)


class ProtectionTest(unittest.TestCase):
    """Each protection of the forward matters."""

    def test_whole(self) -> None:
        """With everything in place nothing is found."""
        self.assertEqual(_found('message_delayed', 'message_duplicated'), set())

    def test_without_proceed(self) -> None:
        """A leader that runs at once makes `not run` untrue."""
        runs_at_once = functools.partial(
            _runs_at_once, forward_protocol.on_forward
        )
        with mock.patch.object(forward_protocol, 'on_forward', runs_at_once):
            self.assertIn('not run is true', _found('message_delayed'))

    def test_without_memory_of_offers(self) -> None:
        """A leader that keeps offers runs copies of `proceed`."""
        keeps_offer = functools.partial(
            _keeps_offer, forward_protocol.on_proceed
        )
        with mock.patch.object(forward_protocol, 'on_proceed', keeps_offer):
            self.assertIn('at most once', _found('message_duplicated'))


def _found(*struck: str) -> set[str]:
    return {
        violation.promise
        for seed in SEEDS
        for violation in forward_cases.Exchange(
            seed,
            frozenset(struck),
            forward_protocol.PROCEED.name,
        ).run()
    }


def _runs_at_once(
    real: abc.Callable[..., forward_protocol.ForwardDecision],
    *arguments: typing.Any,
) -> forward_protocol.ForwardDecision:
    return real(*arguments)._replace(runs=True)


def _keeps_offer(
    real: abc.Callable[..., forward_protocol.ForwardDecision],
    desk: forward_protocol.ReceivedForwards,
    *arguments: typing.Any,
) -> forward_protocol.ForwardDecision:
    return real(desk, *arguments)._replace(received=desk)
