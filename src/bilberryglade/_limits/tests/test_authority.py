"""Tests of the authority of quota homes."""

import types
import unittest

from bilberryglade._limits import authority
from bilberryglade._log import knowledge

BOUNDS = knowledge.Bounds(fresh_seconds=0.8, word_seconds=0.8)
NOW = 100.0


class FakeKnowledge:
    """An instance in `north` that hears an instance of `south`, or not."""

    def __init__(self, fresh_at: float, *words: knowledge.Word) -> None:
        others = types.MappingProxyType({'south': 1})
        self.evidence = knowledge.Evidence('north', others, 7, fresh_at, words)

    def nobody_acted_seconds(self) -> float:
        return NOW - knowledge.nobody_acted_at(self.evidence, BOUNDS, NOW)


class AuthorityTest(unittest.TestCase):
    """Fresh, the log down for all, and isolated."""

    def test_cases(self) -> None:
        """A home goes on while nobody can have followed it, and no longer."""
        same = knowledge.Word('entry-s', 'south', NOW - 0.3, 9, 7)
        more = same._replace(offset=8)
        reading = same._replace(age_seconds=0.1)
        old = same._replace(asked_at=NOW - 2)
        cases = (
            ('fresh', FakeKnowledge(NOW - 0.5), True),
            ('log down for all', FakeKnowledge(NOW - 60, same), True),
            ('south has news', FakeKnowledge(NOW - 60, more), False),
            ('south reads', FakeKnowledge(NOW - 60, reading), False),
            ('south is silent', FakeKnowledge(NOW - 60, old), False),
            ('isolated', FakeKnowledge(NOW - 60), False),
        )
        for name, known, has_authority in cases:
            with self.subTest(name):
                held = authority.ConfirmedAuthority(known, 800)
                self.assertEqual(held.has_authority, has_authority)
