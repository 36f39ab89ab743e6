"""Counters and histograms, sent over statsd or exposed for Prometheus."""
