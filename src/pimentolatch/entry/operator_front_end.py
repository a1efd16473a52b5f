"""HTTP front end for operators: documents, status, audit, health and metrics."""

import asyncio
import datetime
import json
import typing

from starlette import applications, requests, responses, routing

from pimentolatch import clock, fleet, metrics, results, settings, store, validation
from pimentolatch.audit import trail
from pimentolatch.control import configuration, domain_controller, heads
from pimentolatch.document import schema
from pimentolatch.entry import control_plane, graceful_shutdown, request_parsing
from pimentolatch.requests import identity

__all__ = ["OperatorFrontEnd"]

_DOCUMENT_LIMIT_BYTES = 16_000_000
_DOCUMENT_READ_TIME = datetime.timedelta(seconds=30)
_DOCUMENT_TRAIL = "documents"
_AUDIT_DEFAULT_RECORDS = 100
_AUDIT_MAX_RECORDS = 5000
_RETRY_AFTER = datetime.timedelta(seconds=2)


class OperatorFrontEnd:
    """Handlers of operators' requests.

    Args:
        chosen: Settings of this instance.
        own_fleet: Holds the configuration in force.
        control: Submits documents and reports on peers.
        controller: Reports on the role changes of the failure domain.
        shutdown: Tracks readiness and requests in flight.
        time: Clock of submissions and audit records.
        measured: Metrics of this instance.
    """

    def __init__(
        self,
        chosen: settings.EntrySettings,
        *,
        own_fleet: fleet.Fleet,
        control: control_plane.ControlPlane,
        controller: domain_controller.DomainController,
        shutdown: graceful_shutdown.GracefulShutdown,
        time: clock.Clock,
        measured: metrics.Metrics,
    ) -> None:
        self._settings = chosen
        self._fleet = own_fleet
        self._control = control
        self._domain_controller = controller
        self._shutdown = shutdown
        self._clock = time
        self._metrics = measured
        self._trail = trail.AuditTrail(
            control.store, _DOCUMENT_TRAIL, control.incarnation, time
        )

    def application(self) -> applications.Starlette:
        """Return the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route("/livez", self.live),
                routing.Route("/readyz", self.ready),
                routing.Route("/metrics", self.metrics),
                routing.Route("/v1/status", self.status),
                routing.Route("/v1/document", self.document),
                routing.Route("/v1/audit", self.audit),
                routing.Route("/v1/documents", self.submit, methods=["POST"]),
            ]
        )

    async def live(self, request: requests.Request) -> responses.Response:
        """Answer the liveness probe."""
        return responses.PlainTextResponse("ok\n")

    async def ready(self, request: requests.Request) -> responses.Response:
        """Answer the readiness probe of the load balancer."""
        if not self._shutdown.ready:
            return responses.PlainTextResponse("stopping\n", 503)
        if self._fleet.view.configuration is None:
            reason = self._control.waits_for
            return responses.PlainTextResponse(f"waits for {reason}\n", 503)
        return responses.PlainTextResponse("ready\n")

    async def metrics(self, request: requests.Request) -> responses.Response:
        """Return the metrics in the Prometheus text format."""
        self._metrics.in_flight.set(self._shutdown.in_flight)
        current = self._fleet.view.configuration
        self._metrics.configuration.set(0 if current is None else current.number)
        return responses.Response(
            self._metrics.text(), media_type="text/plain; version=0.0.4"
        )

    async def status(self, request: requests.Request) -> responses.Response:
        """Return the status of this instance."""
        view = self._fleet.view
        current = view.configuration
        return responses.JSONResponse(
            {
                "instance": self._settings.instance,
                "failure_domain": self._settings.failure_domain,
                "configuration": None
                if current is None
                else {"number": current.number, "hash": current.content_hash},
                "requests_in_flight": self._shutdown.in_flight,
                "stopping": not self._shutdown.ready,
                "withdrawn": sorted(view.withdrawn),
                "roles": dict(view.roles),
            }
            | self._control.status()
            | {"duty": _leader_status(self._domain_controller.status())}
        )

    async def document(self, request: requests.Request) -> responses.Response:
        """Return the document in force."""
        current = self._fleet.view.configuration
        if current is None:
            return responses.JSONResponse({"number": 0, "document": None})
        document = current.document.model_dump(mode="json")
        return responses.JSONResponse({"number": current.number, "document": document})

    async def submit(self, request: requests.Request) -> responses.Response:
        """Submit a document and record the outcome in the audit trail."""
        limits = request_parsing.BodyLimits(_DOCUMENT_LIMIT_BYTES, _DOCUMENT_READ_TIME)
        raw = await request_parsing.read_body(request, limits)
        if isinstance(raw, results.Refusal):
            return _refusal_response(raw)
        # Validating a document of 1 MB takes a third of a second; in the event loop it
        # would stall every stream of this instance.
        submission = await asyncio.to_thread(self._parse_submission, request, raw)
        if isinstance(submission, results.Refusal):
            return _refusal_response(submission)
        outcome = await self._control.submit(submission)
        await self._record_in_trail(submission, outcome)
        if isinstance(outcome, configuration.Accepted):
            return responses.JSONResponse(_accepted_json(outcome))
        if isinstance(outcome, configuration.Lost):
            refusal = results.Refusal(
                results.ResultCode.DOCUMENT_CONFLICT,
                f"document {outcome.winner.number} by {outcome.winner.operator} won; "
                "check your change against it and submit again",
                results.Execution.NOT_RUN,
            )
            body = refusal.to_json() | {"winner": _head_json(outcome.winner)}
            return responses.JSONResponse(body, refusal.http_status)
        generated_id = "submission" not in request.query_params
        if isinstance(outcome, configuration.NotSubmitted) and generated_id:
            # A submission id given by the operator may have been submitted before
            # through another instance, so that its outcome is unknown.
            return _refusal_response(
                results.Refusal(
                    results.ResultCode.STORE_UNAVAILABLE,
                    f"document not submitted: {outcome.reason}",
                    results.Execution.NOT_RUN,
                    _RETRY_AFTER,
                )
            )
        return _refusal_response(
            results.Refusal(
                results.ResultCode.SUBMISSION_UNKNOWN,
                f"outcome of the submission is unknown: {outcome.reason}",
                results.Execution.UNKNOWN,
                _RETRY_AFTER,
            )
        )

    async def _record_in_trail(
        self, submission: configuration.Submission, outcome: configuration.Outcome
    ) -> None:
        number = 0
        if isinstance(outcome, configuration.Accepted):
            number = outcome.head.number
        detail = f"submission {submission.submission_id} by {submission.operator}"
        fleet_name = submission.document.fleet
        self._trail.add(
            number, "submit document", fleet_name, type(outcome).__name__, detail
        )
        # The response to the submission must not depend on the audit trail; records
        # that could not be written are written with the next ones.
        await self._trail.flush()

    async def audit(self, request: requests.Request) -> responses.Response:
        """Return the newest records of the audit trail, oldest first."""
        text = request.query_params.get("count", str(_AUDIT_DEFAULT_RECORDS))
        if not text.isascii() or not text.isdigit() or int(text) > _AUDIT_MAX_RECORDS:
            message = (
                f"count: found {text!r}; must be a number up to {_AUDIT_MAX_RECORDS}"
            )
            return _refusal_response(results.invalid(message))
        reader = trail.AuditReader(self._control.store)
        records = await reader.latest_across_trails(int(text))
        if isinstance(records, store.Unavailable):
            return _refusal_response(
                results.Refusal(
                    results.ResultCode.STORE_UNAVAILABLE,
                    f"audit trail can't be read: {records.reason}",
                    results.Execution.NOT_RUN,
                    _RETRY_AFTER,
                )
            )
        rows = [record.to_json() for record in records]
        return responses.JSONResponse({"records": rows})

    def _parse_submission(
        self, request: requests.Request, raw: bytes
    ) -> configuration.Submission | results.Refusal:
        document = validation.check_text(
            schema.FleetDocument, raw.decode(errors="replace")
        )
        if isinstance(document, validation.Problems):
            return results.Refusal(
                results.ResultCode.DOCUMENT_INVALID,
                str(document),
                results.Execution.NOT_RUN,
            )
        expected = request.query_params.get("expected")
        if expected is not None and not expected.isdigit():
            return results.invalid(f"expected: found {expected!r}; must be a number")
        return configuration.Submission(
            request.query_params.get("submission", identity.new_id()),
            request.query_params.get("operator", "unknown"),
            document,
            self._clock.now(),
            None if expected is None else int(expected),
        )


def _accepted_json(outcome: configuration.Accepted) -> dict[str, typing.Any]:
    body = _head_json(outcome.head)
    if outcome.replaced_by is not None:
        body["replaced_by"] = _head_json(outcome.replaced_by)
    return body


def _leader_status(status: domain_controller.ControllerStatus) -> dict[str, typing.Any]:
    changes = [
        {
            "engine": change.engine,
            "waits_for": change.waits_for,
            "age_s": round(change.age.total_seconds(), 1),
            "overdue": change.overdue,
        }
        for change in status.changes
    ]
    return {"held": status.held, "holder": status.holder, "changes": changes}


def _head_json(head: heads.Head) -> dict[str, typing.Any]:
    return {
        "number": head.number,
        "hash": head.content_hash,
        "submission": head.submission_id,
        "operator": head.operator,
    }


def _refusal_response(refusal: results.Refusal) -> responses.Response:
    return responses.Response(
        json.dumps(refusal.to_json()),
        refusal.http_status,
        media_type="application/json",
    )
