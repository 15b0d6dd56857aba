"""Helpers shared by tests: processes, simulations and configurations."""
