"""Command `python -m bilberryglade_lab.measure_state`: costs of the state.

Prints the processor time of folds, by kind of record and size of the state,
and size and time of snapshots at several sizes.
"""

import sys
import time
import typing
from collections import abc

import immutables

from bilberryglade._log import chunks
from bilberryglade._state import (
    folding,
    ownership_folds,
    rule_folds,
    state,
    topology_folds,
)

MODULES: typing.Final = (ownership_folds, rule_folds, topology_folds)
REPEATS: typing.Final = 3
FOLDS: typing.Final = 200
MICROSECONDS: typing.Final = 1_000_000
MILLISECONDS: typing.Final = 1000
KIBIBYTE: typing.Final = 1024
SERVICE: typing.Final = 'ledger'
RULE_COUNTS: typing.Final = (100, 1000, 5000)


class Shape(typing.NamedTuple):
    """Sizes of a state."""

    name: str
    members: int
    targets: int
    slots: int
    api_keys: int
    rules: int
    verdicts: int = 0


BASE: typing.Final = Shape('base', 12, 40, 256, 100, 100)
SHAPES: typing.Final = (
    BASE,
    BASE._replace(name='members 460', members=460),
    BASE._replace(name='targets 500', targets=500),
    BASE._replace(name='targets 2000', targets=2000),
    BASE._replace(name='slots 4096', slots=4096),
    BASE._replace(name='slots 65536', slots=65_536),
    BASE._replace(name='API keys 1000', api_keys=1000),
    BASE._replace(name='API keys 10000', api_keys=10_000),
    BASE._replace(name='rules 1000', rules=1000),
    BASE._replace(name='rules 5000', rules=5000),
    BASE._replace(name='verdicts 12000', verdicts=12_000),
    Shape('460 nodes', 460, 2000, 65_536, 10_000, 5000, 12_000),
)


def rules_text(count: int) -> str:
    """Returns a rules file of `count` lines."""
    service = f'service {SERVICE} path /ledger key path 2 # asked by accounts'
    allows = [
        f'allow org-{number} to {SERVICE} rate 20/s burst 20 # asked by office'
        for number in range(count - 1)
    ]
    return '\n'.join([service, *allows])


def records_of(shape: Shape) -> abc.Iterator[folding.Record]:
    """Yields the records of a state of this shape."""
    yield _rules_record(shape.rules, 0)
    for number in range(shape.members):
        yield join_record(number)
    for number in range(shape.targets):
        yield target_record(number, 0)
    for number in range(shape.api_keys):
        yield key_record(number)
    yield {
        'id': 'first-slots',
        'kind': 'slots_assigned',
        'service': SERVICE,
        'based_on': 0,
        'moves': [
            {'slot': slot, 'target': f'target-{slot % shape.targets}'}
            for slot in range(shape.slots)
        ],
    }


def state_of(shape: Shape) -> state.ClusterState:
    """Returns a state of this shape."""
    view = state.ClusterState()
    for record in records_of(shape):
        view = folding.fold(view, view.offset + 1, record).state
    verdicts = {
        f'{number:032x}': state.Verdict(number, accepted=True)
        for number in range(shape.verdicts)
    }
    return view._replace(verdicts=immutables.Map(verdicts))


def join_record(number: int) -> folding.Record:
    """Returns the record of an instance that joins."""
    return {
        'id': f'join-{number}-{time.monotonic_ns()}',
        'kind': 'instance_joined',
        'instance': f'entry-{number}',
        'boot': f'{number:032x}',
        'failure_domain': f'domain-{number % 6}',
        'peer_address': f'10.0.{number // 250}.{number % 250}:7000',
        'admin_address': f'10.0.{number // 250}.{number % 250}:7001',
    }


def target_record(number: int, based_on: int) -> folding.Record:
    """Returns the record of a target."""
    return {
        'id': f'target-{number}-{time.monotonic_ns()}',
        'kind': 'target_changed',
        'target': f'target-{number}',
        'service': SERVICE,
        'failure_domain': f'domain-{number % 6}',
        'address': f'10.1.{number // 250}.{number % 250}:8000',
        'concurrency': 3,
        'fenced': True,
        'state': 'live',
        'based_on': based_on,
    }


