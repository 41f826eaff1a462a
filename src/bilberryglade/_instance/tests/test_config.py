"""Settings documents that are refused, and what is said of them."""

import copy
import pathlib
import typing
import unittest

import msgspec

from bilberryglade._instance import config, contradictions, samples


def problems(changes: typing.Mapping[str, typing.Any]) -> dict[str, str]:
    """Returns the problems, by path, of the sample with `changes`.

    A change to None removes the setting.
    """
    document: typing.Any = copy.deepcopy(samples.SETTINGS)
    for path, changed in changes.items():
        *parents, name = path.split('.')
        node = document
        for parent in parents:
            node = node[parent]
        node[name] = changed
        if changed is None:
            node.pop(name)
    checked = config.read_settings(msgspec.yaml.encode(document))
    if checked.is_ok():
        return {}
    return {error.path: error.problem for error in checked.unwrap_err()}


class ReadSettingsTest(unittest.TestCase):
    """Every error has a path, and all are told at once."""

    def test_sample_is_valid(self) -> None:
        """The document that repairs take their values from is sound."""
        self.assertEqual(problems({}), {})

    def test_each_error_has_its_path(self) -> None:
        """Names, types, ranges, patterns and contradictions are refused."""
        cases: tuple[typing.Any, ...] = (
            ({'colour': 1}, 'colour', 'not a known setting'),
            ({'timings.leese_ms': 1}, 'timings.leese_ms', 'allowed: heart'),
            ({'timings': None}, 'timings', 'missing'),
            ({'timings.renew_ms': None}, 'timings.renew_ms', 'missing'),
            ({'timings.renew_ms': 'soon'}, 'timings.renew_ms', 'integer'),
            ({'timings.renew_ms': 5}, 'timings.renew_ms', '20'),
            ({'logs.format': 'xml'}, 'logs.format', 'json'),
            ({'peers': 3}, 'peers', 'object'),
            ({'timings.renew_ms': 500}, 'timings.renew_ms', 'half'),
            ({'timings.suspect_ms': 500}, 'timings.suspect_ms', 'twice'),
            ({'timings.authority_ms': 1000}, 'timings.authority_ms', 'less'),
            ({'timings.log_wait_ms': 400}, 'timings.log_wait_ms', 'half'),
            ({'listen.admin': '127.0.0.1:8080'}, 'listen', 'different'),
            ({'listen.admin': '127.0.0.300:1'}, 'listen.admin', 'IP number'),
            ({'listen.peers': '127.0.0.1:0'}, 'listen.peers', 'port 0'),
            ({'listen.callers': '10.0.0.1:70000'}, 'listen.callers', 'port'),
        )
        for changes, path, words in cases:
            with self.subTest(changes=changes):
                found = problems(changes)
                self.assertEqual(list(found), [path])
                self.assertIn(words, found[path])

    def test_all_errors_are_told_together(self) -> None:
        """Errors of several sections and kinds come in one pass."""
        found = problems(
            {
                'colour': 1,
                'timings.renew_ms': None,
                'timings.suspect_ms': 100,
                'limits.body_bytes': 1,
                'listen.admin': '127.0.0.1:0',
            },
        )
        self.assertEqual(
            sorted(found),
            [
                'colour',
                'limits.body_bytes',
                'listen.admin',
                'timings.renew_ms',
                'timings.suspect_ms',
            ],
        )

    def test_secrets_are_in_no_error(self) -> None:
        """Neither key nor digest is repeated, whatever is wrong with it."""
        cases = (
            {'peers.secret_key': 'hidden-value'},
            {'admin.token_digest': 'hidden-value'},
            {'peers': 'hidden-value'},
            {'peers.secret_key': ['hidden-value']},
        )
        for changes in cases:
            with self.subTest(changes=changes):
                found = problems(changes)
                self.assertTrue(found)
                self.assertNotIn('hidden-value', str(found))

    def test_garbage_is_refused(self) -> None:
        """Bytes that are no map of settings are refused with their place."""
        cases = (b'', b'[1]', b'a: b: hidden', b'\xff\xfe', b'&a [*a]', b'1: 2')
        for raw in cases:
            with self.subTest(raw=raw):
                checked = config.read_settings(raw)
                self.assertNotIn('hidden', str(checked.unwrap_err()))

    def test_each_contradiction_has_a_description(self) -> None:
        """A registered check says what it protects."""
        for entry in contradictions.contradictions.entries.values():
            self.assertTrue(entry.check.__doc__)

    def test_example_is_valid(self) -> None:
        """The example settings pass every check."""
        root = pathlib.Path(__file__).resolve().parents[4]
        raw = (root / 'examples' / 'instance.yaml').read_bytes()
        self.assertTrue(config.read_settings(raw).is_ok())
