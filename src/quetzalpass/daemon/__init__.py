"""The daemon process: wiring of all parts."""
