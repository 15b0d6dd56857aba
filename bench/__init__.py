"""Benches: each is one documented command; see docs/measurements/."""
