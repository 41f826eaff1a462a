"""Odd configurations: the odd part is left out, or the last good one holds."""

import json
import typing
import unittest
from unittest import mock

from bilberryglade._knowledge import knowledge, topics
from bilberryglade._values import stored
from bilberryglade.platform import catalogues, folds
from bilberryglade.platform.tests import samples

REGISTERED: typing.Final = (folds,)
DEPTH: typing.Final = 60_000
GOOD_VERSION: typing.Final = 7
ODD_VERSION: typing.Final = 9
LATER_VERSION: typing.Final = 12
#: Stands for what JSON of Python cannot write.
PLACEHOLDER: typing.Final = '"here"'
DIGITS: typing.Final = '9' * 400


def _changed(table: str, column: str, written: str) -> bytes:
    """Returns a configuration with other JSON in the first row of a table."""
    config = json.loads(samples.configuration(ODD_VERSION))
    rows = config[table]
    if column not in rows['columns']:
        rows['columns'].append(column)
        for row in rows['rows']:
            row.append(None)
    place = rows['columns'].index(column)
    rows['rows'][0][place] = 'here'
    return json.dumps(config).replace(PLACEHOLDER, written).encode()


def _field(name: str, written: str) -> bytes:
    """Returns a configuration with other JSON in a field."""
    config = json.loads(samples.configuration(ODD_VERSION))
    config[name] = 'here'
    return json.dumps(config).replace(PLACEHOLDER, written).encode()


def _split(weight: str) -> str:
    return f'[{{"service":"ledger","weight":{weight}}}]'


DEEP: typing.Final = f'{"[" * DEPTH}1{"]" * DEPTH}'
#: Of these nothing can be used.
UNUSABLE: typing.Final = {  # noqa: WPS407
    'bytes': b'\xff\x00',
    'no map': b'[]',
    'columns of numbers': _field('tenants', '{"columns":[1],"rows":[[1]]}'),
    'routes that are no table': _field('routes', '[]'),
    'deep routes': _field('routes', DEEP),
    'services that are no rows': _field(
        'services', '{"columns":["name"],"rows":5}'
    ),
    'no readable service': _field(
        'services', '{"columns":["name"],"rows":[[5]]}'
    ),
    'no served route': _field('services', '{"columns":["name"],"rows":[]}'),
    'no readable organisation': _field(
        'tenants', '{"columns":["name"],"rows":[["x"]]}'
    ),
}
#: Of these the rest is in force; with the path that is told.
PARTLY_ODD: typing.Final = {  # noqa: WPS407
    'deep in a row': (_changed('routes', 'odd', DEEP), ''),
    'deep': (_field('odd', DEEP), ''),
    'deep in a known column': (
        _changed('routes', 'service', DEEP),
        'routes[0].service',
    ),
    'list as a name': (
        _changed('routes', 'name', '[[[["x"]]]]'),
        'routes[0].name',
    ),
    'version of 400 digits': (
        _field('config_version', DIGITS),
        'config_version',
    ),
    'version in parts': (_field('config_version', '1.5'), 'config_version'),
    'list as a key': (
        _changed('tenants', 'api_keys', '[["x"],"key-1"]'),
        'tenants[0].api_keys',
    ),
    'negative weight': (
        _changed('routes', 'traffic_split', _split('-1')),
        'routes[0].traffic_split',
    ),
    'endless weight': (
        _changed('routes', 'traffic_split', _split('1e999')),
        'routes[0].traffic_split',
    ),
    'weight of digits': (
        _changed('routes', 'traffic_split', _split(DIGITS)),
        'routes[0].traffic_split',
    ),
    'timeout of digits': (
        _changed('routes', 'timeout', f'"{DIGITS}s"'),
        'routes[0].timeout',
    ),
    'endless timeout': (
        _changed('routes', 'timeout', '"infs"'),
        'routes[0].timeout',
    ),
    'no timeout': (
        _changed('routes', 'timeout', '"nanms"'),
        'routes[0].timeout',
    ),
    'negative timeout': (
        _changed('routes', 'timeout', '"-1s"'),
        'routes[0].timeout',
    ),
    'priority of digits': (
        _changed('routes', 'priority', DIGITS),
        'routes[0].priority',
    ),
    'attempts of digits': (
        _changed('routes', 'attempts', DIGITS),
        'routes[0].attempts',
    ),
    'negative attempts': (
        _changed('routes', 'attempts', '-1'),
        'routes[0].attempts',
    ),
    'endless warmup': (
        _changed('services', 'warmup', '"infs"'),
        'services[0].warmup',
    ),
    'negative cold rate': (
        _changed('services', 'warmup_per_s', '-1'),
        'services[0].warmup_per_s',
    ),
    'endless idle time': (
        _field('limits', '{"idle_timeout":"infs"}'),
        'limits.idle_timeout',
    ),
    'negative body': (
        _field('limits', '{"max_body_bytes":-1}'),
        'limits.max_body_bytes',
    ),
    'limits that are no map': (_field('limits', '5'), 'limits'),
}


