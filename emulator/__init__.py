"""Small stand-ins for everything outside wasabicross, and a load tool."""
