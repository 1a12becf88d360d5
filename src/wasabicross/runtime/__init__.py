"""Services of every process: settings, logs, HTTP, metrics, stop signals."""