class OddConfigurationTests(unittest.TestCase):
    """What operators wrote, or somebody in their place."""

    def test_the_last_good_one_holds(self) -> None:
        """Failure domains that are taken out count as well."""
        for name, odd in UNUSABLE.items():
            with self.subTest(name=name):
                known = self._known_after(odd)
                self.assertEqual(_version(known), GOOD_VERSION)
                self.assertEqual(known.omitted.counts[topics.OPERATOR], 1)
                self._check_later(known)

    def test_the_rest_is_in_force(self) -> None:
        """The route beside an odd part is served, and the part is told."""
        for name, (odd, path) in PARTLY_ODD.items():
            with self.subTest(name=name):
                known = self._known_after(odd)
                self.assertIn(
                    _version(known), {ODD_VERSION, catalogues.UNKNOWN_VERSION}
                )
                assert known.catalogue is not None
                look = known.catalogue.routes['host.example']['/look/']
                self.assertTrue(look.parts)
                told = ' '.join(line[-1] for line in known.omitted.told)
                self.assertIn(f'{path}:' if path else '', told)
                self.assertEqual(
                    known.omitted.part_counts.get(topics.OPERATOR, 0),
                    int(bool(path)),
                )
                self._check_later(known)

    def test_odd_names_of_failure_domains(self) -> None:
        """A name is whatever stands in the key."""
        known = knowledge.Knowledge()
        for offset, name in enumerate(('', '/', '\N{REPLACEMENT CHARACTER}')):
            known = _read(known, offset, b'\xff', key=f'evacuate/{name}')
            self.assertTrue(known.is_out(name))

    def test_slow_instance_does_not_decode_what_is_out_of_date(self) -> None:
        """Of what came together, the newest usable one alone is decoded."""
        good = [samples.configuration(version) for version in range(20, 25)]
        cases = (
            ('all good', good, 24, 1),
            ('two odd ones last', [*good, b'[]', b'\xff'], 24, 3),
            ('none good', [b'[]', b'\xff'], GOOD_VERSION, 2),
        )
        before = _read(
            knowledge.Knowledge(), 1, samples.configuration(GOOD_VERSION)
        )
        for name, written, version, decoded in cases:
            records = tuple(
                stored.Record('config', offset, payload)
                for offset, payload in enumerate(written, start=2)
            )
            batch = stored.Batch(records, len(records) + 2, is_whole=False)
            with (
                self.subTest(name=name),
                mock.patch.object(
                    catalogues, 'decode', wraps=catalogues.decode
                ) as decode,
            ):
                known = knowledge.learn(
                    before, topics.OPERATOR, batch, knowledge.Origin(1)
                )
                self.assertEqual(_version(known), version)
                self.assertEqual(decode.call_count, decoded)
                self.assertEqual(known.catalogue_offset, records[-1].offset)

    def _known_after(self, odd: bytes) -> knowledge.Knowledge:
        """Returns what is known after a good configuration and an odd one."""
        known = knowledge.Knowledge()
        known = _read(known, 1, samples.configuration(GOOD_VERSION))
        known = _read(known, 2, odd)
        known = _read(known, 3, b'{}', key='evacuate/a')
        self.assertTrue(known.is_out('a'))
        return known

    def _check_later(self, known: knowledge.Knowledge) -> None:
        later = _read(known, 4, samples.configuration(LATER_VERSION))
        self.assertEqual(_version(later), LATER_VERSION)


def _read(
    known: knowledge.Knowledge,
    offset: int,
    payload: bytes,
    key: str = 'config',
) -> knowledge.Knowledge:
    records = (stored.Record(key, offset, payload),)
    batch = stored.Batch(records, offset + 1, is_whole=False)
    origin = knowledge.Origin(offset)
    return knowledge.learn(known, topics.OPERATOR, batch, origin)


def _version(known: knowledge.Knowledge) -> int | None:
    return known.catalogue.version if known.catalogue else None
