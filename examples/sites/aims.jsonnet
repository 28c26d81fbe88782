// An aim of 60 ms and one of 5 s at the same nodes, with work that is put off and flushed every 2 s.
local site = import 'site.libsonnet';
site {
  name: 'aims',
  machines: [{ cores: 2, speed: 1.0, unit_ms: 8, base_ms: 1, queue: 64, deferred: 0.5 }],
  classes: [
    site.classes[0] { aim_ms: 60, deadline_ms: 1000 },
    site.classes[1] { aim_ms: 5000, deadline_ms: 20000 },
    site.classes[2],
  ],
  plans: {
    [p]: site.plans[p] { figures+: { [if p == 'base' then 'limit_rate']: 100,
                                     [if p == 'base' then 'limit_burst']: 100,
                                     [if p == 'base' then 'limit_slack']: 16 } }
    for p in std.objectFields(site.plans)
  },
}
