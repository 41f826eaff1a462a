"""Compares what instances claim with the true history of the fake log."""

from collections import abc

from bilberryglade._state import state
from bilberryglade_lab.matrix import log_fake
from bilberryglade_lab.observers import violations


def check_fresh(
    log: log_fake.FakeLog,
    replica: log_fake.Replica,
) -> list[violations.Violation]:
    """Finds a claim to be fresh by an instance that lacked a record."""
    known = replica.known
    head = log.head_at(known.fresh_at)
    if known.view.offset >= head:
        return []
    detail = (
        f'{replica.name} at {known.view.offset} claims to be fresh as of '
        f'{known.fresh_at}, when the head was {head}'
    )
    return [violations.Violation('fresh_is_true', detail)]


def check_forward(
    replica: log_fake.Replica,
    boot: int,
    offset: int,
) -> list[violations.Violation]:
    """Finds an instance that went back from `offset` without a restart."""
    if replica.boot != boot or replica.known.view.offset >= offset:
        return []
    detail = f'{replica.name}: {replica.known.view.offset} after {offset}'
    return [violations.Violation('never_goes_back', detail)]


def check_end(
    log: log_fake.FakeLog,
    replicas: abc.Sequence[log_fake.Replica],
) -> list[violations.Violation]:
    """Finds states that differ and acknowledgements that did not last."""
    whole = log.folded()
    found = [
        violations.Violation(
            'same_state',
            f'{replica.name} at {replica.known.view.offset} of {log.head}',
        )
        for replica in replicas
        if replica.known.view != whole
    ]
    for replica in replicas:
        for told in replica.acknowledged:
            found.extend(_check_told(log, whole, told))
    return found


def _check_told(
    log: log_fake.FakeLog,
    whole: state.ClusterState,
    told: log_fake.Acknowledged,
) -> list[violations.Violation]:
    if whole.verdicts.get(told.record['id']) != told.verdict:
        return [violations.Violation('acknowledged_lasts', str(told))]
    if told.verdict.accepted or 'based_on' not in told.record:
        return []
    winner = log.records[told.verdict.winner - 1]
    verdict = whole.verdicts[winner['id']]
    if verdict.accepted and verdict.offset == told.verdict.winner:
        return []
    return [violations.Violation('loser_is_told', str(told))]
