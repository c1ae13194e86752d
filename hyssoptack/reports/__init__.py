"""What operators read: service-level burn and the configuration in force."""
