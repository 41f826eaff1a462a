"""Any settings file at all is settings or a list of errors."""

import copy
import typing
import unittest

import hypothesis
import result
import yaml
from hypothesis import strategies

from bilberryglade._instance import config, samples

SETTINGS: typing.Final = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150
)
LEAVES: typing.Final = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=6)
    | strategies.sampled_from(
        (10**400, '127.0.0.1:99999', '127.0.0.1:\N{SUPERSCRIPT TWO}')
    )
)
ANYTHING: typing.Final = strategies.recursive(
    LEAVES,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(LEAVES, inner, max_size=3)
    ),
    max_leaves=5,
)
Path: typing.TypeAlias = tuple[str, ...]


def _paths(node: object, path: Path = ()) -> list[Path]:
    """Returns the paths of all settings of the sample."""
    if not isinstance(node, dict):
        return [path]
    below = [
        one
        for name, inner in node.items()
        for one in _paths(inner, (*path, name))
    ]
    return [path, *below] if path else below


class FuzzTests(unittest.TestCase):
    """Settings that nobody meant."""

    @SETTINGS
    @hypothesis.given(
        strategies.sampled_from(_paths(samples.SETTINGS)), ANYTHING
    )
    def test_any_values(self, path: Path, anything: object) -> None:
        """A setting, or a group of them, is something else."""
        document: typing.Any = copy.deepcopy(samples.SETTINGS)
        node = document
        for name in path[:-1]:
            node = node[name]
        node[path[-1]] = anything
        self.check(yaml.safe_dump(document).encode())

    @SETTINGS
    @hypothesis.given(strategies.binary())
    @hypothesis.example(b'a: &a [*a]')
    @hypothesis.example(b'[' * 900)
    def test_any_bytes(self, raw: bytes) -> None:
        """Raw bytes."""
        self.check(raw)

    def check(self, raw: bytes) -> None:
        """Reads a file, and says what is wrong with it."""
        read = config.read_settings(raw)
        if isinstance(read, result.Err):
            self.assertTrue([config.line_of(one) for one in read.err_value])
