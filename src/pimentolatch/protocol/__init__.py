"""Messages between the instances of the system, and their encoding."""
