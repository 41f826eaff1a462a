"""Unknown words, missing fields and wrong types in what operators publish."""

import copy
import itertools
import json
import typing
import unittest

from bilberryglade._routing import admission, catalogue
from bilberryglade._routing.tests import samples as requests
from bilberryglade._values import outcomes
from bilberryglade.platform import catalogues, node_file
from bilberryglade.platform.tests import deployment, samples

MISSING: typing.Final = object()
UNKNOWN_WORD: typing.Final = 'unheard-of'
WRONG_TYPE: typing.Final = {'x': 1}  # noqa: WPS407
ODD: typing.Final = (UNKNOWN_WORD, MISSING, WRONG_TYPE)
NOT_UNDERSTOOD: typing.Final = outcomes.Reason.not_understood


def decoded(table: str, column: str, odd: object) -> catalogue.Catalogue:
    """Returns a configuration with an odd field in a table's first row."""
    config = json.loads(samples.configuration())
    columns = config[table]['columns']
    if column not in columns:
        columns.append(column)
        for row in config[table]['rows']:
            row.append(None)
    cell = None if odd is MISSING else odd
    config[table]['rows'][0][columns.index(column)] = cell
    return catalogues.decode(json.dumps(config).encode()).unwrap().catalogue


def claim(known: catalogue.Catalogue) -> admission.Admitted | outcomes.NotRun:
    """Returns what becomes of a request on the first route."""
    request = requests.incoming(
        host='host.example', path='/claims/1', api_key='key-1'
    )
    return admission.admit(known, request)


class RouteTests(unittest.TestCase):
    """A route with an odd field."""

    def test_unknown_kind_runs_at_most_once(self) -> None:
        """So does a route without a kind, or with one that is no word."""
        for odd in ODD:
            with self.subTest(odd=odd):
                admitted = claim(decoded('routes', 'route_type', odd))
                assert isinstance(admitted, admission.Admitted)
                self.assertFalse(admitted.route.repeatable)

    def test_unknown_kind_is_told(self) -> None:
        """The line has the path of the field and its word."""
        config = json.loads(samples.configuration())
        config['routes']['rows'][0][3] = UNKNOWN_WORD
        found = catalogues.decode(json.dumps(config).encode()).unwrap()
        self.assertEqual(len(found.issues), 1)
        self.assertEqual(found.issues[0].path, 'routes[0].route_type')
        self.assertIn(UNKNOWN_WORD, found.issues[0].cause)

    def test_downloads_are_repeatable_and_large(self) -> None:
        """They are placed by their size, and may run more than once."""
        admitted = claim(decoded('routes', 'route_type', 'download'))
        assert isinstance(admitted, admission.Admitted)
        self.assertTrue(admitted.route.repeatable)
        self.assertTrue(admitted.route.has_large_answers)

    def test_ignored_fields(self) -> None:
        """Without these a route has usual values."""
        for column in ('name', 'target_latency', 'priority', 'attempts'):
            for odd in (MISSING, WRONG_TYPE):
                with self.subTest(column=column, odd=odd):
                    admitted = claim(decoded('routes', column, odd))
                    assert isinstance(admitted, admission.Admitted)
                    self.assertEqual(admitted.route.prefix, '/claims/')

    def test_no_timeout(self) -> None:
        """The caller's own patience is the limit then."""
        for odd in ODD:
            with self.subTest(odd=odd):
                admitted = claim(decoded('routes', 'timeout', odd))
                assert isinstance(admitted, admission.Admitted)
                self.assertGreaterEqual(admitted.route.timeout, 10)

    def test_public_must_be_told(self) -> None:
        """A route of which this is odd needs an API key."""
        for odd in ODD:
            with self.subTest(odd=odd):
                known = decoded('routes', 'public', odd)
                request = requests.incoming(
                    host='host.example', path='/claims/1', api_key='no'
                )
                self.assertEqual(
                    admission.admit(known, request),
                    outcomes.NotRun(outcomes.Reason.no_credentials),
                )

    def test_route_without_a_service(self) -> None:
        """Its requests are refused as not run, not taken by another route."""
        for odd in ODD:
            with self.subTest(odd=odd):
                config = json.loads(samples.configuration())
                rows = config['routes']['rows']
                outer = copy.deepcopy(rows[0])
                outer[2] = '/'
                rows[0][7] = None if odd is MISSING else odd
                rows.append(outer)
                raw = json.dumps(config).encode()
                known = catalogues.decode(raw).unwrap().catalogue
                refused = claim(known)
                assert isinstance(refused, outcomes.NotRun)
                self.assertIs(refused.reason, NOT_UNDERSTOOD)
                self.assertTrue(refused.retry_after_ms)

    def test_split_with_an_odd_part(self) -> None:
        """The parts that can be understood take its requests."""
        parts = [
            {'service': 'claims', 'weight': 1},
            {'service': 5, 'weight': 1},
            {'service': UNKNOWN_WORD, 'weight': 1},
        ]
        admitted = claim(decoded('routes', 'traffic_split', parts))
        assert isinstance(admitted, admission.Admitted)
        self.assertEqual(admitted.route.parts, (catalogue.Part('claims', 1.0),))


