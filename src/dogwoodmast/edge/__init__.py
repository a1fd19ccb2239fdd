"""Edge between clients' connections and the HTTP parser: what it bounds."""
