"""Names, formats and calls of the platform that the product runs on."""
