"""What gateways know of requests that crash servers."""
