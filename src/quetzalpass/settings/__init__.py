"""Settings of one daemon process: schema and loading."""
