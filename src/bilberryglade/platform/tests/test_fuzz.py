"""What others write, in any shape: read, or left out, and never a fault."""

import json
import typing
import unittest

import hypothesis
import result
from hypothesis import strategies
from starlette import requests

from bilberryglade._codec import codec
from bilberryglade._knowledge import knowledge, topics
from bilberryglade._limits import parts
from bilberryglade._targets import directory
from bilberryglade._values import stored
from bilberryglade.platform import (
    catalogues,
    entries,
    exchange,
    folds,
    front,
    headers,
    records,
)
from bilberryglade.platform.tests import samples

REGISTERED: typing.Final = (folds,)
SETTINGS: typing.Final = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200
)
NUMBERS: typing.Final = ('1e999', '-1', '1e-320', '0.5', '9' * 400, '2e9')
#: JSON that Python's own encoder would not write.
WRITTEN: typing.Final = (
    *NUMBERS,
    r'"\udcff"',
    f'{"[" * 300}{"]" * 300}',
    f'{"[" * 60_000}1{"]" * 60_000}',
)
TEXTS: typing.Final = strategies.sampled_from(
    ('', '1s', '-1s', 'infs', 'nanms', '127.0.0.1:99999', '/', 'ledger', 'safe')
)
LEAVES: typing.Final = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=5)
    | TEXTS
)
ANYTHING: typing.Final = strategies.recursive(
    LEAVES,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(('columns', 'rows', 'service', 'weight')),
            inner,
        )
    ),
    max_leaves=8,
).map(json.dumps) | strategies.sampled_from(WRITTEN)
#: What stands in a header, as a server reads it.
HEADER_TEXTS: typing.Final = strategies.text(
    strategies.characters(max_codepoint=255), max_size=12
) | strategies.lists(
    strategies.sampled_from((*NUMBERS, 'inf', 'nan', ',', '8', ' ')),
    max_size=8,
).map(','.join)
ENTRY_FIELDS: typing.Final = tuple(json.loads(samples.entry()))
Change: typing.TypeAlias = tuple[str, str]


class RecordTests(unittest.TestCase):
    """Records of the store's topics."""

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.sampled_from(ENTRY_FIELDS), ANYTHING),
            max_size=2,
        ),
    )
    def test_entries(self, changes: list[Change]) -> None:
        """An entry names a target that can be told to others, or none."""
        fields = json.loads(samples.entry())
        raw = _written(fields, dict(changes))
        decoded = entries.decode(stored.Record('t', 1, raw), 10)
        if isinstance(decoded, result.Err):
            return
        target = decoded.ok_value
        codec.encode_packed(target)
        host, _, port = target.address.rpartition(':')
        self.assertEqual(len(host.split('.')), 4)
        self.assertIn(int(port), range(1, 65_536))
        self.assertLess(target.cold_until, 200_000)

    @SETTINGS
    @hypothesis.given(strategies.binary())
    def test_any_bytes(self, raw: bytes) -> None:
        """Raw bytes in each topic; what was known before holds."""
        known = knowledge.Knowledge()
        good = (samples.entry(), samples.configuration())
        for topic, key, sound in zip(
            (topics.TARGETS, topics.OPERATOR), ('t', 'config'), good
        ):
            for offset, payload in enumerate((sound, raw)):
                record = stored.Record(key, offset, payload)
                batch = stored.Batch((record,), offset + 1, is_whole=False)
                known = knowledge.learn(
                    known, topic, batch, knowledge.Origin(offset)
                )
        self.assertIn('t', known.directory.targets)
        self.assertIsNotNone(known.catalogue)

    @SETTINGS
    @hypothesis.given(
        strategies.sampled_from(('routes', 'services', 'tenants')),
        strategies.integers(0, 10),
        ANYTHING,
    )
    @hypothesis.example('tenants', 3, '1e-320')
    @hypothesis.example('services', 2, '1e-320')
    def test_rows(self, table: str, place: int, anything: str) -> None:
        """A cell of a configuration is something else."""
        config = json.loads(samples.configuration())
        row = config[table]['rows'][0]
        row[place % len(row)] = PLACEHOLDER
        raw = json.dumps(config).replace(f'"{PLACEHOLDER}"', anything)
        self.check(raw.encode())

    @SETTINGS
    @hypothesis.given(
        strategies.sampled_from(
            ('config_version', 'routes', 'services', 'tenants', 'limits')
        ),
        ANYTHING,
    )
    def test_tables(self, field: str, anything: str) -> None:
        """A table of a configuration is something else."""
        config = json.loads(samples.configuration())
        self.check(_written(config, {field: anything}))

    @SETTINGS
    @hypothesis.given(strategies.binary(), strategies.integers(0, 2**63))
    def test_answers_of_a_read(self, raw: bytes, end: int) -> None:
        """Bytes of the log, cut anywhere."""
        for body in (raw, records.HEAD.pack(end, 0) + raw):
            try:
                found = records.parse_read(body)
            except ValueError:
                continue
            for record in found.records:
                records.parse_keyed(record, 0)
        records.parse_keyed(raw, 0)

    def check(self, raw: bytes) -> None:
        """Uses what is in a configuration, if it is one."""
        decoded = catalogues.decode(raw)
        if isinstance(decoded, result.Err):
            self.assertIsInstance(decoded.err_value, str)
            return
        found = decoded.ok_value.catalogue
        codec.encode_packed(found.version)
        for service in found.services.values():
            if service.cold_rate:
                codec.encode_packed(int(1000 / service.cold_rate))
        for organisation in found.organisations.values():
            quota = parts.Quota(organisation.rate, organisation.burst)
            flow = parts.pool_flow(quota, 1)
            taken = parts.take(parts.Bucket(0, 0), flow, parts.Need(), now=0)
            codec.encode_packed(int(taken.retry_seconds * 1000))


