"""Publishes one configuration for all planners of a site in numbered revisions, which they apply live."""
