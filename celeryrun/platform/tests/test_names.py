"""The platform's names stand in its folder alone."""

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2]
NAMES = re.compile(
    r"[Cc]eleryrun-(Attempt|Deadline|Prompt|Response-Seal|Tenant|Expect|Not-Ex|Runner|Model|Token|"
    r"Length|Hold|Pin|Kv|Weight)|/celeryrun/(readiness|report|log-|hold|kv)|pathPrefix|path_prefix|"
    r"targetLatencyMs|apiKeys|ratePerS|keyed\.(op|servers|status)|maxAttempts|gapAimMs|"
    r"CELERYRUN_NODE_FILE",
    re.IGNORECASE,
)
MAX_LINES = 800  # code that only translates stays small


def sources(folder):
    return [path for path in folder.rglob("*.py") if "tests" not in path.parts]


def test_no_other_module_knows_them():
    found = [
        f"{path.relative_to(PACKAGE)}: {match.group()}"
        for path in sources(PACKAGE)
        if "platform" not in path.relative_to(PACKAGE).parts
        for match in NAMES.finditer(path.read_text())
    ]
    assert not found


def test_folder_stays_small():
    lines = sum(len(path.read_text().splitlines()) for path in sources(PACKAGE / "platform"))
    assert lines < MAX_LINES
