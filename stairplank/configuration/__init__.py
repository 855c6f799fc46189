"""One configuration for all planners of a site: published in numbered revisions, followed, taken live."""
