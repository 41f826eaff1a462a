"""Messages of other instances of which nothing can be made: none ends the loop."""

import asyncio
import typing
import unittest
from unittest import mock

import hypothesis
import msgspec
from hypothesis import strategies

from bilberryglade._instance import entry
from bilberryglade._knowledge import topics
from bilberryglade._membership import enrolment
from bilberryglade._peers import handlers, network
from bilberryglade.platform import node_file
from bilberryglade.platform.tests import samples
from bilberryglade_schema import fleet as messages

DEPTH: typing.Final = 60_000
Message: typing.TypeAlias = dict[str, typing.Any]
OWNERS: typing.Final = ({'target': 't', 'born': 1, 'address': '10.0.0.1:80'},)
ROW: typing.Final = (0, 65_535, 0, 4, 0)
DIGEST: typing.Final = '0123456789abcdef'
LEARNT: typing.Final = {  # noqa: WPS407
    'target': 't',
    'born': 1,
    'level': 1,
    'outstanding': 0,
}


def _table(*rows: object) -> Message:
    return {'s': {'owners': list(OWNERS), 'rows': list(rows)}}


#: A message of each kind that says what it should.
Messages: typing.TypeAlias = dict[str, Message]
GOOD: typing.Final[Messages] = {  # noqa: WPS407
    'hello': {
        'boot': 'b',
        'address': '127.0.0.1:9',
        'failure_domain': 'a',
        'is_leaving': False,
        'processor': 2,
    },
    'lead': {
        'term': 3,
        'claim': 3,
        'tables_version': -1,
        'tables_change': 0,
        'operator_offset': -1,
        'operator_total': 0,
        'operator_age_ms': 5,
    },
    'report': {
        'is_led': True,
        'key_counts': {'s': {'0': 2, '4095': 1}},
        'target_seconds': {'t': 0.1},
    },
    'quota_ask': {
        'boot': 'b',
        'sequence': 1,
        'organisation': 'office',
        'needed': 1,
        'extra': 0,
    },
    'quota_grant': {
        'boot': 'b',
        'sequence': 1,
        'organisation': 'office',
        'amount': 1,
        'retry_ms': 0,
    },
    'relay': {
        'topic': topics.TARGETS,
        'start': 0,
        'end': 2,
        'age_ms': 10,
        'is_whole': True,
        'records': [{'key': 't', 'offset': 1, 'value': samples.entry()}],
    },
    'relay_ask': {'newest': 3, 'total': 3},
    'operator_mark': {
        'operator_offset': -1,
        'operator_total': 0,
        'operator_age_ms': 5,
    },
    'assignment': {
        'version': 4,
        'change': 1,
        'services': _table(ROW),
        'former': _table(ROW),
    },
    'assignment_ask': {},
    'crash': {'target': 't/1', 'crashed_ms': 5, 'runs': {DIGEST: 9}},
    'crash_cleared': {'fingerprint': DIGEST, 'targets': ['t/1']},
    'quarantine': {
        'blamed': [{'fingerprint': DIGEST, 'targets': ['t/1']}],
        'is_answer': False,
    },
    'ask': {'number': 1, 'service': 's', 'aim_ms': -5, 'left_ms': 100},
    'permit': {'number': 1, 'target': 't', 'born': 1},
    'end': {'number': 1, 'ending': 'good', 'ms': 5, 'load': [1, 0, 100]},
    'capacity': {'targets': [{**LEARNT, 'levels': [[8.5, -2.0, 0.1]]}]},
}
NO_TIME: typing.Final = float('nan')
ENDLESS: typing.Final = float('inf')
#: Changes that make a message unsound, by its kind.
ODD: typing.Final = (
    ('hello', {'address': '127.0.0.1:99999'}),
    ('hello', {'address': '127.0.0.1:0'}),
    ('hello', {'address': 'a b:80'}),
    ('hello', {'address': '-:80'}),
    ('hello', {'processor': NO_TIME}),
    ('hello', {'processor': ENDLESS}),
    ('hello', {'sender': 5}),
    ('lead', {'term': -2}),
    ('lead', {'operator_age_ms': -(2**40)}),
    ('lead', {'claim': 2**64 - 1}),
    ('report', {'key_counts': {'s': {'x': 1}}}),
    ('report', {'key_counts': {'s': {'4096': 1}}}),
    ('report', {'key_counts': {'s': {'\N{SUPERSCRIPT TWO}': 1}}}),
    ('report', {'key_counts': {'s': {'0': -1}}}),
    ('report', {'target_seconds': {'t': NO_TIME}}),
    ('report', {'target_seconds': {'t': ENDLESS}}),
    ('report', {'target_seconds': {'t': -1.0}}),
    ('quota_grant', {'amount': -5}),
    ('capacity', {'targets': [{**LEARNT, 'levels': [[1, NO_TIME, 0]]}]}),
    ('capacity', {'targets': [{**LEARNT, 'levels': [[-1, 0, 0]]}]}),
    ('capacity', {'targets': [{**LEARNT, 'levels': [[1, 0]]}]}),
    ('capacity', {'targets': [{**LEARNT, 'levels': [], 'level': -1}]}),
    ('relay', {'end': 2**64 - 1}),
    ('relay', {'age_ms': -(2**40)}),
    ('relay', {'records': [{'key': 't', 'offset': -1, 'value': b'x'}]}),
    ('assignment', {'services': _table((0, 1, 0, 4))}),
    ('assignment', {'services': _table((0, 1, 0, 4, 0, 0))}),
    ('assignment', {'services': _table((0, 1, 1, 4, 0))}),
    ('assignment', {'services': _table((0, 1, -1, 4, 0))}),
    ('assignment', {'services': _table((0, 65_536, 0, 4, 0))}),
    ('assignment', {'services': _table((9, 8, 0, 4, 0))}),
    ('assignment', {'services': _table(ROW, ROW)}),
    ('assignment', {'services': _table((16, 31, 0, 4, 0), (0, 15, 0, 4, 0))}),
    ('assignment', {'services': _table(('0', 1, 0, 4, 0))}),
    ('assignment', {'former': _table((0, 1, 1, 4, 5))}),
    ('assignment', {'former': _table((0, 1, 0, 4, 2**62))}),
    ('assignment', {'former': _table((0, 1, 0, 4, -(2**62)))}),
    ('ask', {'left_ms': 2**62}),
    ('ask', {'number': -1}),
    ('permit', {'retry_ms': 2**62}),
    ('end', {'ms': 2**62}),
    ('end', {'load': [-1, 0, 100]}),
    ('crash', {'runs': {'f': 9}}),
    ('crash', {'runs': {DIGEST: 2**62}}),
    ('crash_cleared', {'fingerprint': '', 'targets': []}),
    ('quarantine', {'blamed': [{'fingerprint': 'x' * 16, 'targets': []}]}),
)
SETTINGS: typing.Final = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=25
)
LEAVES: typing.Final = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.sampled_from((-1, 0, 1, 2**31, 2**53, 2**63 - 1))
    | strategies.floats()
    | strategies.sampled_from(('', 's', 't', 'office', '0', topics.OPERATOR))
    | strategies.binary(max_size=20)
)
ANYTHING: typing.Final = strategies.recursive(
    LEAVES,
    lambda inner: (
        strategies.lists(inner, max_size=5)
        | strategies.dictionaries(
            strategies.sampled_from(('s', 't', '0', 'owners', 'rows')),
            inner,
        )
    ),
    max_leaves=6,
)


