"""Forwarding of calls between nodes that each front one target.

This is the data path for platforms whose targets declare their number of
slots and whose store lists the members. The decisions (``answerparser``,
``declaredlimit``, ``departures``, ``drain``, ``holderring``, ``memberlist``,
``memberrow``, ``overlay``, ``retrybudget``, ``rollout``, ``rolloutcounts``,
``rolloutgroups``, ``rolloutjudge``, ``rolloutplan``, ``rowdigest``,
``rowkeeping``, ``rowspread``, ``stalls``, ``targetreports``,
``tokenbuckets``) do no I/O; ``dispatch``, ``fleetstatus``,
``guard``, ``httpclient``, ``httpserver``, ``ingress``, ``plannedstop``,
``ratelimiter``, ``reachability``, ``rolloutcontrol`` and ``statesync``
connect them to sockets and timers.
"""
