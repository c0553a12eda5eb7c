"""Track what each upstream can carry."""
