// Fast nodes: 2.5 ms a unit, so the way there is a good part of an answer.
local site = import 'site.libsonnet';
site {
  name: 'fast',
  machines: [{ cores: 2, unit_ms: 2.5, base_ms: 0.5, queue: 128 }],
  plans: {
    [p]: site.plans[p] { figures+: { rate: 40 * super.weight, reserve: 20 * super.weight,
                                     [if p == 'base' then 'limit_rate']: 400,
                                     [if p == 'base' then 'limit_burst']: 400,
                                     [if p == 'base' then 'limit_slack']: 40 } }
    for p in std.objectFields(site.plans)
  },
}
