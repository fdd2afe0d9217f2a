"""Stand-ins of the cases: leafs, clients, front processes and the record."""
