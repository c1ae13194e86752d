"""State charts in YAML files, and their interpreter."""
