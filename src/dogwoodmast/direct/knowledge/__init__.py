"""What an entry VM knows of targets: their load, and whether they warm up."""
