"""Records of others of which nothing can be made: counted, and told once.

Another writer may repeat an odd record with each sign of life. A cause is told
once for each key, and so many in all.
"""

import typing

import immutables
import loguru

from bilberryglade._values import stored

#: Causes that are told; beyond these, records are only counted.
MOST_TOLD: typing.Final = 200
#: Characters of a cause; it may quote the record.
CAUSE_CHARACTERS: typing.Final = 200


class LeftOut(typing.NamedTuple):
    """What was left out since the start."""

    #: Records by topic, repeats included.
    counts: immutables.Map[str, int] = immutables.Map()
    #: Parts of records that are otherwise in force, by topic.
    part_counts: immutables.Map[str, int] = immutables.Map()
    #: Topics, keys and causes that were told.
    told: frozenset[tuple[str, str, str]] = frozenset()


def note(
    known: LeftOut,
    topic: str,
    record: stored.Record,
    cause: str,
) -> LeftOut:
    """Takes in a record that was left out, and tells of a new cause."""
    counted = known._replace(counts=_incremented(known.counts, topic))
    return _told(counted, topic, record, f'left out: {cause}')


def note_part(
    known: LeftOut,
    topic: str,
    record: stored.Record,
    cause: str,
) -> LeftOut:
    """Takes in that a part of a record was left out or read carefully.

    `cause` begins with the path of the part.
    """
    counted = known._replace(part_counts=_incremented(known.part_counts, topic))
    return _told(counted, topic, record, f'in force but for {cause}')


def _incremented(
    counts: immutables.Map[str, int], topic: str
) -> immutables.Map[str, int]:
    return counts.set(topic, counts.get(topic, 0) + 1)


def _told(
    known: LeftOut,
    topic: str,
    record: stored.Record,
    cause: str,
) -> LeftOut:
    line = (topic, record.key, cause[:CAUSE_CHARACTERS])
    if line in known.told or len(known.told) >= MOST_TOLD:
        return known
    loguru.logger.warning(
        'record {} of {} at offset {} {}',
        record.key,
        topic,
        record.offset,
        line[-1],
    )
    return known._replace(told=known.told | {line})
