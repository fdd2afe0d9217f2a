"""A settings file as the platform writes it for a process."""

BOOT = """\
node_name=h1
zone=z1
ip=10.1.0.39
listen.front=10.1.0.39:8226
listen.ready=10.1.0.39:8227
bootstrap=true
listen.control=10.1.0.39:8224
seeds=10.1.0.39:8224,10.2.0.33:8224
bounds.drain_ms=3000
bounds.grace_s=6
bounds.retry_budget_ratio=0.2
bounds.retry_budget_burst=56
bounds.budget_window_s=10
bounds.cold_burst_factor=1.5
bounds.cold_slack=5
platform.address=10.200.1.7:8229
a.field.of.tomorrow=1
"""
