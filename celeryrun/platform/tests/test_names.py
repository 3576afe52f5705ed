"""The platform's headers, paths and fields are named only in this package."""

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2]
PLATFORM_NAMES = re.compile(
    r"[Cc]eleryrun-(Attempt|Deadline|Prompt|Response-Seal|Tenant|Expect|Not-Ex|Runner|Model|Token|"
    r"Length|Hold|Pin|Kv|Weight)|/celeryrun/(readiness|report|log-|hold|kv)|pathPrefix|path_prefix|"
    r"targetLatencyMs|apiKeys|ratePerS|keyed\.(op|servers|status)|maxAttempts|gapAimMs|"
    r"CELERYRUN_NODE_FILE",
    re.IGNORECASE,
)
MAX_LINES = 800  # the adapter only translates, so it must stay small


def source_files(folder):
    return [path for path in folder.rglob("*.py") if "tests" not in path.parts]


def test_no_other_package_contains_the_platforms_names():
    found = [
        f"{path.relative_to(PACKAGE)}: {match.group()}"
        for path in source_files(PACKAGE)
        if "platform" not in path.relative_to(PACKAGE).parts
        for match in PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert not found


def test_package_has_less_than_the_maximum_number_of_lines():
    line_count = sum(
        len(path.read_text().splitlines()) for path in source_files(PACKAGE / "platform")
    )
    assert line_count < MAX_LINES
