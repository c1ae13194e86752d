"""Configuration revisions: storage, changes and distribution to instances."""
