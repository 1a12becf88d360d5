"""Health of backend servers, and the choice of a server for a request."""
