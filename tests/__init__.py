"""Tests of pimentolatch: behave features and their support code."""
