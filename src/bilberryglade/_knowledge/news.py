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
        )
    )


def forget_dropped(
    kept: dict[str, stored.Record],
    batch: stored.Batch,
) -> None:
    """Removes the keys that a whole reading does not name any more."""
    named = {record.key for record in batch.records}
    for key, record in list(kept.items()):
        if key not in named and record.offset < batch.end:
            kept.pop(key)
