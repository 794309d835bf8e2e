"""Programs that people start by hand."""
