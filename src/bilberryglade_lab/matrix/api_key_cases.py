"""Rows of API keys: withdrawn while the request is under way."""

import asyncio
import random
import types
import typing

from bilberryglade_lab.fakes import caller_front
from bilberryglade_lab.matrix import rows
from bilberryglade_lab.observers import violations

READ_BODY: typing.Final = 'api_key.read_body'
ANSWER: typing.Final = 'api_key.answer'
STEPS: typing.Final = types.MappingProxyType(
    {READ_BODY: ('body', 'admission'), ANSWER: ('run',)}
)
#: Faults that keep the news of a withdrawal from the instance.
BLINDING: typing.Final = (
    'log_down',
    'log_slow',
    'partition_both',
    'partition_platform',
    'pause',
)
IRRELEVANT: typing.Final = types.MappingProxyType(
    {
        'crashing_request': 'the outcome is told as for any request',
        'freeze_and_return': 'the outcome is told as for any request',
        'lease_lapsed': 'no lease takes part',
        'loss': 'a lost instance hands out nothing',
        'partition_one_way': 'keys come from the log alone',
        'partition_peers': 'keys come from the log alone',
        'target_cold': 'no target takes part',
    }
)


@rows.row(READ_BODY, 'key_withdrawn')
def check_before_run(seed: int) -> list[violations.Violation]:
    """A key withdrawn before the run: nothing runs, and that is said."""
    fake = _withdrawn_at(READ_BODY, seed)
    answer = asyncio.run(caller_front.call(fake))
    return _leak(bool(fake.delivered) or answer.run_state != 'not-run')


@rows.row(ANSWER, 'key_withdrawn')
def check_after_run(seed: int) -> list[violations.Violation]:
    """A key withdrawn during the run: the answer is withheld, the run told."""
    fake = _withdrawn_at(ANSWER, seed)
    answer = asyncio.run(caller_front.call(fake))
    return _leak(b'private' in answer.body or answer.run_state != 'ran')


@rows.row(READ_BODY, *BLINDING)
def check_blind_before_run(seed: int) -> list[violations.Violation]:
    """On an open route nothing runs on old knowledge of keys."""
    fake = caller_front.Fake()
    fake.age_seconds = random.Random(seed).uniform(3.01, 60)
    answer = asyncio.run(caller_front.call(fake))
    return _leak(bool(fake.delivered) or answer.run_state != 'not-run')


@rows.row(ANSWER, *BLINDING)
def check_blind_during_run(seed: int) -> list[violations.Violation]:
    """On an open route an answer is withheld once knowledge is old."""
    fake = caller_front.Fake()
    fake.age_after_run = random.Random(seed).uniform(3.01, 60)
    answer = asyncio.run(caller_front.call(fake))
    return _leak(b'private' in answer.body or answer.run_state != 'ran')


def _withdrawn_at(step: str, seed: int) -> caller_front.Fake:
    fake = caller_front.Fake()
    fake.withdraw_in = random.Random(seed).choice(STEPS[step])
    return fake


def _leak(is_wrong: bool) -> list[violations.Violation]:
    if not is_wrong:
        return []
    return [violations.Violation('withdrawn_key', 'a withdrawn key served')]


def _exclude() -> None:
    for irrelevant, cause in IRRELEVANT.items():
        rows.not_applicable(READ_BODY, irrelevant, cause)
        rows.not_applicable(ANSWER, irrelevant, cause)


_exclude()
