"""The platform's list with a row that cannot be read."""

import json
import typing
import unittest
from unittest import mock

import result

from bilberryglade._listing import list_client

ROW: typing.Final = {  # noqa: WPS407
    'name': 'e1',
    'role': 'instance',
    'service': '',
    'failure_domain': 'a',
    'address': '127.0.0.1:1',
    'concurrency': 0,
    'fenced': False,
    'state': 'live',
}
OK_STATUS: typing.Final = 200


def client_of(answer: bytes | Exception) -> list_client.ListClient:
    """Returns a client whose service answers so."""
    response = mock.Mock(
        status_code=OK_STATUS, content=mock.AsyncMock(return_value=answer)
    )
    failure = answer if isinstance(answer, Exception) else None
    http = mock.Mock(
        get=mock.AsyncMock(return_value=response, side_effect=failure)
    )
    return list_client.ListClient('http://127.0.0.1:1', http)


class ListTests(unittest.IsolatedAsyncioTestCase):
    """One odd row hides no other."""

    async def test_odd_rows(self) -> None:
        """Rows are read one by one."""
        odd: tuple[object, ...] = (
            None,
            [1],
            {},
            {**ROW, 'role': 'other'},
            {**ROW, 'concurrency': 1.5},
            {**ROW, 'new': 1, 'name': 5},
        )
        for row in odd:
            with self.subTest(row=row):
                answer = json.dumps({'members': [row, ROW]}).encode()
                client = client_of(answer)
                self.assertEqual(await client.read(), result.Ok([ROW]))
                self.assertEqual(client.left_out, 1)

    async def test_odd_answers(self) -> None:
        """An answer that is none is no list."""
        odd: tuple[bytes | Exception, ...] = (
            b'',
            b'\xff',
            b'[' * 60_000,
            b'{"members":5}',
            ValueError('malformed status line'),
        )
        for answer in odd:
            with self.subTest(answer=str(answer)[:20]):
                read = await client_of(answer).read()
                self.assertIsInstance(read, result.Err)
