"""Routes, customers, services and backend servers of the gateway."""
