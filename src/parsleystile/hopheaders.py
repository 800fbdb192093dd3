"""Hop-by-hop headers, which apply to one connection (RFC 9110, 7.6.1)."""

HOP_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
