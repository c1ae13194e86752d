"""The entry daemon: front, coordinator, action executor, operator port,
shutdown.
"""
