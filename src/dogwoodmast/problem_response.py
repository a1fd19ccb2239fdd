"""HTTP responses for problems, after RFC 9457."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import orjson

from dogwoodmast.problem import PROBLEM_MEDIA_TYPE, PROBLEM_URI_PREFIX
from dogwoodmast.request import Header, Response

if TYPE_CHECKING:
    from dogwoodmast.problem import Problem


def problem_response(problem: Problem) -> Response:
    """Make the HTTP response that reports a problem to the caller.

    :param problem: Problem to report.
    :return: Response with a JSON problem document, and with Retry-After,
        rounded up to whole seconds, if the problem has one.
    """
    headers = [Header('content-type', PROBLEM_MEDIA_TYPE)]
    document: dict[str, object] = {
        'type': f'{PROBLEM_URI_PREFIX}{problem.type.slug}',
        'title': problem.type.slug.replace('-', ' '),
        'status': int(problem.type.status),
        'outcome': problem.outcome,
    }
    if problem.detail:
        document['detail'] = problem.detail
    if problem.retry_after is not None:
        seconds = str(math.ceil(problem.retry_after))
        headers.append(Header('retry-after', seconds))
    return Response(
        int(problem.type.status), tuple(headers), orjson.dumps(document)
    )
