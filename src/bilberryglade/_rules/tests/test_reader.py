"""Rules files that are refused, what is said of them, and the examples."""

import pathlib
import sys
import time
import unittest

from bilberryglade._callers import credentials
from bilberryglade._rules import contradictions, reader, rules

EXAMPLES = pathlib.Path(__file__).resolve().parents[4] / 'examples'
SERVICE = 'service ledger path /ledger key path 2 # asked for by a\n'
MAX_SECONDS = 2.0
MANY = 5000


def errors_of(text: str) -> tuple[rules.RuleError, ...]:
    """Returns the errors of a rules file."""
    book = reader.read_rules(text)
    return book.err_value if book.is_err() else ()  # type: ignore[union-attr]


class SyntaxErrorTest(unittest.TestCase):
    """A line that is no rule is told with its column and what may stand."""

    def test_column_and_allowed(self) -> None:
        """Each wrong line names the place, the problem and the choices."""
        cases = (
            ('servce a path /a key none # a', 1, "'servce'", '"service"'),
            ('service a path a key none # a', 16, "'a'", 'begins with "/"'),
            ('service a path /a key here 1 # a', 23, "'here'", '"header"'),
            ('allow M to a rate 5/s burst 5 # a', 7, "'M'", 'a name'),
            ('allow m to a rate x burst 5 # a', 19, "'x'", 'a number'),
            ('allow m to a rate 5 burst 5 # a', 21, "'burst'", '"/s"'),
            ('allow m to a rate 5/s # a', 23, 'too early', '"burst"'),
            ('once a GET /a # a', 8, "'GET'", 'POST, PUT, PATCH or DELETE'),
            ('once a POST /a', 15, 'who asked', 'who asked for it'),
            ('once a POST /a #', 16, 'who asked', 'who asked for it'),
            ('once a POST /a b # a', 16, "'b'", 'who asked for it'),
            ('allow', 6, 'too early', 'a name'),
        )
        for line, column, problem, allowed in cases:
            with self.subTest(line=line):
                found = errors_of(f'\n{line}\n')
                self.assertEqual(len(found), 1)
                self.assertEqual((found[0].line, found[0].column), (2, column))
                self.assertIn(problem, found[0].problem)
                self.assertIn(allowed, found[0].allowed)

    def test_nothing_is_half_applied(self) -> None:
        """All errors are told in line order, and there is no book."""
        found = errors_of(f'x\n{SERVICE}y\n')
        self.assertEqual([error.line for error in found], [1, 3])


class ContradictionTest(unittest.TestCase):
    """Rules that are sound alone and wrong together."""

    def test_each_contradiction(self) -> None:
        """Each registered check finds its case."""
        cases = (
            (SERVICE, 'repeats line 1'),
            ('allow m to other rate 1/s burst 1 # a', 'no service rule'),
            ('service b path /ledger/ key none # a', "leads to 'ledger'"),
            ('open ledger path /ledge rate 1/s burst 1 # a', 'outside'),
            ('once ledger POST /claims # a', 'outside /ledger'),
            ('allow m to ledger rate 0/s burst 1 # a', 'rate 0'),
            ('open ledger path /ledger rate 1/s burst 0 # a', 'burst 0'),
            ('service b path /b key path 0 # a', 'path 0'),
            ('service b path /b key header X-API-Key # a', 'carries API keys'),
        )
        for line, problem in cases:
            with self.subTest(line=line):
                found = errors_of(f'{SERVICE}{line}')
                self.assertEqual([error.line for error in found], [2])
                self.assertIn(problem, found[0].problem)

    def test_credential_headers_are_those_that_are_read(self) -> None:
        """The refused key places are the headers that no target sees."""
        self.assertEqual(
            contradictions.CREDENTIAL_HEADERS,
            credentials.PRIVATE_HEADERS,
        )


class ExamplesTest(unittest.TestCase):
    """The examples are valid and have the sizes of today."""

    def test_examples_check_clean(self) -> None:
        """Each has three services and eight organisations."""
        for name in ('hollingsworth', 'prairie'):
            with self.subTest(name=name):
                text = (EXAMPLES / f'{name}.rules').read_text()
                book = reader.read_rules(text).unwrap()
                organisations = {rule.organisation for rule in book.allows}
                self.assertEqual(len(book.services), 3)
                self.assertEqual(len(organisations), 8)

    def test_many_rules_are_checked_in_time(self) -> None:
        """5,000 new lines check in under two seconds of processor time."""
        rate = 'rate 5/s burst 9 # asked for by accounts'
        lines = [f'allow o{number} to ledger {rate}' for number in range(MANY)]
        text = SERVICE + '\n'.join(lines)
        began = time.process_time()
        self.assertTrue(reader.read_rules(text).is_ok())
        seconds = time.process_time() - began
        sys.stdout.write(f'{MANY} rules checked in {seconds:.2f} s\n')
        self.assertLess(seconds, MAX_SECONDS)
