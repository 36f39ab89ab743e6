"""Connections that others open: limits on what each and all of them may hold."""
