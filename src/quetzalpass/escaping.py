"""Escaping of untrusted text for output on a terminal or in a log."""


def escape_control_characters(text: str, allowed: str = "") -> str:
    """Return a text with its unprintable characters escaped.

    Parameters
    ----------
    text : str
        Any text.
    allowed : str
        Unprintable characters that are not escaped.
    """
    if text.isprintable():
        return text
    return "".join(
        char if char.isprintable() or char in allowed else repr(char)[1:-1]
        for char in text
    )
