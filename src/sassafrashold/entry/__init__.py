"""The entry daemon: serves callers over HTTP."""
