// Machines of sixteen slow cores: a queue forms late, and a D of one leaves most of them idle.
local site = import 'site.libsonnet';
site {
  name: 'cores',
  machines: [{ cores: 16, speed: 1.0, unit_ms: 60, base_ms: 5, queue: 64, flush_ms: 250 }],
  plans: {
    [p]: site.plans[p] { figures+: { [if p == 'base' then 'limit_rate']: 60,
                                     [if p == 'base' then 'limit_burst']: 80,
                                     [if p == 'base' then 'limit_slack']: 16 } }
    for p in std.objectFields(site.plans)
  },
}
