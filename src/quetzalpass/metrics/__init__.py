"""Counters and histograms sent by statsd."""
