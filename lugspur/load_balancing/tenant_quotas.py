"""Which requests are over their tenant's quota, by token buckets."""

from lugspur.load_balancing.model import Settings

BURST_SECONDS = 5.0  # of its quota that a tenant may use at once: a burst, not a surplus


class TenantQuotas:
    """One token bucket for each tenant, filled at this instance's part of its quota.

    Guards the others against one tenant's burst: what is over the quota is worth little and goes first.
    Acts where requests fail, in the measure that they do. Could harm where one instance has most of a
    tenant's traffic: its part of the quota is soon used up.
    """

    def __init__(self, settings: Settings) -> None:
        tenants = () if settings.tier else settings.tenants  # only the first tier rejects by quota
        self._rates = [tenant.quota / settings.instance_count for tenant in tenants]
        self._tokens = [1.0 + BURST_SECONDS * rate for rate in self._rates]
        self._filled_at = [0.0] * len(self._rates)

    def is_over(self, now: float, tenant: int) -> bool:
        """Whether a request is over its tenant's quota; one that is not takes a token."""
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
