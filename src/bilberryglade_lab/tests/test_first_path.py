"""One request from caller to target and back, through real processes."""

import unittest

from bilberryglade_lab import deployment, shapes


class FirstPathTest(unittest.IsolatedAsyncioTestCase):
    """The thin whole path."""

    async def asyncSetUp(self) -> None:
        """Starts the small deployment."""
        self.deployment = deployment.Deployment(shapes.SMALL)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()

    async def test_key_reaches_one_owner(self) -> None:
        """Requests of one key reach one target, whatever the entry."""
        for instance in self.deployment.instances:
            status, body = await self.deployment.call(
                instance,
                'minders',
                '/ledger/child-7',
            )
            self.assertEqual((status, body), (200, b'child-7'))
        owners = []
        for target in self.deployment.targets:
            journal = await self.deployment.journal(target)
            if any(entry['key'] == 'child-7' for entry in journal):
                owners.append(target)
        self.assertEqual(len(owners), 1)

    async def test_target_sees_no_api_key(self) -> None:
        """The caller's API key is not in any header that a target got."""
        await self.deployment.call('entry-0', 'minders', '/ledger/child-8')
        for target in self.deployment.targets:
            for entry in await self.deployment.journal(target):
                self.assertNotIn('secret-of', str(entry['headers']))

    async def test_unknown_organisation_is_refused(self) -> None:
        """A request with a wrong API key is refused as not run."""
        self.deployment.secrets['stranger'] = 'wrong'
        status, body = await self.deployment.call(
            'entry-0',
            'stranger',
            '/ledger/child-9',
        )
        self.assertEqual(status, 401)
        self.assertIn(b'not-run', body)
