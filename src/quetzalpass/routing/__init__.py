"""Selection of backend servers, admission, fair queues and length estimates."""
