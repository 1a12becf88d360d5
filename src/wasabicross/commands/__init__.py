"""The command line of operators: API client, output, errors and keys."""
