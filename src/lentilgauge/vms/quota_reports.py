"""Metrics and log lines of quotas."""

from lentilgauge import events, metrics
from lentilgauge.vms import gateway as gateway_module

#: Refusals of a workspace have ended if there were none for this long.
_REFUSALS_END_MS = 5000
#: Further workspaces share one label in the metrics.
_MAX_LABELS = 200
_OTHER_LABEL = 'other'


def count_permits(
    gateway: gateway_module.Gateway, family: str, workspace: str, number: int
) -> None:
    """Count permits of a workspace, within the bound on labels."""
    labelled = gateway.quota_state.labelled_workspaces
    if workspace not in labelled and len(labelled) >= _MAX_LABELS:
        workspace = _OTHER_LABEL
    labelled.add(workspace)
    metric_key = metrics.MetricKey(family, '', (('workspace', workspace),))
    gateway.metrics.count_by_key[metric_key] += number


def record_refusal(gateway: gateway_module.Gateway, workspace: str) -> None:
    """Count a refused request; log if it is the first in a while."""
    refused_ms_by_workspace = gateway.quota_state.refused_ms_by_workspace
    if workspace not in refused_ms_by_workspace:
        events.log_event(events.Event.QUOTA_EXHAUSTED, workspace=workspace)
    refused_ms_by_workspace[workspace] = gateway.now_ms()
    count_permits(gateway, 'quota_requests_refused', workspace, 1)


def log_ended_refusals(gateway: gateway_module.Gateway) -> None:
    """Log of which workspaces no request has been refused in a while."""
    refused_ms_by_workspace = gateway.quota_state.refused_ms_by_workspace
    ended_ms = gateway.now_ms() - _REFUSALS_END_MS
    for workspace, refused_ms in tuple(refused_ms_by_workspace.items()):
        if refused_ms <= ended_ms:
            refused_ms_by_workspace.pop(workspace)
            events.log_event(events.Event.QUOTA_AVAILABLE, workspace=workspace)
