"""Folds of the store's topics: operators' records and targets' entries."""

import functools
import operator
import typing

import loguru
import result

from bilberryglade._knowledge import knowledge, left_out, topics
from bilberryglade._rollouts import orders
from bilberryglade._routing import catalogue
from bilberryglade._targets import directory
from bilberryglade._values import stored
from bilberryglade.platform import catalogues, entries, rollouts

CONFIGURATION_KEY: typing.Final = 'config'
TAKEN_OUT_PREFIX: typing.Final = 'evacuate/'


@topics.folds.register(topics.OPERATOR)
def fold_operator(
    known: knowledge.Knowledge,
    reading: topics.Reading,
) -> knowledge.Knowledge:
    """Takes in configurations, domains taken out or restored, and orders."""
    configurations: list[stored.Record] = []
    for record in reading.batch.records:
        if record.key == CONFIGURATION_KEY:
            configurations.append(record)
        elif record.key.startswith(TAKEN_OUT_PREFIX):
            known = _with_domain(known, record, reading.read_at)
        elif record.key.startswith(rollouts.PREFIX):
            known = _with_order(known, record, reading.read_at)
    known = _with_newest(known, configurations)
    if reading.batch.is_whole and not reading.is_new_era:
        known = _without_unnamed(known, reading)
    return known


@topics.folds.register(topics.TARGETS)
def fold_targets(
    known: knowledge.Knowledge,
    reading: topics.Reading,
) -> knowledge.Knowledge:
    """Takes in targets' entries; what names no target is left out."""
    listed = known.directory
    omitted = known.omitted
    keep_until: float = 0
    if reading.gap > directory.GAP_SECONDS or reading.is_new_era:
        keep_until = reading.read_at + directory.RETURN_SECONDS
    for record in reading.batch.records:
        if record.payload is None:
            listed = directory.drop(
                listed, record.key, record.offset, keep_until
            )
            continue
        decoded = entries.decode(record, reading.read_at)
        if isinstance(decoded, result.Err):
            omitted = left_out.note(
                omitted, topics.TARGETS, record, decoded.err_value
            )
            continue
        listed = directory.put(listed, decoded.ok_value)
    if reading.batch.is_whole:
        names = frozenset(record.key for record in reading.batch.records)
        listed = directory.retain(listed, names, reading.batch.end, keep_until)
    return known._replace(directory=listed, omitted=omitted)


def _with_newest(
    known: knowledge.Knowledge,
    configurations: list[stored.Record],
) -> knowledge.Knowledge:
    """Puts the newest configuration in force of which something can be made.

    Earlier ones are not decoded: it takes long on a slow instance, which would
    fall further behind with each of a quick succession.
    """
    newest = known.catalogue_offset
    for record in sorted(
        configurations, key=operator.attrgetter('offset'), reverse=True
    ):
        if record.payload is None or _is_decided(known, record.offset):
            continue
        newest = max(newest, record.offset)
        decoded = catalogues.decode(record.payload).and_then(
            functools.partial(_rank, known, record.offset)
        )
        if isinstance(decoded, result.Ok):
            known = _in_force(known, record, decoded.ok_value)
            break
        omitted = left_out.note(
            known.omitted, topics.OPERATOR, record, decoded.err_value
        )
        known = known._replace(omitted=omitted)
    return known._replace(catalogue_offset=newest)


def _is_decided(known: knowledge.Knowledge, offset: int) -> bool:
    """Tells whether a configuration needs no decoding: it is known, or earlier.

    One of an earlier era may have been lost by the store, and be the newest.
    """
    newest = known.catalogue_offset
    is_earlier = offset <= newest and (
        stored.era_of(offset) == stored.era_of(newest)
    )
    return is_earlier or offset == known.in_force_offset


