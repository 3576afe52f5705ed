"""Parser of the lists of plans and uses, and the change between two configurations."""

from __future__ import annotations

import configparser
from typing import Any

from celeryrun.configuration._model import (
    TIERS,
    CallPattern,
    Change,
    Configuration,
    Plan,
    Pool,
)
from celeryrun.exception import SettingsError
from celeryrun.settings._load import read_ini
from celeryrun.settings._value_types import (
    Choice,
    Identifier,
    Integer,
    KeyHash,
    ValueType,
    parse_value,
)

__all__ = ["diff_lists", "parse_lists"]


def parse_lists(
    plans_text: str, uses_text: str, plans_file: str = "plans", uses_file: str = "uses"
) -> Configuration:
    """Parse and validate both lists into a configuration of version 0.

    Parameters
    ----------
    plans_text : str
        INI text with one section per workspace; the keys are ``plan``, ``tier``, ``key_hash`` and
        ``max_outstanding``.
    uses_text : str
        INI text with one section per pool; the keys are ``kind``, ``plans``, ``non_idempotent``
        and ``fencing``.

    Raises
    ------
    SettingsError
        At the first error, with file, section, key and the allowed values.

    Examples
    --------
    >>> uses = "[drafts]\\nkind = engine\\nplans = sales"
    >>> parse_lists("", uses).pools_by_name["drafts"].plans
    ('sales',)
    """
    plan_sections = read_ini(plans_text, plans_file)
    plans = [
        _read_plan(_Section(plan_sections, name, plans_file)) for name in plan_sections.sections()
    ]
    _check_unique_keys(plans, plans_file)
    use_sections = read_ini(uses_text, uses_file)
    uses = [_read_pool(_Section(use_sections, name, uses_file)) for name in use_sections.sections()]
    configuration = Configuration.from_lists(0, tuple(plans), tuple(uses))
    known = {plan.plan for plan in configuration.plans}
    for pool in configuration.pools:
        for plan in pool.plans:
            if known and plan not in known:
                allowed = f"plan {plan!r} is in no workspace; known: {', '.join(sorted(known))}"
                raise SettingsError(uses_file, pool.name, "plans", allowed)
    error = configuration.find_error()
    if error is not None:
        raise SettingsError(plans_file, "-", "-", error)
    return configuration


def _check_unique_keys(plans: list[Plan], file: str) -> None:
    workspace_by_key_hash: dict[str, str] = {}
    for plan in plans:
        other = workspace_by_key_hash.setdefault(plan.key_hash, plan.workspace)
        if other != plan.workspace:
            allowed = (
                f"a unique key; [{other}] has the same one, create another with celeryrun keys"
            )
            raise SettingsError(file, plan.workspace, "key_hash", allowed)


def diff_lists(old: Configuration, new: Configuration, change_id: str) -> Change:
    """Return the change that turns one configuration into another."""
    plans = tuple(plan for plan in new.plans if old.plans_by_workspace.get(plan.workspace) != plan)
    pools = tuple(pool for pool in new.pools if old.pools_by_name.get(pool.name) != pool)
    return Change(
        change_id,
        old.version,
        plans,
        tuple(name for name in old.plans_by_workspace if name not in new.plans_by_workspace),
        pools,
        tuple(name for name in old.pools_by_name if name not in new.pools_by_name),
    )


class _Section:
    """Section of a list; a key that no `pop` call has read is an error."""

    __slots__ = ("_file", "_values", "name")

    def __init__(self, parser: configparser.ConfigParser, name: str, file: str) -> None:
        try:
            self.name = parse_value(Identifier(), name)
        except ValueError as error:
            raise SettingsError(file, name, "-", f"a name of {error}") from error
        self._file = file
        self._values = dict(parser[name])

    def pop(self, key: str, value_type: ValueType, default: str | None = None) -> Any:
        text = self._values.pop(key, default)
        if text is None:
            raise SettingsError(self._file, self.name, key, "is required")
        try:
            return parse_value(value_type, text)
        except ValueError as error:
            raise SettingsError(self._file, self.name, key, str(error)) from error

    def pop_names(self, key: str, default: str | None = None) -> tuple[str, ...]:
        text = self._values.pop(key, default)
        if text is None:
            raise SettingsError(self._file, self.name, key, "is required, separated by commas")
        names = tuple(name.strip() for name in text.split(",") if name.strip())
        if not names and default is None:
            raise self.error(key, "at least one name, separated by commas")
        return names

    def error(self, key: str, allowed: str) -> SettingsError:
        return SettingsError(self._file, self.name, key, allowed)

    def check_no_keys_left(self, allowed: str) -> None:
        for key in self._values:
            raise SettingsError(self._file, self.name, key, f"unknown key; allowed: {allowed}")


def _read_plan(section: _Section) -> Plan:
    plan = Plan(
        section.name,
        section.pop("plan", Identifier()),
        section.pop("tier", Integer(TIERS[0], TIERS[-1])),
        section.pop("key_hash", KeyHash()),
        section.pop("max_outstanding", Integer(1, 100_000), "100"),
    )
    section.check_no_keys_left("plan, tier, key_hash, max_outstanding")
    return plan


def _read_pool(section: _Section) -> Pool:
    pool = Pool(
        section.name,
        section.pop("kind", Choice(("engine", "application"))),
        section.pop_names("plans"),
        tuple(
            _read_call_pattern(section, text) for text in section.pop_names("non_idempotent", "")
        ),
        section.pop("fencing", Choice(("yes", "no")), "no") == "yes",
    )
    section.check_no_keys_left("kind, plans, non_idempotent, fencing")
    return pool


def _read_call_pattern(section: _Section, text: str) -> CallPattern:
    method, _, path = text.partition(" ")
    if method not in ("GET", "POST", "PUT", "PATCH", "DELETE") or not path.startswith("/"):
        raise section.error("non_idempotent", f"METHOD /path, separated by commas; found {text!r}")
    return CallPattern(method, path)
