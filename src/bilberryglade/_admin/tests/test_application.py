"""The admin listener over a real socket, in front of a log in memory."""

import asyncio
import json
import typing
import unittest

import aiosonic

from bilberryglade._admin import application, decoding
from bilberryglade._callers import credentials
from bilberryglade._operations import operations
from bilberryglade._operations.tests import fakes
from bilberryglade_lab import processes
from bilberryglade_stand_ins import serving

TOKEN = 'operators'


class AdminListenerTest(unittest.IsolatedAsyncioTestCase):
    """What the listener answers, and to whom."""

    async def asyncSetUp(self) -> None:
        """Serves the API on a free port."""
        self.log = fakes.FakeLog()
        self.ready = True
        context = fakes.context_over(self.log, credentials.digest_of(TOKEN))
        front = application.AdminFront(
            context,
            application.Probes(lambda: self.ready, lambda: b'metric 1\n'),
        )
        self.port = processes.free_ports(1)[0]
        server = serving.server_for(application.application(front), self.port)
        for loop in (context.reader.follow(), server.serve()):
            self.addCleanup(asyncio.create_task(loop).cancel)
        while not server.started:
            await asyncio.sleep(0.01)
        self.http = aiosonic.HTTPClient()

    async def send(
        self,
        method: str,
        path: str,
        body: object = None,
        token: str = TOKEN,
    ) -> tuple[int, typing.Any]:
        """Sends a request; returns the status and the decoded body."""
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        response = await self.http.request(
            f'http://127.0.0.1:{self.port}{path}',
            method,
            headers={'authorization': f'Bearer {token}'},
            data=None if body is None else raw,
        )
        text = (await response.content()).decode()
        is_json = text.startswith('{')
        return response.status_code, json.loads(text) if is_json else text

    async def test_refusals_are_problem_documents(self) -> None:
        """Each wrong request gets its status, and changes nothing."""
        oversized = b'x' * (decoding.MAX_BODY_BYTES + 1)
        unknown = {'organisation': 'a', 'colour': 'red'}
        cases: tuple[tuple[typing.Any, ...], ...] = (
            ('GET', '/v1/status', None, 'wrong', 401, 'token'),
            ('GET', '/v1/openapi.json', None, '', 401, 'token'),
            ('GET', '/v1/nothing', None, TOKEN, 404, '/v1/nothing'),
            ('DELETE', '/v1/rules', None, TOKEN, 405, 'DELETE'),
            ('POST', '/v1/keys', oversized, TOKEN, 413, 'bytes'),
            ('POST', '/v1/keys', b'{', TOKEN, 400, 'truncated'),
            ('POST', '/v1/keys', b'[]', TOKEN, 400, 'object'),
            ('POST', '/v1/keys', b'\xff', TOKEN, 400, ''),
            ('POST', '/v1/keys', unknown, TOKEN, 400, 'colour'),
            ('POST', '/v1/keys', {}, TOKEN, 400, 'organisation'),
            ('POST', '/v1/keys', {'organisation': 'A'}, TOKEN, 400, 'organ'),
            ('GET', '/v1/events?after=x', None, TOKEN, 400, 'after'),
            ('POST', '/v1/targets/x/drain', None, TOKEN, 404, 'target'),
        )
        for method, path, body, token, status, words in cases:
            with self.subTest(method=method, path=path, status=status):
                answer = await self.send(method, path, body, token)
                self.assertEqual(answer[0], status)
                self.assertEqual(answer[1]['status'], status)
                self.assertEqual(answer[1]['outcome'], 'not_done')
                self.assertIn(words, answer[1]['detail'])
        self.assertEqual(self.log.records, [])

    async def test_health_and_metrics_need_no_token(self) -> None:
        """Probes answer anybody; readiness follows the instance."""
        cases = (
            ('/health/live', True, 200),
            ('/health/ready', True, 200),
            ('/health/ready', False, 503),
            ('/health/live', False, 200),
            ('/metrics', False, 200),
        )
        for path, ready, status in cases:
            with self.subTest(path=path, ready=ready):
                self.ready = ready
                answer = await self.send('GET', path, token='')
                self.assertEqual(answer[0], status)

    async def test_description_has_every_operation(self) -> None:
        """The description names all operations and resolves all references."""
        _, described = await self.send('GET', '/v1/openapi.json')
        named = {
            entry['operationId']
            for path in described['paths'].values()
            for entry in path.values()
        }
        self.assertEqual(named, set(operations.operations.entries))
        schemas = described['components']['schemas']
        prefix = '#/components/schemas/'
        for reference in _references(described):
            self.assertTrue(reference.startswith(prefix), reference)
            self.assertIn(reference.removeprefix(prefix), schemas)

    async def test_accepted_change(self) -> None:
        """A key is issued once, and its answer has the secret."""
        status, issued = await self.send(
            'POST', '/v1/keys', {'organisation': 'minders'}
        )
        self.assertEqual((status, issued['outcome']), (200, 'accepted'))
        digest = credentials.digest_of(issued['secret'])
        self.assertEqual(self.log.records[0]['digest'], digest)


def _references(node: object) -> typing.Iterator[str]:
    if isinstance(node, list):
        for inner in node:
            yield from _references(inner)
    if isinstance(node, dict):
        for name, inner in node.items():
            if name == '$ref':
                yield inner
            else:
                yield from _references(inner)
