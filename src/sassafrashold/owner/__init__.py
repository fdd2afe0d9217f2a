"""The owner daemon: calls the leafs that its host owns.

The binary is `sassafrashold.owner.main`.
"""
