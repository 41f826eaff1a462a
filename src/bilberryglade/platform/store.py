"""The one client of the platform's store.

Offsets are those of an era (`_era`): calls are taken apart into what the store
counts by here, and answers are put together into packed positions.
"""

import base64
import typing
from urllib import parse as urls

import loguru
import result

from bilberryglade._codec import codec
from bilberryglade._era import keeper
from bilberryglade._knowledge import topics
from bilberryglade._targets import sender
from bilberryglade._values import outcomes, stored
from bilberryglade.platform import headers, records
from bilberryglade_schema import provider

#: Seconds for a call; some 200 times the usual answer of the store.
CALL_SECONDS: typing.Final = 0.9
#: Seconds beyond the wait of a long poll.
POLL_MARGIN_SECONDS: typing.Final = 0.9
OK_STATUS: typing.Final = 200
FAILURES: typing.Final = {  # noqa: WPS407
    409: stored.Failure.conflict,
    410: stored.Failure.expired,
    412: stored.Failure.conflict,
    429: stored.Failure.refused,
    503: stored.Failure.refused,
    507: stored.Failure.refused,
}

#: Topics that the platform has named; every other one is the system's own.
NAMED_TOPICS: typing.Final = {  # noqa: WPS407
    topics.OPERATOR: 'keyed.op',
    topics.TARGETS: 'keyed.servers',
}

Query: typing.TypeAlias = dict[str, str | int]
Answer: typing.TypeAlias = result.Result[bytes, stored.Failure]
Batch: typing.TypeAlias = result.Result[stored.Batch, stored.Failure]


