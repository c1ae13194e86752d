"""Small fault-injectable stand-ins for the platform, leaves, balancer and
callers.
"""
