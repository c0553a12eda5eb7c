"""Interfaces for operators: commands, their HTTP endpoint and reports."""
