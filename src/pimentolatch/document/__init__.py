"""The fleet document: its schema, validation and differences."""
