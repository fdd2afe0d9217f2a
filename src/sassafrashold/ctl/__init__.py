"""The operators' tool `sassafras-ctl`."""
