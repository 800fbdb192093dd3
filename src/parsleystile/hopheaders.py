"""Headers about one connection, not about the request (RFC 9110, 7.6.1)."""

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
