"""Makes a step of the stop of a node fail, in the process of the node."""

from __future__ import annotations

import importlib
import typing

USED_BEFORE = ('publish',)
"""Methods that a node calls also while it does not stop."""


def install(module: str, attribute: str) -> None:
    """Replace a method by one that fails once the node stops."""
    class_name, _, name = attribute.partition('.')
    owner = getattr(importlib.import_module(module), class_name)
    original = getattr(owner, name)

    def method(self: typing.Any) -> typing.Any:
        if name not in USED_BEFORE or self.is_stopping:
            raise RuntimeError('made to fail by a test')
        return original(self)

    setattr(owner, name, method)
