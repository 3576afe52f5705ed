"""Builders of configurations in the operators' format."""

import copy
import json

from celeryrun.platform import decode_draft
from standins.site import build_config


def build_draft(edit=lambda config: None):
    """Return the draft of a sound configuration after an edit of its JSON object."""
    config = copy.deepcopy(build_config())
    edit(config)
    return decode_draft(json.dumps(config).encode())
