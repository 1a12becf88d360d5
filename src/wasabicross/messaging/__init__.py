"""Messages and links between the processes of a deployment."""
