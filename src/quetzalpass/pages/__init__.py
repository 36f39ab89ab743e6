"""Parts of the documents that are generated from the code."""
