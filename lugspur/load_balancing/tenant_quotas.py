"""Token buckets that tell which requests are over their tenant's quota."""

from lugspur.load_balancing.model import Settings

BURST_SECONDS = 5.0  # seconds of its quota that a tenant may use at once: a burst, but no lasting surplus


class TenantQuotas:
    """One token bucket for each tenant, filled at this instance's part of the tenant's quota.

    Guards tenants against the burst of another: requests over the quota have little value and are rejected
    first. Acts only where requests fail, and more the more of them do. It can harm where one instance has
    most of a tenant's traffic: its part of the quota is soon used up.
    """

    def __init__(self, settings: Settings) -> None:
        tenants = () if settings.tier else settings.tenants  # only the first tier rejects by quota
        self._rates = [tenant.quota / settings.instance_count for tenant in tenants]
        self._tokens = [1.0 + BURST_SECONDS * rate for rate in self._rates]
        self._filled_at = [0.0] * len(self._rates)

    def is_over(self, now: float, tenant: int) -> bool:
        """Return whether a request is over its tenant's quota; a request that is not takes a token."""
        rate = self._rates[tenant] if self._rates else 0.0
        if rate <= 0.0:
            return False
        tokens = self._tokens[tenant] + rate * (now - self._filled_at[tenant])
        self._tokens[tenant] = tokens = min(tokens, 1.0 + BURST_SECONDS * rate)
        self._filled_at[tenant] = now
        if tokens < 1.0:
            return True
        self._tokens[tenant] -= 1.0
        return False
