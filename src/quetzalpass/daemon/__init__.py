"""The daemon process, which connects all parts."""