def key_record(number: int) -> folding.Record:
    """Returns the record of an API key."""
    return {
        'id': f'key-{number}-{time.monotonic_ns()}',
        'kind': 'key_issued',
        'organisation': f'org-{number % 100}',
        'key_id': f'key-{number}',
        'digest': f'{number:064x}',
    }


def _withdraw_record(number: int) -> folding.Record:
    return {
        'id': f'withdraw-{number}-{time.monotonic_ns()}',
        'kind': 'key_withdrawn',
        'key_id': f'key-{number}',
    }


def _rules_record(count: int, based_on: int) -> folding.Record:
    return {
        'id': f'rules-{count}-{time.monotonic_ns()}',
        'kind': 'rules_published',
        'by': 'measurement',
        'based_on': based_on,
        'text': rules_text(count),
    }


def _move_record(view: state.ClusterState) -> folding.Record:
    return {
        'id': f'move-{time.monotonic_ns()}',
        'kind': 'slots_assigned',
        'service': SERVICE,
        'based_on': view.services[SERVICE].changed_at,
        'moves': [{'slot': slot, 'target': 'target-0'} for slot in range(8)],
    }


Maker: typing.TypeAlias = abc.Callable[
    [state.ClusterState, int],
    folding.Record,
]

MAKERS: typing.Final[immutables.Map[str, Maker]] = immutables.Map(
    {
        'instance_joined': lambda view, number: join_record(number % 12),
        'target_changed': lambda view, number: target_record(
            number % 40,
            view.targets[f'target-{number % 40}'].changed_at,
        ),
        'key_issued': lambda view, number: key_record(100_000 + number),
        'key_withdrawn': lambda view, number: _withdraw_record(number % 100),
        'slots_assigned, 8 moves': lambda view, number: _move_record(view),
    },
)


def fold_microseconds(view: state.ClusterState, make: Maker) -> float:
    """Returns the processor time of one fold, the least of some runs."""
    best = float('inf')
    for _ in range(REPEATS):
        folded = view
        began = time.process_time()
        spent_making = float(0)
        for number in range(FOLDS):
            making = time.process_time()
            record = make(folded, number)
            spent_making += time.process_time() - making
            folded = folding.fold(folded, folded.offset + 1, record).state
        spent = time.process_time() - began - spent_making
        best = min(best, spent / FOLDS * MICROSECONDS)
    return best


def _milliseconds(act: abc.Callable[[], object]) -> float:
    best = float('inf')
    for _ in range(REPEATS):
        began = time.process_time()
        act()
        best = min(best, time.process_time() - began)
    return best * MILLISECONDS


def _print_folds(view: state.ClusterState, name: str) -> None:
    for kind in sorted(MAKERS):
        spent = fold_microseconds(view, MAKERS[kind])
        sys.stdout.write(f'| {name} | {kind} | {spent:.1f} |\n')


def _print_snapshot(view: state.ClusterState, name: str) -> None:
    parts = chunks.split(view)
    size = sum(len(part.body) for part in parts)
    write_ms = _milliseconds(lambda: chunks.split(view))
    read_ms = _milliseconds(lambda: chunks.newest_whole(parts))
    sys.stdout.write(
        f'| {name} | {size / KIBIBYTE:.1f} | {len(parts)} '
        f'| {write_ms:.1f} | {read_ms:.1f} |\n',
    )


def _print_rules(count: int) -> None:
    record = _rules_record(count, 0)
    empty = state.ClusterState()
    spent = _milliseconds(lambda: folding.fold(empty, 1, record))
    sys.stdout.write(f'| rules_published, {count} rules | {spent:.1f} |\n')


def main() -> int:
    """Prints all tables as Markdown."""
    views = {shape.name: state_of(shape) for shape in SHAPES}
    sys.stdout.write('| state | record | fold, microseconds |\n|---|---|---|\n')
    for name in ('base', 'API keys 10000', '460 nodes'):
        _print_folds(views[name], name)
    sys.stdout.write('\n| record | fold, milliseconds |\n|---|---|\n')
    for count in RULE_COUNTS:
        _print_rules(count)
    sys.stdout.write(
        '\n| state | snapshot, KiB | parts | write, ms | read, ms |\n'
        '|---|---|---|---|---|\n',
    )
    for name, view in views.items():
        _print_snapshot(view, name)
    return 0


if __name__ == '__main__':
    sys.exit(main())
