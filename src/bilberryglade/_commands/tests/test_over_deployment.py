"""Commands against real instances and a real stand-in of the log."""

import asyncio
import json
import os
import pathlib
import unittest
from unittest import mock

from aiosonic import timeout

from bilberryglade._commands.tests import captures
from bilberryglade_lab import deployment, shapes

IN_FORCE_SECONDS = 6.0


class CommandsOverDeploymentTest(unittest.IsolatedAsyncioTestCase):
    """The command line drives a small deployment."""

    async def asyncSetUp(self) -> None:
        """Starts the small deployment and names its first instance."""
        self.deployment = deployment.Deployment(shapes.SMALL)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        self.set_environment()

    def set_environment(self) -> None:
        """Points the command line at the first instance."""
        port = self.deployment.instances['entry-0'].admin_port
        patched = mock.patch.dict(
            os.environ,
            {
                'BILBERRYGLADE_ADMIN': f'127.0.0.1:{port}',
                'BILBERRYGLADE_TOKEN': deployment.ADMIN_TOKEN,
            },
        )
        patched.start()
        self.addCleanup(patched.stop)

    def rules_file(self, text: str) -> str:
        """Writes a rules file and returns its path."""
        path = pathlib.Path(self.deployment.folder.name) / 'changed.rules'
        path.write_text(text)
        return str(path)

    async def call_with(self, secret: str) -> int:
        """Sends a caller's request with `secret` to another instance."""
        port = self.deployment.instances['entry-1'].caller_port
        response = await self.deployment.http.get(
            f'http://127.0.0.1:{port}/ledger/child-1',
            headers={'authorization': f'Bearer {secret}'},
            timeouts=timeout.Timeouts(request_timeout=5),
        )
        await response.content()
        return int(response.status_code)

    async def until_status(self, secret: str, wanted: int) -> float:
        """Returns the seconds until a request gets the status `wanted`."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while await self.call_with(secret) != wanted:
            self.assertLess(loop.time() - began, IN_FORCE_SECONDS)
            await asyncio.sleep(0.02)
        return loop.time() - began

    async def test_operations(self) -> None:
        """Operators' work of a day, one part after the other."""
        await self.check_lost_race_shows_both_sides()
        await self.check_key_is_issued_once_and_withdrawn()
        await self.check_refusals_have_their_statuses()
        await self.check_status_and_events_tell_of_a_change()
        await self.check_failure_domain_and_target()

    async def check_lost_race_shows_both_sides(self) -> None:
        """The second of two publications on one base changes nothing."""
        path = self.rules_file(
            shapes.SMALL_RULES.replace('rate 200/s', 'rate 150/s'),
        )
        publish = ('rules', 'publish', path, '--based-on', '1', '--by')
        first = await captures.run(*publish, 'first-operator')
        self.assertEqual(first.status, 0, first.err)
        self.rules_file(shapes.SMALL_RULES.replace('burst 50', 'burst 60'))
        second = await captures.run(*publish, 'second-operator')
        self.assertEqual(second.status, 1)
        for part in ('first-operator', '+allow minders', 'burst 60'):
            self.assertIn(part, second.err)
        shown = await captures.run('rules', 'show', '--json')
        self.assertIn('rate 150/s', json.loads(shown.out)['text'])

    async def check_key_is_issued_once_and_withdrawn(self) -> None:
        """A repeated issue makes no second key; withdrawal stops the key."""
        issue = ('keys', 'issue', 'office', '--json')
        key = ('--idempotency-key', 'issue-number-1')
        issued = json.loads((await captures.run(*issue, *key)).out)
        again = await captures.run(*issue, *key)
        self.assertEqual(again.status, 1)
        self.assertNotIn('secret"', again.out)
        listed = await captures.run('keys', 'list', '--json')
        rows = json.loads(listed.out)['keys']
        names = [row['key_id'] for row in rows]
        self.assertEqual(names.count(issued['key_id']), 1)
        self.assertNotIn(issued['secret'], listed.out)
        await self.until_status(issued['secret'], 200)
        withdrawn = await captures.run('keys', 'withdraw', issued['key_id'])
        self.assertEqual(withdrawn.status, 0, withdrawn.err)
        await self.until_status(issued['secret'], 401)

    async def check_failure_domain_and_target(self) -> None:
        """Operators take parts out; placement follows and status shows it."""
        taken = await captures.run('failure-domain', 'take-out', 'north')
        self.assertEqual(taken.status, 0, taken.err)
        drained = await captures.run('target', 'drain', 'ledger-1')
        self.assertEqual(drained.status, 0, drained.err)
        await self.until_slots({'ledger-0': 0, 'ledger-1': 0, 'ledger-2': 0})
        restored = await captures.run('failure-domain', 'restore', 'north')
        self.assertEqual(restored.status, 0, restored.err)
        status = json.loads((await captures.run('status', '--json')).out)
        domains = {
            row['failure_domain']: row['in_service']
            for row in status['failure_domains']
        }
        self.assertEqual(domains, {'north': True, 'south': True})
        states = {row['target']: row['state'] for row in status['targets']}
        self.assertEqual(states['ledger-1'], 'drained')
        undrained = await captures.run('target', 'undrain', 'ledger-1')
        self.assertEqual(undrained.status, 0, undrained.err)

    async def until_slots(self, wanted: dict[str, int]) -> None:
        """Waits until the targets own as many slots as `wanted`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + IN_FORCE_SECONDS
        owned: dict[str, int] = {}
        while any(owned.get(name) != wanted[name] for name in wanted):
            self.assertLess(loop.time(), deadline, owned)
            await asyncio.sleep(0.05)
            shown = await captures.run('status', '--json')
            rows = json.loads(shown.out)['targets']
            owned = {row['target']: row['slots'] for row in rows}

    async def check_refusals_have_their_statuses(self) -> None:
        """Wrong names, credentials and addresses give documented statuses."""
        cases = (
            (('target', 'drain', 'nowhere'), 1, 'known: claims-0'),
            (('keys', 'withdraw', 'nowhere'), 1, 'key-minders'),
            (('rules', 'publish', 'no-such-file'), 2, 'no-such-file'),
            (('keys', 'issue', 'Not A Name'), 1, 'organisation'),
            (('status', '--admin', '127.0.0.1:1'), 3, 'not done'),
        )
        for argv, status, words in cases:
            with self.subTest(argv=argv):
                printed = await captures.run(*argv)
                self.assertEqual(printed.status, status)
                self.assertIn(words, printed.err)
        with mock.patch.dict(os.environ, {'BILBERRYGLADE_TOKEN': 'wrong'}):
            printed = await captures.run('status')
        self.assertEqual(printed.status, 2)

    async def check_status_and_events_tell_of_a_change(self) -> None:
        """The status names every instance; events tell records as folded."""
        port = self.deployment.instances['entry-0'].admin_port
        response = await self.deployment.http.get(
            f'http://127.0.0.1:{port}/v1/events?after=0',
            headers={'authorization': f'Bearer {deployment.ADMIN_TOKEN}'},
        )
        lines = response.iter_lines()
        first = json.loads(await anext(lines))
        self.assertEqual(
            (first['offset'], first['kind'], first['outcome']),
            (1, 'rules_published', 'accepted'),
        )
        status = await captures.run('status')
        self.assertEqual(status.status, 0, status.err)
        for name in self.deployment.instances:
            self.assertIn(name, status.out)
