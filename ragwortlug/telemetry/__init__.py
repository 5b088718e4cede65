"""Telemetry: logs, metrics and traces."""
