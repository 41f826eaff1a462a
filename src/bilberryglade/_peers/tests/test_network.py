"""Connections between instances."""

import asyncio
import typing
import unittest
from unittest import mock

import zmq

from bilberryglade._codec import codec
from bilberryglade._peers import network
from bilberryglade._values import clock

#: Time after a partition's end by which instances should speak again.
BACK_MS = 1000
#: Time after which an instance that suffered a fault counts as in reach.
CONTACT_MS = 3000
#: A second of messages, one after the other.
MESSAGES: typing.Final = 1000
HANDLING_SECONDS: typing.Final = 0.001
TICK_SECONDS: typing.Final = 0.01
#: A fifth of the time after which work for callers that left counts.
MOST_LATE_SECONDS: typing.Final = 0.1


def arrived(messages: list[list[bytes]]) -> asyncio.Future[list[bytes]]:
    """Returns the next message; as with ZeroMQ, it is there at once."""
    future = asyncio.get_running_loop().create_future()
    future.set_result(messages.pop())
    return future


def network_for(case: unittest.TestCase) -> network.PeerNetwork:
    """Returns the sockets of an instance that reaches nobody."""
    public, secret = zmq.curve_keypair()
    peers = network.PeerNetwork(
        '127.0.0.1:1',
        {'public_key': public.decode(), 'secret_key': secret.decode()},
        10,
    )
    case.addCleanup(peers.context.destroy, 0)
    return peers


class HealingTests(unittest.IsolatedAsyncioTestCase):
    """A peer that was out of reach for a while."""

    async def test_tries_follow_one_another_closely(self) -> None:
        """No wait or pause is as long as the system's own would become."""
        peers = network_for(self)
        peers.send('127.0.0.1:9', {'kind': 'x'})
        sender = peers.senders['127.0.0.1:9']
        wait = int(sender.connect_timeout)
        self.assertGreater(wait, 0)
        self.assertLessEqual(wait + int(sender.reconnect_ivl_max), BACK_MS)


class SilenceTests(unittest.IsolatedAsyncioTestCase):
    """A connection on which nothing arrives any more, without a reset."""

    async def test_given_up_before_the_peer_counts_as_in_reach(self) -> None:
        """Heartbeats of one side find it, and both sides drop it."""
        peers = network_for(self)
        peers.send('127.0.0.1:9', {'kind': 'x'})
        sender = peers.senders['127.0.0.1:9']
        found_ms = int(sender.heartbeat_ivl) + int(sender.heartbeat_timeout)
        self.assertLess(found_ms + int(sender.reconnect_ivl), CONTACT_MS)
        self.assertGreater(int(sender.heartbeat_ttl), int(sender.heartbeat_ivl))
        self.assertEqual(int(peers.receiver.heartbeat_ivl), 0)


class CountTests(unittest.IsolatedAsyncioTestCase):
    """What is counted of the messages that are sent."""

    async def test_by_kind(self) -> None:
        """A message to many is counted for each of them."""
        peers = network_for(self)
        peers.send_all(('127.0.0.1:9', '127.0.0.1:8'), {'kind': 'x'})
        peers.send('127.0.0.1:9', {'kind': 'y'})
        size = len(codec.encode_packed({'kind': 'x'}))
        self.assertEqual(
            peers.sent_kinds,
            {'x': network.Sent(2, size * 2), 'y': network.Sent(1, size)},
        )


class BusyTests(unittest.IsolatedAsyncioTestCase):
    """Messages that come faster than they are handled."""

    async def test_a_burst_of_messages_does_not_hold_up_the_loop(self) -> None:
        """Callers and timers have their turns between the messages."""
        peers = network_for(self)
        peers.receiver.close(0)
        messages = [[b''] for _ in range(MESSAGES)]
        peers.receiver = mock.Mock(recv_multipart=lambda: arrived(messages))

        async def receive() -> None:  # noqa: WPS430
            while messages:
                await peers.receive()
                until = clock.now() + HANDLING_SECONDS
                while clock.now() < until:
                    """Handles the message."""

        receiving = asyncio.create_task(receive())
        late_seconds: float = 0
        while not receiving.done():
            due_at = clock.now() + TICK_SECONDS
            await asyncio.sleep(TICK_SECONDS)
            late_seconds = max(late_seconds, clock.now() - due_at)
        self.assertLess(late_seconds, MOST_LATE_SECONDS)


class AddressTests(unittest.IsolatedAsyncioTestCase):
    """Addresses that somebody else has written."""

    async def test_address_that_no_socket_takes(self) -> None:
        """A message to it is not sent, and those to others are."""
        peers = network_for(self)
        for address in ('a b:80', '-:80', '*:80', '127.0.0.1', ''):
            with self.subTest(address=address):
                self.assertFalse(peers.send(address, {'kind': 'x'}))
                self.assertTrue(peers.send('127.0.0.1:9', {'kind': 'x'}))
                self.assertEqual(list(peers.senders), ['127.0.0.1:9'])
