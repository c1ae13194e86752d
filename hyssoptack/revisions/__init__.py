"""The chain of configuration revisions of the product's own interface."""
