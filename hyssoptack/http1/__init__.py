"""HTTP/1.1 over asyncio, both directions, parsed by httptools."""
