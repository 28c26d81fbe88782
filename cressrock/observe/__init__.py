"""Observability for operators: JSON logs, Prometheus metrics and the admin port."""
