"""Registered folds: what the records of a topic change in the knowledge."""

import typing
from collections import abc

from bilberryglade._values import registry, stored

if typing.TYPE_CHECKING:
    from bilberryglade._knowledge import knowledge

#: Where operators publish the configuration and take failure domains out.
OPERATOR: typing.Final = 'operator'
#: Where targets list themselves.
TARGETS: typing.Final = 'targets'


class Reading(typing.NamedTuple):
    """Records of one topic, and what is known of their age."""

    batch: stored.Batch
    #: Seconds at which the store was asked, by this instance's clock.
    read_at: float
    #: Seconds for which the store had given this instance no word of the topic,
    #: though it was asked; 0 if it was not asked in vain.
    gap: float
    #: Whether the store has come back older since the topic was read before, so
    #: that records may be missing which are about to be written again.
    is_new_era: bool = False


Fold: typing.TypeAlias = abc.Callable[
    ['knowledge.Knowledge', Reading],
    'knowledge.Knowledge',
]

folds: typing.Final = registry.Registry[Fold]('topic fold')
