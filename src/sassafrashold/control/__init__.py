"""The control daemon: membership, zone lease, distribution, status.

It must stay within 32 MB, so nothing here imports aiohttp or OpenTelemetry.
"""
