"""How gateways follow the content of the store, also by each other."""
