"""Folds of records about rules and API keys."""

import result

from bilberryglade._rules import reader
from bilberryglade._state import folding, state
from bilberryglade_schema import records


@folding.fold_for('rules_published', records.RulesPublished)
def fold_rules_published(
    before: state.ClusterState,
    offset: int,
    record: records.RulesPublished,
) -> folding.FoldStep:
    """Accepts a revision made from the one in force."""
    current = before.rules.revision
    if record['based_on'] != current:
        reason = (
            f'based on revision {record["based_on"]}, in force is {current}'
        )
        return folding.reject(before, offset, reason, winner=current)
    book = reader.read_rules(record['text'])
    if isinstance(book, result.Err):
        first = book.err_value[0]
        reason = f'line {first.line}: {first.problem}'
        return folding.reject(before, offset, reason)
    revision = state.RulesRevision(
        revision=offset,
        text=record['text'],
        by=record['by'],
        book=book.ok_value,
    )
    return folding.accept(before._replace(rules=revision), offset)


@folding.fold_for('key_issued', records.KeyIssued)
def fold_key_issued(
    before: state.ClusterState,
    offset: int,
    record: records.KeyIssued,
) -> folding.FoldStep:
    """Adds an API key; neither its id nor its digest may exist."""
    taken = record['key_id'] in before.key_digests
    if taken or record['digest'] in before.api_keys:
        reason = f'API key {record["key_id"]} exists'
        return folding.reject(before, offset, reason)
    api_key = state.ApiKey(
        key_id=record['key_id'],
        organisation=record['organisation'],
        digest=record['digest'],
        withdrawn=False,
    )
    changed = before._replace(
        api_keys=before.api_keys.set(api_key.digest, api_key),
        key_digests=before.key_digests.set(api_key.key_id, api_key.digest),
    )
    return folding.accept(changed, offset)


@folding.fold_for('key_withdrawn', records.KeyWithdrawn)
def fold_key_withdrawn(
    before: state.ClusterState,
    offset: int,
    record: records.KeyWithdrawn,
) -> folding.FoldStep:
    """Withdraws an API key for good."""
    digest = before.key_digests.get(record['key_id'])
    if digest is None:
        reason = f'no API key {record["key_id"]}'
        return folding.reject(before, offset, reason)
    withdrawn = before.api_keys[digest]._replace(withdrawn=True)
    api_keys = before.api_keys.set(digest, withdrawn)
    return folding.accept(before._replace(api_keys=api_keys), offset)
