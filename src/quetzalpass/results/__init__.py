"""Numbered result codes and the typed failure that carries them."""
