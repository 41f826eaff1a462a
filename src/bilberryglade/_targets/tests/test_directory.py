"""Targets' entries: older ones, drops, lapses around an outage."""

import typing
import unittest

from bilberryglade._targets import directory
from bilberryglade._targets.tests import samples

#: Its name, changed fields of the entry, and the words that it is told by.
ChangeCase: typing.TypeAlias = tuple[str, dict[str, typing.Any], list[str]]


class PutTests(unittest.TestCase):
    """What replaces what."""

    def test_order(self) -> None:
        """Offset, life and sequence decide, in this order."""
        known = directory.put(directory.Directory(), samples.target())
        cases = (
            ('newer', {'offset': 101, 'sequence': 6}, True),
            ('same offset', {'sequence': 6}, False),
            ('old words again', {'offset': 101, 'sequence': 4}, False),
            ('earlier life', {'offset': 101, 'born': 9, 'sequence': 9}, False),
            ('next life', {'offset': 101, 'born': 11, 'sequence': 0}, True),
        )
        for name, changes, is_taken in cases:
            with self.subTest(name=name):
                new = samples.target(is_draining=True, **changes)
                after = directory.put(known, new).targets['t']
                self.assertEqual(after.is_draining, is_taken)


class DropTests(unittest.TestCase):
    """Entries that go."""

    def setUp(self) -> None:
        """One target is listed."""
        self.known = directory.put(directory.Directory(), samples.target())

    def test_at_once(self) -> None:
        """With the store at hand, a dropped entry means gone."""
        after = directory.drop(self.known, 't', 101)
        self.assertNotIn('t', after.targets)

    def test_late_drop(self) -> None:
        """A drop that is older than the entry changes nothing."""
        after = directory.drop(self.known, 't', 99)
        self.assertIn('t', after.targets)

    def test_around_an_outage(self) -> None:
        """A lapsed entry is waited for, and gone if it does not come back."""
        after = directory.drop(self.known, 't', 101, keep_until=50)
        self.assertIn('t', directory.expire(after, 49).targets)
        self.assertNotIn('t', directory.expire(after, 50).targets)
        back = directory.put(after, samples.target(offset=102, sequence=6))
        self.assertIn('t', directory.expire(back, 60).targets)

    def test_leaving_is_never_doubted(self) -> None:
        """A target that said it leaves is gone with its entry."""
        leaving = directory.put(
            self.known, samples.target(offset=101, sequence=6, is_draining=True)
        )
        after = directory.drop(leaving, 't', 102, keep_until=50)
        self.assertNotIn('t', after.targets)

    def test_whole_reading(self) -> None:
        """What a whole reading does not name is gone."""
        after = directory.retain(self.known, frozenset(), 101)
        self.assertNotIn('t', after.targets)
        early = directory.retain(self.known, frozenset(), 100)
        self.assertIn('t', early.targets)


class ChangeTests(unittest.TestCase):
    """What is told of two states of the directory."""

    def test_kinds(self) -> None:
        """Each change has a word; a sign of life has none."""
        cases: list[ChangeCase] = [
            ('sign of life', {'offset': 101, 'sequence': 6}, []),
            ('new life', {'offset': 101, 'born': 11}, ['started again']),
            (
                'notice',
                {'offset': 101, 'sequence': 6, 'is_draining': True},
                ['leaving'],
            ),
            ('another', {'name': 'u'}, ['listed']),
            ('more places', {'offset': 101, 'places': 3}, ['changed']),
        ]
        before = directory.put(directory.Directory(), samples.target())
        for name, changes, words in cases:
            with self.subTest(name=name):
                after = directory.put(before, samples.target(**changes))
                found = directory.changes(before, after)
                self.assertEqual([change.what for change in found], words)

    def test_drops(self) -> None:
        """An entry that lapsed is told apart from one that is gone."""
        before = directory.put(directory.Directory(), samples.target())
        cases = (('gone', 0), ('lapsed', 9))
        for word, keep_until in cases:
            with self.subTest(word=word):
                after = directory.drop(before, 't', 101, keep_until)
                found = directory.changes(before, after)
                self.assertEqual([change.what for change in found], [word])


class NewsTests(unittest.TestCase):
    """Entries that other instances must know of."""

    def test_each_field_but_signs_of_life_is_news(self) -> None:
        """Guards against a fact that only the reading instance knows."""
        cold = samples.target(cold_until=50.0)
        changed: dict[str, typing.Any] = {
            name: not known
            if isinstance(known, bool)
            else known * 3 or type(known)('9')
            for name, known in cold._asdict().items()
        }
        for name, new in changed.items():
            with self.subTest(field=name):
                self.assertNotEqual(getattr(cold, name), new)
                is_news = directory.is_change(
                    cold, cold._replace(**{name: new})
                )
                self.assertEqual(is_news, name not in {'sequence', 'offset'})

    def test_cold_spell_that_ends_later_is_news(self) -> None:
        """Guards against full load on a target that became cold once more."""
        cold = samples.target(cold_until=50.0)
        for seconds, is_news in ((0.1, False), (-0.1, False), (2.5, True)):
            with self.subTest(seconds=seconds):
                later = cold._replace(cold_until=50.0 + seconds, offset=101)
                self.assertEqual(directory.is_change(cold, later), is_news)
        warm = cold._replace(cold_until=0, offset=101)
        self.assertTrue(directory.is_change(cold, warm))
