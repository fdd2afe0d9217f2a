"""A query tier over many shards: entry, leaf ownership and control."""
