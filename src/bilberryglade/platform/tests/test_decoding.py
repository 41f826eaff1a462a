"""What the adapter makes of settings, configurations, entries and records."""

import copy
import json
import unittest

import result

from bilberryglade._values import stored
from bilberryglade.platform import (
    catalogues,
    durations,
    entries,
    node_file,
    records,
)
from bilberryglade.platform.tests import samples


class DurationTests(unittest.TestCase):
    """Times with their units."""

    def test_known_units(self) -> None:
        """Milliseconds and seconds, with fractions."""
        cases = {'1500ms': 1.5, '2.5s': 2.5, '0ms': 0}
        for text, seconds in cases.items():
            with self.subTest(text=text):
                self.assertAlmostEqual(durations.seconds_of(text), seconds)

    def test_other_texts(self) -> None:
        """Anything else is an error, never a zero."""
        endless = ('infs', '-infms', 'nans', '1e400s', f'{"9" * 400}ms')
        for text in ('', '5', 'ms', '5m', 'soon', *endless):
            with self.subTest(text=text), self.assertRaises(ValueError):
                durations.seconds_of(text)


class NodeFileTests(unittest.TestCase):
    """The settings file of a process."""

    def test_site(self) -> None:
        """Every field lands where its name in the project says."""
        place = node_file.read(json.dumps(samples.NODE_FILE).encode()).unwrap()
        self.assertEqual(place.instance, 'edge-a-1')
        self.assertEqual(place.failure_domain, 'a')
        self.assertEqual(place.peer_address, '127.0.0.1:7560')
        self.assertEqual(place.store_address, '127.0.0.1:8382')
        self.assertAlmostEqual(place.target_beat, 0.87)
        self.assertAlmostEqual(place.bounds.longest_lease, 10)

    def test_missing_fields(self) -> None:
        """A missing or wrong field is named."""
        for path in (('self', 'ip'), ('terms', 'bounds'), ('provider',)):
            broken = copy.deepcopy(samples.NODE_FILE)
            holder = broken
            for step in path[:-1]:
                holder = holder[step]
            holder.pop(path[-1])
            with self.subTest(path=path):
                read = node_file.read(json.dumps(broken).encode())
                self.assertIsInstance(read, result.Err)
                self.assertIn(path[-1], read.unwrap_err())


class CatalogueTests(unittest.TestCase):
    """Configurations of operators."""

    def test_columns(self) -> None:
        """Rows are read by their columns; kinds decide what may repeat."""
        known = catalogues.decode(samples.configuration()).unwrap().catalogue
        claims = known.routes['host.example']['/claims/']
        look = known.routes['host.example']['/look/']
        self.assertFalse(claims.repeatable)
        self.assertTrue(look.repeatable)
        self.assertTrue(look.is_public)
        self.assertAlmostEqual(look.aim, look.timeout)
        self.assertEqual([part.weight for part in look.parts], [90, 10])
        self.assertTrue(known.services['ledger'].is_partitioned)
        self.assertEqual(known.api_keys['key-2'], 'office')
        self.assertEqual(known.caller_bounds.body_bytes, 1000)

    def test_unreadable(self) -> None:
        """Whatever is wrong is an error value, so the last one stays."""
        cases = {
            'cut short': samples.configuration()[:-20],
            'no service': samples.configuration(
                services={'columns': ['name'], 'rows': []}
            ),
            'row too short': samples.configuration(
                services={'columns': ['name', 'warm'], 'rows': [['x']]}
            ),
            'not a table': samples.configuration(routes=[]),
        }
        for name, raw in cases.items():
            with self.subTest(name=name):
                self.assertIsInstance(catalogues.decode(raw), result.Err)


class EntryTests(unittest.TestCase):
    """What targets say of themselves."""

    def test_target(self) -> None:
        """An entry names one life of a target."""
        record = stored.Record('i-1', 9, samples.entry(warmup_left='2s'))
        target = entries.decode(record, now=100).unwrap()
        self.assertEqual(target.name, 'i-1')
        self.assertEqual(target.born, 1_000)
        self.assertEqual(target.places, 2)
        self.assertAlmostEqual(target.cold_until, 102)
        self.assertFalse(target.is_draining)

    def test_foreign_writers(self) -> None:
        """Entries of other writers name no target."""
        cases = {
            'bytes': b'\xff\x00',
            'state': samples.entry(state='asleep'),
            'slots': samples.entry(slots='2'),
            'no places': samples.entry(slots=0),
            'address': samples.entry(address='nowhere'),
            'warmup': samples.entry(warmup_left='soon'),
            'born': samples.entry(born=1.5),
            'no seq': samples.entry(seq=None),
        }
        for name, raw in cases.items():
            with self.subTest(name=name):
                decoded = entries.decode(stored.Record('i-1', 9, raw), now=0)
                self.assertIsInstance(decoded, result.Err)


class RecordTests(unittest.TestCase):
    """Bytes of the log."""

    def test_round_trip(self) -> None:
        """What is framed is read back with its offset."""
        raw = records.HEAD.pack(12, 3) + b''.join(
            (
                records.frame(records.keyed('a', b'one')),
                records.frame(records.keyed('b', b'')),
            ),
        )
        read = records.parse_read(raw)
        self.assertEqual((read.end, read.first), (12, 3))
        self.assertEqual(
            [records.parse_keyed(one, 5) for one in read.records],
            [stored.Record('a', 5, b'one'), stored.Record('b', 5, None)],
        )

    def test_cut_answers(self) -> None:
        """An answer cut anywhere but between records is an error."""
        whole = records.HEAD.pack(1, 0) + records.frame(b'\x01abc')
        allowed = {len(whole), records.HEAD.size}
        for size in set(range(len(whole))) - allowed:
            with self.subTest(size=size), self.assertRaises(ValueError):
                records.parse_read(whole[:size])

    def test_no_key(self) -> None:
        """A record that is shorter than its key names none."""
        self.assertIsNone(records.parse_keyed(b'', 0))
        self.assertIsNone(records.parse_keyed(b'\x05ab', 0))
