"""Fleet control plane: configuration, engine orders, drains and role changes."""
