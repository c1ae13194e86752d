"""The entry daemon: front, coordinator, executor, operator port."""