class ServiceTests(unittest.TestCase):
    """A service with an odd field."""

    def test_partition_must_be_understood(self) -> None:
        """Requests that may need an owner are refused without one."""
        for odd in (UNKNOWN_WORD, WRONG_TYPE):
            with self.subTest(odd=odd):
                known = decoded('services', 'sharded', odd)
                self.assertNotIn('ledger', known.services)
                look = known.routes['host.example']['/look/']
                self.assertEqual(
                    [part.service for part in look.parts], ['other']
                )

    def test_cold_rate(self) -> None:
        """One that cannot be read counts as low."""
        for odd in (UNKNOWN_WORD, WRONG_TYPE):
            with self.subTest(odd=odd):
                known = decoded('services', 'warmup_per_s', odd)
                self.assertAlmostEqual(
                    known.services['ledger'].cold_rate,
                    catalogues.CAREFUL_COLD_RATE,
                )


class OrganisationTests(unittest.TestCase):
    """An organisation with an odd field."""

    def setUp(self) -> None:
        """Adds a second organisation, which is sound."""
        self.config = json.loads(samples.configuration())
        self.holders = self.config['tenants']['rows']
        self.holders.append(['weekly', ['key-9'], 0, 110, 110])

    def test_limits_must_be_understood(self) -> None:
        """Its requests are refused as not run; others are served."""
        for column in (0, 3, 4):
            with self.subTest(column=column):
                rows = copy.deepcopy(self.holders)
                rows[0][column] = WRONG_TYPE
                self.config['tenants']['rows'] = rows
                raw = json.dumps(self.config).encode()
                known = catalogues.decode(raw).unwrap().catalogue
                refused = claim(known)
                assert isinstance(refused, outcomes.NotRun)
                self.assertIs(refused.reason, NOT_UNDERSTOOD)
                other = requests.incoming(
                    host='host.example', path='/claims/1', api_key='key-9'
                )
                self.assertIsInstance(
                    admission.admit(known, other), admission.Admitted
                )

    def test_odd_key(self) -> None:
        """The other API keys of its organisation work."""
        self.holders[0][1] = ['key-1', 5, None]
        raw = json.dumps(self.config).encode()
        known = catalogues.decode(raw).unwrap().catalogue
        self.assertIsInstance(claim(known), admission.Admitted)


class SettingsTests(unittest.TestCase):
    """Words of the settings file that are not used here."""

    def test_unknown_words(self) -> None:
        """None of them keeps an instance from starting."""
        paths = (
            ('grants',),
            ('self', 'role'),
            ('self', 'machine_class'),
            ('self', 'serves'),
            ('self', 'in_tolerance'),
            ('provider', 'discovery'),
            ('provider', 'entry'),
            ('provider', 'provider', 'form'),
            ('terms', 'contracts'),
            ('terms', 'fault_tolerance'),
        )
        for path, odd in itertools.product(paths, ODD):
            with self.subTest(path=path, odd=odd):
                node = copy.deepcopy(samples.NODE_FILE)
                holder = node
                for step in path[:-1]:
                    holder = holder[step]
                holder.pop(path[-1], None)
                if odd is not MISSING:
                    holder[path[-1]] = odd
                place = node_file.read(json.dumps(node).encode())
                self.assertEqual(place.unwrap().instance, 'edge-a-1')


class ReadyTests(unittest.IsolatedAsyncioTestCase):
    """Instances that start under a configuration with an unknown word."""

    async def test_served(self) -> None:
        """They are ready, and serve the route as one that runs once."""
        world = deployment.Deployment()
        self.addAsyncCleanup(world.stop)
        config = json.loads(samples.configuration())
        config['routes']['rows'][0][3] = UNKNOWN_WORD
        await world.start(1, json.dumps(config).encode())
        answer = await world.ask('/claims/1', method='POST')
        self.assertEqual(answer.status, 200)
