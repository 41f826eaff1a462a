"""A configuration that cannot be used: the last good one holds, later ones too."""

import json
import typing
import unittest

from bilberryglade._knowledge import knowledge, topics
from bilberryglade._values import stored
from bilberryglade.platform import folds
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


ODD: typing.Final = {  # noqa: WPS407
    'bytes': b'\xff\x00',
    'deep': _field('odd', f'{"[" * DEPTH}1{"]" * DEPTH}'),
    'deep in a row': _changed('routes', 'odd', f'{"[" * DEPTH}1{"]" * DEPTH}'),
    'deep in a known column': _changed('routes', 'name', '[[[["x"]]]]'),
    'version of 400 digits': _field('config_version', DIGITS),
    'version in parts': _field('config_version', '1.5'),
    'list as a name': _changed('services', 'name', '["x"]'),
    'list as a key': _changed('tenants', 'api_keys', '[["x"]]'),
    'columns of numbers': _field('tenants', '{"columns":[1],"rows":[[1]]}'),
    'negative weight': _changed('routes', 'traffic_split', _split('-1')),
    'endless weight': _changed('routes', 'traffic_split', _split('1e999')),
    'weight of digits': _changed('routes', 'traffic_split', _split(DIGITS)),
    'timeout of digits': _changed('routes', 'timeout', f'"{DIGITS}s"'),
    'endless timeout': _changed('routes', 'timeout', '"infs"'),
    'no timeout': _changed('routes', 'timeout', '"nanms"'),
    'negative timeout': _changed('routes', 'timeout', '"-1s"'),
    'priority of digits': _changed('routes', 'priority', DIGITS),
    'attempts of digits': _changed('routes', 'attempts', DIGITS),
    'negative attempts': _changed('routes', 'attempts', '-1'),
    'rate of digits': _changed('tenants', 'rate_per_s', DIGITS),
    'negative rate': _changed('tenants', 'rate_per_s', '-1'),
    'negative burst': _changed('tenants', 'burst', '-1'),
    'endless warmup': _changed('services', 'warmup', '"infs"'),
    'negative cold rate': _changed('services', 'warmup_per_s', '-1'),
    'endless idle time': _field('limits', '{"idle_timeout":"infs"}'),
    'negative body': _field('limits', '{"max_body_bytes":-1}'),
}


class OddConfigurationTests(unittest.TestCase):
    """What operators wrote, or somebody in their place."""

    def test_the_last_good_one_holds(self) -> None:
        """Failure domains that are taken out count as well."""
        for name, odd in ODD.items():
            with self.subTest(name=name):
                known = knowledge.Knowledge()
                known = _read(known, 1, samples.configuration(GOOD_VERSION))
                known = _read(known, 2, odd)
                known = _read(known, 3, b'{}', key='evacuate/a')
                self.assertEqual(_version(known), GOOD_VERSION)
                self.assertTrue(known.is_out('a'))
                known = _read(known, 4, samples.configuration(LATER_VERSION))
                self.assertEqual(_version(known), LATER_VERSION)

    def test_odd_names_of_failure_domains(self) -> None:
        """A name is whatever stands in the key."""
        known = knowledge.Knowledge()
        for offset, name in enumerate(('', '/', '\N{REPLACEMENT CHARACTER}')):
            known = _read(known, offset, b'\xff', key=f'evacuate/{name}')
            self.assertTrue(known.is_out(name))


def _read(
    known: knowledge.Knowledge,
    offset: int,
    payload: bytes,
    key: str = 'config',
) -> knowledge.Knowledge:
    records = (stored.Record(key, offset, payload),)
    batch = stored.Batch(records, offset + 1, is_whole=False)
    return knowledge.learn(known, topics.OPERATOR, batch, offset)


def _version(known: knowledge.Knowledge) -> int | None:
    return known.catalogue.version if known.catalogue else None
