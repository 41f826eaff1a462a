"""What a reading of a topic tells beyond what was known before it."""

from collections import abc

from bilberryglade._targets import directory as directories
from bilberryglade._values import stored


def since(
    whole: stored.Batch, end: int, kept: abc.Mapping[str, stored.Record]
) -> stored.Batch:
    """Returns what a whole reading tells beyond `kept`, known up to `end`."""
    named = {record.key for record in whole.records}
    dropped = (
        stored.Record(key, whole.end - 1, payload=None)
        for key, record in kept.items()
        if record.payload is not None and key not in named
    )
    fresh = (record for record in whole.records if record.offset >= end)
    return stored.Batch((*fresh, *dropped), whole.end, is_whole=False)


def believable(
    records: abc.Iterable[stored.Record], *, is_new_era: bool
) -> tuple[stored.Record, ...]:
    """Returns the records of a relay that hold for its hearer.

    What is dropped in an era new to it may be about to be written again.
    """
    return tuple(
        record
        for record in records
        if record.payload is not None or not is_new_era
    )


def changing(
    news: stored.Batch,
    before: directories.Directory,
    after: directories.Directory,
) -> stored.Batch:
    """Returns the entries that say more than that a target lives."""
    return news._replace(
        records=tuple(
            record
            for record in news.records
            if directories.is_change(
                before.targets.get(record.key), after.targets.get(record.key)
            )
            or record.payload is None
            # Others have lost it too, and do not see that it is back.
            or record.key in before.lapsed
        )
    )


def forget_dropped(
    kept: dict[str, stored.Record],
    batch: stored.Batch,
    standing: int = stored.NOWHERE,
) -> None:
    """Removes the keys that a whole reading does not name any more.

    The record at the offset `standing` stays.
    """
    named = {record.key for record in batch.records}
    for key, record in list(kept.items()):
        if record.offset == standing:
            continue
        if key not in named and record.offset < batch.end:
            kept.pop(key)


def replaces(
    record: stored.Record,
    known: stored.Record | None,
    standing: int = stored.NOWHERE,
) -> bool:
    """Tells whether a record replaces the one known of its key.

    The later one does, but for the one at the offset `standing`.
    """
    if known is None or record.offset == standing:
        return True
    return known.offset != standing and record.offset > known.offset
