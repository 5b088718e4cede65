"""Responses of all HTTP interfaces: JSON, and errors with their result codes."""

from http import HTTPStatus

import msgspec
from aiohttp import web

from ragwortlug.codes import Code

RETRY_AFTER_S = 1
# Refusals after which the same request may be accepted.
_RETRIED_CODES = frozenset(
    {Code.REQUEST_TIMEOUT, Code.TOO_MUCH_UNFINISHED, Code.ENTRY_LEAVING}
)

_encoder = msgspec.json.Encoder()


def json_response(value, code=Code.OK):
    """Return a response with a JSON body and the HTTP status of a code."""
    return web.Response(
        body=_encoder.encode(value),
        status=code.http_status,
        content_type="application/json",
    )


def error_body(code, detail="", reasons=()):
    """Return the body for a result code, as a dict."""
    body = {
        "code": int(code),
        "name": code.name,
        "verdict": code.verdict.value,
        "meaning": code.meaning,
    }
    if detail:
        # Text of a header may hold bytes that are not UTF-8.
        body["detail"] = detail.encode(errors="replace").decode()
    if reasons:
        body["reasons"] = list(reasons)
    return body


def error_response(error):
    """Return the JSON response for a `RagwortlugError`."""
    reasons = getattr(error, "reasons", ())
    response = json_response(error_body(error.code, error.detail, reasons), error.code)
    if error.code in _RETRIED_CODES:
        response.headers["Retry-After"] = str(RETRY_AFTER_S)
    return response


def raw_error_response(code):
    """Return the bytes of an error response, for a request without a whole head."""
    body = _encoder.encode(error_body(code))
    status = HTTPStatus(code.http_status)
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if code in _RETRIED_CODES:
        lines.append(f"Retry-After: {RETRY_AFTER_S}")
    return "\r\n".join([*lines, "", ""]).encode() + body
