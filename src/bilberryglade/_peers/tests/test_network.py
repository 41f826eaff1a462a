"""Connections between instances."""

import unittest

import zmq

from bilberryglade._peers import network

#: Time after a partition's end by which instances should speak again.
BACK_MS = 1000


class HealingTests(unittest.IsolatedAsyncioTestCase):
    """A peer that was out of reach for a while."""

    async def test_tries_follow_one_another_closely(self) -> None:
        """No wait or pause is as long as the system's own would become."""
        public, secret = zmq.curve_keypair()
        keys = {'public_key': public.decode(), 'secret_key': secret.decode()}
        peers = network.PeerNetwork(
            '127.0.0.1:1',
            keys,  # type: ignore[arg-type]
            10,
        )
        self.addCleanup(peers.context.destroy, 0)
        peers.send('127.0.0.1:9', {'kind': 'x'})
        sender = peers.senders['127.0.0.1:9']
        wait = int(sender.connect_timeout)
        self.assertGreater(wait, 0)
        self.assertLessEqual(wait + int(sender.reconnect_ivl_max), BACK_MS)
