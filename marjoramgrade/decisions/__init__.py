"""Decision code: no input or output, no encoding; time is an argument."""
