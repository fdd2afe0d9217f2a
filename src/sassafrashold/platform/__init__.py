"""Adapter of the users' platform: its settings, messages and store.

Names of the platform are decoded here into the types of the product and are
used nowhere else. The package makes no decisions.
"""
