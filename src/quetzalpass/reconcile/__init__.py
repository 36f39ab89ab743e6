"""Orders to backend servers, rollouts and drains."""
