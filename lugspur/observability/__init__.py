"""Observability of a process: metrics, and records of failed requests."""
