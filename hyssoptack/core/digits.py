"""Reads numbers from text that others wrote."""

LIMIT_COUNT = 18
"""Most digits that are read; `int` refuses texts of some thousand digits."""


def parse(text: str) -> int | None:
    """Returns the number in a text of ASCII digits; None for any other text.

    `str.isdigit` alone accepts characters, such as superscripts, that `int`
    does not.
    """
    if not (text.isascii() and text.isdigit()) or len(text) > LIMIT_COUNT:
        return None
    return int(text)