class HeaderTests(unittest.TestCase):
    """Headers of callers and targets."""

    @SETTINGS
    @hypothesis.given(HEADER_TEXTS)
    def test_loads(self, text: str) -> None:
        """A load report can be told to others, or is none."""
        report = exchange.report_of(text)
        if report is not None:
            codec.encode_packed((report.running, int(report.slowness * 100)))

    @SETTINGS
    @hypothesis.given(HEADER_TEXTS, HEADER_TEXTS)
    def test_callers(self, key: str, deadline: str) -> None:
        """A request has a key that there is and a time, or is malformed."""
        scope = {
            'type': 'http',
            'method': 'GET',
            'path': '/',
            'raw_path': b'/',
            'query_string': b'',
            'headers': [
                (b'host', b'h'),
                (headers.ROUTING_KEY.encode(), key.encode('latin-1')),
                (headers.DEADLINE.encode(), deadline.encode('latin-1')),
            ],
        }
        request = front.incoming_of(requests.Request(scope), b'', arrived_at=10)
        if request is not None:
            int((request.patience or 0) * 1000)
            self.assertIn(request.routing_key or 0, range(65_536))


class TargetTests(unittest.TestCase):
    """The list of targets under entries in any order."""

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(('seq', 'born', 'slots', 'state')),
                ANYTHING,
            ),
            max_size=4,
        ),
    )
    def test_a_later_good_entry_is_followed(self, odd: list[Change]) -> None:
        """Whatever came before it under another name."""
        known = knowledge.Knowledge()
        fields = json.loads(samples.entry())
        for offset, change in enumerate(odd):
            raw = _written(fields, dict([change]))
            known = self.learn(known, stored.Record('odd', offset, raw))
        record = stored.Record('t', 99, samples.entry())
        known = self.learn(known, record)
        self.assertIn('t', known.directory.targets)
        self.assertIsInstance(known.directory, directory.Directory)

    def learn(
        self,
        known: knowledge.Knowledge,
        record: stored.Record,
    ) -> knowledge.Knowledge:
        """Reads one entry."""
        batch = stored.Batch((record,), record.offset + 1, is_whole=False)
        origin = knowledge.Origin(record.offset)
        return knowledge.learn(known, topics.TARGETS, batch, origin)


PLACEHOLDER: typing.Final = 'here'


def _written(
    fields: dict[str, typing.Any],
    changes: dict[str, str],
) -> bytes:
    """Returns JSON with other JSON in some of its fields."""
    pairs = {name: json.dumps(field) for name, field in fields.items()}
    pairs.update(changes)
    inner = ','.join(f'"{name}":{text}' for name, text in pairs.items())
    return f'{{{inner}}}'.encode()
