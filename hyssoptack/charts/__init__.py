"""State charts as YAML files, and their interpreter."""
