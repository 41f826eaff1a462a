"""Commands against a made-up API: what is sent, printed and returned."""

import json
import os
import pathlib
import tempfile
import types
import typing
import unittest
from unittest import mock

import result

from bilberryglade._admin import problems
from bilberryglade._commands import commands, connections, options, version
from bilberryglade._commands.tests import captures
from bilberryglade._operations import failures

COMMITTED = types.MappingProxyType(
    {'outcome': 'accepted', 'record_id': 'r', 'offset': 7},
)
ROOT = pathlib.Path(__file__).resolve().parents[4]


class FakeApi:
    """Answers every call with one outcome and keeps the calls."""

    def __init__(self, outcome: result.Result[typing.Any, typing.Any]) -> None:
        """Answers with `outcome`."""
        self.outcome = outcome
        self.calls: list[tuple[str, typing.Any, str]] = []

    async def call(
        self,
        name: str,
        request: typing.Any,
        idempotency_key: str = '',
    ) -> result.Result[typing.Any, typing.Any]:
        """Keeps the call."""
        self.calls.append((name, request, idempotency_key))
        return self.outcome


async def run_with(
    outcome: result.Result[typing.Any, typing.Any],
    *argv: str,
) -> tuple[captures.Printed, FakeApi]:
    """Runs a command against an API that gives `outcome`."""
    api = FakeApi(outcome)
    with mock.patch.object(connections, 'connect', return_value=api):
        return await captures.run(*argv), api


def problem(kind: failures.FailureKind) -> typing.Any:
    """Returns the outcome of a failed operation."""
    failure = failures.Failure(kind, 'why', record_id='record-1', winner=5)
    return result.Err(problems.document(failure))


class ChangesTest(unittest.IsolatedAsyncioTestCase):
    """Each command calls its operation with its arguments."""

    async def test_calls(self) -> None:
        """Arguments become the operation's request."""
        domain = {'failure_domain': 'north', 'by': 'anna'}
        cases: tuple[tuple[str, str, typing.Any], ...] = (
            ('keys withdraw k', 'keys_withdraw', {'key_id': 'k'}),
            ('target drain t', 'target_drain', {'target': 't'}),
            ('target undrain t', 'target_undrain', {'target': 't'}),
            (
                'failure-domain take-out north --by anna',
                'failure_domain_take_out',
                domain,
            ),
            (
                'failure-domain restore north --by anna',
                'failure_domain_restore',
                domain,
            ),
        )
        for line, name, request in cases:
            with self.subTest(line=line):
                argv = (*line.split(), '--idempotency-key', 'key-1')
                printed, api = await run_with(result.Ok(COMMITTED), *argv)
                self.assertEqual(api.calls, [(name, request, 'key-1')])
                self.assertEqual(printed.status, 0)
                self.assertIn('offset 7', printed.out)

    async def test_statuses(self) -> None:
        """Each outcome has the exit status that the pages document."""
        cases: tuple[tuple[typing.Any, int, str], ...] = (
            (problem(failures.FailureKind.rejected), 1, 'rejected: why'),
            (problem(failures.FailureKind.invalid), 1, 'not done: why'),
            (problem(failures.FailureKind.unauthorized), 2, 'why'),
            (problem(failures.FailureKind.internal), 3, 'why'),
            (problem(failures.FailureKind.unclear), 4, 'record record-1'),
            (result.Err(connections.Unreachable('x')), 3, 'not done: x'),
            (result.Err(connections.NoAnswer('x', 'k-1')), 4, 'key k-1'),
        )
        for outcome, status, words in cases:
            with self.subTest(status=status, words=words):
                printed, _ = await run_with(outcome, 'target', 'drain', 't')
                self.assertEqual(printed.status, status)
                self.assertIn(words, printed.err)
                printed, _ = await run_with(
                    outcome, 'target', 'drain', 't', '--json'
                )
                self.assertEqual(printed.status, status)
                self.assertIn('outcome', json.loads(printed.out))

    async def test_names_are_checked_before_they_are_sent(self) -> None:
        """A name that would be another path never leaves the program."""
        for name in ('../x', 'a/b', 'A'):
            with self.subTest(name=name):
                printed = await captures.run(
                    'target', 'drain', name, '--admin', '127.0.0.1:1'
                )
                self.assertEqual(printed.status, 1)
                self.assertIn('target: must match', printed.err)

    async def test_usage(self) -> None:
        """Wrong options and commands are status 2."""
        lines = (
            '',
            'rules',
            'target drain',
            'status --colour',
            'nothing',
            'status --admin 127.0.0.1:port',
            'status --admin nowhere:80',
            'status --token-file no-such-file',
            'run --settings no-such-file',
            'rules check no-such-file',
        )
        for line in lines:
            with self.subTest(line=line):
                printed = await captures.run(*line.split())
                self.assertEqual(printed.status, 2)

    async def test_checks_name_file_and_line(self) -> None:
        """Checks work without an API and say where the errors are."""
        with tempfile.TemporaryDirectory() as folder:
            rules = pathlib.Path(folder) / 'a.rules'
            rules.write_text('\nallow\n')
            printed = await captures.run('rules', 'check', str(rules))
            self.assertEqual(printed.status, 1)
            self.assertIn(f'{rules}:2:6: ', printed.err)
            settings = pathlib.Path(folder) / 'a.yaml'
            settings.write_text('colour: red\n')
            printed = await captures.run('settings', 'check', str(settings))
            self.assertEqual(printed.status, 1)
            self.assertIn(f'{settings}: colour: ', printed.err)
            printed = await captures.run('run', '--settings', str(settings))
            self.assertEqual(printed.status, 2)

    async def test_version_is_that_of_the_package(self) -> None:
        """The command and the package agree."""
        text = (ROOT / 'pyproject.toml').read_text()
        self.assertIn(f'version = "{version.VERSION}"', text)


class TokenTest(unittest.TestCase):
    """Where the token comes from."""

    def test_sources(self) -> None:
        """A file goes before the environment; arguments never have it."""
        with tempfile.NamedTemporaryFile('w', suffix='.token') as source:
            source.write('from-file\n')
            source.flush()
            from_file = options.parse_token_file(source.name)
        plain = {connections.TOKEN_VARIABLE: 'from-environment'}
        with mock.patch.dict(os.environ, plain):
            cases = ((from_file, 'from-file'), ('', 'from-environment'))
            for given, token in cases:
                api = connections.connect('127.0.0.1:1', given)
                self.assertEqual(api.token, token)

    def test_no_command_takes_a_token(self) -> None:
        """No command has a parameter for the token itself."""
        for name in commands.commands.names():
            names = commands.commands.entries[name].__annotations__
            self.assertNotIn('token', names)
