"""Reports of the rate at which error budgets burn."""
