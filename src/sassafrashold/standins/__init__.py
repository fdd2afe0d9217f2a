"""Stand-ins for leafs and platform, a TCP proxy, and a process harness."""
