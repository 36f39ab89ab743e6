"""Texts from outside, made safe for a line of output."""


def escape_control_characters(text: str, kept: str = "") -> str:
    """Return a text whose control characters are escaped.

    Parameters
    ----------
    text : str
        Any text.
    kept : str
        Control characters that stay as they are.
    """
    if text.isprintable():
        return text
    return "".join(
        char if char.isprintable() or char in kept else repr(char)[1:-1]
        for char in text
    )
