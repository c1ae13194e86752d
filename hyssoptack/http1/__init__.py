"""HTTP/1.1 server and client over asyncio, parsed by httptools."""
