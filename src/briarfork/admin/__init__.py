"""Administration API for submitting and auditing configuration changes."""
