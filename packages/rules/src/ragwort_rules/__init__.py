"""The rules file: parsing, checking, printing and matching."""
