"""Choice of backend server, admission, fair queues and length estimates."""
