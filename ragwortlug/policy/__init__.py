"""Policy: queue order, placement, admission, quotas and worker health."""
