"""The three cases, from the words of peers."""

import typing
import unittest

from bilberryglade._log import knowledge
from bilberryglade._membership import heartbeats
from bilberryglade._state import state

BOUNDS = knowledge.Bounds(fresh_seconds=1, word_seconds=0.8)
NOW = 100


def word(domain: str, **changes: typing.Any) -> knowledge.Word:
    """Returns the recent word of a peer that reads nothing either."""
    spoken = knowledge.Word(f'entry-{domain}', domain, NOW - 0.5, 60, 7)
    return spoken._replace(**changes)


def evidence(
    *words: knowledge.Word,
    **changes: typing.Any,
) -> knowledge.Evidence:
    """Returns evidence of an instance in north that has read nothing."""
    seen = knowledge.Evidence(
        failure_domain='north',
        others={'north': 3, 'south': 4, 'west': 4},
        offset=7,
        fresh_at=NOW - 60,
        words=words,
    )
    return seen._replace(**changes)


class CaseTest(unittest.TestCase):
    """Decisions of `case` and `nobody_acted_at`."""

    def test_cases(self) -> None:
        """Each kind of evidence and its case."""
        south = word('south')
        west = word('west')
        fresh = knowledge.Case.fresh
        log_down = knowledge.Case.log_down
        isolated = knowledge.Case.isolated
        cases = {
            'own read': (evidence(fresh_at=NOW - 0.9), fresh),
            'read too old': (evidence(fresh_at=NOW - 1), isolated),
            'all agree': (evidence(south, west), log_down),
            'one domain silent': (evidence(south), isolated),
            'word too old': (
                evidence(south, word('west', asked_at=NOW - 0.9)),
                isolated,
            ),
            'a peer reads': (
                evidence(south, west, word('west', age_seconds=0.2)),
                isolated,
            ),
            'a peer knows more': (
                evidence(south, word('west', offset=8)),
                isolated,
            ),
            'one domain, most agree': (
                evidence(word('north'), word('north'), others={'north': 3}),
                log_down,
            ),
            'one domain, most silent': (
                evidence(word('north'), others={'north': 3}),
                isolated,
            ),
            'sole instance': (evidence(others={}), log_down),
        }
        for name, (seen, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(knowledge.case(seen, BOUNDS, NOW), expected)

    def test_nobody_acted_at(self) -> None:
        """With the log down, the oldest of the newest words counts."""
        seen = evidence(
            word('south', asked_at=NOW - 0.75),
            word('south', asked_at=NOW - 0.25),
            word('west', asked_at=NOW - 0.5),
        )
        bounds = BOUNDS._replace(relay_seconds=0.25)
        acted = knowledge.nobody_acted_at(seen, bounds, NOW)
        self.assertEqual(acted, NOW - 0.75)
        alone = evidence(word('south'))
        self.assertEqual(
            knowledge.nobody_acted_at(alone, BOUNDS, NOW),
            NOW - 60,
        )

    def test_evidence_of_heartbeats(self) -> None:
        """Signs of members become words; those of strangers do not."""
        view = state.ClusterState()
        for name, domain in (('a', 'north'), ('b', 'north'), ('c', 'south')):
            member = state.Member(name, 'boot', domain, '', '', 1)
            view = view._replace(members=view.members.set(name, member))
        signs = [
            heartbeats.Sign(name, 'boot', 1, 7, 2, NOW, NOW)
            for name in ('c', 'stranger')
        ]
        seen = knowledge.evidence_of(view, 'a', NOW, signs)
        self.assertEqual(seen.failure_domain, 'north')
        self.assertEqual(seen.others, {'north': 1, 'south': 1})
        self.assertEqual([row.failure_domain for row in seen.words], ['south'])
