"""The last word of a quota's old home, of which nothing can be made."""

import unittest

import msgspec
import result

from bilberryglade._codec import codec
from bilberryglade._limits import peer_handlers
from bilberryglade._peers import handlers

REGISTERED = (peer_handlers,)


class HandoverTests(unittest.TestCase):
    """Levels of a bucket."""

    def test_a_level_that_is_no_number(self) -> None:
        """It would stay in the new home's bucket for good."""
        cases = ((3.5, True), (-2, True), (float('nan'), False))
        endless = ((float('inf'), False), (float('-inf'), False))
        kind: type[object] = handlers.handlers.entries['quota_handover'].kind
        for level, is_sound in (*cases, *endless):
            with self.subTest(level=level):
                raw = msgspec.msgpack.encode(
                    {
                        'kind': 'quota_handover',
                        'version': 1,
                        'instance': 'e1',
                        'organisation': 'office',
                        'limit': 'l',
                        'term': 1,
                        'level': level,
                        'given': 0,
                    }
                )
                decoded = codec.decode_packed(raw, kind)
                self.assertEqual(isinstance(decoded, result.Ok), is_sound)
