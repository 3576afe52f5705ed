"""Loading and validation of settings files."""

from __future__ import annotations

import configparser
import dataclasses
import typing
from pathlib import Path
from typing import Any, TypeVar

from celeryrun.exception import SettingsError
from celeryrun.settings._conflicts import find_conflicts
from celeryrun.settings._gateway import GatewaySettings
from celeryrun.settings._schema import Settings
from celeryrun.settings._value_types import parse_value

__all__ = [
    "load_gateway_settings",
    "load_settings",
    "parse_gateway_settings",
    "parse_settings",
    "read_ini",
    "read_text",
]

Schema = TypeVar("Schema", Settings, GatewaySettings)

DEFAULT_SECTION = ""  # the keys of configparser's default section would apply to every section


def load_settings(path: str | Path) -> Settings:
    """Load and validate a node's settings file.

    Parameters
    ----------
    path : str or Path
        The INI file.

    Raises
    ------
    SettingsError
        If the file can't be read or a value is not valid; names section, key and allowed values.
    """
    return parse_settings(read_text(path), str(path))


def read_text(path: str | Path) -> str:
    """Read a file of UTF-8 text.

    Raises
    ------
    SettingsError
        If the file can't be read or is not UTF-8.
    """
    try:
        return Path(path).read_text(encoding="utf-8-sig")
    except UnicodeDecodeError as error:
        line = Path(path).read_bytes()[: error.start].count(b"\n") + 1
        allowed = f"UTF-8 text; line {line} is not valid, save the file as UTF-8"
        raise SettingsError(str(path), "-", "-", allowed) from error
    except OSError as error:
        allowed = f"a readable file; {error.strerror}"
        raise SettingsError(str(path), "-", "-", allowed) from error


def parse_settings(text: str, file: str = "<text>") -> Settings:
    """Parse and validate the text of a node's settings file.

    Parameters
    ----------
    text : str
        INI text.
    file : str
        Name of the file in error messages.

    Raises
    ------
    SettingsError
        At the first section, key or value that is not valid.
    """
    settings = _parse(Settings, text, file)
    for section, key, allowed in find_conflicts(settings):
        raise SettingsError(file, section, key, allowed)
    return settings


def load_gateway_settings(path: str | Path) -> GatewaySettings:
    """Load and validate a gateway's settings file.

    Raises
    ------
    SettingsError
        If the file can't be read or a value is not valid; names section, key and allowed values.
    """
    return parse_gateway_settings(read_text(path), str(path))


def parse_gateway_settings(text: str, file: str = "<text>") -> GatewaySettings:
    """Parse and validate the text of a gateway's settings file.

    Raises
    ------
    SettingsError
        At the first section, key or value that is not valid.
    """
    return _parse(GatewaySettings, text, file)


def _parse(schema: type[Schema], text: str, file: str) -> Schema:
    parser = read_ini(text, file)
    types_by_section = typing.get_type_hints(schema)
    for section in parser.sections():
        if section not in types_by_section:
            allowed = "unknown section; allowed: " + ", ".join(sorted(types_by_section))
            raise SettingsError(file, section, "-", allowed)
    sections = {
        section: _read_section(parser, section, section_type, file)
        for section, section_type in types_by_section.items()
    }
    return schema(**sections)


def read_ini(text: str, file: str) -> configparser.ConfigParser:
    """Parse INI text without interpolation and with case-sensitive keys.

    Raises
    ------
    SettingsError
        If the text is not valid INI, or a section or key occurs twice.
    """
    parser = configparser.ConfigParser(
        interpolation=None,
        default_section=DEFAULT_SECTION,
        delimiters=("=",),
        comment_prefixes=("#", ";"),
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(text, file)
    except configparser.DuplicateSectionError as error:
        allowed = f"one section of this name; line {error.lineno} repeats it"
        raise SettingsError(file, error.section, "-", allowed) from error
    except configparser.DuplicateOptionError as error:
        allowed = f"one line with this key; line {error.lineno} repeats it"
        raise SettingsError(file, error.section, error.option, allowed) from error
    except configparser.MissingSectionHeaderError as error:
        allowed = f"a [section] before the first key; line {error.lineno} is in no section"
        raise SettingsError(file, "-", "-", allowed) from error
    except configparser.ParsingError as error:
        lines = ", ".join(str(line) for line, _ in error.errors)
        allowed = f"lines of the form key = value; malformed lines: {lines}"
        raise SettingsError(file, "-", "-", allowed) from error
    return parser


def _read_section(
    parser: configparser.ConfigParser, section: str, section_type: Any, file: str
) -> Any:
    text_by_key = dict(parser[section]) if parser.has_section(section) else {}
    values = {}
    for option in dataclasses.fields(section_type):
        description = option.metadata["description"]
        if option.name in text_by_key:
            values[option.name] = _read_value(option, text_by_key.pop(option.name), file, section)
        elif option.default is dataclasses.MISSING:
            raise SettingsError(file, section, option.name, f"is required: {description}")
    if text_by_key:
        allowed = ", ".join(option.name for option in dataclasses.fields(section_type))
        raise SettingsError(
            file, section, next(iter(text_by_key)), f"unknown key; allowed: {allowed}"
        )
    return section_type(**values)


def _read_value(option: Any, text: str, file: str, section: str) -> Any:
    try:
        return parse_value(option.metadata["value_type"], text)
    except ValueError as error:
        raise SettingsError(file, section, option.name, str(error)) from error