class StoreClient:
    """Appends to and reads from keyed topics of one partition."""

    def __init__(
        self,
        address: str,
        http: sender.Sender,
        eras: keeper.EraKeeper | None = None,
    ) -> None:
        """Talks to the store at `address` through `http`.

        `eras` learns of the era from each answer; a new one by default.
        """
        self.address = address
        self.http = http
        self.eras = keeper.EraKeeper() if eras is None else eras
        self.calls = 0
        #: The same by name of the call and topic.
        self.calls_by_topic: dict[tuple[str, str], int] = {}
        #: Whether the last call had no answer of its own: connections that are
        #: kept may have fallen silent, or out of step, with its own.
        self.is_doubted = False
        #: Records that name no key, by topic; each time that they are read.
        self.left_out: dict[str, int] = {}

    async def append(
        self,
        topic: str,
        key: str,
        payload: bytes,
        condition: stored.Condition = stored.ALWAYS,
    ) -> result.Result[int, stored.Failure]:
        """Appends one record and returns its packed position.

        `unclear` leaves open whether it was, or will be, carried out. A condition
        of an earlier era never holds: offsets have been given out again since.
        """
        if self._is_past(condition):
            return result.Err(stored.Failure.conflict)
        query: Query = {'topic': _wire_topic(topic), 'part': 0}
        if condition.end is not None:
            query['at'] = stored.position_of(condition.end).offset
        if condition.writer:
            query['producer'] = condition.writer
            query['epoch'] = condition.epoch
            query['seq'] = condition.sequence
        body = records.frame(records.keyed(key, payload))
        answer = await self._call(
            'POST',
            'log-append',
            query,
            body,
            # Without an end nothing tells the answer from one to another append.
            on_fresh=condition.end is None,
        )
        if isinstance(answer, result.Err):
            return answer
        decoded = codec.decode_json(answer.ok_value, provider.AppendAnswer)
        if isinstance(decoded, result.Err):
            return result.Err(stored.Failure.unclear)
        offset = self._packed(decoded.ok_value['offset'])
        if condition.end not in {None, offset}:
            self.is_doubted = True
            loguru.logger.warning(
                'store answered to another append: {} not {}',
                offset,
                condition.end,
            )
            return result.Err(stored.Failure.unclear)
        if self._is_past(condition):
            # The era rose meanwhile; the record may be of either.
            return result.Err(stored.Failure.unclear)
        return result.Ok(offset)

    async def fence(
        self,
        topic: str,
        writer: str,
        epoch: int,
    ) -> result.Result[int, stored.Failure]:
        """Fences off lower epochs of a writer; returns the topic's end."""
        if self._is_past(stored.Condition(writer=writer, epoch=epoch)):
            return result.Err(stored.Failure.conflict)
        query: Query = {
            'topic': _wire_topic(topic),
            'part': 0,
            'producer': writer,
            'epoch': epoch,
            'seq': 0,
        }
        answer = await self._call(
            'POST', 'log-append', query, b'', on_fresh=True
        )
        if isinstance(answer, result.Err):
            return answer
        decoded = codec.decode_json(answer.ok_value, provider.AppendAnswer)
        if isinstance(decoded, result.Err):
            return result.Err(stored.Failure.unclear)
        return result.Ok(self._packed(decoded.ok_value['end']))

    async def read(self, topic: str, start: int, wait_ms: int) -> Batch:
        """Returns the records from `start`, as soon as there is one.

        `start` is a packed position; if its era has ended, the topic is to be
        read anew as a whole, as if the records were not kept any more.
        """
        place = stored.position_of(start)
        if place.era < self.eras.era:
            return result.Err(stored.Failure.expired)
        earlier_end = self.eras.end_of(topic)
        query: Query = {
            'topic': _wire_topic(topic),
            'part': 0,
            'from': place.offset,
            'wait_ms': wait_ms,
        }
        seconds = CALL_SECONDS
        if wait_ms:
            seconds = wait_ms / 1000 + POLL_MARGIN_SECONDS
        answer = await self._call('GET', 'log-read', query, b'', seconds)
        if isinstance(answer, result.Err):
            return answer
        try:
            found = records.parse_read(answer.ok_value)
        except ValueError:
            return result.Err(stored.Failure.unreadable)
        self.eras.hear_end(topic, found.end, earlier_end)
        if place.era < self.eras.era:
            return result.Err(stored.Failure.expired)
        parsed = (
            records.parse_keyed(raw, start + place)
            for place, raw in enumerate(found.records)
        )
        kept = tuple(record for record in parsed if record is not None)
        return result.Ok(
            stored.Batch(kept, start + len(found.records), is_whole=False),
        )

    async def newest(self, topic: str) -> Batch:
        """Returns the newest record of every key of a topic.

        A reading in which the era rises is given up: its pages are of two eras.
        """
        found: list[stored.Record] = []
        after = ''
        end: int | None = None
        era = self.eras.era
        earlier_end = self.eras.end_of(topic)
        while True:
            page = await self._page(topic, after)
            if isinstance(page, result.Err):
                return page
            if end is None:
                self.eras.hear_end(topic, page.ok_value['end'], earlier_end)
                era = self.eras.era
                # Pages are no snapshot: what came after the first is read again.
                end = self._packed(page.ok_value['end'])
            if self.eras.era != era:
                return result.Err(stored.Failure.expired)
            told = page.ok_value['items']
            readable = [
                record._replace(offset=self._packed(record.offset))
                for record in map(_record_of, told)
                if record is not None
            ]
            self._note_left_out(topic, len(told) - len(readable))
            found.extend(readable)
            if not page.ok_value['has_more'] or not told:
                return result.Ok(
                    stored.Batch(tuple(found), end, is_whole=True),
                )
            if not readable or readable[-1].key == after:
                return result.Err(stored.Failure.unreadable)
            after = readable[-1].key

    async def _page(
        self,
        topic: str,
        after: str,
    ) -> result.Result[provider.NewestAnswer, stored.Failure]:
        query: Query = {'topic': _wire_topic(topic), 'part': 0}
        if after:
            query['after'] = after
        answer = await self._call('GET', 'log-newest', query, b'')
        if isinstance(answer, result.Err):
            return answer
        page = codec.decode_json(answer.ok_value, provider.NewestAnswer)
        if isinstance(page, result.Err):
            whole = codec.with_whole_text(answer.ok_value)
            page = codec.decode_json(whole, provider.NewestAnswer)
        return page.map_err(lambda _: stored.Failure.unreadable)

    def _note_left_out(self, topic: str, count: int) -> None:
        """Writes a line for the first records of a topic without a key."""
        if count and topic not in self.left_out:
            loguru.logger.warning('records of {} without a key left out', topic)
        if count:
            self.left_out[topic] = self.left_out.get(topic, 0) + count

    def _packed(self, offset: int) -> int:
        return stored.Position(self.eras.era, offset).packed

    def _is_past(self, condition: stored.Condition) -> bool:
        """Tells whether a condition names an offset or epoch of an earlier era."""
        named = [condition.epoch] if condition.writer else []
        if condition.end is not None:
            named.append(condition.end)
        return any(stored.era_of(place) < self.eras.era for place in named)

    async def _call(
        self,
        method: str,
        name: str,
        query: Query,
        body: bytes,
        seconds: float = CALL_SECONDS,
        *,
        on_fresh: bool = False,
    ) -> Answer:
        self.calls += 1
        counted = (name, str(query.get('topic', '')))
        self.calls_by_topic[counted] = self.calls_by_topic.get(counted, 0) + 1
        era = self.eras.era
        call = sender.Call(
            address=self.address,
            method=method,
            path=f'/bilberryglade/{name}?{urls.urlencode(query)}',
            headers={'content-type': 'application/octet-stream'},
            body=body,
            seconds=seconds,
        )
        outcome: outcomes.Outcome | None = None
        try:
            outcome = await self.http.send(
                call, on_fresh=on_fresh or self.is_doubted
            )
        finally:
            self.is_doubted = not isinstance(outcome, outcomes.Answered)
        if isinstance(outcome, outcomes.NotRun):
            return result.Err(stored.Failure.refused)
        if isinstance(outcome, outcomes.Unknown):
            return result.Err(stored.Failure.unclear)
        named = headers.all_of(outcome.headers, headers.STORE_ERA)
        is_current = self.eras.hear(', '.join(named) if named else None, era)
        if not is_current:
            # What was done in an era that has ended may be undone.
            return result.Err(stored.Failure.unclear)
        if outcome.status == OK_STATUS:
            return result.Ok(outcome.body)
        return result.Err(
            FAILURES.get(outcome.status, stored.Failure.unclear),
        )


def _wire_topic(topic: str) -> str:
    """Returns the name of a topic that keeps the newest record of each key."""
    return NAMED_TOPICS.get(topic, f'keyed.{topic}')


def _record_of(item: object) -> stored.Record | None:
    """Returns a record; one whose value cannot be read keeps its key."""
    decoded = codec.convert(item, provider.NewestItem)
    if isinstance(decoded, result.Err):
        return None
    entry = decoded.ok_value
    try:
        payload = base64.b64decode(entry['value'], validate=True)
    except ValueError:
        return stored.Record(entry['key'], entry['offset'], b'')
    return stored.Record(entry['key'], entry['offset'], payload or None)