SITE: typing.Final = node_file.read(
    msgspec.json.encode(samples.NODE_FILE)
).unwrap()
RECEIVE: typing.Final = network.PeerNetwork.receive


class ReceivingCase(unittest.IsolatedAsyncioTestCase):
    """An instance with all its parts; nothing of it runs."""

    async def asyncSetUp(self) -> None:
        """Wires the parts; what they send goes nowhere."""
        self.peers = mock.Mock(sent_kinds={})
        self.peers.receive = lambda: RECEIVE(self.peers)
        keys: messages.PeerKeys = {'public_key': '', 'secret_key': ''}
        with mock.patch.object(network, 'PeerNetwork', return_value=self.peers):
            known = enrolment.Known(keys)
            self.parts = entry.Parts(SITE, known, mock.AsyncMock())
        self.running = entry.Entry(self.parts)

    async def receive(self, *raw: bytes) -> None:
        """Lets messages arrive in a row."""
        frames = [[b'', one] for one in raw]
        self.peers.receiver.recv_multipart = mock.AsyncMock(
            side_effect=[*frames, asyncio.CancelledError]
        )
        with self.assertRaises(asyncio.CancelledError):
            await self.running._receive()  # noqa: SLF001

    def left_out(self) -> int:
        """Returns how many messages were left out."""
        return sum(self.running.rejected.values())


