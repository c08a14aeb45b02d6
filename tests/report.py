"""Report of behave that holds the text of every step that did not pass."""

from __future__ import annotations

import typing

from behave.formatter import json as json_formatter


class Report(json_formatter.JSONFormatter):
    """The JSON report, with the text of errors as well as of failures."""

    name = 'report'
    description = 'JSON with the texts of failures and errors'

    def result(self, step: typing.Any) -> None:
        """Add the result of a step."""
        index = self._step_index
        super().result(step)
        if step.error_message:
            result = self.current_feature_element['steps'][index]['result']
            result['error_message'] = step.error_message
