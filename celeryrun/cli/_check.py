"""Subcommand that checks files before they are used or published."""

from __future__ import annotations

import sys
from dataclasses import dataclass, field

import click
import msgspec

from celeryrun.catalog import CatalogDraft
from celeryrun.checks import (
    Difference,
    Finding,
    Severity,
    check_draft,
    compare_configurations,
    compare_drafts,
)
from celeryrun.cli._exit import EXIT_FAILED
from celeryrun.cli._publish import read_lists
from celeryrun.exception import CeleryrunError, SettingsError
from celeryrun.platform import UnreadableRecordError, decode_draft
from celeryrun.settings import load_gateway_settings, load_settings, read_text

__all__ = ["check"]

FILE_TYPE = click.Path(dir_okay=False)


@dataclass(slots=True)
class Report:
    """Result of a check.

    Parameters
    ----------
    sound : list of str
        Files in which nothing was found, each with a note.
    differences : list of Difference or None
        Changes against the version in force, None if there is none to compare with.
    """

    sound: list[str] = field(default_factory=list)
    findings: list[Finding] = field(default_factory=list)
    differences: list[Difference] | None = None

    @property
    def has_errors(self) -> bool:
        """Whether any finding is an error."""
        return any(finding.severity is Severity.ERROR for finding in self.findings)

    def to_text(self) -> str:
        """Return the report as lines of text."""
        lines = [*self.sound, *map(str, self.findings)]
        if self.differences is not None:
            lines += map(str, self.differences)
            lines += [] if self.differences else ["nothing differs from the version in force"]
        return "\n".join(lines)

    def to_json(self) -> str:
        """Return the report as a JSON object."""
        fields = {
            "sound": not self.has_errors,
            "findings": self.findings,
            "differences": self.differences,
        }
        return msgspec.json.encode(fields).decode()


@click.command()
@click.argument("new", type=FILE_TYPE, required=False)
@click.option("--against", type=FILE_TYPE, help="Configuration in force, to compare NEW with.")
@click.option("--settings", "settings_file", type=FILE_TYPE, help="Settings file of a node.")
@click.option("--plans", type=FILE_TYPE, help="Plans file: plan, tier and key of each workspace.")
@click.option("--uses", type=FILE_TYPE, help="Uses file: plans that may use each pool.")
@click.option("--against-plans", type=FILE_TYPE, help="Plans file in force, to compare with.")
@click.option("--against-uses", type=FILE_TYPE, help="Uses file in force, to compare with.")
@click.option("--gateway", "gateway_file", type=FILE_TYPE, help="Settings file of a gateway.")
@click.option(
    "--format", "output", type=click.Choice(("text", "json")), default="text", show_default=True
)
@click.option("--strict", is_flag=True, help="Exit with 1 on warnings too.")
def check(
    new: str | None,
    against: str | None,
    settings_file: str | None,
    plans: str | None,
    uses: str | None,
    against_plans: str | None,
    against_uses: str | None,
    gateway_file: str | None,
    output: str,
    strict: bool,
) -> None:
    """Check files without publishing them: NEW is a configuration of gateways, as JSON.

    Exits with 0 if they are sound, 1 if there are errors and 2 if a file can't be read.
    """
    if bool(plans) != bool(uses) or bool(against_plans) != bool(against_uses):
        raise click.UsageError("--plans and --uses must be given together, and those in force too")
    if (against and not new) or (against_plans and not plans):
        raise click.UsageError("a version in force needs a new one to compare with it")
    if not settings_file and not plans and not gateway_file and not new:
        raise click.UsageError("give NEW, --settings, --gateway, or --plans and --uses")
    report = Report()
    try:
        if gateway_file:
            load_gateway_settings(gateway_file)
            report.sound.append(f"{gateway_file}: good")
        if settings_file:
            load_settings(settings_file)
            report.sound.append(f"{settings_file}: good")
        if plans and uses:
            _check_lists(report, (plans, uses), (against_plans, against_uses))
        if new:
            _check_draft(report, new, against)
    except CeleryrunError:
        if output == "text" and (found := report.to_text()):
            click.echo(found)
        raise
    click.echo(report.to_text() if output == "text" else report.to_json())
    if report.has_errors or (strict and report.findings):
        sys.exit(EXIT_FAILED)


def _check_lists(
    report: Report, files: tuple[str, str], files_in_force: tuple[str | None, str | None]
) -> None:
    configuration = read_lists(*files)
    report.sound.append(
        f"{len(configuration.plans)} workspaces and {len(configuration.pools)} pools: good"
    )
    plans_in_force, uses_in_force = files_in_force
    if plans_in_force and uses_in_force:
        current = read_lists(plans_in_force, uses_in_force)
        report.differences = compare_configurations(current, configuration)


def _check_draft(report: Report, file: str, file_in_force: str | None) -> None:
    draft = _read_draft(file)
    findings = check_draft(draft)
    report.findings += findings
    if not findings:
        catalog = draft.catalog
        counts = f"{len(catalog.routes)} routes, {len(draft.pools)} pools"
        report.sound.append(f"{file}: {counts} and {len(draft.workspaces)} workspaces: good")
    if file_in_force:
        changes = compare_drafts(_read_draft(file_in_force), draft)
        report.differences = [*(report.differences or ()), *changes]


def _read_draft(file: str) -> CatalogDraft:
    try:
        return decode_draft(read_text(file).encode())
    except UnreadableRecordError as error:
        raise SettingsError(file, "-", "-", str(error)) from error