class OddMessageTests(ReceivingCase):
    """Messages that somebody's fault, or an older version, has written."""

    def test_every_kind_is_here(self) -> None:
        """A new kind of message gets its cases."""
        self.assertLessEqual(GOOD.keys(), handlers.handlers.entries.keys())

    async def test_good_messages(self) -> None:
        """None of them is left out."""
        await self.receive(*(_raw(kind, {}) for kind in GOOD))
        self.assertEqual(self.left_out(), 0)
        self.assertIn('e9', self.parts.fleet.members)
        listed = self.parts.reader.known.directory
        self.assertIn('t', listed.targets)
        self.assertEqual(self.parts.steward.tables.version, 4)

    async def test_odd_messages(self) -> None:
        """Each is left out, and those after it count."""
        for kind, changes in ODD:
            with self.subTest(kind=kind, changes=changes):
                await self.asyncSetUp()
                await self.receive(_raw(kind, changes), _raw('hello', {}))
                self.assertEqual(self.left_out(), 1)
                self.assertIn('e9', self.parts.fleet.members)

    async def test_odd_bytes(self) -> None:
        """Also such as are no message at all."""
        deep = b'\x91' * DEPTH
        cut = _raw('hello', {})[:-3]
        for raw in (b'', b'\xc1', deep, cut, _raw('nobody', {})):
            with self.subTest(raw=raw[:9]):
                await self.asyncSetUp()
                await self.receive(raw, _raw('hello', {}))
                self.assertEqual(self.left_out(), 1)
                self.assertIn('e9', self.parts.fleet.members)

    async def test_deep_unknown_field(self) -> None:
        """New fields may come, but not without end."""
        whole = msgspec.msgpack.encode({'kind': 'hello', 'x': None})
        raw = b'%s%s\x01' % (whole[:-1], b'\x91' * DEPTH)
        await self.receive(raw, _raw('hello', {}))
        self.assertEqual(self.left_out(), 1)

    async def test_relayed_entries(self) -> None:
        """An odd record inside a sound message leaves the others."""
        odd = samples.entry(address='127.0.0.1:99999')
        deep = b'[' * DEPTH
        rows = (('x', 1, odd), ('y', 2, deep), ('t', 3, samples.entry()))
        records = [
            {'key': key, 'offset': offset, 'value': value}
            for key, offset, value in rows
        ]
        await self.receive(_raw('relay', {'records': records, 'end': 4}))
        listed = self.parts.reader.known.directory
        self.assertEqual(set(listed.targets), {'t'})


class FuzzTests(ReceivingCase):
    """Messages of every kind with other values in their fields."""

    def test_any_values(self) -> None:
        """Whatever passes the types is handled, and the next one too."""
        for kind, fields in GOOD.items():
            names = strategies.sampled_from((*sorted(fields), 'sender'))
            with self.subTest(kind=kind):
                changes = strategies.dictionaries(names, ANYTHING, max_size=3)
                self.play(kind, changes)

    def play(
        self,
        kind: str,
        changes: strategies.SearchStrategy[Message],
    ) -> None:
        """Plays messages of one kind."""

        @SETTINGS
        @hypothesis.given(changes)
        def arrive(changed: Message) -> None:  # noqa: WPS430
            asyncio.run(self.arrive(kind, changed))

        arrive()

    async def arrive(self, kind: str, changed: Message) -> None:
        """Lets a message arrive at a new instance that knows something."""
        await self.asyncSetUp()
        good = [_raw(name, {}) for name in GOOD]
        await self.receive(*good, _raw(kind, changed), *good)
        message = self.parts.announcer.sign_of_life()
        msgspec.msgpack.encode(message)


def _raw(kind: str, changes: Message) -> bytes:
    message = {'kind': kind, 'sender': 'e9', **GOOD.get(kind, {}), **changes}
    return msgspec.msgpack.encode(message)
