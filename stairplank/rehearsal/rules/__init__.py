"""The clauses of the rules, one module per subject; ``observations`` holds the state that they share."""