def _rank(
    known: knowledge.Knowledge, offset: int, decoded: catalogues.Decoded
) -> result.Result[catalogues.Decoded, str]:
    """Returns a configuration unless it is older than the one in force.

    While the store has not come back older, offsets tell which is newer; since
    then, versions do.
    """
    if known.catalogue is None or not stored.era_of(
        max(offset, known.in_force_offset)
    ):
        return result.Ok(decoded)
    rank = (decoded.catalogue.version, offset)
    if rank > (known.catalogue.version, known.in_force_offset):
        return result.Ok(decoded)
    return result.Err(
        f'version {rank[0]} is not above {known.catalogue.version}, '
        'which stays in force'
    )


def _in_force(
    known: knowledge.Knowledge,
    record: stored.Record,
    decoded: catalogues.Decoded,
) -> knowledge.Knowledge:
    omitted = known.omitted
    for issue in decoded.issues:
        omitted = left_out.note_part(
            omitted, topics.OPERATOR, record, f'{issue.path}: {issue.cause}'
        )
    loguru.logger.info(
        'configuration {} in force, offset {}, {} parts left out',
        decoded.catalogue.version,
        record.offset,
        len(decoded.issues),
    )
    _tell_quotas(known.catalogue, decoded.catalogue)
    return known._replace(
        catalogue=decoded.catalogue,
        in_force_offset=record.offset,
        omitted=omitted,
    )


def _tell_quotas(
    before: catalogue.Catalogue | None,
    after: catalogue.Catalogue,
) -> None:
    """Writes a line for each quota that a configuration has changed."""
    known = {} if before is None else before.organisations
    for name, organisation in after.organisations.items():
        earlier = known.get(name)
        if earlier is not None and _quota(earlier) != _quota(organisation):
            loguru.logger.info(
                'quota of {} now {:g}/s and {:g} at once, before {:g}/s',
                name,
                organisation.rate,
                organisation.burst,
                earlier.rate,
            )


def _quota(organisation: catalogue.Organisation) -> tuple[float, float]:
    return (organisation.rate, organisation.burst)


def _with_domain(
    known: knowledge.Knowledge,
    record: stored.Record,
    read_at: float,
) -> knowledge.Knowledge:
    name = record.key.removeprefix(TAKEN_OUT_PREFIX)
    before = known.domains.get(name)
    if before is not None and before.offset >= record.offset:
        return known
    is_out = record.payload is not None
    loguru.logger.info(
        'failure domain {} {}', name, 'taken out' if is_out else 'in service'
    )
    domain = knowledge.Domain(record.offset, is_out, read_at)
    return known._replace(domains=known.domains.set(name, domain))


def _with_order(
    known: knowledge.Knowledge,
    record: stored.Record,
    read_at: float,
) -> knowledge.Knowledge:
    """Takes in an order; one that cannot be read leaves that in force before.

    Only a dropped key withdraws an order: a reading that does not name it may
    be of a store that has come back older.
    """
    service = record.key.removeprefix(rollouts.PREFIX)
    before = known.orders.get(service)
    if before is not None and before.offset >= record.offset:
        return known
    if record.payload is None:
        if before is None:
            return known
        loguru.logger.info('order to move {} withdrawn', service)
        return known._replace(orders=known.orders.delete(service))
    decoded = rollouts.decode(record, read_at)
    if isinstance(decoded, result.Err):
        omitted = left_out.note(
            known.omitted, topics.OPERATOR, record, decoded.err_value
        )
        return known._replace(omitted=omitted)
    order = decoded.ok_value
    if before is not None and orders.is_repeat(before, order):
        order = order._replace(read_at=before.read_at)
    else:
        loguru.logger.info(
            'order to move {} to {!r} within {:g} s, offset {}',
            service,
            order.version,
            order.seconds,
            order.offset,
        )
    return known._replace(orders=known.orders.set(service, order))


def _without_unnamed(
    known: knowledge.Knowledge,
    reading: topics.Reading,
) -> knowledge.Knowledge:
    """Returns to service what a whole reading does not name any more."""
    named = {record.key for record in reading.batch.records}
    for name, domain in known.domains.items():
        key = f'{TAKEN_OUT_PREFIX}{name}'
        if domain.is_out and key not in named:
            dropped = stored.Record(key, reading.batch.end - 1, payload=None)
            known = _with_domain(known, dropped, reading.read_at)
    return known
