"""Validates a YAML mapping field by field and collects all errors."""

import dataclasses
import ipaddress
import typing

import yaml

from hyssoptack.core import digits


@dataclasses.dataclass(frozen=True, kw_only=True)
class SettingsError:
    """One error in a settings file.

    Attributes:
        file: The file or part in which the error is.
        key: Dotted path of the field.
        value: The value found, as text.
        expected: Description of a valid value.
    """

    file: str
    key: str
    value: str
    expected: str

    def __str__(self) -> str:
        found = f"found {self.value}, expected {self.expected}"
        return f"{self.file}: {self.key}: {found}"


_MISSING: typing.Any = object()
_TEXT_LIMIT_COUNT = 60
_PORT_MAX = 65_535


def abbreviated(value: object) -> str:
    """Returns a value as text for an error, cut to a maximum length."""
    if value is _MISSING:
        return "nothing"
    text = repr(value)
    return (
        text
        if len(text) <= _TEXT_LIMIT_COUNT
        else text[:_TEXT_LIMIT_COUNT] + "..."
    )


class Fields:
    """Reads the fields of one mapping; adds errors to the document's list."""

    def __init__(
        self, mapping: object, file: str, path: str, errors: list[SettingsError]
    ):
        self.file = file
        self.path = path
        self.errors = errors
        self._known_names: set[str] = set()
        if isinstance(mapping, dict):
            self._mapping = mapping
        else:
            self._mapping = {}
            self.error("", mapping, "a mapping of field names to values")

    def error(self, name: str, value: object, expected: str) -> None:
        """Adds an error for a field of this mapping."""
        key = (
            ".".join(part for part in (self.path, name) if part) or "(document)"
        )
        self.errors.append(
            SettingsError(
                file=self.file,
                key=key,
                value=abbreviated(value),
                expected=expected,
            )
        )

    def _read_field(self, name: str, default: object) -> object:
        """Returns a field's raw value and marks the field as known."""
        self._known_names.add(name)
        return self._mapping.get(name, default)

    def number(
        self,
        name: str,
        low: float,
        high: float,
        default: float = _MISSING,
        whole: bool = False,
    ) -> typing.Any:
        """Reads a number between two bounds.

        Args:
            name: Name of the field; its suffix is the unit.
            low: The smallest value allowed.
            high: The largest value allowed.
            default: Value if the field is absent; without a default the field
                is required.
            whole: Whether only whole numbers are allowed.

        Returns:
            The number, or `low` when there was an error.
        """
        value = self._read_field(name, default)
        kinds = (int,) if whole else (int, float)
        if (
            isinstance(value, bool)
            or not isinstance(value, kinds)
            or not low <= value <= high
        ):
            self.error(
                name,
                value,
                f"a {'whole ' if whole else ''}number from {low} to {high}",
            )
            return low
        return value

    def count(
        self, name: str, low: int, high: int, default: int = _MISSING
    ) -> int:
        """Reads a whole number between two bounds."""
        return self.number(name, low, high, default, whole=True)

    def ratio(self, name: str, default: float = _MISSING) -> float:
        """Reads a number from 0 to 1."""
        return self.number(name, 0.0, 1.0, default)

    def text(self, name: str, default: str = _MISSING) -> str:
        """Reads a string; it may be empty only if there is a default."""
        value = self._read_field(name, default)
        if not isinstance(value, str) or (not value and default is _MISSING):
            self.error(name, value, "a non-empty string")
            return ""
        return value

    def flag(self, name: str, default: bool) -> bool:
        """Reads a boolean."""
        value = self._read_field(name, default)
        if not isinstance(value, bool):
            self.error(name, value, "true or false")
            return default
        return value

    def choice(self, name: str, choices: tuple[str, ...], default: str) -> str:
        """Reads a string that must be one of the given choices."""
        value = self._read_field(name, default)
        if value not in choices:
            self.error(name, value, "one of: " + ", ".join(choices))
            return default
        return value

    def address(self, name: str) -> str:
        """Reads a required address of the form `IP:port`."""
        value = self._read_field(name, _MISSING)
        if not isinstance(value, str) or not is_address(value):
            self.error(
                name, value, "an IP address and a port, such as 127.0.0.1:8080"
            )
            return ""
        return value

    def addresses(self, name: str) -> tuple[str, ...]:
        """Reads a list of addresses; empty if absent."""
        value = self._read_field(name, [])
        if not isinstance(value, list) or not all(
            isinstance(each, str) and is_address(each) for each in value
        ):
            self.error(name, value, "a list of addresses such as 127.0.0.1:80")
            return ()
        return tuple(value)

    def submapping(self, name: str, required: bool = False) -> "Fields":
        """Returns the fields of a nested mapping; empty if absent."""
        value = self._read_field(name, _MISSING)
        if value is _MISSING and not required:
            value = {}
        return Fields(value, self.file, self._path_of(name), self.errors)

    def named_mappings(
        self, name: str, required: bool = True
    ) -> dict[str, "Fields"]:
        """Returns the fields of each mapping in a mapping, by name."""
        value = self._read_field(name, _MISSING if required else {})
        if not isinstance(value, dict) or not all(
            isinstance(key, str) for key in value
        ):
            self.error(name, value, "a mapping from names to mappings")
            return {}
        return {
            key: Fields(
                each, self.file, f"{self._path_of(name)}.{key}", self.errors
            )
            for key, each in value.items()
        }

    def mapping_list(self, name: str) -> list["Fields"]:
        """Returns the fields of each mapping in a list, which is required."""
        value = self._read_field(name, _MISSING)
        if not isinstance(value, list) or not value:
            self.error(name, value, "a non-empty list of mappings")
            return []
        return [
            Fields(
                each, self.file, f"{self._path_of(name)}[{index}]", self.errors
            )
            for index, each in enumerate(value)
        ]

    def reject_unknown(self) -> None:
        """Adds an error for every field that has not been read."""
        known = ", ".join(sorted(self._known_names))
        for name, value in self._mapping.items():
            if name not in self._known_names:
                self.error(
                    str(name),
                    value,
                    f"no field of this name; known fields: {known}",
                )

    def _path_of(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name


def is_address(text: str) -> bool:
    """Returns whether a text is `IP:port`; host names are not accepted."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 < (digits.parse(port) or 0) <= _PORT_MAX


def parse_yaml(text: str, file: str) -> tuple[object, list[SettingsError]]:
    """Parses YAML text.

    Returns:
        The document and no error, or None and one error with the line.
    """
    try:
        return yaml.safe_load(text), []
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        place = f"line {mark.line + 1}" if mark else "(document)"
        problem = getattr(error, "problem", None) or "invalid text"
        return None, [
            SettingsError(
                file=file, key=place, value=problem, expected="valid YAML"
            )
        ]
