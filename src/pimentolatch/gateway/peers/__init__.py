"""What instances tell each other, and requests that they forward to each other."""
