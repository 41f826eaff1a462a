"""IP numbers need no resolver thread."""

import unittest

import psutil

from bilberryglade._http import resolver


class ResolverTest(unittest.IsolatedAsyncioTestCase):
    """Resolving."""

    async def test_ip_number_resolves_to_itself(self) -> None:
        """No thread is started for it."""
        threads = psutil.Process().num_threads()
        found = await resolver.IpResolver().resolve('127.0.0.2', 80)
        self.assertEqual(
            (found[0]['host'], found[0]['port']), ('127.0.0.2', 80)
        )
        self.assertEqual(psutil.Process().num_threads(), threads)

    async def test_name_is_unreachable(self) -> None:
        """A name counts as a host that cannot be reached."""
        with self.assertRaises(OSError):
            await resolver.IpResolver().resolve('example')
