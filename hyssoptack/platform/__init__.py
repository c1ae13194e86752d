"""Clients of the platform: key-value service, instance list, configuration
follower.
"""
