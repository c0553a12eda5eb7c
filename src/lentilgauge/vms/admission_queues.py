"""Admission queues and retry schedules of a gateway's services."""

from lentilgauge.callers import admission, retry_after
from lentilgauge.vms import gateway as gateway_module


def get_admission_queue(
    gateway: gateway_module.Gateway, service: str
) -> admission.AdmissionQueue:
    """Get the admission queue of a service, creating it if new."""
    return gateway.admission_queue_by_service.setdefault(
        service, admission.AdmissionQueue()
    )


def get_retry_schedule(
    gateway: gateway_module.Gateway, service: str
) -> retry_after.RetrySchedule:
    """Get the retry schedule of a service, creating it if new."""
    return gateway.retry_schedule_by_service.setdefault(
        service, retry_after.RetrySchedule()
    )


def admit_waiters(gateway: gateway_module.Gateway, service: str) -> None:
    """Admit a service's waiting requests for which capacity is free.

    Those that are past their deadlines are expired first.
    """
    admission_queue = gateway.admission_queue_by_service.get(service)
    if admission_queue is not None and admission_queue.waiters:
        admission.expire_waiters(admission_queue, gateway.now_ms())
        admission.admit_waiters(admission_queue)


def has_waiters(gateway: gateway_module.Gateway) -> bool:
    """Return whether any request waits for an upstream."""
    return any(
        admission_queue.waiters
        for admission_queue in gateway.admission_queue_by_service.values()
    )


def admit_all_waiters(gateway: gateway_module.Gateway) -> None:
    """Expire and admit the waiting requests of all services."""
    for service in gateway.admission_queue_by_service:
        admit_waiters(gateway, service)
